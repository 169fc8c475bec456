package io.jaywick.cli.bench.record;

import java.util.ArrayDeque;
import java.util.Collection;
import java.util.Deque;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;

import io.jaywick.core.record.CallUsage;
import io.jaywick.core.record.DispatchUsage;
import io.jaywick.core.record.PeerRecordState;
import io.jaywick.core.record.RecorderIdentity;
import io.jaywick.core.record.UsageRecorder;
import io.jaywick.core.snapshot.Snapshot;

/**
 * One process of a simulated fleet. It makes random calls, reports them to the recorders and to the {@link UsageTruth},
 * and writes record lines.
 */
final class SimulatedProcess {

    private static final int MAX_IN_FLIGHT = 8;

    private final UsageRecorder recorder;
    private final NaiveRecorder naiveRecorder;
    private final UsageTruth truth;
    private final RecorderIdentity identity;
    private final RandomCalls calls;
    private final RandomGenerator random;
    private final Deque<CallUsage> callsInFlight = new ArrayDeque<>();
    private final Deque<DispatchUsage> dispatchesInFlight = new ArrayDeque<>();
    private boolean claimsRequested;
    private int pausedIntervals;

    SimulatedProcess(
            RecorderIdentity identity,
            SimulationClock clock,
            FleetOutput output,
            RandomCalls calls,
            RandomGenerator random,
            Supplier<? extends Collection<PeerRecordState>> peers) {
        this.recorder = new UsageRecorder(
                identity, clock, output.lines(), output.limits(), () -> claimsRequested = true, peers);
        this.naiveRecorder = new NaiveRecorder(identity, output.naiveLines());
        this.truth = output.truth();
        this.identity = identity;
        this.calls = calls;
        this.random = random;
    }

    void onSnapshot(Snapshot snapshot) {
        recorder.onSnapshot(snapshot);
    }

    PeerRecordState recordState() {
        return recorder.recordState();
    }

    /**
     * Makes the calls of one interval, unless the process is paused.
     *
     * @return false when the process is paused
     */
    boolean runInterval(int callCount) {
        if (pausedIntervals > 0) {
            pausedIntervals--;
            return false;
        }
        runCalls(callCount);
        return true;
    }

    void runCalls(int callCount) {
        for (int i = 0; i < callCount; i++) {
            CallUsage call = calls.nextCall();
            recorder.callStarted();
            truth.callStarted(identity, call);
            callsInFlight.add(call);
            if (random.nextBoolean()) {
                DispatchUsage dispatch = calls.nextDispatch();
                recorder.dispatchStarted();
                truth.dispatchStarted(identity, dispatch);
                dispatchesInFlight.add(dispatch);
            }
            endOldest(random.nextInt(MAX_IN_FLIGHT));
            if (claimsRequested) {
                claimsRequested = false;
                recorder.writeClaims();
            }
        }
    }

    void writeLine() {
        recorder.writeCounters();
        naiveRecorder.writeCounters();
    }

    void pause(int intervals) {
        pausedIntervals = intervals;
    }

    void endGracefully() {
        endOldest(0);
        recorder.close();
        naiveRecorder.writeCounters();
    }

    private void endOldest(int remainingInFlight) {
        while (callsInFlight.size() > remainingInFlight) {
            CallUsage call = callsInFlight.poll();
            truth.callEnded(call);
            recorder.callEnded(call);
            naiveRecorder.callEnded(call);
        }
        while (dispatchesInFlight.size() > remainingInFlight) {
            DispatchUsage dispatch = dispatchesInFlight.poll();
            truth.dispatchEnded(dispatch);
            recorder.dispatchEnded(dispatch);
        }
    }
}
