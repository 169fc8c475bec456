package io.jaywick.cli.scenario;

import java.util.List;

/**
 * Contents of a scenario file. Times are milliseconds of virtual time since the start. A component is null when its key
 * is absent.
 *
 * @param subsystem name of the driver that runs the scenario: {@code distribution} or {@code limits}
 * @param summary what the scenario tests
 * @param durationMillis duration of the run
 * @param fleet initial fleet and its network
 * @param events faults and operations during the run
 * @param expectations promises that are checked after the run
 */
public record Scenario(
        String subsystem,
        String summary,
        Long durationMillis,
        Fleet fleet,
        List<Event> events,
        List<Expectation> expectations) {

    /** Initial fleet and its network. The driver defines which keys it uses and their defaults. */
    public record Fleet(
            Integer servers,
            Integer dataCentres,
            Integer regions,
            Integer holdersPerParty,
            Long grantMillis,
            Integer limitCalls,
            Long windowMillis,
            Double clockErrorPpm,
            Boolean coldStart,
            String strategy,
            Double lostShare,
            Double repeatedShare,
            Long lateMillis) {}

    /**
     * A fault or operation that is applied once, or {@code times} times at intervals of {@code everyMillis}.
     *
     * @param atMillis time of the first application
     * @param servers names, {@code any}, {@code all}, {@code holder:RANK} (limits only) or {@code region:NAME}
     */
    public record Event(
            Long atMillis,
            String action,
            List<String> servers,
            Integer side,
            Long millis,
            Integer reads,
            Double callsPerSecond,
            Integer limitCalls,
            Long windowMillis,
            String dataCentre,
            Long revision,
            Integer times,
            Long everyMillis) {

        /** Returns the server selectors, or an empty list when the key is absent. */
        public List<String> serversOrNone() {
            return servers == null ? List.of() : servers;
        }
    }

    /** A promise by name, with its bounds and the period in which it applies. */
    public record Expectation(String promise, Double atLeast, Double atMost, Long fromMillis, Long toMillis) {}
}
