package io.jaywick.core.fleet;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

import io.jaywick.core.rules.RuleSet;

/** A node's view of the fleet at one time: active rules, known instances and evacuated data centres. Immutable. */
public final class FleetView {

    private final RuleSet rules;
    private final Map<String, Instance> instances = new HashMap<>();
    private final Map<String, List<Instance>> byService = new HashMap<>();
    private final Map<String, Long> latestStartMillis = new HashMap<>();
    private final Set<String> evacuatedDataCentres;

    public FleetView(RuleSet rules, Collection<Instance> instances, Set<String> evacuatedDataCentres) {
        this.rules = rules;
        this.evacuatedDataCentres = Set.copyOf(evacuatedDataCentres);
        for (Instance instance : instances) {
            this.instances.put(instance.id(), instance);
            byService
                    .computeIfAbsent(instance.service(), service -> new ArrayList<>())
                    .add(instance);
            latestStartMillis.merge(instance.address(), instance.startMillis(), Math::max);
        }
    }

    public RuleSet rules() {
        return rules;
    }

    /** Returns the instances of a service, including draining ones. */
    public List<Instance> instancesOf(String service) {
        return byService.getOrDefault(service, List.of());
    }

    /** Returns the instance with the given id, or null. */
    public Instance instance(String id) {
        return instances.get(id);
    }

    /**
     * Returns whether an instance that started later is listed at the same address. A crashed instance stays listed for
     * some seconds, while its successor already serves at the same address.
     */
    public boolean isSuperseded(Instance instance) {
        return instance.startMillis() < latestStartMillis.getOrDefault(instance.address(), Long.MIN_VALUE);
    }

    public Collection<Instance> instances() {
        return instances.values();
    }

    public boolean isEvacuated(String dataCentre) {
        return evacuatedDataCentres.contains(dataCentre);
    }

    public Set<String> evacuatedDataCentres() {
        return evacuatedDataCentres;
    }
}
