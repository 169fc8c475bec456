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

/**
 * Pulls newer versions from peers, one request at a time: the delta to the active version, or the full content if there
 * is no active version or the delta cannot be applied.
 */
final class PullClient {

    private static final long MAX_DELAY_MILLIS = 10_000;

    /**
     * Time for further peers to reply before a node without a version pulls its first one. The first peer to reply may
     * come out of a partition with an older version than this server had before its restart.
     */
    private static final long FIRST_PULL_DELAY_MILLIS = 300;

    private final NodeState state;
    private final Runnable onAdopted;
    private final Consumer<String> onPeerFailure;
    private final Runnable queryMorePeers;
    private final PullCandidates candidates = new PullCandidates();
    private final ContentAssembly assembly = new ContentAssembly();
    private final Backoff backoff;
    private boolean pullInProgress;
    private boolean fullContentNeeded;

    /**
     * Creates a client without candidates.
     *
     * @param onPeerFailure receives the name of each server whose pull request failed
     * @param queryMorePeers queries further peers for their versions before the first pull
     */
    PullClient(NodeState state, Runnable onAdopted, Consumer<String> onPeerFailure, Runnable queryMorePeers) {
        this.queryMorePeers = queryMorePeers;
        this.state = state;
        this.onAdopted = onAdopted;
        this.onPeerFailure = onPeerFailure;
        this.backoff = new Backoff(state.random);
    }

    /**
     * Adds a peer that reported a version as a candidate. The version is pulled after the delay, of at most 10 s,
     * unless this node has obtained it by then.
     */
    void consider(Candidate candidate, long delayMillis) {
        if (!state.tracker.shouldFetch(candidate.revision(), candidate.hash())) {
            return;
        }
        if (delayMillis > 0) {
            state.loop.schedule(Math.min(delayMillis, MAX_DELAY_MILLIS), () -> consider(candidate, 0));
            return;
        }
        candidates.add(candidate);
        if (pullInProgress) {
            return;
        }
        if (state.tracker.active() == null) {
            pullInProgress = true;
            queryMorePeers.run();
            state.loop.schedule(FIRST_PULL_DELAY_MILLIS, this::pullNext);
        } else {
            pullNext();
        }
    }

    private void pullNext() {
        Candidate candidate = candidates.pollNewest(state.tracker.revision());
        if (candidate == null) {
            pullInProgress = false;
            backoff.reset();
            return;
        }
        pullInProgress = true;
        pull(candidate);
    }

    private void pull(Candidate candidate) {
        boolean full = fullContentNeeded || state.tracker.active() == null;
        PullRequest request = new PullRequest(
                state.self(),
                state.tracker.revision(),
                state.tracker.hash(),
                full,
                full ? assembly.revision() : 0,
                full ? assembly.nextPart() : 0);
        state.request(candidate.address(), request, state.config.peers().pullTimeoutMillis(), (reply, failure) -> {
            if (failure != null) {
                onPeerFailure.accept(candidate.server());
                retry(candidate);
            } else {
                state.recordReply(candidate.server());
                handleReply(candidate, reply);
            }
        });
    }

    private void handleReply(Candidate candidate, Message reply) {
        if (reply instanceof DeltaReply delta) {
            Outcome outcome = state.tracker.offerDelta(delta);
            if (outcome == Outcome.UNUSABLE) {
                fullContentNeeded = true;
                pull(candidate);
                return;
            }
            finish(outcome);
        } else if (reply instanceof ContentPart part) {
            handlePart(candidate, part);
        } else if (reply instanceof Busy busy) {
            candidates.retryLater(candidate);
            state.loop.schedule(
                    Math.min(busy.retryAfterMillis(), MAX_DELAY_MILLIS) + backoff.nextDelayMillis(), this::pullNext);
        } else {
            // The peer does not hold the version that was reported for it.
            pullNext();
        }
    }

    private void handlePart(Candidate candidate, ContentPart part) {
        if (!state.tracker.shouldFetch(part.revision(), part.hash())) {
            assembly.reset();
            pullNext();
            return;
        }
        int expectedPart = assembly.nextPart();
        boolean added = assembly.add(part);
        if (!added && assembly.nextPart() == expectedPart && part.part() != expectedPart) {
            retry(candidate);
            return;
        }
        if (!assembly.isComplete()) {
            pull(candidate);
            return;
        }
        TableContent content = assembly.content();
        long revision = assembly.revision();
        assembly.reset();
        if (content == null) {
            retry(candidate);
            return;
        }
        finish(state.tracker.offerContent(revision, content));
    }

    private void finish(Outcome outcome) {
        fullContentNeeded = false;
        backoff.reset();
        if (outcome == Outcome.ADOPTED) {
            assembly.reset();
            onAdopted.run();
        }
        pullNext();
    }

    private void retry(Candidate candidate) {
        boolean hasOthers = !candidates.isEmpty();
        candidates.retryLater(candidate);
        if (hasOthers) {
            pullNext();
        } else {
            state.loop.schedule(backoff.nextDelayMillis(), this::pullNext);
        }
    }
}
