package io.jaywick.cli.scenario;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

import io.jaywick.cli.virtual.VirtualTime;

/** Runs a scenario with a seed. A run is reproducible: it depends only on the scenario and the seed. */
public final class ScenarioRunner {

    private static final Map<String, DriverFactory> DRIVERS =
            Map.of("distribution", DistributionDriver::new, "limits", LimitsDriver::new);

    private ScenarioRunner() {}

    /**
     * Runs a scenario and checks its promises.
     *
     * @throws ScenarioException when the scenario names an unknown subsystem, action, server or promise
     */
    public static Outcome run(Scenario scenario, long seed) {
        DriverFactory factory = DRIVERS.get(scenario.subsystem());
        if (factory == null) {
            throw new ScenarioException("subsystem is '" + scenario.subsystem() + "', allowed are "
                    + DRIVERS.keySet().stream().sorted().toList());
        }
        VirtualTime time = new VirtualTime(seed);
        ScenarioTrace trace = new ScenarioTrace(time);
        ScenarioDriver driver = factory.create(scenario, time, trace);
        for (Scenario.Event event : scenario.events()) {
            int times = event.times() == null ? 1 : event.times();
            for (int i = 0; i < times; i++) {
                long atMillis = event.atMillis() + (i == 0 ? 0 : i * event.everyMillis());
                time.schedule(TimeUnit.MILLISECONDS.toNanos(atMillis), () -> driver.apply(event));
            }
        }
        time.runUntil(TimeUnit.MILLISECONDS.toNanos(scenario.durationMillis()));
        List<ScenarioDriver.Violation> violations = new ArrayList<>();
        for (Scenario.Expectation expectation : scenario.expectations()) {
            driver.check(expectation).ifPresent(violations::add);
        }
        return new Outcome(seed, violations, trace);
    }

    /** Result of a run: its violations, empty when all promises held, and its trace. */
    public record Outcome(long seed, List<ScenarioDriver.Violation> violations, ScenarioTrace trace) {}

    /** Creates the driver of a subsystem and starts the initial fleet of a scenario. */
    @FunctionalInterface
    interface DriverFactory {

        ScenarioDriver create(Scenario scenario, VirtualTime time, ScenarioTrace trace);
    }
}
