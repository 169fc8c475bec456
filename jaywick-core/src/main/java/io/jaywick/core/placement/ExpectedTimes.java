package io.jaywick.core.placement;

import java.util.Arrays;
import java.util.Collection;
import java.util.function.Function;

import io.jaywick.core.fleet.Instance;

/**
 * Expected time until the answer to a call of one route at the instances of a service: the learned service time, the
 * reported wait and the calls of this node in flight.
 *
 * <p>The nodes of a service's callers hold reports that are a second old and more. If each chose the instance that is
 * expected to answer first, all would choose the fastest one until it had a queue. Each expected time is therefore
 * multiplied by a random factor, chosen such that an instance comes first in inverse proportion to the cube of its
 * expected time. In proportion to the speed alone, many calls would miss their objective at slow instances while faster
 * ones are idle. Each slower instance still gets some calls, by which its speed stays known.
 */
final class ExpectedTimes {

    private final String route;
    private final double typicalMillis;
    private final double averageLimit;

    private ExpectedTimes(String route, double typicalMillis, double averageLimit) {
        this.route = route;
        this.typicalMillis = typicalMillis;
        this.averageLimit = averageLimit;
    }

    /** Returns the times at the given instances, or null when the service time of the route is known of none. */
    static ExpectedTimes of(
            Collection<Instance> instances, String route, Function<String, InstanceLoad> loadById, long nowNanos) {
        double[] knownMillis = new double[instances.size()];
        int known = 0;
        double limits = 0;
        for (Instance instance : instances) {
            InstanceLoad load = loadById.apply(instance.id());
            limits += load.concurrencyLimit(instance.slots());
            double millis = load.serviceMillis(route, nowNanos);
            if (!Double.isNaN(millis)) {
                knownMillis[known++] = millis;
            }
        }
        if (known == 0) {
            return null;
        }
        // The median, because a wrong report of one instance must not make the unknown ones look slow or fast.
        Arrays.sort(knownMillis, 0, known);
        double median = Math.sqrt(knownMillis[(known - 1) / 2] * knownMillis[known / 2]);
        return new ExpectedTimes(route, median, limits / instances.size());
    }

    /**
     * Draws the expected milliseconds until the answer at an instance, with their random factor.
     *
     * @param uniform random number from 0 to less than 1
     */
    double draw(InstanceLoad load, int slots, long nowNanos, double uniform) {
        double serviceMillis = load.serviceMillis(route, typicalMillis, nowNanos);
        double limit = load.concurrencyLimit(slots);
        double expectedMillis = load.waitMillis(route, nowNanos) + serviceMillis * (1 + load.inFlight() / limit);
        // The smallest of several exponential draws is that of each one in inverse proportion to its mean.
        double exponential = -Math.log(1 - uniform) * averageLimit / limit;
        return expectedMillis * Math.cbrt(exponential);
    }
}
