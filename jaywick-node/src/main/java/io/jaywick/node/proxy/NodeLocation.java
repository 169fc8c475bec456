package io.jaywick.node.proxy;

/** Server name, data centre and region of a node. */
public record NodeLocation(String server, String dataCentre, String region) {}
