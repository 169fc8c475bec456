package io.jaywick.core.placement;

import io.jaywick.core.fleet.Instance;

/**
 * An eligible instance with the values by which it is ranked.
 *
 * @param avoided whether it failed recently or asked to be avoided
 * @param superseded whether a later start is listed at its address
 * @param expectedMillis expected time until the answer, with a random part that distributes calls over the instances
 */
record RankedInstance(
        Instance instance,
        Distance distance,
        boolean avoided,
        boolean superseded,
        InstanceScore score,
        double expectedMillis)
        implements Comparable<RankedInstance> {

    boolean isUnreliable() {
        return avoided || superseded;
    }

    /** Instances that failed recently or were superseded come last; among the others the nearest comes first. */
    @Override
    public int compareTo(RankedInstance other) {
        int comparison = Boolean.compare(isUnreliable(), other.isUnreliable());
        comparison = comparison != 0 ? comparison : distance.compareTo(other.distance);
        return comparison != 0 ? comparison : Double.compare(expectedMillis, other.expectedMillis);
    }
}
