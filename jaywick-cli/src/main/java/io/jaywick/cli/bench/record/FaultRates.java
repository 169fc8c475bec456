package io.jaywick.cli.bench.record;

/**
 * Fault rates of a simulated fleet. All but the last are probabilities from 0 to 1: the first four apply to each
 * process and interval, the next three to each line.
 *
 * @param kill the process is killed without a final line and its server restarts within a few intervals
 * @param restart the process shuts down gracefully and its server restarts within a few intervals
 * @param pause the process is suspended for at least one interval and then resumes
 * @param twin a second process starts with the same server name
 * @param lost the line is not collected
 * @param repeated the line is collected twice
 * @param damaged the line is collected with changed, missing or additional characters
 * @param reorderLines number of lines among which the next line to be collected is drawn at random; 1 keeps the order
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

    /** Every fault, at rates far above those of a real fleet. */
    public static final FaultRates HARSH = new FaultRates(0.01, 0.005, 0.01, 0.003, 0.05, 0.05, 0.02, 200);

    /** Kills, restarts and pauses only; every written line is collected once and in order. */
    public static final FaultRates KILLS = new FaultRates(0.01, 0.005, 0.01, 0, 0, 0, 0, 1);
}
