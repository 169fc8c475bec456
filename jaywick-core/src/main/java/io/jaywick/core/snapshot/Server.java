package io.jaywick.core.snapshot;

/**
 * A server of the roster: a stable name under which instances start and stop.
 *
 * @param service name of its service
 */
public record Server(String name, DataCentre dataCentre, String service) {}
