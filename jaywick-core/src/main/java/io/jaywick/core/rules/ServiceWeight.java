package io.jaywick.core.rules;

/**
 * Part of a route's calls that goes to one service.
 *
 * @param weight relative to the sum of the weights of the route; not negative
 */
public record ServiceWeight(String service, double weight) {}
