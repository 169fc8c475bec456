package io.jaywick.core.placement;

/**
 * Times of a call, from which follows how much sooner the answer of another region must be expected for a last-resort
 * attempt there.
 *
 * @param deadlineMillis time from the first attempt of the call until its deadline
 * @param objectiveMillis remaining time until the latency objective
 * @param remainingMillis remaining time until the deadline
 */
record CallTimes(long deadlineMillis, long objectiveMillis, long remainingMillis) {

    /** What an attempt in another region costs: the round trip of 24 ms, and as much again for traffic paid for. */
    static final double OTHER_REGION_COST_MILLIS = 50;

    /** A late answer is worth waiting for up to this, where the deadline leaves the time. */
    static final double MAX_PENALTY_MILLIS = 1_000;

    /** Deadlines up to this are too short to wait for a late answer. */
    private static final double SHORT_DEADLINE_MILLIS = 1_500;

    /** Deadlines of 3 s are long, also after a wait before the first attempt. */
    private static final double LONG_DEADLINE_MILLIS = 2_500;

    /** Whether the deadline leaves no time to wait for a late answer of the call's own region. */
    boolean isShort() {
        return deadlineMillis < LONG_DEADLINE_MILLIS;
    }

    /**
     * Returns how much sooner than in the call's own region an answer in another region must be expected, in
     * milliseconds.
     *
     * @param ownRegionMillis expected time until the answer in the call's own region
     * @param otherRegionMillis expected time until the answer in the other region, without the way there
     */
    double otherRegionPenaltyMillis(double ownRegionMillis, double otherRegionMillis) {
        if (ownRegionMillis > remainingMillis) {
            return otherRegionMillis + OTHER_REGION_COST_MILLIS <= remainingMillis
                    ? OTHER_REGION_COST_MILLIS
                    : MAX_PENALTY_MILLIS;
        }
        if (ownRegionMillis <= objectiveMillis + OTHER_REGION_COST_MILLIS) {
            return MAX_PENALTY_MILLIS;
        }
        double longFraction = (deadlineMillis - SHORT_DEADLINE_MILLIS) / (LONG_DEADLINE_MILLIS - SHORT_DEADLINE_MILLIS);
        return OTHER_REGION_COST_MILLIS
                + Math.max(0, Math.min(1, longFraction)) * (MAX_PENALTY_MILLIS - OTHER_REGION_COST_MILLIS);
    }
}
