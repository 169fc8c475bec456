package io.jaywick.core.record;

/**
 * Usage of one ended call to the local target, counted at the ingress node.
 *
 * @param attempt number of the attempt, 1 for the first
 * @param depth nesting depth of the call, 0 when it is not nested
 * @param slotMicros time during which the call occupied a slot of the target
 */
public record DispatchUsage(String party, String service, String route, int attempt, int depth, long slotMicros) {}
