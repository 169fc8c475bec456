package io.jaywick.node.relay;

import java.util.ArrayList;
import java.util.Collections;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

import io.jaywick.core.distribution.UpstreamSelector;
import io.jaywick.core.fleet.FleetView;
import io.jaywick.core.fleet.Instance;
import io.jaywick.core.message.Message;
import io.jaywick.core.message.PeerLink;
import io.jaywick.core.message.SourceQuery;
import io.jaywick.core.message.SourceState;
import io.jaywick.core.message.SourceVersion;
import io.jaywick.core.placement.Distance;
import io.jaywick.core.placement.InstanceSelector;
import io.netty.util.concurrent.ScheduledFuture;

/**
 * Exchanges the published state of the source between nodes: a node that the source refuses, or that cannot reach it,
 * queries its peers. Near peers may be refused as well and hold nothing newer; every second query therefore goes
 * elsewhere, alternately to the peer that last returned newer state and to any other. Runs on the event loop of the
 * relay.
 */
public final class SourceExchange implements PeerSource {

    /** Targets of the queries of one round: near, last informed, near, any peer. */
    private static final int QUERIES_PER_ROUND = 4;

    private final PeerLink link;
    private final Supplier<FleetView> view;
    private final InstanceSelector instanceSelector;
    private final int peerPort;
    private final List<String> seedHosts;
    private final Random random;
    private final SourceQueryHandler queryHandler;
    private final SourceFollower follower;
    private int queryCount;
    private String lastInformedHost;

    SourceExchange(
            RelaySettings settings,
            PeerLink link,
            Supplier<FleetView> view,
            InstanceSelector instanceSelector,
            Random random,
            SourceQueryHandler queryHandler,
            SourceFollower follower) {
        this.link = link;
        this.view = view;
        this.instanceSelector = instanceSelector;
        this.peerPort = settings.peerPort();
        this.seedHosts = settings.seedHosts();
        this.random = random;
        this.queryHandler = queryHandler;
        this.follower = follower;
    }

    /**
     * Creates the exchange of one node.
     *
     * @param provider state of the source that this node holds
     */
    public static SourceExchange of(
            RelaySettings settings,
            PeerLink link,
            Supplier<FleetView> view,
            InstanceSelector instanceSelector,
            NodeRuntime runtime,
            SourceStateProvider provider) {
        TaskScheduler scheduler = (task, millis) -> {
            ScheduledFuture<?> timer = runtime.loop().schedule(task, millis, TimeUnit.MILLISECONDS);
            return () -> timer.cancel(false);
        };
        UpstreamSelector upstreams = new UpstreamSelector(
                settings.host(), settings.dataCentre(), settings.regionByDataCentre(), runtime.nanoTime());
        SourceFollower follower = new SourceFollower(
                link, view, upstreams, settings.peerPort(), settings.maxPropagationMillis(), scheduler, runtime.log());
        return new SourceExchange(
                settings,
                link,
                view,
                instanceSelector,
                runtime.random(),
                new SourceQueryHandler(provider, scheduler),
                follower);
    }

    /** Replies to a query of a peer, at the latest when the wait of the query ends. */
    public CompletableFuture<Message> handleQuery(SourceQuery query) {
        return queryHandler.handle(query);
    }

    /** Rejects followers because the node is draining, so that they choose another node. */
    public void drain() {
        queryHandler.drain();
    }

    @Override
    public CompletableFuture<FollowResult> follow(SourceVersion held, boolean completeEntries, long maxWaitMillis) {
        return follower.follow(held, completeEntries, maxWaitMillis);
    }

    @Override
    public void notifyChanged() {
        queryHandler.notifyChanged();
    }

    @Override
    public void notifySourceConfirmed() {
        queryHandler.notifySourceConfirmed();
    }

    @Override
    public void notifySourceLost() {
        queryHandler.notifySourceLost();
    }

    @Override
    public CompletableFuture<SourceState> query(SourceVersion held) {
        String host = choosePeer();
        if (host == null) {
            return CompletableFuture.completedFuture(null);
        }
        return link.request(host + ":" + peerPort, new SourceQuery(held.revision(), 0, true, held))
                .thenApply((Message reply) -> {
                    if (reply instanceof SourceState state) {
                        lastInformedHost = host;
                        return state;
                    }
                    return null;
                });
    }

    private String choosePeer() {
        int turn = queryCount % QUERIES_PER_ROUND;
        queryCount++;
        Set<String> near = new LinkedHashSet<>();
        Set<String> all = new LinkedHashSet<>(seedHosts);
        for (Instance instance : view.get().instances()) {
            Distance distance = instanceSelector.distance(instance);
            if (distance == Distance.SAME_DATA_CENTRE) {
                near.add(instance.host());
            }
            if (distance != Distance.SAME_INSTANCE) {
                all.add(instance.host());
            }
        }
        if (turn == 1 && lastInformedHost != null && all.contains(lastInformedHost)) {
            return lastInformedHost;
        }
        List<String> candidates = new ArrayList<>(near.isEmpty() || turn % 2 == 1 ? all : near);
        if (candidates.isEmpty()) {
            return null;
        }
        Collections.shuffle(candidates, random);
        return candidates.get(0);
    }
}
