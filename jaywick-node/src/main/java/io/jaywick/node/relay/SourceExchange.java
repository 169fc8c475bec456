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
import io.jaywick.core.placement.Distance;
import io.jaywick.core.placement.InstanceSelector;
import io.netty.util.concurrent.ScheduledFuture;

/**
 * Passes on what the source published, between nodes: a node that the source refuses, or cannot reach, asks its peers.
 * Near peers may be refused as well, and know nothing newer; every second question therefore goes elsewhere, in turn to
 * the peer that last knew something newer and to any other. Runs on the event loop of the relay.
 */
public final class SourceExchange implements PeerSource {

    /** Questions of one round: near, informed, near, any. */
    private static final int ROUND = 4;

    private final PeerLink link;
    private final Supplier<FleetView> view;
    private final InstanceSelector placement;
    private final int peerPort;
    private final List<String> seedHosts;
    private final Random random;
    private final SourceQuestions questions;
    private final SourceFollower follower;
    private int asked;
    private String informedHost;

    SourceExchange(
            RelaySettings settings,
            PeerLink link,
            Supplier<FleetView> view,
            InstanceSelector placement,
            Random random,
            SourceQuestions questions,
            SourceFollower follower) {
        this.link = link;
        this.view = view;
        this.placement = placement;
        this.peerPort = settings.peerPort();
        this.seedHosts = settings.seedHosts();
        this.random = random;
        this.questions = questions;
        this.follower = follower;
    }

    /**
     * Makes the exchange of one node.
     *
     * @param known what the node holds itself
     */
    public static SourceExchange of(
            RelaySettings settings,
            PeerLink link,
            Supplier<FleetView> view,
            InstanceSelector placement,
            NodeRuntime runtime,
            SourceStateProvider known) {
        DelayedTasks tasks = (task, millis) -> {
            ScheduledFuture<?> timer = runtime.loop().schedule(task, millis, TimeUnit.MILLISECONDS);
            return () -> timer.cancel(false);
        };
        UpstreamSelector upstreams = new UpstreamSelector(
                settings.host(), settings.dataCentre(), settings.regionByDataCentre(), runtime.nanoTime());
        SourceFollower follower = new SourceFollower(
                link, view, upstreams, settings.peerPort(), settings.maxPropagationMillis(), tasks, runtime.log());
        return new SourceExchange(
                settings, link, view, placement, runtime.random(), new SourceQuestions(known, tasks), follower);
    }

    /** Answers a question of a peer. */
    public CompletableFuture<Message> handleQuery(SourceQuery query) {
        return questions.ask(query);
    }

    /** The node ends soon; those that follow it go elsewhere. */
    public void leave() {
        questions.leave();
    }

    @Override
    public CompletableFuture<FollowResult> follow(long revision, boolean whole) {
        return follower.follow(revision, whole);
    }

    @Override
    public void notifyChanged() {
        questions.changed();
    }

    @Override
    public void notifySourceLost() {
        questions.lost();
    }

    @Override
    public CompletableFuture<SourceState> query(long revision) {
        String host = nextHost();
        if (host == null) {
            return CompletableFuture.completedFuture(null);
        }
        return link.request(host + ":" + peerPort, new SourceQuery(revision, 0, true))
                .thenApply((Message reply) -> {
                    if (reply instanceof SourceState state) {
                        informedHost = host;
                        return state;
                    }
                    return null;
                });
    }

    private String nextHost() {
        int turn = asked % ROUND;
        asked++;
        Set<String> near = new LinkedHashSet<>();
        Set<String> all = new LinkedHashSet<>(seedHosts);
        for (Instance instance : view.get().instances()) {
            Distance distance = placement.distance(instance);
            if (distance == Distance.SAME_DATA_CENTRE) {
                near.add(instance.host());
            }
            if (distance != Distance.SAME_INSTANCE) {
                all.add(instance.host());
            }
        }
        if (turn == 1 && informedHost != null && all.contains(informedHost)) {
            return informedHost;
        }
        List<String> choice = new ArrayList<>(near.isEmpty() || turn % 2 == 1 ? all : near);
        if (choice.isEmpty()) {
            return null;
        }
        Collections.shuffle(choice, random);
        return choice.get(0);
    }
}
