package io.jaywick.node.relay;

import java.util.ArrayList;
import java.util.Collections;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.function.Function;
import java.util.function.Supplier;

import io.jaywick.core.fleet.FleetView;
import io.jaywick.core.fleet.Instance;
import io.jaywick.core.message.Message;
import io.jaywick.core.message.PeerLink;
import io.jaywick.core.message.SourceQuery;
import io.jaywick.core.message.SourceState;
import io.jaywick.core.message.UpToDate;
import io.jaywick.core.placement.Distance;
import io.jaywick.core.placement.Placement;
import io.jaywick.node.peer.MessageHandlers;

/**
 * Passes on what the source published, between nodes: a node that the source refuses, or cannot reach, asks its peers.
 * Near peers may be refused as well, and know nothing newer; every second question therefore goes elsewhere, in turn to
 * the peer that last knew something newer and to any other. Runs on the event loop of the relay.
 */
final class SourceExchange implements PeerSource {

    /** Questions of one round: near, informed, near, any. */
    private static final int ROUND = 4;

    private final PeerLink link;
    private final Supplier<FleetView> view;
    private final Placement placement;
    private final int peerPort;
    private final List<String> seedHosts;
    private final Random random;
    private int questions;
    private String informedHost;

    SourceExchange(
            PeerLink link,
            Supplier<FleetView> view,
            Placement placement,
            int peerPort,
            List<String> seedHosts,
            Random random) {
        this.link = link;
        this.view = view;
        this.placement = placement;
        this.peerPort = peerPort;
        this.seedHosts = seedHosts;
        this.random = random;
    }

    /** Answers the questions of peers; the function gives what is newer than a revision, or null. */
    void answer(MessageHandlers handlers, Function<SourceQuery, SourceState> known) {
        handlers.register(SourceQuery.class, message -> {
            SourceState newer = known.apply((SourceQuery) message);
            return CompletableFuture.completedFuture(newer == null ? new UpToDate(0, "") : newer);
        });
    }

    @Override
    public CompletableFuture<SourceState> ask(long revision) {
        String host = nextHost();
        if (host == null) {
            return CompletableFuture.completedFuture(null);
        }
        return link.request(host + ":" + peerPort, new SourceQuery(revision)).thenApply((Message reply) -> {
            if (reply instanceof SourceState state) {
                informedHost = host;
                return state;
            }
            return null;
        });
    }

    private String nextHost() {
        int turn = questions % ROUND;
        questions++;
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
