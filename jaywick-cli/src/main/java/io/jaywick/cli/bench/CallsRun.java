package io.jaywick.cli.bench;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.TimeUnit;

import io.jaywick.core.snapshot.Server;
import io.jaywick.core.snapshot.Snapshot;
import io.jaywick.standin.target.CallFleet;
import io.jaywick.standin.target.TargetModel;
import io.jaywick.standin.target.TargetServer;
import io.micrometer.tracing.Tracer;
import io.netty.handler.codec.http.HttpHeaders;
import org.HdrHistogram.Histogram;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.core.scheduler.Scheduler;

/**
 * Measures one strategy under steady load, while a data centre is taken out of service and put back, during the crash
 * of a target, and with nested calls whose last level fails.
 */
final class CallsRun {

    private static final double P99 = 99;
    private static final double MICROS_PER_MILLI = 1_000;
    private static final long NANOS_PER_MILLI = 1_000_000;
    private static final int OK = 200;
    /** Each request holds a slot at every level; more concurrent requests would exceed the slots of all targets. */
    private static final int MAX_CONCURRENT_DEEP_CALLS = 2;

    private static final int UNAVAILABLE = 503;

    private final boolean naive;
    private final Scheduler timers;
    private final long seed;
    private CallsStrategy strategy;

    CallsRun(boolean naive, Scheduler timers, long seed) {
        this.naive = naive;
        this.timers = timers;
        this.seed = seed;
    }

    CallsFigures run() {
        Snapshot before = CallsScenario.table(1, true);
        CallFleet.NestedFactory nested = (server, url) -> headers -> answerNestedCall(server, headers);
        try (BenchCaller client = new BenchCaller();
                CallFleet fleet = new CallFleet(
                        before, CallsScenario.BEHAVIOUR, CallsScenario.SETTINGS, timers, nested, Tracer.NOOP, seed)) {
            strategy = naive ? new NaiveStrategy(fleet, client, seed) : new JaywickStrategy(fleet, client);
            return run(fleet, before);
        }
    }

    private CallsFigures run(CallFleet fleet, Snapshot before) {
        List<String> callers = new ArrayList<>();
        for (CallFleet.Node node : fleet.nodes()) {
            callers.add(node.server().name());
            strategy.activate(node.server().name(), before);
        }
        CallsLoad load = new CallsLoad(strategy, callers, timers, seed);
        load.run(CallsScenario.WARM_UP_MILLIS);
        load.awaitNoCallsInFlight();
        int failedInWarmUp = load.failedIdempotent();
        long[] runsBefore = runsByService(fleet);
        Histogram steady = load.run(CallsScenario.STEADY_MILLIS);
        load.awaitNoCallsInFlight();
        double weightErrorPoints = weightErrorPoints(runsBefore, runsByService(fleet));

        long outNanos = System.nanoTime();
        activateGradually(callers, CallsScenario.table(2, false));
        Histogram move = load.run(CallsScenario.OUT_OF_SERVICE_MILLIS);
        long newWorkMillis = lastStartMillis(fleet, outNanos);
        for (CallFleet.Node node : fleet.nodes()) {
            if (node.server().dataCentre().name().equals(CallsScenario.MOVED_DATA_CENTRE)) {
                node.target().model().resetToCold();
            }
        }
        activateGradually(callers, CallsScenario.table(3, true));
        move.add(load.run(CallsScenario.BACK_IN_SERVICE_MILLIS));
        load.awaitNoCallsInFlight();

        timers.schedule(
                () -> fleet.nodes().get(0).target().crash(), CallsScenario.CRASH_MILLIS / 4, TimeUnit.MILLISECONDS);
        load.run(CallsScenario.CRASH_MILLIS);
        load.awaitNoCallsInFlight();
        double amplification = amplification(fleet, callers);
        double overload = 0;
        for (CallFleet.Node node : fleet.nodes()) {
            overload = Math.max(overload, node.target().model().maxColdOverload());
        }
        return new CallsFigures(
                steady.getValueAtPercentile(P99) / MICROS_PER_MILLI,
                move.getValueAtPercentile(P99) / MICROS_PER_MILLI,
                load.failedIdempotent() - failedInWarmUp,
                countWritesRunTwice(fleet, load),
                overload,
                amplification,
                weightErrorPoints,
                newWorkMillis);
    }

    /** Activates a table on each node at a random time within the propagation time. */
    private void activateGradually(List<String> callers, Snapshot table) {
        Random random = new Random(seed + table.revision());
        for (String caller : callers) {
            timers.schedule(
                    () -> strategy.activate(caller, table),
                    random.nextLong(CallsScenario.PROPAGATION_MILLIS),
                    TimeUnit.MILLISECONDS);
        }
    }

    /** Answers as a target: requests of the deep route call the next level, and the last level fails. */
    private Mono<Integer> answerNestedCall(Server server, HttpHeaders headers) {
        String request = headers.get(TargetServer.REQUEST_ID_HEADER, "");
        if (!request.startsWith("deep-")) {
            return Mono.just(OK);
        }
        String[] parts = request.split("-");
        int level = Integer.parseInt(parts[2]);
        int levels = naive ? CallsScenario.NAIVE_DEEP_LEVELS : CallsScenario.DEEP_LEVELS;
        if (level >= levels) {
            return Mono.just(UNAVAILABLE);
        }
        String next = "deep-" + parts[1] + "-" + (level + 1);
        String path = level + 1 == levels ? CallsScenario.LEAF : CallsScenario.DEEP;
        return strategy.call(server.name(), path, next, null, headers)
                .map(result -> result == CallsStrategy.Result.ANSWERED ? OK : UNAVAILABLE);
    }

    /** Returns the calls that reach targets, divided by one call for each level of each request. */
    private double amplification(CallFleet fleet, List<String> callers) {
        long before = arrivals(fleet);
        int requests = naive ? CallsScenario.NAIVE_DEEP_REQUESTS : CallsScenario.DEEP_REQUESTS;
        int levels = naive ? CallsScenario.NAIVE_DEEP_LEVELS : CallsScenario.DEEP_LEVELS;
        Flux.range(0, requests)
                .flatMap(
                        i -> strategy.call(
                                callers.get(i % callers.size()), CallsScenario.DEEP, "deep-" + i + "-1", null, null),
                        MAX_CONCURRENT_DEEP_CALLS)
                .blockLast();
        return (double) (arrivals(fleet) - before) / (requests * levels);
    }

    private static long arrivals(CallFleet fleet) {
        long sum = 0;
        for (CallFleet.Node node : fleet.nodes()) {
            sum += node.target().model().runs().size() + node.target().model().shedCount();
        }
        return sum;
    }

    private static long[] runsByService(CallFleet fleet) {
        long[] runs = new long[2];
        for (CallFleet.Node node : fleet.nodes()) {
            for (TargetModel.Run run : node.target().model().runs()) {
                if (run.request().startsWith("r")) {
                    runs[node.server().service().equals("catalogue") ? 0 : 1]++;
                }
            }
        }
        return runs;
    }

    private static double weightErrorPoints(long[] before, long[] after) {
        double catalogue = after[0] - before[0];
        double herdbook = after[1] - before[1];
        return Math.abs(100 * catalogue / (catalogue + herdbook) - CallsScenario.CATALOGUE_PERCENT);
    }

    private static long lastStartMillis(CallFleet fleet, long outNanos) {
        long last = 0;
        for (CallFleet.Node node : fleet.nodes()) {
            if (node.server().dataCentre().name().equals(CallsScenario.MOVED_DATA_CENTRE)) {
                for (TargetModel.Run run : node.target().model().runs()) {
                    last = Math.max(last, (run.startNanos() - outNanos) / NANOS_PER_MILLI);
                }
            }
        }
        return last;
    }

    private static int countWritesRunTwice(CallFleet fleet, CallsLoad load) {
        int twice = 0;
        for (String request : load.writeRequestIds()) {
            int runs = 0;
            for (CallFleet.Node node : fleet.nodes()) {
                runs += node.target().model().runCount(request);
            }
            twice += runs > 1 ? 1 : 0;
        }
        return twice;
    }
}
