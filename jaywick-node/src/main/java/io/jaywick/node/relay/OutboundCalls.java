package io.jaywick.node.relay;

import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;

import io.jaywick.core.fleet.FleetView;
import io.jaywick.core.fleet.Instance;
import io.jaywick.core.placement.Distance;
import io.jaywick.core.placement.InstanceSelector;
import io.jaywick.core.retry.FleetRetryBudget;
import io.jaywick.core.retry.HedgeDelay;
import io.jaywick.core.routing.SmoothWeightedRoundRobin;
import io.jaywick.core.rules.RouteRule;
import io.jaywick.core.rules.ServiceWeight;

/** What all calls of the callers beside one node share. */
final class OutboundCalls {

    private final RelayContext context;
    private final InstanceSelector placement;
    private final FleetRetryBudget retries;
    private final HedgeDelay hedgeDelay = new HedgeDelay();
    private final LocalTarget local;
    private final PeerCalls peers;
    private final RelayMeters meters;
    private final Map<String, SmoothWeightedRoundRobin<ServiceWeight>> weights = new HashMap<>();
    private final int peerPort;
    private final Set<OutboundCall> active = new LinkedHashSet<>();
    private boolean refusing;
    private int nodes = 1;
    private long lastCallNumber;

    OutboundCalls(
            RelayContext context, InstanceSelector placement, LocalTarget local, PeerCalls peers, RelayMeters meters) {
        RelaySettings settings = context.settings();
        this.context = context;
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
        this.peerPort = settings.peerPort();
    }

    /** Serves one request; the returned handle ends it when its caller leaves. */
    PendingCall serve(ClientRequest request, Consumer<ClientAnswer> done) {
        OutboundCall call = new OutboundCall(this, request, done);
        call.start();
        return call;
    }

    /** Forgets what belonged to instances that are gone. */
    void viewChanged() {
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
                        name -> new SmoothWeightedRoundRobin<>(
                                route.services(),
                                ServiceWeight::service,
                                ServiceWeight::weight,
                                context.runtime().random()))
                .choose(route.services())
                .service();
    }

    /** Priority of a call from this host, which may be made for a request that runs at the target beside the node. */
    int priorityOf(String requestId, RouteRule route) {
        return local.priorities().priorityOf(requestId, route.priority());
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

    /** Whether a new call of the route can probably be answered before the node ends. */
    boolean mayTake(RouteRule route) {
        LeaveDeadline leave = context.leave();
        return !leave.isSet()
                || !refusing && hedgeDelay.tailLatencyMillis(route.name()) <= leave.remainingMillis(context.nanoTime());
    }

    void started(OutboundCall call) {
        active.add(call);
    }

    void ended(OutboundCall call) {
        active.remove(call);
    }

    int inFlight() {
        return active.size();
    }

    /** The node ends: answers what is still under way. */
    void endAll() {
        for (OutboundCall call : List.copyOf(active)) {
            call.nodeEnds();
        }
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

    InstanceSelector placement() {
        return placement;
    }

    FleetRetryBudget retries() {
        return retries;
    }

    HedgeDelay hedgeDelay() {
        return hedgeDelay;
    }

    RelayMeters meters() {
        return meters;
    }
}
