package io.jaywick.core.snapshot;

/** A named place in the roster. Instances come and go under the name. */
public record Server(String name, DataCentre dataCentre, String service) {}
