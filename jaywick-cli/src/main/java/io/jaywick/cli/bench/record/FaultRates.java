package io.jaywick.cli.bench.record;

/**
 * Probabilities of faults. The first four apply to each process and interval, the others to each line.
 *
 * @param kill the process dies without a last line
 * @param restart the process ends gracefully
 * @param pause the process stands still for several intervals and then goes on
 * @param twin a second process starts under the same server name
 * @param lost the line is not collected
 * @param repeated the line is collected twice
 * @param damaged the line is collected with wrong, missing or foreign bytes
 * @param reorderLines lines held back at most, so that they arrive in random order
 */
public record FaultRates(
        double kill,
        double restart,
        double pause,
        double twin,
        double lost,
        double repeated,
        double damaged,
        int reorderLines) {

    /** No faults. */
    public static final FaultRates NONE = new FaultRates(0, 0, 0, 0, 0, 0, 0, 1);

    /** Every fault, far more often than in a real fleet. */
    public static final FaultRates HARSH = new FaultRates(0.01, 0.005, 0.01, 0.003, 0.05, 0.05, 0.02, 200);

    /** Kills and pauses only; every written line is collected once and in order. */
    public static final FaultRates KILLS = new FaultRates(0.01, 0.005, 0.01, 0, 0, 0, 0, 1);
}
