package io.jaywick.core.rules;

/**
 * Weight of one service among the services of a route.
 *
 * @param weight relative to the sum of the weights of the route; not negative
 */
public record ServiceWeight(String service, double weight) {}
