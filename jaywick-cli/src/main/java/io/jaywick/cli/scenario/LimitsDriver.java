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

/** Runs scenarios of the party limits on {@link LimitFleet}. */
final class LimitsDriver implements ScenarioDriver {

    private static final String HOLDER = "holder:";
    private static final String REGION = "region:";

    private final LimitFleet fleet;
    private final LimitFleetOptions options;
    private final VirtualTime time;
    private final long durationMillis;

    LimitsDriver(Scenario scenario, VirtualTime time, ScenarioTrace trace) {
        this.time = time;
        this.durationMillis = scenario.durationMillis();
        Scenario.Fleet given = scenario.fleet();
        LimitFleetOptions usual = LimitFleetOptions.standard();
        this.options = new LimitFleetOptions(
                orElse(given.servers(), usual.servers()),
                orElse(given.dataCentres(), usual.dataCentres()),
                orElse(given.regions(), usual.regions()),
                orElse(given.holdersPerParty(), usual.holdersPerParty()),
                orElse(given.grantMillis(), usual.grantMillis()),
                orElse(given.limitCalls(), usual.limitCalls()),
                orElse(given.windowMillis(), usual.windowMillis()),
                orElse(given.clockErrorPpm(), usual.clockErrorPpm()),
                orElse(given.coldStart(), usual.coldStart()));
        this.fleet = new LimitFleet(options, strategy(orElse(given.strategy(), LimitStrategy.ESCROW.key())), time);
        fleet.network()
                .faults(
                        orElse(given.lostShare(), 0.0),
                        orElse(given.repeatedShare(), 0.0),
                        orElse(given.lateMillis(), 0L));
        fleet.trace(trace::add);
    }

    @Override
    public void apply(Scenario.Event event) {
        List<String> servers = servers(event);
        switch (event.action()) {
            case "calls" -> servers.forEach(
                    server -> fleet.demand(server, need(event, event.callsPerSecond(), "callsPerSecond")));
            case "kill" -> servers.forEach(fleet::kill);
            case "restart" -> servers.forEach(fleet::restart);
            case "pause" -> servers.forEach(server -> fleet.pause(server, need(event, event.millis(), "millis")));
            case "stall" -> servers.forEach(
                    server -> fleet.stall(server, orElse(event.reads(), 1), need(event, event.millis(), "millis")));
            case "cut" -> fleet.cut(servers, orElse(event.side(), 1));
            case "heal" -> fleet.heal();
            case "edit-limit" -> fleet.edit(
                    need(event, event.limitCalls(), "limitCalls"), need(event, event.windowMillis(), "windowMillis"));
            case "roster-remove" -> servers.forEach(fleet::removeFromRoster);
            case "roster-add" -> need(event, event.servers(), "servers")
                    .forEach(server -> fleet.addToRoster(server, need(event, event.dataCentre(), "dataCentre")));
            case "list-wrong" -> fleet.instanceListWrong(true);
            case "list-right" -> fleet.instanceListWrong(false);
            default -> throw new ScenarioException("action is '" + event.action()
                    + "', allowed are calls, kill, restart, pause, stall, cut, heal, edit-limit, roster-remove,"
                    + " roster-add, list-wrong, list-right");
        }
    }

    @Override
    public Optional<Violation> check(Scenario.Expectation expectation) {
        return switch (expectation.promise()) {
            case "limit-kept" -> checkLimit(expectation);
            case "usable-share" -> checkUsable(expectation);
            default -> throw new ScenarioException(
                    "promise is '" + expectation.promise() + "', allowed are limit-kept, usable-share");
        };
    }

    private Optional<Violation> checkLimit(Scenario.Expectation expectation) {
        LimitOracle.Excess worst = fleet.oracle().worst();
        if (worst.overCalls() <= 0) {
            return Optional.empty();
        }
        String evidence = worst.calls() + " calls in one window, allowed are " + worst.limitCalls();
        return Optional.of(new Violation(expectation.promise(), evidence, worst.endNanos()));
    }

    private Optional<Violation> checkUsable(Scenario.Expectation expectation) {
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

    private List<String> servers(Scenario.Event event) {
        if (event.action().equals("roster-add")) {
            return List.of();
        }
        return ServerSelector.select(event, new ArrayList<>(fleet.servers()), this::special, time.random());
    }

    private List<String> special(String selector) {
        if (selector.startsWith(REGION)) {
            return fleet.serversIn(selector.substring(REGION.length()));
        }
        if (selector.startsWith(HOLDER)) {
            int rank = Integer.parseInt(selector.substring(HOLDER.length()));
            return List.of(new Roster(fleet.servers())
                    .holders(LimitFleet.PARTY, options.holdersPerParty())
                    .get(rank - 1));
        }
        return null;
    }

    private static LimitStrategy strategy(String key) {
        for (LimitStrategy strategy : LimitStrategy.values()) {
            if (strategy.key().equals(key)) {
                return strategy;
            }
        }
        throw new ScenarioException("strategy is '" + key + "', allowed are fixed, owner, escrow");
    }

    private static <T> T need(Scenario.Event event, T value, String key) {
        if (value == null) {
            throw new ScenarioException("action '" + event.action() + "' needs " + key);
        }
        return value;
    }

    private static <T> T orElse(T value, T usual) {
        return value == null ? usual : value;
    }
}
