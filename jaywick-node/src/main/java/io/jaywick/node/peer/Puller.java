package io.jaywick.node.peer;

import java.util.function.Consumer;

import io.jaywick.core.distribution.Backoff;
import io.jaywick.core.distribution.ContentAssembly;
import io.jaywick.core.distribution.PullCandidates;
import io.jaywick.core.distribution.PullCandidates.Candidate;
import io.jaywick.core.distribution.VersionTracker.Outcome;
import io.jaywick.core.message.Busy;
import io.jaywick.core.message.ContentPart;
import io.jaywick.core.message.DeltaReply;
import io.jaywick.core.message.Message;
import io.jaywick.core.message.PullRequest;
import io.jaywick.core.table.TableContent;

/** Fetches newer versions from peers, one request at a time: the delta first, the whole content when that fails. */
final class Puller {

    private static final long MAX_DELAY_MILLIS = 10_000;
    /**
     * Time for further peers to answer before a node without a version pulls its first one. The first peer to answer may
     * come out of a partition with an older version than the node's server held before.
     */
    private static final long SETTLE_MILLIS = 300;

    private final NodeState state;
    private final Runnable onAdopted;
    private final Consumer<String> onHolderLost;
    private final Runnable askMorePeers;
    private final PullCandidates plan = new PullCandidates();
    private final ContentAssembly assembly = new ContentAssembly();
    private final Backoff backoff;
    private boolean running;
    private boolean full;

    /**
     * Makes a puller without holders.
     *
     * @param askMorePeers asks further peers for their version, before the first one is pulled
     */
    Puller(NodeState state, Runnable onAdopted, Consumer<String> onHolderLost, Runnable askMorePeers) {
        this.askMorePeers = askMorePeers;
        this.state = state;
        this.onAdopted = onAdopted;
        this.onHolderLost = onHolderLost;
        this.backoff = new Backoff(state.random);
    }

    /** A peer is said to hold a version; it is pulled after the delay unless it has arrived otherwise by then. */
    void consider(Candidate holder, long delayMillis) {
        if (!state.tracker.shouldFetch(holder.revision(), holder.hash())) {
            return;
        }
        if (delayMillis > 0) {
            state.loop.after(Math.min(delayMillis, MAX_DELAY_MILLIS), () -> consider(holder, 0));
            return;
        }
        plan.add(holder);
        if (running) {
            return;
        }
        if (state.tracker.active() == null) {
            running = true;
            askMorePeers.run();
            state.loop.after(SETTLE_MILLIS, this::next);
        } else {
            next();
        }
    }

    private void next() {
        Candidate holder = plan.pollNewest(state.tracker.revision());
        if (holder == null) {
            running = false;
            backoff.reset();
            return;
        }
        running = true;
        ask(holder);
    }

    private void ask(Candidate holder) {
        boolean whole = full || state.tracker.active() == null;
        PullRequest request = new PullRequest(
                state.self(),
                state.tracker.revision(),
                state.tracker.hash(),
                whole,
                whole ? assembly.revision() : 0,
                whole ? assembly.nextPart() : 0);
        state.ask(holder.address(), request, state.config.peers().pullTimeoutMillis(), (reply, failure) -> {
            if (failure != null) {
                onHolderLost.accept(holder.server());
                retry(holder);
            } else {
                state.contacted(holder.server());
                take(holder, reply);
            }
        });
    }

    private void take(Candidate holder, Message reply) {
        if (reply instanceof DeltaReply delta) {
            Outcome outcome = state.tracker.offerDelta(delta);
            if (outcome == Outcome.UNUSABLE) {
                full = true;
                ask(holder);
                return;
            }
            finish(outcome);
        } else if (reply instanceof ContentPart part) {
            takePart(holder, part);
        } else if (reply instanceof Busy busy) {
            plan.retryLater(holder);
            state.loop.after(
                    Math.min(busy.retryAfterMillis(), MAX_DELAY_MILLIS) + backoff.nextDelayMillis(), this::next);
        } else {
            // The peer does not hold what it was said to hold.
            next();
        }
    }

    private void takePart(Candidate holder, ContentPart part) {
        if (!state.tracker.shouldFetch(part.revision(), part.hash())) {
            assembly.reset();
            next();
            return;
        }
        int wanted = assembly.nextPart();
        boolean taken = assembly.add(part);
        if (!taken && assembly.nextPart() == wanted && part.part() != wanted) {
            retry(holder);
            return;
        }
        if (!assembly.isComplete()) {
            ask(holder);
            return;
        }
        TableContent content = assembly.content();
        long revision = assembly.revision();
        assembly.reset();
        if (content == null) {
            retry(holder);
            return;
        }
        finish(state.tracker.offerContent(revision, content));
    }

    private void finish(Outcome outcome) {
        full = false;
        backoff.reset();
        if (outcome == Outcome.ADOPTED) {
            assembly.reset();
            onAdopted.run();
        }
        next();
    }

    private void retry(Candidate holder) {
        boolean others = !plan.isEmpty();
        plan.retryLater(holder);
        if (others) {
            next();
        } else {
            state.loop.after(backoff.nextDelayMillis(), this::next);
        }
    }
}
