package io.jaywick.cli.scenario;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

import io.jaywick.cli.virtual.VirtualTime;

/** Driver for scenarios of table distribution, run on a {@link DistributionFleet}. */
final class DistributionDriver implements ScenarioDriver {

    private static final String REGION_PREFIX = "region:";
    private static final int MAX_EVIDENCE_ITEMS = 5;

    private final DistributionFleet fleet;
    private final VirtualTime time;

    DistributionDriver(Scenario scenario, VirtualTime time, ScenarioTrace trace) {
        this.time = time;
        this.fleet = new DistributionFleet(scenario.fleet(), time, trace::add);
    }

    @Override
    public void apply(Scenario.Event event) {
        List<String> servers = ServerSelector.select(event, fleet.servers(), this::selectSpecial, time.random());
        switch (event.action()) {
            case "edit" -> fleet.publish(true);
            case "bad-edit" -> fleet.publish(false);
            case "kill" -> servers.forEach(fleet::kill);
            case "restart" -> servers.forEach(fleet::restart);
            case "pause" -> {
                if (event.millis() == null) {
                    throw new ScenarioException("action 'pause' needs millis");
                }
                servers.forEach(server -> fleet.pause(server, event.millis()));
            }
            case "cut" -> fleet.partition(servers, event.side() == null ? 1 : event.side());
            case "heal" -> fleet.heal();
            case "source-down" -> fleet.source().setOutage(true);
            case "source-up" -> fleet.source().setOutage(false);
            case "source-stale" -> fleet.source().setStale(true);
            case "source-fresh" -> fleet.source().setStale(false);
            case "source-crossed" -> fleet.source().setReordering(true);
            case "source-restored" -> {
                if (event.revision() == null) {
                    throw new ScenarioException("action 'source-restored' needs revision");
                }
                fleet.source().restore(event.revision());
            }
            case "list-wrong" -> fleet.setInstanceListFaulty(true);
            case "list-right" -> fleet.setInstanceListFaulty(false);
            default -> throw new ScenarioException("action is '" + event.action()
                    + "', allowed are edit, bad-edit, kill, restart, pause, cut, heal, source-down, source-up,"
                    + " source-stale, source-fresh, source-crossed, source-restored, list-wrong, list-right");
        }
    }

    @Override
    public Optional<Violation> check(Scenario.Expectation expectation) {
        DistributionOracle oracle = fleet.oracle();
        return switch (expectation.promise()) {
            case "no-regression" -> violation(expectation, oracle.regressions());
            case "bad-not-adopted" -> violation(expectation, oracle.invalidAdoptions());
            case "in-force-everywhere" -> violation(expectation, findLateServers(expectation));
            case "source-calls" -> violation(expectation, checkSourceCalls(expectation));
            default -> throw new ScenarioException("promise is '" + expectation.promise()
                    + "', allowed are no-regression, bad-not-adopted, in-force-everywhere, source-calls");
        };
    }

    private List<String> selectSpecial(String selector) {
        return selector.startsWith(REGION_PREFIX) ? fleet.serversIn(selector.substring(REGION_PREFIX.length())) : null;
    }

    private List<String> findLateServers(Scenario.Expectation expectation) {
        long untilNanos =
                expectation.toMillis() == null ? Long.MAX_VALUE : TimeUnit.MILLISECONDS.toNanos(expectation.toMillis());
        return fleet.oracle().findNotConvergedBy(fleet.activeServers(), untilNanos);
    }

    private List<String> checkSourceCalls(Scenario.Expectation expectation) {
        int calls = fleet.oracle().maxCallsPerSecond();
        return expectation.atMost() == null || calls <= expectation.atMost()
                ? List.of()
                : List.of(calls + " source calls in one second, allowed are " + expectation.atMost());
    }

    private Optional<Violation> violation(Scenario.Expectation expectation, List<String> evidence) {
        if (evidence.isEmpty()) {
            return Optional.empty();
        }
        String text = String.join("; ", evidence.subList(0, Math.min(MAX_EVIDENCE_ITEMS, evidence.size())));
        return Optional.of(
                new Violation(expectation.promise(), text, fleet.oracle().firstViolationNanos()));
    }
}
