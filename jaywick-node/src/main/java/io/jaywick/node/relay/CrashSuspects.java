package io.jaywick.node.relay;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;

import io.jaywick.core.admission.CrashAttribution;
import io.jaywick.core.admission.Fingerprint;
import io.jaywick.core.admission.SuspectList;
import io.jaywick.core.admission.SuspectPolicy;
import io.jaywick.core.fleet.Instance;
import io.jaywick.core.message.ForwardCall;
import io.jaywick.core.message.Message;
import io.jaywick.core.message.PeerLink;
import io.jaywick.core.message.SuspectEntry;
import io.jaywick.core.message.SuspectReport;
import io.jaywick.core.rules.RouteRule;
import io.jaywick.core.snapshot.HomeRegions;

/**
 * Requests that are suspected of crashing the targets of the local service. The nodes beside these targets tell each
 * other of every crash, so that a request is blocked at all of them wherever it comes from. A starting node asks one of
 * the others what it missed. Runs on the event loop of the relay.
 */
final class CrashSuspects {

    /** More entries than a few crashes leave, few enough for one frame. */
    private static final int MAX_ENTRIES_PER_REPORT = 256;

    /** Answers within this time are reported together: the calls beside one crash are mostly answered soon after it. */
    private static final long ANSWER_REPORT_DELAY_MILLIS = 100;

    private final RelayContext context;
    private final PeerLink link;
    private final SuspectList suspects;
    private final CrashAttribution attribution;
    private final List<SuspectEntry> answered = new ArrayList<>();
    private boolean learned;

    CrashSuspects(RelayContext context, PeerLink link) {
        this.context = context;
        this.link = link;
        RelaySettings settings = context.settings();
        this.suspects = new SuspectList(
                settings.region(), SuspectPolicy.CONCURRENT, context.runtime().nanoTime());
        String process = settings.host() + "-"
                + Long.toHexString(context.runtime().random().nextLong());
        this.attribution =
                new CrashAttribution(suspects, process, context.runtime().nanoTime());
    }

    /** Returns the milliseconds for which a request remains blocked, 0 for one that is not blocked. */
    long blockedMillis(ForwardCall call) {
        return suspects.isEmpty() ? 0 : suspects.blockedMillis(fingerprint(call));
    }

    /** Number of suspected requests. */
    int size() {
        return suspects.size();
    }

    /** Number of crashes of the local target at which calls were lost. */
    long crashCount() {
        return attribution.crashCount();
    }

    /**
     * Records the result of a call at the local target.
     *
     * @return the result for the sender of the call, which learns that it must not retry a suspect
     */
    CallResult callEnded(ForwardCall call, CallResult result) {
        if (result.outcome() == CallResult.Outcome.ANSWERED) {
            clearAnswered(call);
        } else if (result.isConnectionLost()) {
            String fingerprint = fingerprint(call);
            attribution.recordLostCall(fingerprint, homeRegions(call));
            if (!suspects.crashIds(fingerprint).isEmpty()) {
                return CallResult.lost(CallResult.SUSPECT_LOST);
            }
        }
        return result;
    }

    private void clearAnswered(ForwardCall call) {
        if (suspects.isEmpty()) {
            return;
        }
        String fingerprint = fingerprint(call);
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

    /** Records a response of the target to a request sent at the given monotonic time. */
    void targetResponded(long sentNanos) {
        attribution.recordResponse(sentNanos);
    }

    /** Records that the target is down or was restarted, and tells the other nodes of its service. */
    void targetCrashed() {
        List<String> suspected = attribution.recordCrash();
        if (suspected.isEmpty()) {
            return;
        }
        context.log()
                .info(
                        "local target crashed with calls in flight",
                        "suspects",
                        suspected,
                        "blocked",
                        suspected.stream().filter(suspects::isBlocked).toList());
        reportToPeers(region ->
                new SuspectReport(context.settings().region(), suspects.entriesOf(suspected, region), List.of()));
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
                merge(known.suspects());
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

    private void merge(Collection<SuspectEntry> entries) {
        entries.forEach(suspects::merge);
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
        merge(report.suspects());
        report.answered().forEach(entry -> suspects.clear(entry.fingerprint()));
        return CompletableFuture.completedFuture(new SuspectReport(
                context.settings().region(), suspects.entriesFor(report.region(), MAX_ENTRIES_PER_REPORT), List.of()));
    }

    private String fingerprint(ForwardCall call) {
        String caller = HopHeaders.find(call.headers(), context.names().callerService());
        return Fingerprint.ofRequest(call.method(), call.uri(), caller == null ? "" : caller, call.body());
    }

    private Set<String> homeRegions(ForwardCall call) {
        RouteRule route = context.fleet().get().rules().routeFor(HopHeaders.find(call.headers(), "Host"), call.uri());
        return route == null ? Set.of() : route.homeRegions();
    }
}
