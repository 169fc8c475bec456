package io.jaywick.core.record;

/**
 * The process that writes a line.
 *
 * @param incarnation start time of the process in milliseconds, as in the membership
 * @param process random number of the process; tells two processes apart that started under one server name in the
 *     same millisecond
 */
public record RecorderIdentity(String server, String dataCentre, String region, long incarnation, long process) {}
