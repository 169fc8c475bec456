package io.jaywick.node.peer;

import java.util.LinkedHashMap;
import java.util.Map;

import io.jaywick.core.message.Busy;
import io.jaywick.core.message.DeltaReply;
import io.jaywick.core.message.Message;
import io.jaywick.core.message.PullRequest;
import io.jaywick.core.message.UpToDate;

/** Answers pull requests of other nodes and limits the number of concurrent full transfers. */
final class PullServer {

    static final int MAX_CONCURRENT_TRANSFERS = 4;

    /** Time without a request after which a transfer counts as abandoned. */
    static final long TRANSFER_TIMEOUT_MILLIS = 2_000;

    private static final long RETRY_AFTER_MILLIS = 200;

    private final NodeState state;
    private final Map<String, Long> lastRequestMillisByServer = new LinkedHashMap<>();

    PullServer(NodeState state) {
        this.state = state;
    }

    Message handle(PullRequest request) {
        long revision = state.tracker.revision();
        if (revision == 0 || request.haveRevision() >= revision) {
            return new UpToDate(revision, state.tracker.hash(), 0, 0);
        }
        if (!request.full()) {
            DeltaReply delta = state.tracker.deltaFrom(request.haveRevision(), request.haveHash());
            if (delta != null) {
                return delta;
            }
        }
        long now = state.loop.nowMillis();
        lastRequestMillisByServer.values().removeIf(last -> now - last > TRANSFER_TIMEOUT_MILLIS);
        if (lastRequestMillisByServer.size() >= MAX_CONCURRENT_TRANSFERS
                && !lastRequestMillisByServer.containsKey(request.from())) {
            return new Busy(RETRY_AFTER_MILLIS);
        }
        // A transfer of an older revision restarts with the first part of the active one.
        int part = request.full() && request.fullRevision() == revision ? request.part() : 0;
        var reply = state.tracker.transfer().part(part);
        if (reply.part() + 1 == reply.parts()) {
            lastRequestMillisByServer.remove(request.from());
        } else {
            lastRequestMillisByServer.put(request.from(), now);
        }
        return reply;
    }
}
