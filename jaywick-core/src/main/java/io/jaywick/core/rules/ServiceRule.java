package io.jaywick.core.rules;

/**
 * Rule for the targets of one service.
 *
 * @param maxConnections connections that one target accepts from all callers together
 * @param coldStartMillis how long a target stays cold after its start
 * @param coldCallsPerSecond calls per second that a cold target sustains; 0 when the operator sets no limit
 */
public record ServiceRule(
        String name, String healthPath, int maxConnections, long coldStartMillis, double coldCallsPerSecond) {}
