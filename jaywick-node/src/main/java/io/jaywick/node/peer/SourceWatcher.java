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
    static final long LOOK_MILLIS = 3_000;

    /** Time that such a look waits for a newer value, in milliseconds. */
    static final long LOOK_WAIT_MILLIS = 1_000;

    /** Time between two reads of the value itself by a reader, which alone show that the source went back. */
    static final long READ_MILLIS = 300_000;

    private static final long NAIVE_RETRY_MILLIS = 1_000;
    private static final long CALL_TIMEOUT_MILLIS = 40_000;

    private final NodeState state;
    private final ConfigSource source;
    private final Runnable onAdopted;
    private final SourceCallPacer budget;
    private final long startMillis;
    private boolean calling;
    private boolean planned;
    private boolean progress;
    private boolean failed;
    private boolean watchedRejected;
    private long peerVersionMillis;
    private long readMillis;
    private long answeredMillis = -1;
    private long calls;

    SourceWatcher(NodeState state, ConfigSource source, Runnable onAdopted) {
        this.state = state;
        this.source = source;
        this.onAdopted = onAdopted;
        this.budget = new SourceCallPacer(state.config.source().minIntervalMillis(), state.random);
        this.startMillis = state.loop.nowMillis();
        this.peerVersionMillis = startMillis;
        this.readMillis = startMillis;
    }

    long calls() {
        return calls;
    }

    /** Time since the last answer, or -1. */
    long ageMillis() {
        return answeredMillis < 0 ? -1 : state.loop.nowMillis() - answeredMillis;
    }

    /** A peer said that it holds a version, so that a starting node need not read the source. */
    void peerHasVersion() {
        peerVersionMillis = state.loop.nowMillis();
    }

    boolean isReader() {
        return state.isInSourceRegion()
                && state.roles().readerRank() < state.config.source().readersPerRegion();
    }

    /** Called every second and after each call. */
    void step() {
        if (calling || planned) {
            return;
        }
        if (state.config.strategy() == SpreadStrategy.NAIVE) {
            planned = true;
            state.loop.after(failed ? NAIVE_RETRY_MILLIS : 0, () -> {
                planned = false;
                call(false);
            });
        } else if (!wanted()) {
            lookSometimes();
        } else if (isReader() && state.isViewTrusted() && (progress || calls == 0)) {
            call(false);
        } else {
            planned = true;
            state.loop.after(budget.nextDelayMillis(state.loop.nowMillis(), state.fleetSize()), () -> {
                planned = false;
                if (wanted()) {
                    call(false);
                }
            });
        }
    }

    private boolean wanted() {
        long now = state.loop.nowMillis();
        if (state.tracker.active() == null) {
            return now - peerVersionMillis >= state.config.peers().bootstrapMillis();
        }
        if (state.isInSourceRegion()) {
            return isReader();
        }
        return state.roles().regionRelayRank() < state.config.source().readersPerRegion()
                && state.sourceRegionAgeMillis() > state.config.source().fallbackMillis();
    }

    private void lookSometimes() {
        if (state.tracker.active() == null || !state.isInSourceRegion()) {
            return;
        }
        long everyMillis = LOOK_MILLIS * state.roles().aliveCountInRegion();
        boolean due = state.random.nextLong(everyMillis) < state.config.peers().digestIntervalMillis();
        if (due && budget.hasIntervalElapsed(state.loop.nowMillis(), state.fleetSize())) {
            call(true);
        }
    }

    private void call(boolean look) {
        long now = state.loop.nowMillis();
        calling = true;
        calls++;
        budget.recordCallStart(now);
        // Another region asks the source only until a peer of the source's region is back, so it does not wait long.
        long wait = state.isInSourceRegion() ? CALL_TIMEOUT_MILLIS : budget.intervalMillis(state.fleetSize());
        long timeout = look ? LOOK_WAIT_MILLIS : wait;
        CompletableFuture<SourceValue> future;
        boolean reads = !look && (state.tracker.active() == null || now - readMillis > READ_MILLIS);
        VersionTracker.RejectedVersion rejected = state.tracker.lastRejected();
        boolean rejectedIsNewest = rejected != null && rejected.revision() > state.tracker.revision();
        if (rejectedIsNewest && !look) {
            // A watch waits for more than the rejected revision. The source may also go back below it, which only a
            // read shows, so the two take turns.
            reads = watchedRejected || reads;
            watchedRejected = !watchedRejected;
            timeout = reads ? timeout : budget.intervalMillis(state.fleetSize());
        }
        if (reads) {
            readMillis = now;
            future = source.read();
        } else {
            future = source.watch(rejectedIsNewest ? rejected.revision() : state.tracker.revision());
        }
        state.loop.await(future, timeout, (value, failure) -> finished(now, value, failure));
    }

    private void finished(long startedMillis, SourceValue value, Throwable failure) {
        calling = false;
        long now = state.loop.nowMillis();
        progress = false;
        failed = failure != null;
        if (!failed) {
            answeredMillis = now;
            // A service that ends each wait at once must not be called in a loop.
            progress = now - startedMillis >= budget.intervalMillis(state.fleetSize());
            if (value != null && state.tracker.offerPacked(value.revision(), value.content()) == Outcome.ADOPTED) {
                progress = true;
                onAdopted.run();
            }
        }
        step();
    }
}
