package io.jaywick.core.record;

/**
 * One call that the local target ran, counted at its ingress node.
 *
 * @param slotMicros time for which the call held a slot of the target
 */
public record DispatchUsage(String party, String service, String route, int attempt, int depth, long slotMicros) {}
