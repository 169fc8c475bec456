package io.jaywick.cli.scenario;

import java.util.List;

/**
 * One scenario file. Times are milliseconds of virtual time since the start; a key that is absent is null.
 *
 * @param subsystem driver that runs the scenario
 * @param summary what the scenario shows
 * @param durationMillis length of the run
 * @param fleet initial fleet
 * @param events what happens
 * @param expectations promises that must hold
 */
public record Scenario(
        String subsystem,
        String summary,
        Long durationMillis,
        Fleet fleet,
        List<Event> events,
        List<Expectation> expectations) {

    /** Initial fleet and its links; the meaning of each key is the driver's. */
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
     * Something that happens once, or several times at an interval.
     *
     * @param servers names, {@code any}, {@code all}, {@code holder:RANK} or {@code region:NAME}
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

        /** Servers, none when the key is absent. */
        public List<String> serversOrNone() {
            return servers == null ? List.of() : servers;
        }
    }

    /** A named promise with its bounds. */
    public record Expectation(String promise, Double atLeast, Double atMost, Long fromMillis, Long toMillis) {}
}
