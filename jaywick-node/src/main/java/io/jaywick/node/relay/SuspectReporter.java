package io.jaywick.node.relay;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;

import io.jaywick.core.admission.SuspectList;
import io.jaywick.core.fleet.Instance;
import io.jaywick.core.message.Message;
import io.jaywick.core.message.PeerLink;
import io.jaywick.core.message.SuspectEntry;
import io.jaywick.core.message.SuspectReport;
import io.jaywick.core.snapshot.HomeRegions;

/**
 * Keeps the suspects of the nodes beside the targets of one service in step: each crash and each answered suspect is
 * reported to all of them, so that a request is blocked wherever it comes from. A starting node asks one of the others
 * what it missed. Runs on the event loop of the relay.
 */
final class SuspectReporter {

    /** More entries than a few crashes leave, few enough for one frame. */
    private static final int MAX_ENTRIES_PER_REPORT = 256;

    /** Answers within this time are reported together: the calls beside one crash are mostly answered soon after it. */
    private static final long ANSWER_REPORT_DELAY_MILLIS = 100;

    private final RelayContext context;
    private final PeerLink link;
    private final SuspectList suspects;
    private final List<SuspectEntry> answered = new ArrayList<>();
    private boolean learned;

    SuspectReporter(RelayContext context, PeerLink link, SuspectList suspects) {
        this.context = context;
        this.link = link;
        this.suspects = suspects;
    }

    /** Clears a request that the local target has answered, at all nodes of its service. */
    void clearAnswered(String fingerprint) {
        List<SuspectEntry> entry =
                suspects.entriesOf(List.of(fingerprint), context.settings().region());
        suspects.clear(fingerprint);
        if (!entry.isEmpty() && answered.isEmpty()) {
            context.runtime().loop().schedule(this::reportAnswered, ANSWER_REPORT_DELAY_MILLIS, TimeUnit.MILLISECONDS);
        }
        answered.addAll(entry);
    }

    private void reportAnswered() {
        context.log()
                .info(
                        "requests no longer suspected of crashing targets",
                        "fingerprints",
                        answered.stream().map(SuspectEntry::fingerprint).toList());
        List<SuspectEntry> reported = List.copyOf(answered);
        answered.clear();
        reportToPeers(region -> new SuspectReport(
                context.settings().region(),
                List.of(),
                reported.stream()
                        .filter(entry -> HomeRegions.allows(Set.copyOf(entry.homeRegions()), region))
                        .toList()));
    }

    /** Reports the requests that were in flight when the local target crashed. */
    void reportCrash(List<String> fingerprints) {
        reportToPeers(region ->
                new SuspectReport(context.settings().region(), suspects.entriesOf(fingerprints, region), List.of()));
    }

    private void reportToPeers(Function<String, SuspectReport> reportForRegion) {
        peerRegions().forEach((host, region) -> send(host, reportForRegion.apply(region)));
    }

    /** Returns the region of each other host with a target of the local service. */
    private Map<String, String> peerRegions() {
        RelaySettings settings = context.settings();
        Map<String, String> regions = new HashMap<>();
        for (Instance instance : context.fleet().get().instancesOf(settings.service())) {
            String region = settings.regionByDataCentre().get(instance.dataCentre());
            if (region != null && !instance.host().equals(settings.host())) {
                regions.put(instance.host(), region);
            }
        }
        return regions;
    }

    private void send(String host, SuspectReport report) {
        link.request(host + ":" + context.settings().peerPort(), report).whenComplete((reply, failure) -> {
            if (reply instanceof SuspectReport known) {
                known.suspects().forEach(suspects::merge);
                return;
            }
            boolean askedOnly = report.suspects().isEmpty() && report.answered().isEmpty();
            learned &= !askedOnly;
            context.log()
                    .debug(
                            "suspects not exchanged with a peer",
                            "host",
                            host,
                            "reason",
                            failure == null ? reply.getClass().getSimpleName() : failure.toString());
        });
    }

    /** Asks a peer for its suspects once, when the first peers are known. */
    void viewChanged() {
        if (learned) {
            return;
        }
        List<String> hosts = List.copyOf(peerRegions().keySet());
        if (!hosts.isEmpty()) {
            learned = true;
            send(
                    hosts.get(context.runtime().random().nextInt(hosts.size())),
                    new SuspectReport(context.settings().region(), List.of(), List.of()));
        }
    }

    /** Handles the report of a peer and replies with the suspects that this node knows. */
    CompletableFuture<Message> handle(SuspectReport report) {
        report.suspects().forEach(suspects::merge);
        report.answered().forEach(entry -> suspects.clear(entry.fingerprint()));
        return CompletableFuture.completedFuture(new SuspectReport(
                context.settings().region(), suspects.entriesFor(report.region(), MAX_ENTRIES_PER_REPORT), List.of()));
    }
}
