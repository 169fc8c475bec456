package io.jaywick.node.relay;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import io.jaywick.core.fleet.Instance;

/**
 * The limits that instances named in their last responses to calls of this node. They are passed on with further calls,
 * because a node that was just started has not seen a response of its target.
 */
final class ObservedRateLimits {

    private final List<String> headerNames;
    private final Map<String, Observation> observationById = new HashMap<>();

    private record Observation(long startMillis, String text) {}

    ObservedRateLimits(List<String> headerNames) {
        this.headerNames = headerNames;
    }

    /** Records a response of an instance; headers alternate between name and value. */
    void observe(Instance instance, List<String> headers) {
        StatedRateLimit limit = StatedRateLimit.find(headers, headerNames);
        if (limit == null) {
            observationById.remove(instance.id());
        } else if (limit.isValid()) {
            observationById.put(instance.id(), new Observation(instance.startMillis(), limit.text()));
        }
    }

    /** Returns the last limit of an instance in calls per second, or an empty text if there is none. */
    String textOf(Instance instance) {
        Observation last = observationById.get(instance.id());
        return last == null || last.startMillis != instance.startMillis() ? "" : last.text;
    }

    /** Discards the limits of all instances other than the given ones. */
    void retain(Collection<String> instanceIds) {
        observationById.keySet().retainAll(instanceIds);
    }
}
