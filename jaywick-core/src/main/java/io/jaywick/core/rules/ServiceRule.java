package io.jaywick.core.rules;

/**
 * One service.
 *
 * @param maxConnections connections that one target accepts from all callers together
 * @param coldStartMillis how long a target stays cold after its start
 * @param coldCallsPerSecond calls a second that a cold target bears; 0 when the operator names no bound
 */
public record ServiceRule(
        String name, String healthPath, int maxConnections, long coldStartMillis, double coldCallsPerSecond) {}
