package io.jaywick.cli.bench.limits;

/**
 * Shape of a fleet of limiter cores on virtual time.
 *
 * @param servers servers of the roster, divided evenly over the data centres
 * @param dataCentres data centres, divided evenly over the regions
 * @param holdersPerParty servers that hold base shares
 * @param grantMillis period of a grant
 * @param limitCalls limit of the party
 * @param windowMillis window of the party
 * @param clockErrorPpm largest error of a process's clock, in parts per million
 * @param coldStart false when the fleet starts without an earlier process
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

    /** Fleet of the size that the users run today, with one party. */
    public static LimitFleetOptions standard() {
        return new LimitFleetOptions(18, 6, 3, 16, 10_000, 1_000, 2_000, 200, false);
    }
}
