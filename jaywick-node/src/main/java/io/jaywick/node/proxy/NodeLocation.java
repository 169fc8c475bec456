package io.jaywick.node.proxy;

/** Name and place of a node. */
public record NodeLocation(String server, String dataCentre, String region) {}
