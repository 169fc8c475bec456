package io.jaywick.core.record;

/**
 * Identity of the process that writes a record line.
 *
 * @param incarnation start time of the process in milliseconds since 1970, as in the membership
 * @param process random number of the process; distinguishes processes that started with the same server name in the
 *     same millisecond
 */
public record RecorderIdentity(String server, String dataCentre, String region, long incarnation, long process) {}
