package io.jaywick.cli.scenario;

import java.util.Optional;

/** Runs the classes of one subsystem under the events of a scenario, with fakes of the services that they use. */
public interface ScenarioDriver {

    /**
     * Applies an event at the current virtual time.
     *
     * @throws ScenarioException when the action or a server is unknown, or a key that the action needs is missing
     */
    void apply(Scenario.Event event);

    /**
     * Checks a promise after the run.
     *
     * @return the violation, or empty when the promise held
     * @throws ScenarioException when the promise is unknown
     */
    Optional<Violation> check(Scenario.Expectation expectation);

    /**
     * A violated promise.
     *
     * @param evidence observations that show the violation
     * @param atNanos virtual time of the violation
     */
    record Violation(String promise, String evidence, long atNanos) {}
}
