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
 * Counts the servers on which each version is active. Servers report to the aggregator of their group, and the group
 * aggregators report to the aggregator of the data centre. A node that is queried for the fleet status queries the
 * aggregators of all data centres. Aggregators are selected by rendezvous hash; nodes whose views differ may report to
 * different aggregators, so that a count is at worst too small for a few report intervals.
 */
final class FleetStatusReporter {

    /** Maximum average number of servers in a group; servers are assigned to groups by hash. */
    static final int GROUP_SIZE = 32;

    private static final int SERVER_REPORT_GROUP = -1;
    private static final int MAX_REPORT_AGE_INTERVALS = 3;
    private static final long QUERY_TIMEOUT_MILLIS = 2_000;
    private static final long FORWARD_TIMEOUT_MILLIS = 1_000;
    private static final int AGGREGATORS_PER_DATA_CENTRE = 2;

    /** Time for which an aggregator collects the reports that follow an edit before it forwards their sum. */
    private static final long BATCH_DELAY_MILLIS = 250;

    private final NodeState state;
    private final Map<String, ReceivedReport> serverReports = new LinkedHashMap<>();
    private final Map<Integer, ReceivedReport> groupReports = new HashMap<>();
    private Snapshot countedSnapshot;
    private boolean forwardScheduled;
    private final Map<String, Integer> rosterSizeByDataCentre = new HashMap<>();

    FleetStatusReporter(NodeState state) {
        this.state = state;
    }

    /** Reports the version of this node and, as the aggregator of a group, the sum of its members' reports. */
    void report() {
        Snapshot snapshot = state.tracker.active();
        if (snapshot == null) {
            return;
        }
        updateRosterSizes(snapshot);
        Report own = new Report(
                state.self(), dataCentre(), SERVER_REPORT_GROUP, snapshot.revision(), snapshot.hash(), 1, 1, List.of());
        send(groupAggregator(group(state.self())), own);
        reportGroups();
    }

    private void reportGroups() {
        removeStale();
        Map<Integer, List<VersionCount>> byGroup = new HashMap<>();
        for (ReceivedReport received : serverReports.values()) {
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
            send(dataCentreAggregators(dataCentre()).get(0), report);
        });
    }

    Message handle(Report report) {
        state.recordMessage(report.from());
        ReceivedReport received = new ReceivedReport(
                new VersionCount(
                        report.from(),
                        report.revision(),
                        report.hash(),
                        report.inForce(),
                        report.known(),
                        report.laggards()),
                state.loop.nowMillis());
        if (report.group() == SERVER_REPORT_GROUP) {
            ReceivedReport previous = serverReports.put(report.from(), received);
            if ((previous == null || previous.count.revision() < report.revision()) && !forwardScheduled) {
                forwardScheduled = true;
                state.loop.schedule(BATCH_DELAY_MILLIS, () -> {
                    forwardScheduled = false;
                    reportGroups();
                });
            }
        } else {
            removeStale();
            // Two aggregators of one group may count the same servers, so only the report with more servers is kept.
            ReceivedReport previous = groupReports.get(report.group());
            if (previous == null
                    || previous.count.name().equals(report.from())
                    || previous.count.reportingServers() <= report.known()) {
                groupReports.put(report.group(), received);
            }
        }
        return new Ack(state.self());
    }

    /**
     * Answers with the counts of this node's data centre. The querying node may have selected another member because it
     * suspects the aggregator, so a member that is not the aggregator forwards the query to it.
     */
    CompletableFuture<Message> handle(FleetQuery query) {
        CompletableFuture<Message> result = new CompletableFuture<>();
        String aggregator = dataCentreAggregators(dataCentre()).get(0);
        Peer peer = state.membership.peer(aggregator);
        if (query.forwarded() || peer == null) {
            result.complete(fleetReply(query.dataCentre()));
        } else {
            state.request(
                    peer,
                    new FleetQuery(query.dataCentre(), true),
                    FORWARD_TIMEOUT_MILLIS,
                    result::complete,
                    () -> result.complete(fleetReply(query.dataCentre())));
        }
        return result;
    }

    private FleetReply fleetReply(String dataCentre) {
        removeStale();
        List<VersionCount> counts = new ArrayList<>();
        groupReports.forEach((group, received) -> {
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

    /** Queries the aggregators of all data centres of the roster. */
    CompletableFuture<FleetStatus> queryFleetStatus() {
        CompletableFuture<FleetStatus> result = new CompletableFuture<>();
        Snapshot snapshot = state.tracker.active();
        if (snapshot == null) {
            result.complete(FleetStatusAggregator.status(List.of(), 0));
            return result;
        }
        updateRosterSizes(snapshot);
        Map<String, FleetReply> replies = new HashMap<>();
        int[] pending = {1};
        for (DataCentre dataCentre : snapshot.dataCentres().values()) {
            // The second candidate replies if the first one has failed or if the views of the nodes differ.
            for (String aggregator : dataCentreAggregators(dataCentre.name())) {
                pending[0]++;
                query(aggregator, dataCentre.name(), reply -> {
                    if (reply instanceof FleetReply counts) {
                        replies.merge(dataCentre.name(), counts, (a, b) -> a.known() >= b.known() ? a : b);
                    }
                    completeOne(pending, replies, snapshot, result);
                });
            }
        }
        completeOne(pending, replies, snapshot, result);
        return result;
    }

    private static void completeOne(
            int[] pending, Map<String, FleetReply> replies, Snapshot snapshot, CompletableFuture<FleetStatus> result) {
        pending[0]--;
        if (pending[0] > 0) {
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

    private void query(String aggregator, String dataCentre, Consumer<Message> onReply) {
        FleetQuery query = new FleetQuery(dataCentre, false);
        Peer peer = state.membership.peer(aggregator);
        if (aggregator.equals(state.self())) {
            onReply.accept(fleetReply(dataCentre));
        } else if (peer == null) {
            onReply.accept(null);
        } else {
            state.request(peer, query, QUERY_TIMEOUT_MILLIS, onReply, () -> onReply.accept(null));
        }
    }

    private void send(String aggregator, Report report) {
        Peer peer = state.membership.peer(aggregator);
        if (aggregator.equals(state.self())) {
            handle(report);
        } else if (peer != null) {
            state.request(peer, report, Gossiper.REPLY_TIMEOUT_MILLIS, reply -> {});
        }
    }

    private String dataCentre() {
        return state.membership.self().dataCentre();
    }

    private int group(String server) {
        int rosterSize = rosterSizeByDataCentre.getOrDefault(dataCentre(), 1);
        return RendezvousHash.group(server, (rosterSize + GROUP_SIZE - 1) / GROUP_SIZE);
    }

    private String groupAggregator(int group) {
        return selectAggregators(dataCentre(), "group-head " + group, group, true)
                .get(0);
    }

    private List<String> dataCentreAggregators(String dataCentre) {
        List<String> aggregators = selectAggregators(dataCentre, "head", -1, true);
        return aggregators.isEmpty() ? selectAggregators(dataCentre, "head", -1, false) : aggregators;
    }

    /**
     * Returns the members of a data centre or group with the highest scores for a purpose, highest first. The
     * result is empty only for another data centre.
     *
     * @param purpose part of the hash input, the same text on all nodes
     * @param group number of the group, negative for the whole data centre
     * @param alive true to select servers that are alive, false to select the others
     */
    private List<String> selectAggregators(String dataCentre, String purpose, int group, boolean alive) {
        List<String> aggregators = new ArrayList<>(AGGREGATORS_PER_DATA_CENTRE + 1);
        if (dataCentre.equals(dataCentre())) {
            aggregators.add(state.self());
        }
        for (Peer peer : state.membership.peers()) {
            boolean isMember = peer.dataCentre().equals(dataCentre) && (group < 0 || group(peer.server()) == group);
            if (!isMember || state.membership.isAlive(peer) != alive) {
                continue;
            }
            long score = RendezvousHash.score(purpose, peer.server());
            int position = aggregators.size();
            while (position > 0 && RendezvousHash.score(purpose, aggregators.get(position - 1)) < score) {
                position--;
            }
            if (position < AGGREGATORS_PER_DATA_CENTRE) {
                aggregators.add(position, peer.server());
                if (aggregators.size() > AGGREGATORS_PER_DATA_CENTRE) {
                    aggregators.remove(AGGREGATORS_PER_DATA_CENTRE);
                }
            }
        }
        return aggregators;
    }

    private void updateRosterSizes(Snapshot snapshot) {
        if (countedSnapshot == snapshot) {
            return;
        }
        countedSnapshot = snapshot;
        rosterSizeByDataCentre.clear();
        for (Server server : snapshot.servers().values()) {
            rosterSizeByDataCentre.merge(server.dataCentre().name(), 1, Integer::sum);
        }
    }

    private void removeStale() {
        long oldestMillis = state.loop.nowMillis()
                - MAX_REPORT_AGE_INTERVALS * state.config.peers().reportIntervalMillis();
        serverReports.values().removeIf(received -> received.receivedMillis < oldestMillis);
        groupReports.values().removeIf(received -> received.receivedMillis < oldestMillis);
    }

    private record ReceivedReport(VersionCount count, long receivedMillis) {}
}
