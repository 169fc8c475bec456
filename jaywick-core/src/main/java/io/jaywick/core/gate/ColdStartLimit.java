package io.jaywick.core.gate;

/**
 * Limit on the calls to a cold target, as the deployment configures it relative to the rate that the target sustains.
 * It applies to the calls of all nodes together; since each call passes the node next to the target, that node alone
 * enforces it.
 *
 * @param overshootFactor factor on the sustained rate
 * @param slackCallsPerSecond calls per second allowed in addition
 */
public record ColdStartLimit(double overshootFactor, double slackCallsPerSecond) {

    /** Limit of a deployment that configures none: the sustained rate itself. */
    public static final ColdStartLimit NONE = new ColdStartLimit(1, 0);

    /** The remainder is reserved for health checks and for calls that were sent before the target turned cold. */
    private static final double USABLE_FRACTION = 0.75;

    /** Returns the calls per second to admit to a cold target that sustains the given rate. */
    public double callsPerSecond(double sustainablePerSecond) {
        return Math.max(
                sustainablePerSecond, USABLE_FRACTION * (sustainablePerSecond * overshootFactor + slackCallsPerSecond));
    }
}
