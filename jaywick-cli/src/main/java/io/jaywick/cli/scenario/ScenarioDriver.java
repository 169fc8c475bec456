package io.jaywick.cli.scenario;

import java.util.Optional;

/** Runs the core classes of one subsystem under the events of a scenario, with fakes at their interfaces. */
public interface ScenarioDriver {

    /** Applies an event at the current virtual time. Fails for an unknown action or a missing key. */
    void apply(Scenario.Event event);

    /** Judges a promise after the run; returns how it was violated, or nothing. */
    Optional<Violation> check(Scenario.Expectation expectation);

    /**
     * A violated promise.
     *
     * @param evidence what was seen
     * @param atNanos virtual time at which it was seen
     */
    record Violation(String promise, String evidence, long atNanos) {}
}
