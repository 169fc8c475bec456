package io.jaywick.core.snapshot;

/** A service and the percentage of a route's calls that it receives; the percentages of a route add up to 100. */
public record WeightedService(Service service, int weightPercent) {}
