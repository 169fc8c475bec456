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

/**
 * The script of the demonstration. Under a constant stream of calls it publishes valid edits and an invalid one,
 * evacuates a data centre and restores it.
 */
final class DemoRun {

    private static final Duration POLL_INTERVAL = Duration.ofMillis(5);
    private static final Duration CONVERGENCE_TIMEOUT = Duration.ofSeconds(9);
    private static final Duration START_TIMEOUT = Duration.ofSeconds(20);
    private static final Duration WARM_UP = Duration.ofMillis(3_500);
    private static final Duration PAUSE_AFTER_EDIT = Duration.ofMillis(1_500);
    private static final Duration EVACUATION_DURATION = Duration.ofSeconds(5);
    private static final Duration RUN_TIME_AFTER_RESTORE = Duration.ofSeconds(4);
    private static final Duration DRAIN_TIMEOUT = Duration.ofSeconds(10);

    private final FleetProfile profile;
    private final Consumer<String> progress;
    private final DemoVerifier verifier = new DemoVerifier();
    private final List<DemoResult.Edit> edits = new ArrayList<>();
    private Map<String, byte[]> sheets;

    DemoRun(FleetProfile profile, Map<String, byte[]> sheets, Consumer<String> progress) {
        this.profile = profile;
        this.sheets = sheets;
        this.progress = progress;
    }

    /** Runs the script on a fleet, shuts its nodes down and returns the result. All usage lines are written by then. */
    DemoResult run(DemoFleet fleet) {
        int nodeCount = fleet.members().size();
        long lastNewCallAfterMillis;
        DemoResult.Calls calls;
        progress.accept("starting " + nodeCount + " nodes of " + profile.name());
        awaitOrFail(
                () -> fleet.observer().countServersAtLeastAt(1) == nodeCount,
                START_TIMEOUT,
                "adoption of revision 1 by every node");
        try (DemoCallers callers = new DemoCallers(profile, fleet.members())) {
            callers.start();
            pause(WARM_UP);
            applyValidEdit(fleet, profile.validEdits().get(0));
            applyValidEdit(fleet, profile.validEdits().get(1));
            applyInvalidEdit(fleet);
            applyValidEdit(fleet, profile.validEdits().get(2));
            long evacuationStartNanos = System.nanoTime();
            applyValidEdit(fleet, profile.evacuationEdit());
            pause(EVACUATION_DURATION);
            lastNewCallAfterMillis = lastNewCallAfterMillis(fleet, evacuationStartNanos);
            progress.accept("data centre " + profile.evacuatedDataCentreName() + " evacuated: last new call started "
                    + lastNewCallAfterMillis + " ms after the edit");
            applyValidEdit(fleet, profile.restoringEdit());
            pause(RUN_TIME_AFTER_RESTORE);
            callers.stop();
            awaitOrFail(callers::isIdle, DRAIN_TIMEOUT, "completion of all calls in flight");
            calls = verifier.verifyCalls(callers, fleet.members());
        }
        long controlBytes = fleet.controlBytesPerNode();
        long sourceCalls = fleet.sourceCalls();
        fleet.shutDownNodes()
                .orTimeout(DRAIN_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS)
                .join();
        verifier.verifyEvacuation(lastNewCallAfterMillis);
        verifier.verifyNoRegressions(fleet.observer());
        return new DemoResult(
                verifier.violations().isEmpty(),
                profile.name(),
                nodeCount,
                edits,
                calls,
                lastNewCallAfterMillis,
                controlBytes,
                sourceCalls,
                verifier.violations());
    }

    private void applyValidEdit(DemoFleet fleet, TableEdit edit) {
        sheets = edit.applyTo(sheets);
        int nodeCount = fleet.members().size();
        long startNanos = System.nanoTime();
        long revision = fleet.publish(sheets);
        boolean converged =
                await(() -> fleet.observer().countServersAtLeastAt(revision) == nodeCount, CONVERGENCE_TIMEOUT);
        long endNanos = converged ? fleet.observer().lastAdoptionNanos(revision) : System.nanoTime();
        recordEdit(revision, converged, endNanos - startNanos, true, fleet);
        pause(PAUSE_AFTER_EDIT);
    }

    private void applyInvalidEdit(DemoFleet fleet) {
        long startNanos = System.nanoTime();
        long revision = fleet.publish(profile.invalidEdit().applyTo(sheets));
        boolean rejected = await(() -> isRejected(fleet, revision), CONVERGENCE_TIMEOUT);
        long durationNanos = System.nanoTime() - startNanos;
        pause(PAUSE_AFTER_EDIT);
        recordEdit(revision, !rejected || fleet.observer().wasAdopted(revision), durationNanos, false, fleet);
    }

    private void recordEdit(
            long revision, boolean accepted, long durationNanos, boolean shouldBeAccepted, DemoFleet fleet) {
        DemoResult.Edit edit = new DemoResult.Edit(revision, accepted, TimeUnit.NANOSECONDS.toMillis(durationNanos));
        edits.add(edit);
        verifier.verifyEdit(edit, shouldBeAccepted, fleet.observer());
        progress.accept("revision " + revision + (accepted ? " active on every node" : " rejected") + " after "
                + edit.convergenceMillis() + " ms");
    }

    private static boolean isRejected(DemoFleet fleet, long revision) {
        for (DemoFleet.Member member : fleet.members()) {
            if (member.node().status().lastRejected() != null
                    && member.node().status().lastRejected().revision() == revision) {
                return true;
            }
        }
        return false;
    }

    private long lastNewCallAfterMillis(DemoFleet fleet, long sinceNanos) {
        long lastNanos = 0;
        for (DemoFleet.Member member : fleet.members()) {
            if (member.server().dataCentre().name().equals(profile.evacuatedDataCentreName())) {
                for (TargetModel.Run run : member.target().model().runs()) {
                    lastNanos = Math.max(lastNanos, run.startNanos() - sinceNanos);
                }
            }
        }
        return TimeUnit.NANOSECONDS.toMillis(lastNanos);
    }

    private static void awaitOrFail(BooleanSupplier condition, Duration timeout, String expectedState) {
        if (!await(condition, timeout)) {
            throw new DemoException("no " + expectedState + " within " + timeout.toSeconds() + " s");
        }
    }

    private static boolean await(BooleanSupplier condition, Duration timeout) {
        return Boolean.TRUE.equals(Flux.interval(Duration.ZERO, POLL_INTERVAL)
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
