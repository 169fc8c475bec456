package io.jaywick.standin.target;

/**
 * How a stand-in target behaves.
 *
 * @param slots calls that it can run at once when warm; it sheds what exceeds them
 * @param coldStartCalls calls that it can run at once when cold; each answer adds one up to the slots
 * @param serviceMillis time of a call when warm
 * @param coldFactor times longer that a call takes while the target is cold
 * @param crashOverloadFactor a cold target falls over at this multiple of what it can run; 0 for never
 * @param restartMillis time after which a crashed target is back, cold
 */
public record TargetBehaviour(
        int slots,
        int coldStartCalls,
        long serviceMillis,
        int coldFactor,
        double crashOverloadFactor,
        long restartMillis) {}
