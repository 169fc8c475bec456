package io.jaywick.cli.scenario;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

import io.jaywick.cli.bench.limits.LimitFleet;
import io.jaywick.cli.bench.limits.LimitFleetOptions;
import io.jaywick.cli.bench.limits.LimitOracle;
import io.jaywick.cli.bench.limits.LimitStrategy;
import io.jaywick.cli.virtual.VirtualTime;
import io.jaywick.core.limits.Roster;

/** Driver for scenarios of the client account limits, run on a {@link LimitFleet}. */
final class LimitsDriver implements ScenarioDriver {

    private static final String HOLDER_PREFIX = "holder:";
    private static final String REGION_PREFIX = "region:";

    private final LimitFleet fleet;
    private final LimitFleetOptions options;
    private final VirtualTime time;
    private final long durationMillis;

    LimitsDriver(Scenario scenario, VirtualTime time, ScenarioTrace trace) {
        this.time = time;
        this.durationMillis = scenario.durationMillis();
        Scenario.Fleet overrides = scenario.fleet();
        LimitFleetOptions defaults = LimitFleetOptions.standard();
        this.options = new LimitFleetOptions(
                orElse(overrides.servers(), defaults.servers()),
                orElse(overrides.dataCentres(), defaults.dataCentres()),
                orElse(overrides.regions(), defaults.regions()),
                orElse(overrides.holdersPerParty(), defaults.holdersPerParty()),
                orElse(overrides.grantMillis(), defaults.grantMillis()),
                orElse(overrides.limitCalls(), defaults.limitCalls()),
                orElse(overrides.windowMillis(), defaults.windowMillis()),
                orElse(overrides.clockErrorPpm(), defaults.clockErrorPpm()),
                orElse(overrides.coldStart(), defaults.coldStart()));
        this.fleet =
                new LimitFleet(options, parseStrategy(orElse(overrides.strategy(), LimitStrategy.ESCROW.key())), time);
        fleet.network()
                .setFaults(
                        orElse(overrides.lostShare(), 0.0),
                        orElse(overrides.repeatedShare(), 0.0),
                        orElse(overrides.lateMillis(), 0L));
        fleet.trace(trace::add);
    }

    @Override
    public void apply(Scenario.Event event) {
        List<String> servers = selectServers(event);
        switch (event.action()) {
            case "calls" -> servers.forEach(
                    server -> fleet.setDemand(server, require(event, event.callsPerSecond(), "callsPerSecond")));
            case "kill" -> servers.forEach(fleet::kill);
            case "restart" -> servers.forEach(fleet::restart);
            case "pause" -> servers.forEach(server -> fleet.pause(server, require(event, event.millis(), "millis")));
            case "stall" -> servers.forEach(
                    server -> fleet.stall(server, orElse(event.reads(), 1), require(event, event.millis(), "millis")));
            case "cut" -> fleet.cut(servers, orElse(event.side(), 1));
            case "heal" -> fleet.heal();
            case "edit-limit" -> fleet.publishLimit(
                    require(event, event.limitCalls(), "limitCalls"),
                    require(event, event.windowMillis(), "windowMillis"));
            case "roster-remove" -> servers.forEach(fleet::removeFromRoster);
            case "roster-add" -> require(event, event.servers(), "servers")
                    .forEach(server -> fleet.addToRoster(server, require(event, event.dataCentre(), "dataCentre")));
            case "list-wrong" -> fleet.setInstanceListFaulty(true);
            case "list-right" -> fleet.setInstanceListFaulty(false);
            default -> throw new ScenarioException("action is '" + event.action()
                    + "', allowed are calls, kill, restart, pause, stall, cut, heal, edit-limit, roster-remove,"
                    + " roster-add, list-wrong, list-right");
        }
    }

    @Override
    public Optional<Violation> check(Scenario.Expectation expectation) {
        return switch (expectation.promise()) {
            case "limit-kept" -> checkLimit(expectation);
            case "usable-share" -> checkUsableShare(expectation);
            default -> throw new ScenarioException(
                    "promise is '" + expectation.promise() + "', allowed are limit-kept, usable-share");
        };
    }

    private Optional<Violation> checkLimit(Scenario.Expectation expectation) {
        LimitOracle.Excess worst = fleet.oracle().worstExcess();
        if (worst.overCalls() <= 0) {
            return Optional.empty();
        }
        String evidence = worst.calls() + " calls in one window, allowed are " + worst.limitCalls();
        return Optional.of(new Violation(expectation.promise(), evidence, worst.endNanos()));
    }

    private Optional<Violation> checkUsableShare(Scenario.Expectation expectation) {
        long from = TimeUnit.MILLISECONDS.toNanos(orElse(expectation.fromMillis(), 0L));
        long to = TimeUnit.MILLISECONDS.toNanos(orElse(expectation.toMillis(), durationMillis));
        double share = fleet.oracle().usableShare(from, to);
        double atLeast = orElse(expectation.atLeast(), 0.0);
        double atMost = orElse(expectation.atMost(), Double.MAX_VALUE);
        if (share >= atLeast && share <= atMost) {
            return Optional.empty();
        }
        String evidence = String.format(Locale.ROOT, "usable share %.3f, required %s to %s", share, atLeast, atMost);
        return Optional.of(new Violation(expectation.promise(), evidence, to));
    }

    private List<String> selectServers(Scenario.Event event) {
        if (event.action().equals("roster-add")) {
            return List.of();
        }
        return ServerSelector.select(event, new ArrayList<>(fleet.servers()), this::selectSpecial, time.random());
    }

    private List<String> selectSpecial(String selector) {
        if (selector.startsWith(REGION_PREFIX)) {
            return fleet.serversIn(selector.substring(REGION_PREFIX.length()));
        }
        if (selector.startsWith(HOLDER_PREFIX)) {
            int rank = Integer.parseInt(selector.substring(HOLDER_PREFIX.length()));
            return List.of(new Roster(fleet.servers())
                    .holders(LimitFleet.PARTY, options.holdersPerParty())
                    .get(rank - 1));
        }
        return null;
    }

    private static LimitStrategy parseStrategy(String key) {
        for (LimitStrategy strategy : LimitStrategy.values()) {
            if (strategy.key().equals(key)) {
                return strategy;
            }
        }
        throw new ScenarioException("strategy is '" + key + "', allowed are fixed, owner, escrow");
    }

    private static <T> T require(Scenario.Event event, T value, String key) {
        if (value == null) {
            throw new ScenarioException("action '" + event.action() + "' needs " + key);
        }
        return value;
    }

    private static <T> T orElse(T value, T defaults) {
        return value == null ? defaults : value;
    }
}
