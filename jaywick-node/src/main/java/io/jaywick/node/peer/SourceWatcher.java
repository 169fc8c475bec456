package io.jaywick.node.peer;

import java.util.concurrent.CompletableFuture;

import io.jaywick.core.distribution.SourceCallPacer;
import io.jaywick.core.distribution.VersionTracker;
import io.jaywick.core.distribution.VersionTracker.Outcome;
import io.jaywick.node.source.ConfigSource;
import io.jaywick.node.source.SourceValue;

/**
 * Decides when this node calls the configuration service. Elected readers keep a watch open. A node that has no
 * version, or that reads for a region partitioned from the source's region, calls at the interval of the pacer. The
 * other nodes of the source's region probe the source at long random intervals, so that the region still receives new
 * versions if all its readers have failed.
 */
final class SourceWatcher {

    /** Mean time between two probes of the source by all non-readers of the region together, in milliseconds. */
    static final long PROBE_INTERVAL_MILLIS = 3_000;

    /** Time for which a probe waits for a newer value, in milliseconds. */
    static final long PROBE_TIMEOUT_MILLIS = 1_000;

    /**
     * Time between two reads of the value by a reader, in milliseconds. A watch returns newer revisions only, so only a
     * read shows a version regression of the source.
     */
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

    /** Returns the time since the last answer of the source in milliseconds, or -1 for none. */
    long lastAnswerAgeMillis() {
        return lastAnswerMillis < 0 ? -1 : state.loop.nowMillis() - lastAnswerMillis;
    }

    /** Records that a peer holds a version, in which case a starting node does not have to read the source. */
    void recordPeerVersion() {
        peerVersionSeenMillis = state.loop.nowMillis();
    }

    boolean isReader() {
        return state.isInSourceRegion()
                && state.roles().readerRank() < state.config.source().readersPerRegion();
    }

    /** Starts or schedules a call if one is due. Called in each digest interval and after each call. */
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
        // Other regions call the source only until a peer of its region is reachable again, so their waits are short.
        long waitMillis = state.isInSourceRegion() ? CALL_TIMEOUT_MILLIS : pacer.intervalMillis(state.fleetSize());
        long timeoutMillis = isProbe ? PROBE_TIMEOUT_MILLIS : waitMillis;
        CompletableFuture<SourceValue> future;
        boolean isRead = !isProbe && (state.tracker.active() == null || now - lastReadMillis > READ_INTERVAL_MILLIS);
        VersionTracker.RejectedVersion rejected = state.tracker.lastRejected();
        boolean rejectedIsNewest = rejected != null && rejected.revision() > state.tracker.revision();
        if (rejectedIsNewest && !isProbe) {
            // A watch returns only revisions above the rejected one. Only a read shows a regression below it, so the
            // calls alternate between watch and read.
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
            // A source that ends each wait at once must not be called in a tight loop.
            canCallAtOnce = now - startedMillis >= pacer.intervalMillis(state.fleetSize());
            if (value != null && state.tracker.offerPacked(value.revision(), value.content()) == Outcome.ADOPTED) {
                canCallAtOnce = true;
                onAdopted.run();
            }
        }
        update();
    }
}
