package io.jaywick.cli.bench.limits;

/**
 * Size, limits and timing of a fleet of limiter cores in virtual time.
 *
 * @param servers servers in the roster, divided evenly over the data centres
 * @param dataCentres data centres, divided evenly over the regions
 * @param holdersPerParty number of servers that hold the base allocations of a party
 * @param grantMillis period of a grant
 * @param limitCalls calls that the party may make in a window
 * @param windowMillis length of the party's sliding window
 * @param clockErrorPpm largest error of a process's clock, in parts per million
 * @param coldStart whether earlier processes may have used the limits just before the start; if false, base allocations
 *     are usable at once
 */
public record LimitFleetOptions(
        int servers,
        int dataCentres,
        int regions,
        int holdersPerParty,
        long grantMillis,
        int limitCalls,
        long windowMillis,
        double clockErrorPpm,
        boolean coldStart) {

    /** Returns a fleet of the size of today's production deployment, with one party. */
    public static LimitFleetOptions standard() {
        return new LimitFleetOptions(18, 6, 3, 16, 10_000, 1_000, 2_000, 200, false);
    }
}
