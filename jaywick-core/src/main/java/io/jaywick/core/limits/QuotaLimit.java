package io.jaywick.core.limits;

/** Limit of one client account over all nodes: calls per second, and calls beyond that rate that may come at once. */
public record QuotaLimit(double callsPerSecond, double burstCalls) {}
