package io.jaywick.node.peer;

import java.util.concurrent.CompletableFuture;

import io.jaywick.core.distribution.SourceCallPacer;
import io.jaywick.core.distribution.VersionTracker;
import io.jaywick.core.distribution.VersionTracker.Outcome;
import io.jaywick.node.source.ConfigSource;
import io.jaywick.node.source.SourceValue;

/**
 * Decides when this node calls the configuration service. Elected readers keep a watch open. A node that has no
 * version, or whose region is cut off from the source's region, reads at the interval of the budget. Every other node
 * looks once in a long while, so that the region notices when all its readers are lost.
 */
final class SourceWatcher {

    /** Mean time between two looks of any other node of the region, in milliseconds. */
    static final long PROBE_INTERVAL_MILLIS = 3_000;

    /** Time that such a look waits for a newer value, in milliseconds. */
    static final long PROBE_TIMEOUT_MILLIS = 1_000;

    /** Time between two reads of the value itself by a reader, which alone show that the source went back. */
    static final long READ_INTERVAL_MILLIS = 300_000;

    private static final long NAIVE_RETRY_DELAY_MILLIS = 1_000;
    private static final long CALL_TIMEOUT_MILLIS = 40_000;

    private final NodeState state;
    private final ConfigSource source;
    private final Runnable onAdopted;
    private final SourceCallPacer pacer;
    private final long startMillis;
    private boolean callInFlight;
    private boolean callScheduled;
    private boolean canCallAtOnce;
    private boolean lastCallFailed;
    private boolean lastCallWatchedRejected;
    private long peerVersionSeenMillis;
    private long lastReadMillis;
    private long lastAnswerMillis = -1;
    private long callCount;

    SourceWatcher(NodeState state, ConfigSource source, Runnable onAdopted) {
        this.state = state;
        this.source = source;
        this.onAdopted = onAdopted;
        this.pacer = new SourceCallPacer(state.config.source().minIntervalMillis(), state.random);
        this.startMillis = state.loop.nowMillis();
        this.peerVersionSeenMillis = startMillis;
        this.lastReadMillis = startMillis;
    }

    long callCount() {
        return callCount;
    }

    /** Time since the last answer, or -1. */
    long lastAnswerAgeMillis() {
        return lastAnswerMillis < 0 ? -1 : state.loop.nowMillis() - lastAnswerMillis;
    }

    /** A peer said that it holds a version, so that a starting node need not read the source. */
    void recordPeerVersion() {
        peerVersionSeenMillis = state.loop.nowMillis();
    }

    boolean isReader() {
        return state.isInSourceRegion()
                && state.roles().readerRank() < state.config.source().readersPerRegion();
    }

    /** Called every second and after each call. */
    void update() {
        if (callInFlight || callScheduled) {
            return;
        }
        if (state.config.strategy() == SpreadStrategy.NAIVE) {
            callScheduled = true;
            state.loop.schedule(lastCallFailed ? NAIVE_RETRY_DELAY_MILLIS : 0, () -> {
                callScheduled = false;
                call(false);
            });
        } else if (!shouldCall()) {
            probeOccasionally();
        } else if (isReader() && state.isViewTrusted() && (canCallAtOnce || callCount == 0)) {
            call(false);
        } else {
            callScheduled = true;
            state.loop.schedule(pacer.nextDelayMillis(state.loop.nowMillis(), state.fleetSize()), () -> {
                callScheduled = false;
                if (shouldCall()) {
                    call(false);
                }
            });
        }
    }

    private boolean shouldCall() {
        long now = state.loop.nowMillis();
        if (state.tracker.active() == null) {
            return now - peerVersionSeenMillis >= state.config.peers().bootstrapMillis();
        }
        if (state.isInSourceRegion()) {
            return isReader();
        }
        return state.roles().regionRelayRank() < state.config.source().readersPerRegion()
                && state.sourceRegionAgeMillis() > state.config.source().fallbackMillis();
    }

    private void probeOccasionally() {
        if (state.tracker.active() == null || !state.isInSourceRegion()) {
            return;
        }
        long meanIntervalMillis = PROBE_INTERVAL_MILLIS * state.roles().aliveCountInRegion();
        boolean isDue =
                state.random.nextLong(meanIntervalMillis) < state.config.peers().digestIntervalMillis();
        if (isDue && pacer.hasIntervalElapsed(state.loop.nowMillis(), state.fleetSize())) {
            call(true);
        }
    }

    private void call(boolean isProbe) {
        long now = state.loop.nowMillis();
        callInFlight = true;
        callCount++;
        pacer.recordCallStart(now);
        // Another region asks the source only until a peer of the source's region is back, so it does not wait long.
        long waitMillis = state.isInSourceRegion() ? CALL_TIMEOUT_MILLIS : pacer.intervalMillis(state.fleetSize());
        long timeoutMillis = isProbe ? PROBE_TIMEOUT_MILLIS : waitMillis;
        CompletableFuture<SourceValue> future;
        boolean isRead = !isProbe && (state.tracker.active() == null || now - lastReadMillis > READ_INTERVAL_MILLIS);
        VersionTracker.RejectedVersion rejected = state.tracker.lastRejected();
        boolean rejectedIsNewest = rejected != null && rejected.revision() > state.tracker.revision();
        if (rejectedIsNewest && !isProbe) {
            // A watch waits for more than the rejected revision. The source may also go back below it, which only a
            // read shows, so the two take turns.
            isRead = lastCallWatchedRejected || isRead;
            lastCallWatchedRejected = !lastCallWatchedRejected;
            timeoutMillis = isRead ? timeoutMillis : pacer.intervalMillis(state.fleetSize());
        }
        if (isRead) {
            lastReadMillis = now;
            future = source.read();
        } else {
            future = source.watch(rejectedIsNewest ? rejected.revision() : state.tracker.revision());
        }
        state.loop.await(future, timeoutMillis, (value, failure) -> onCallFinished(now, value, failure));
    }

    private void onCallFinished(long startedMillis, SourceValue value, Throwable failure) {
        callInFlight = false;
        long now = state.loop.nowMillis();
        canCallAtOnce = false;
        lastCallFailed = failure != null;
        if (!lastCallFailed) {
            lastAnswerMillis = now;
            // A service that ends each wait at once must not be called in a loop.
            canCallAtOnce = now - startedMillis >= pacer.intervalMillis(state.fleetSize());
            if (value != null && state.tracker.offerPacked(value.revision(), value.content()) == Outcome.ADOPTED) {
                canCallAtOnce = true;
                onAdopted.run();
            }
        }
        update();
    }
}
