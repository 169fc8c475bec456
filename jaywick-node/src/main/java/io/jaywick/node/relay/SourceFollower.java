package io.jaywick.node.relay;

import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;

import io.jaywick.core.distribution.UpstreamSelector;
import io.jaywick.core.fleet.FleetView;
import io.jaywick.core.message.Message;
import io.jaywick.core.message.PeerLink;
import io.jaywick.core.message.SourceQuery;
import io.jaywick.core.message.SourceState;
import io.jaywick.core.message.UpToDate;

/**
 * Waits for news at another node. A node that is silent, or not in touch with the source itself, is left out for a time;
 * when two in a row are, this node follows the source itself for one turn.
 */
final class SourceFollower {

    /**
     * Part of the bound for changes that one question waits. An upstream that went silent costs this and the slack; the
     * rest of the bound is enough for one more silent node and for the source.
     */
    private static final double WAIT_RATIO = 0.3;

    /** Time for the way of an answer, and for a peer whose processor is busy. */
    private static final long REPLY_SLACK_MILLIS = 250;

    /** After a failure the next node is asked for an answer at once, so that a second silent one is noticed sooner. */
    private static final long PROBE_WAIT_MILLIS = 1;

    private static final int MAX_FAILURES = 2;

    private final PeerLink link;
    private final Supplier<FleetView> view;
    private final UpstreamSelector upstreams;
    private final int peerPort;
    private final long waitMillis;
    private final TaskScheduler scheduler;
    private final RelayLog log;
    private int failures;
    private String followedHost;

    SourceFollower(
            PeerLink link,
            Supplier<FleetView> view,
            UpstreamSelector upstreams,
            int peerPort,
            long maxPropagationMillis,
            TaskScheduler scheduler,
            RelayLog log) {
        this.link = link;
        this.view = view;
        this.upstreams = upstreams;
        this.peerPort = peerPort;
        this.waitMillis = Math.max(1, Math.round(WAIT_RATIO * maxPropagationMillis));
        this.scheduler = scheduler;
        this.log = log;
    }

    /** Asks the node to follow; the result names no host when this node has to follow the source itself. */
    CompletableFuture<FollowResult> follow(long revision, boolean whole) {
        CompletableFuture<FollowResult> result = new CompletableFuture<>();
        follow(revision, whole, result);
        return result;
    }

    private void follow(long revision, boolean whole, CompletableFuture<FollowResult> result) {
        String host =
                failures >= MAX_FAILURES ? null : upstreams.select(view.get().instances());
        logIfChanged(host);
        if (host == null) {
            failures = 0;
            result.complete(FollowResult.NO_UPSTREAM);
            return;
        }
        long queryWaitMillis = failures == 0 ? waitMillis : PROBE_WAIT_MILLIS;
        CompletableFuture<Message> reply =
                link.request(host + ":" + peerPort, new SourceQuery(revision, queryWaitMillis, whole));
        Runnable cancelTimer = scheduler.schedule(() -> reply.cancel(false), queryWaitMillis + REPLY_SLACK_MILLIS);
        reply.whenComplete((message, failure) -> {
            cancelTimer.run();
            if (message instanceof SourceState || message instanceof UpToDate) {
                failures = 0;
                upstreams.recordSuccess(host);
                result.complete(new FollowResult(host, message instanceof SourceState state ? state : null));
            } else {
                log.debug(
                        "followed node is out of touch",
                        "host",
                        host,
                        "reason",
                        failure == null ? message.getClass().getSimpleName() : failure.toString());
                failures++;
                upstreams.recordFailure(host);
                follow(revision, whole, result);
            }
        });
    }

    private void logIfChanged(String host) {
        String upstream = host == null ? "source" : host;
        if (!upstream.equals(followedHost)) {
            followedHost = upstream;
            log.info("node follows", "host", upstream);
        }
    }
}
