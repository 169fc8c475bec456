package io.jaywick.core.routing;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import io.jaywick.core.membership.Member;
import io.jaywick.core.membership.MemberState;
import io.jaywick.core.membership.MembershipView;
import io.jaywick.core.snapshot.DataCentre;
import io.jaywick.core.snapshot.Party;
import io.jaywick.core.snapshot.Route;
import io.jaywick.core.snapshot.Server;
import io.jaywick.core.snapshot.Service;
import io.jaywick.core.snapshot.Snapshot;
import io.jaywick.core.snapshot.WeightedService;

/** Builds small tables with data centres a1 and a2 in region a, and b1 in region b. */
public final class Tables {

    public static final int SLOTS = 8;
    public static final int COLD_START_CALLS = 2;

    private Tables() {}

    public static Map<String, DataCentre> dataCentres(Set<String> out) {
        Map<String, DataCentre> result = new LinkedHashMap<>();
        for (String name : List.of("a1", "a2", "b1")) {
            result.put(name, new DataCentre(name, name.substring(0, 1), !out.contains(name)));
        }
        return result;
    }

    /** Returns a table with the services of the weights, {@code perDataCentre} servers of each in every data centre. */
    public static Snapshot table(
            Map<String, Integer> weights, int perDataCentre, Set<String> out, boolean idempotent, Set<String> home) {
        Map<String, DataCentre> dataCentres = dataCentres(out);
        Map<String, Server> servers = new LinkedHashMap<>();
        Map<String, Service> services = new LinkedHashMap<>();
        List<WeightedService> weighted = new ArrayList<>();
        for (Map.Entry<String, Integer> weight : weights.entrySet()) {
            List<Server> own = new ArrayList<>();
            for (DataCentre dataCentre : dataCentres.values()) {
                for (int i = 0; i < perDataCentre; i++) {
                    String name = weight.getKey() + "-" + dataCentre.name() + "-" + i;
                    own.add(new Server(name, dataCentre, weight.getKey()));
                }
            }
            own.forEach(server -> servers.put(server.name(), server));
            Service service = new Service(weight.getKey(), Set.of(), SLOTS, 100, COLD_START_CALLS, 10_000, own);
            services.put(service.name(), service);
            weighted.add(new WeightedService(service, weight.getValue()));
        }
        Route route = new Route("r", "/", weighted, idempotent, 10_000, home, 1);
        Map<String, Party> parties = Map.of("p", new Party("p", 1_000, 1_000, 50, Set.of(), 1));
        return new Snapshot(1, null, dataCentres, servers, services, List.of(route), parties);
    }

    /** Returns a view in which each server is a member whose addresses equal its name. */
    public static MembershipView view(Collection<Server> servers) {
        Map<String, Member> members = new HashMap<>();
        for (Server server : servers) {
            members.put(
                    server.name(),
                    new Member(
                            server.name(),
                            server.dataCentre().name(),
                            server.dataCentre().region(),
                            server.service(),
                            server.name(),
                            server.name(),
                            1,
                            MemberState.ALIVE));
        }
        return new MembershipView() {
            @Override
            public List<Member> members() {
                return List.copyOf(members.values());
            }

            @Override
            public Optional<Member> member(String server) {
                return Optional.ofNullable(members.get(server));
            }
        };
    }
}
