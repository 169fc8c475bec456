package io.jaywick.standin.target;

/**
 * Capacity, speed and faults of a stand-in target.
 *
 * @param slots calls that it can run at once when warm; further calls are shed
 * @param coldStartCalls calls that it can run at once when cold; each answer adds one, up to the slots
 * @param serviceMillis duration of a call when warm, in milliseconds
 * @param coldFactor factor by which a call takes longer while the target is cold
 * @param crashOverloadFactor a cold target crashes when its concurrent calls exceed this multiple of what it can run; 0
 *     for never
 * @param restartMillis time after which a crashed target accepts connections again, cold, in milliseconds
 */
public record TargetBehaviour(
        int slots,
        int coldStartCalls,
        long serviceMillis,
        int coldFactor,
        double crashOverloadFactor,
        long restartMillis) {}
