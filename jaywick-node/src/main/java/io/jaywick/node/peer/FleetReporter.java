package io.jaywick.node.peer;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;

import io.jaywick.core.distribution.FleetStatus;
import io.jaywick.core.distribution.FleetStatusAggregator;
import io.jaywick.core.distribution.FleetStatusAggregator.VersionCount;
import io.jaywick.core.membership.Peer;
import io.jaywick.core.membership.RendezvousHash;
import io.jaywick.core.message.Ack;
import io.jaywick.core.message.FleetQuery;
import io.jaywick.core.message.FleetReply;
import io.jaywick.core.message.Message;
import io.jaywick.core.message.Report;
import io.jaywick.core.snapshot.DataCentre;
import io.jaywick.core.snapshot.Server;
import io.jaywick.core.snapshot.Snapshot;

/**
 * Collects which server holds which version. Servers report to the head of their group, heads of groups to the head of
 * the data centre, and the node that is asked queries the heads of all data centres. Every head is picked by rendezvous
 * hash; two views that differ split the reports, so that a count is at worst too small for a few intervals.
 */
final class FleetReporter {

    /** Servers in one group. */
    static final int GROUP_SIZE = 32;

    private static final int SERVER_REPORT = -1;
    private static final int FRESH_INTERVALS = 3;
    private static final long QUERY_MILLIS = 2_000;
    private static final long FORWARD_TIMEOUT_MILLIS = 1_000;
    private static final int QUERIED_HEADS = 2;

    /** Time over which a head gathers the reports that follow an edit. */
    private static final long FORWARD_MILLIS = 250;

    private final NodeState state;
    private final Map<String, Received> servers = new LinkedHashMap<>();
    private final Map<Integer, Received> groups = new HashMap<>();
    private Snapshot counted;
    private boolean forwarding;
    private final Map<String, Integer> rosterByDataCentre = new HashMap<>();

    FleetReporter(NodeState state) {
        this.state = state;
    }

    /** Reports the own version, and as head of the group that of its members. */
    void report() {
        Snapshot snapshot = state.tracker.active();
        if (snapshot == null) {
            return;
        }
        countRoster(snapshot);
        Report own = new Report(
                state.self(), dataCentre(), SERVER_REPORT, snapshot.revision(), snapshot.hash(), 1, 1, List.of());
        send(groupHead(group(state.self())), own);
        reportGroups();
    }

    private void reportGroups() {
        dropOld();
        Map<Integer, List<VersionCount>> byGroup = new HashMap<>();
        for (Received received : servers.values()) {
            byGroup.computeIfAbsent(group(received.count.name()), k -> new ArrayList<>())
                    .add(received.count);
        }
        byGroup.forEach((group, counts) -> {
            VersionCount sum = FleetStatusAggregator.sum(counts);
            Report report = new Report(
                    state.self(),
                    dataCentre(),
                    group,
                    sum.revision(),
                    sum.hash(),
                    sum.activeServers(),
                    sum.reportingServers(),
                    sum.laggards());
            send(dataCentreHeads(dataCentre()).get(0), report);
        });
    }

    Message answer(Report report) {
        state.spokenTo(report.from());
        Received received = new Received(
                new VersionCount(
                        report.from(),
                        report.revision(),
                        report.hash(),
                        report.inForce(),
                        report.known(),
                        report.laggards()),
                state.loop.nowMillis());
        if (report.group() == SERVER_REPORT) {
            Received known = servers.put(report.from(), received);
            if ((known == null || known.count.revision() < report.revision()) && !forwarding) {
                forwarding = true;
                state.loop.after(FORWARD_MILLIS, () -> {
                    forwarding = false;
                    reportGroups();
                });
            }
        } else {
            dropOld();
            // Two heads of one group may overlap, so only the one that knows more servers counts.
            Received other = groups.get(report.group());
            if (other == null
                    || other.count.name().equals(report.from())
                    || other.count.reportingServers() <= report.known()) {
                groups.put(report.group(), received);
            }
        }
        return new Ack(state.self());
    }

    /**
     * Answers with the counts of the own data centre. The asking node may not know the head, because it takes it for a
     * suspect, so a member that is not the head itself passes the query on.
     */
    CompletableFuture<Message> answer(FleetQuery query) {
        CompletableFuture<Message> result = new CompletableFuture<>();
        String head = dataCentreHeads(dataCentre()).get(0);
        Peer peer = state.membership.peer(head);
        if (query.forwarded() || peer == null) {
            result.complete(counts(query.dataCentre()));
        } else {
            state.ask(
                    peer,
                    new FleetQuery(query.dataCentre(), true),
                    FORWARD_TIMEOUT_MILLIS,
                    result::complete,
                    () -> result.complete(counts(query.dataCentre())));
        }
        return result;
    }

    private FleetReply counts(String dataCentre) {
        dropOld();
        List<VersionCount> counts = new ArrayList<>();
        groups.forEach((group, received) -> {
            VersionCount count = received.count;
            String name = dataCentre + " group " + group;
            counts.add(new VersionCount(
                    name,
                    count.revision(),
                    count.hash(),
                    count.activeServers(),
                    count.reportingServers(),
                    count.laggards()));
        });
        VersionCount sum = FleetStatusAggregator.sum(counts);
        return new FleetReply(
                dataCentre, sum.revision(), sum.hash(), sum.activeServers(), sum.reportingServers(), sum.laggards());
    }

    /** Queries the heads of all data centres of the roster. */
    CompletableFuture<FleetStatus> status() {
        CompletableFuture<FleetStatus> result = new CompletableFuture<>();
        Snapshot snapshot = state.tracker.active();
        if (snapshot == null) {
            result.complete(FleetStatusAggregator.status(List.of(), 0));
            return result;
        }
        countRoster(snapshot);
        Map<String, FleetReply> replies = new HashMap<>();
        int[] open = {1};
        for (DataCentre dataCentre : snapshot.dataCentres().values()) {
            // The second candidate answers when the first is lost or when the views of the nodes differ.
            for (String head : dataCentreHeads(dataCentre.name())) {
                open[0]++;
                query(head, dataCentre.name(), reply -> {
                    if (reply instanceof FleetReply counts) {
                        replies.merge(dataCentre.name(), counts, (a, b) -> a.known() >= b.known() ? a : b);
                    }
                    finish(open, replies, snapshot, result);
                });
            }
        }
        finish(open, replies, snapshot, result);
        return result;
    }

    private static void finish(
            int[] open, Map<String, FleetReply> replies, Snapshot snapshot, CompletableFuture<FleetStatus> result) {
        open[0]--;
        if (open[0] > 0) {
            return;
        }
        List<VersionCount> counts = new ArrayList<>();
        for (FleetReply reply : replies.values()) {
            counts.add(new VersionCount(
                    reply.dataCentre(),
                    reply.revision(),
                    reply.hash(),
                    reply.inForce(),
                    reply.known(),
                    reply.laggards()));
        }
        result.complete(FleetStatusAggregator.status(counts, snapshot.servers().size()));
    }

    private void query(String head, String dataCentre, Consumer<Message> onReply) {
        FleetQuery query = new FleetQuery(dataCentre, false);
        Peer peer = state.membership.peer(head);
        if (head.equals(state.self())) {
            onReply.accept(counts(dataCentre));
        } else if (peer == null) {
            onReply.accept(null);
        } else {
            state.ask(peer, query, QUERY_MILLIS, onReply, () -> onReply.accept(null));
        }
    }

    private void send(String head, Report report) {
        Peer peer = state.membership.peer(head);
        if (head.equals(state.self())) {
            answer(report);
        } else if (peer != null) {
            state.ask(peer, report, Spreader.ANSWER_MILLIS, reply -> {});
        }
    }

    private String dataCentre() {
        return state.membership.self().dataCentre();
    }

    private int group(String server) {
        int roster = rosterByDataCentre.getOrDefault(dataCentre(), 1);
        return RendezvousHash.group(server, (roster + GROUP_SIZE - 1) / GROUP_SIZE);
    }

    private String groupHead(int group) {
        return heads(dataCentre(), "group-head " + group, group, true).get(0);
    }

    private List<String> dataCentreHeads(String dataCentre) {
        List<String> heads = heads(dataCentre, "head", -1, true);
        return heads.isEmpty() ? heads(dataCentre, "head", -1, false) : heads;
    }

    /** The first living members of a data centre or group for a purpose; empty only for a foreign data centre. */
    private List<String> heads(String dataCentre, String purpose, int group, boolean alive) {
        List<String> heads = new ArrayList<>(QUERIED_HEADS + 1);
        if (dataCentre.equals(dataCentre())) {
            heads.add(state.self());
        }
        for (Peer peer : state.membership.peers()) {
            boolean member = peer.dataCentre().equals(dataCentre) && (group < 0 || group(peer.server()) == group);
            if (!member || state.membership.isAlive(peer) != alive) {
                continue;
            }
            long score = RendezvousHash.score(purpose, peer.server());
            int at = heads.size();
            while (at > 0 && RendezvousHash.score(purpose, heads.get(at - 1)) < score) {
                at--;
            }
            if (at < QUERIED_HEADS) {
                heads.add(at, peer.server());
                if (heads.size() > QUERIED_HEADS) {
                    heads.remove(QUERIED_HEADS);
                }
            }
        }
        return heads;
    }

    private void countRoster(Snapshot snapshot) {
        if (counted == snapshot) {
            return;
        }
        counted = snapshot;
        rosterByDataCentre.clear();
        for (Server server : snapshot.servers().values()) {
            rosterByDataCentre.merge(server.dataCentre().name(), 1, Integer::sum);
        }
    }

    private void dropOld() {
        long oldest =
                state.loop.nowMillis() - FRESH_INTERVALS * state.config.peers().reportIntervalMillis();
        servers.values().removeIf(received -> received.atMillis < oldest);
        groups.values().removeIf(received -> received.atMillis < oldest);
    }

    private record Received(VersionCount count, long atMillis) {}
}
