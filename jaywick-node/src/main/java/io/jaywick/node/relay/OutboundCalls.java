package io.jaywick.node.relay;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

import io.jaywick.core.fleet.FleetView;
import io.jaywick.core.fleet.Instance;
import io.jaywick.core.placement.Distance;
import io.jaywick.core.placement.Placement;
import io.jaywick.core.retry.FleetRetryBudget;
import io.jaywick.core.routing.SmoothWeights;
import io.jaywick.core.rules.RouteRule;
import io.jaywick.core.rules.ServiceWeight;

/** What all calls of the callers beside one node share. */
final class OutboundCalls {

    /** A node that starts reads the store within this time; a call that comes sooner waits for the rules. */
    private static final long RULES_WAIT_MILLIS = 600;

    /** Memory bound of the calls that wait for the rules. */
    private static final int MAX_AWAITING = 256;

    private final RelayContext context;
    private final Placement placement;
    private final FleetRetryBudget retries;
    private final CallTarget local;
    private final PeerCalls peers;
    private final RelayMeters meters;
    private final Map<String, SmoothWeights<ServiceWeight>> weights = new HashMap<>();
    private final int peerPort;
    private final long startNanos;
    private final List<OutboundCall> awaitingRules = new ArrayList<>();
    private boolean refusing;
    private int inFlight;
    private int nodes = 1;
    private long lastCallNumber;

    OutboundCalls(RelayContext context, Placement placement, CallTarget local, PeerCalls peers, RelayMeters meters) {
        RelaySettings settings = context.settings();
        this.context = context;
        this.startNanos = context.nanoTime();
        this.placement = placement;
        this.retries = new FleetRetryBudget(
                settings.retryRatio(),
                settings.retryAllowance(),
                settings.retryWindowMillis(),
                context.runtime().nanoTime(),
                context.runtime().random());
        this.local = local;
        this.peers = peers;
        this.meters = meters;
        this.peerPort = Integer.parseInt(
                settings.peerAddress().substring(settings.peerAddress().lastIndexOf(':') + 1));
    }

    /** Serves one request; the returned handle ends it when its caller leaves. */
    PendingCall serve(ClientRequest request, Consumer<ClientAnswer> done) {
        OutboundCall call = new OutboundCall(this, request, done);
        call.start();
        return call;
    }

    /**
     * Keeps a call until the rules are known or the time in which a starting node reads them is over.
     *
     * @return whether the call waits
     */
    boolean awaitRules(OutboundCall call) {
        long leftMillis = RULES_WAIT_MILLIS - TimeUnit.NANOSECONDS.toMillis(context.nanoTime() - startNanos);
        if (leftMillis <= 0 || awaitingRules.size() >= MAX_AWAITING) {
            return false;
        }
        if (awaitingRules.isEmpty()) {
            context.runtime().loop().schedule(this::releaseAwaiting, leftMillis, TimeUnit.MILLISECONDS);
        }
        awaitingRules.add(call);
        return true;
    }

    private void releaseAwaiting() {
        List<OutboundCall> released = List.copyOf(awaitingRules);
        awaitingRules.clear();
        for (OutboundCall call : released) {
            call.rulesAwaited();
        }
    }

    /** Forgets what belonged to instances that are gone, and routes the calls that waited for the rules. */
    void viewChanged() {
        if (fleet().rules().isKnown()) {
            releaseAwaiting();
        }
        Set<String> ids = new HashSet<>();
        Set<String> hosts = new HashSet<>();
        for (Instance instance : context.fleet().get().instances()) {
            ids.add(instance.id());
            hosts.add(instance.host());
        }
        placement.retain(ids);
        nodes = Math.max(1, hosts.size());
    }

    String chooseService(RouteRule route) {
        return weights.computeIfAbsent(
                        route.name(),
                        name -> new SmoothWeights<>(
                                route.services(),
                                ServiceWeight::service,
                                ServiceWeight::weight,
                                context.runtime().random()))
                .choose(route.services())
                .service();
    }

    CallTarget targetOf(Instance instance) {
        return placement.distance(instance) == Distance.SAME_INSTANCE
                ? local
                : peers.at(instance.host() + ":" + peerPort);
    }

    String nextCallId() {
        lastCallNumber++;
        return context.settings().host() + "-" + lastCallNumber;
    }

    /** From now on new calls are refused as not run. */
    void refuseNew() {
        refusing = true;
    }

    boolean isRefusing() {
        return refusing;
    }

    void started() {
        inFlight++;
    }

    void ended() {
        inFlight--;
    }

    int inFlight() {
        return inFlight;
    }

    int nodes() {
        return nodes;
    }

    RelayContext context() {
        return context;
    }

    FleetView fleet() {
        return context.fleet().get();
    }

    Placement placement() {
        return placement;
    }

    FleetRetryBudget retries() {
        return retries;
    }

    RelayMeters meters() {
        return meters;
    }
}
