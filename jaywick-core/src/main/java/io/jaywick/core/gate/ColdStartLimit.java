package io.jaywick.core.gate;

/**
 * How far the calls to a cold target may exceed the rate that it bears, as the deployment states it. The bound holds for
 * the calls of all nodes together; since each call passes the node beside the target, that node alone keeps it.
 *
 * @param overshootFactor factor on the rate
 * @param slackCallsPerSecond further calls in each second
 */
public record ColdStartLimit(double overshootFactor, double slackCallsPerSecond) {

    /** A deployment that states no bound gets the rate itself. */
    public static final ColdStartLimit NONE = new ColdStartLimit(1, 0);

    /** The rest of the bound is left for health checks and for calls that were sent before the target turned cold. */
    private static final double USABLE_FRACTION = 0.75;

    /** Returns the calls of each second that a target may get which bears the given rate. */
    public double callsPerSecond(double sustainablePerSecond) {
        return Math.max(
                sustainablePerSecond, USABLE_FRACTION * (sustainablePerSecond * overshootFactor + slackCallsPerSecond));
    }
}
