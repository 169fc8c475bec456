package io.jaywick.node.relay;

import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;

import io.jaywick.core.distribution.SourceKnowledge;
import io.jaywick.core.distribution.UpstreamSelector;
import io.jaywick.core.fleet.FleetView;
import io.jaywick.core.message.Message;
import io.jaywick.core.message.PeerLink;
import io.jaywick.core.message.SourceQuery;
import io.jaywick.core.message.SourceState;
import io.jaywick.core.message.SourceVersion;
import io.jaywick.core.message.UpToDate;

/**
 * Waits for newer state at another node, its upstream. A node that is unresponsive or cannot reach the source itself is
 * avoided for a time; after two failures in a row, this node queries the source itself once.
 */
final class SourceFollower {

    /**
     * Fraction of the maximum propagation time that one query waits. An upstream that became unresponsive costs this
     * wait and the slack; the remaining time is enough for one more unresponsive node and for the source.
     */
    private static final double WAIT_RATIO = 0.3;

    /** Allowance for the transit of a reply, and for a peer whose processor is busy. */
    private static final long REPLY_SLACK_MILLIS = 250;

    /** After a failure the next node has to reply at once, so that a second unresponsive one is detected sooner. */
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

    /** Queries the upstream; the result has no host when this node must query the source itself. */
    CompletableFuture<FollowResult> follow(SourceVersion held, boolean completeEntries, long maxWaitMillis) {
        CompletableFuture<FollowResult> result = new CompletableFuture<>();
        follow(held, completeEntries, maxWaitMillis, result);
        return result;
    }

    private void follow(
            SourceVersion held, boolean completeEntries, long maxWaitMillis, CompletableFuture<FollowResult> result) {
        String host =
                failures >= MAX_FAILURES ? null : upstreams.select(view.get().instances());
        logIfChanged(host);
        if (host == null) {
            failures = 0;
            result.complete(FollowResult.NO_UPSTREAM);
            return;
        }
        long queryWaitMillis = failures == 0 ? Math.min(waitMillis, maxWaitMillis) : PROBE_WAIT_MILLIS;
        CompletableFuture<Message> reply = link.request(
                host + ":" + peerPort, new SourceQuery(held.revision(), queryWaitMillis, completeEntries, held));
        Runnable cancelTimer = scheduler.schedule(() -> reply.cancel(false), queryWaitMillis + REPLY_SLACK_MILLIS);
        reply.whenComplete((message, failure) -> {
            cancelTimer.run();
            if (isUsable(message, held)) {
                failures = 0;
                upstreams.recordSuccess(host);
                result.complete(toResult(host, message));
            } else {
                log.debug(
                        "followed node unavailable",
                        "host",
                        host,
                        "reason",
                        failure == null ? message.getClass().getSimpleName() : failure.toString());
                failures++;
                upstreams.recordFailure(host);
                follow(held, completeEntries, maxWaitMillis, result);
            }
        });
    }

    private static FollowResult toResult(String host, Message reply) {
        return reply instanceof SourceState state
                ? new FollowResult(host, state, state.ageMillis())
                : new FollowResult(host, null, ((UpToDate) reply).ageMillis());
    }

    /** A node that does not know eras may hold what the source has lost. */
    private static boolean isUsable(Message reply, SourceVersion held) {
        return reply instanceof UpToDate unchanged && unchanged.era() >= held.era()
                || reply instanceof SourceState state
                        && state.version() != null
                        && !SourceKnowledge.isOlderEra(state.version(), held);
    }

    private void logIfChanged(String host) {
        String upstream = host == null ? "source" : host;
        if (!upstream.equals(followedHost)) {
            followedHost = upstream;
            log.info("upstream selected", "host", upstream);
        }
    }
}
