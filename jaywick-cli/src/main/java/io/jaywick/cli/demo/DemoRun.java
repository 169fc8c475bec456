package io.jaywick.cli.demo;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;

import io.jaywick.standin.target.TargetModel;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;

/** The script of the demonstration: calls all the time, good edits, a bad edit, a data centre out and back. */
final class DemoRun {

    private static final Duration POLL = Duration.ofMillis(5);
    private static final Duration CONVERGENCE_TIMEOUT = Duration.ofSeconds(9);
    private static final Duration START_TIMEOUT = Duration.ofSeconds(20);
    private static final Duration WARM_UP = Duration.ofMillis(3_500);
    private static final Duration QUIET = Duration.ofMillis(1_500);
    private static final Duration OUT = Duration.ofSeconds(5);
    private static final Duration RETURNED = Duration.ofSeconds(4);
    private static final Duration DRAIN_TIMEOUT = Duration.ofSeconds(10);

    private final FleetProfile profile;
    private final Consumer<String> progress;
    private final DemoJudge judge = new DemoJudge();
    private final List<DemoResult.Edit> edits = new ArrayList<>();
    private Map<String, byte[]> sheets;

    DemoRun(FleetProfile profile, Map<String, byte[]> sheets, Consumer<String> progress) {
        this.profile = profile;
        this.sheets = sheets;
        this.progress = progress;
    }

    /** Plays the script on a fleet and returns the result. The usage lines are complete afterwards. */
    DemoResult play(DemoFleet fleet) {
        int nodes = fleet.places().size();
        long newWorkAfterMillis;
        DemoResult.Calls calls;
        progress.accept("starting " + nodes + " nodes of " + profile.name());
        require(() -> fleet.observer().serversOn(1) == nodes, START_TIMEOUT, "the first revision on every node");
        try (DemoCallers callers = new DemoCallers(profile, fleet.places())) {
            callers.start();
            pause(WARM_UP);
            good(fleet, profile.goodEdits().get(0));
            good(fleet, profile.goodEdits().get(1));
            bad(fleet);
            good(fleet, profile.goodEdits().get(2));
            long outNanos = System.nanoTime();
            good(fleet, profile.takeOut());
            pause(OUT);
            newWorkAfterMillis = lastRunAfterMillis(fleet, outNanos);
            progress.accept("data centre " + profile.outDataCentreName() + " is out, last new call there after "
                    + newWorkAfterMillis + " ms");
            good(fleet, profile.bringBack());
            pause(RETURNED);
            callers.stop();
            require(callers::isIdle, DRAIN_TIMEOUT, "the end of all calls");
            calls = judge.calls(callers, fleet.places());
        }
        long controlBytes = fleet.controlBytesPerNode();
        long sourceCalls = fleet.sourceCalls();
        fleet.shutDown()
                .orTimeout(DRAIN_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS)
                .join();
        judge.outDataCentre(newWorkAfterMillis);
        judge.regressions(fleet.observer());
        return new DemoResult(
                judge.broken().isEmpty(),
                profile.name(),
                nodes,
                edits,
                calls,
                newWorkAfterMillis,
                controlBytes,
                sourceCalls,
                judge.broken());
    }

    private void good(DemoFleet fleet, TableEdit change) {
        sheets = change.applyTo(sheets);
        int nodes = fleet.places().size();
        long startNanos = System.nanoTime();
        long revision = fleet.publish(sheets);
        boolean everywhere = await(() -> fleet.observer().serversOn(revision) == nodes, CONVERGENCE_TIMEOUT);
        long endNanos = everywhere ? fleet.observer().lastAdoptionNanos(revision) : System.nanoTime();
        record(revision, everywhere, endNanos - startNanos, true, fleet);
        pause(QUIET);
    }

    private void bad(DemoFleet fleet) {
        long startNanos = System.nanoTime();
        long revision = fleet.publish(profile.badEdit().applyTo(sheets));
        boolean rejected = await(() -> isRejected(fleet, revision), CONVERGENCE_TIMEOUT);
        long nanos = System.nanoTime() - startNanos;
        pause(QUIET);
        record(revision, !rejected || fleet.observer().wasAdopted(revision), nanos, false, fleet);
    }

    private void record(long revision, boolean accepted, long nanos, boolean expected, DemoFleet fleet) {
        DemoResult.Edit edit = new DemoResult.Edit(revision, accepted, TimeUnit.NANOSECONDS.toMillis(nanos));
        edits.add(edit);
        judge.edit(edit, expected, fleet.observer());
        progress.accept("revision " + revision + (accepted ? " is in force everywhere" : " is rejected") + " after "
                + edit.convergenceMillis() + " ms");
    }

    private static boolean isRejected(DemoFleet fleet, long revision) {
        for (DemoFleet.Place place : fleet.places()) {
            if (place.node().status().lastRejected() != null
                    && place.node().status().lastRejected().revision() == revision) {
                return true;
            }
        }
        return false;
    }

    private long lastRunAfterMillis(DemoFleet fleet, long sinceNanos) {
        long last = 0;
        for (DemoFleet.Place place : fleet.places()) {
            if (place.server().dataCentre().name().equals(profile.outDataCentreName())) {
                for (TargetModel.Run run : place.target().model().runs()) {
                    last = Math.max(last, run.startNanos() - sinceNanos);
                }
            }
        }
        return TimeUnit.NANOSECONDS.toMillis(last);
    }

    private static void require(BooleanSupplier condition, Duration timeout, String what) {
        if (!await(condition, timeout)) {
            throw new DemoException("no " + what + " within " + timeout.toSeconds() + " s");
        }
    }

    private static boolean await(BooleanSupplier condition, Duration timeout) {
        return Boolean.TRUE.equals(Flux.interval(Duration.ZERO, POLL)
                .onBackpressureDrop()
                .filter(tick -> condition.getAsBoolean())
                .next()
                .map(tick -> true)
                .timeout(timeout, Mono.just(false))
                .block());
    }

    private static void pause(Duration duration) {
        Mono.delay(duration).block();
    }
}
