package io.jaywick.core.snapshot;

/** A service that receives a percentage of a route's calls; the percentages of a route add up to 100. */
public record WeightedService(Service service, int weightPercent) {}
