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
import io.jaywick.core.gate.RunningRequests.RunningRequest;
import io.jaywick.core.placement.Distance;
import io.jaywick.core.placement.InstanceSelector;
import io.jaywick.core.retry.HedgeDelay;
import io.jaywick.core.retry.NestedCallAdmission;
import io.jaywick.core.routing.SmoothWeightedRoundRobin;
import io.jaywick.core.rules.CallerCheck;
import io.jaywick.core.rules.CallerDecision;
import io.jaywick.core.rules.RouteRule;
import io.jaywick.core.rules.RuleSet;
import io.jaywick.core.rules.ServiceWeight;

/** State and collaborators that all calls of the local callers of one node share. */
final class OutboundCalls {

    private final RelayContext context;
    private final InstanceSelector instanceSelector;
    private final SharedRetryBudget retryBudget;
    private final HedgeDelay hedgeDelay = new HedgeDelay();
    private final AccountAccess accountAccess;
    private final LocalTarget localTarget;
    private final PeerCalls peerCalls;
    private final RelayMeters meters;
    private final ObservedRateLimits rateLimits;
    private final Map<String, SmoothWeightedRoundRobin<ServiceWeight>> weightsByRoute = new HashMap<>();
    private final int peerPort;
    private final Set<OutboundCall> activeCalls = new LinkedHashSet<>();
    private boolean refusingLong;
    private boolean refusingNew;
    private boolean refusingAll;
    private final String callIdPrefix;
    private long lastCallNumber;

    OutboundCalls(
            RelayContext context,
            InstanceSelector instanceSelector,
            SharedRetryBudget retryBudget,
            AccountAccess accountAccess,
            LocalTarget localTarget,
            PeerCalls peerCalls,
            RelayMeters meters) {
        this.context = context;
        this.instanceSelector = instanceSelector;
        this.retryBudget = retryBudget;
        this.accountAccess = accountAccess;
        this.localTarget = localTarget;
        this.peerCalls = peerCalls;
        this.meters = meters;
        this.rateLimits = new ObservedRateLimits(context.names().rateLimit());
        this.peerPort = context.settings().peerPort();
        // Other nodes may read messages about the calls of an earlier process of this host late.
        this.callIdPrefix = context.settings().host() + "-"
                + Long.toHexString(context.runtime().random().nextLong()) + "-";
    }

    /** Serves one request; the returned handle cancels it when its caller disconnects. */
    PendingCall serve(ClientRequest request, Consumer<ClientResponse> onResponse) {
        OutboundCall call = new OutboundCall(this, request, onResponse);
        call.start();
        return call;
    }

    /** Records what an instance states about itself in a response; headers alternate between name and value. */
    void recordStatements(Instance instance, List<String> headers) {
        rateLimits.observe(instance, headers);
        if (context.names().findLeaving(headers) != null) {
            instanceSelector.recordLeaving(instance);
        }
    }

    /** Drops the load statistics and the limits of instances that were removed. */
    void viewChanged() {
        Set<String> ids = new HashSet<>();
        for (Instance instance : context.fleet().get().instances()) {
            ids.add(instance.id());
        }
        instanceSelector.retain(ids);
        rateLimits.retain(ids);
    }

    String chooseService(RouteRule route) {
        return weightsByRoute
                .computeIfAbsent(
                        route.name(),
                        name -> new SmoothWeightedRoundRobin<>(
                                route.services(),
                                ServiceWeight::service,
                                ServiceWeight::weight,
                                context.runtime().random()))
                .choose(route.services())
                .service();
    }

    /** Decides whether a call is accepted from its caller, and on which terms. */
    CallerDecision checkCaller(RuleSet rules, ClientRequest request, String requestId, RouteRule route) {
        return CallerCheck.check(
                rules,
                route,
                request.headers().getAll(context.names().credential()),
                requestId,
                localTarget.runningRequests(),
                accountAccess.rulesOutdated().getAsBoolean());
    }

    /**
     * Counts an original call at the retry budget, unless it is made for a repeated execution at the local target,
     * which has reserved it.
     *
     * @return the request at the local target for which the call is made, or null
     */
    RunningRequest recordCall(String requestId, String service) {
        RunningRequest parent = localTarget.runningRequests().parentOf(requestId);
        if (parent != null) {
            localTarget.nestedCalls().recordCall(parent.route(), service);
        }
        if (parent == null || !parent.repeated()) {
            retryBudget.recordOriginalCall(service);
        }
        return parent;
    }

    /** Records the end of a call made for a request that runs at the local target. */
    void recordNestedOutcome(RunningRequest parent, String service, NestedCallAdmission.Outcome outcome) {
        localTarget.nestedAdmission().recordOutcome(parent, service, outcome);
    }

    CallTarget targetOf(Instance instance) {
        return instanceSelector.distance(instance) == Distance.SAME_INSTANCE
                ? localTarget
                : peerCalls.targetAt(instance.host() + ":" + peerPort);
    }

    /** Returns an id that no other call has, also of an earlier process of this host. */
    String nextCallId() {
        lastCallNumber++;
        return callIdPrefix + lastCallNumber;
    }

    /**
     * Refuses further calls, which are reported as not executed, except those that the local target makes for a request
     * that it runs, and whose own deadline is before the drain deadline.
     */
    void refuseNew() {
        refusingNew = true;
    }

    /** Refuses all further calls, which are reported as not executed. */
    void refuseAll() {
        refusingAll = true;
    }

    /** Refuses further calls whose own deadline is after the drain deadline. */
    void refuseLong() {
        refusingLong = true;
    }

    /**
     * Whether a new call of the route is answered before the drain deadline: its own deadline is earlier, or, as long as
     * calls with a later deadline are accepted, its answer is expected earlier.
     */
    boolean canAccept(String requestId, RouteRule route, long deadlineNanos) {
        if (refusingAll || refusingNew && !isForRunningRequest(requestId)) {
            return false;
        }
        DrainDeadline deadline = context.drainDeadline();
        return !deadline.isBefore(deadlineNanos)
                || !refusingLong
                        && !refusingNew
                        && expectedMillis(route) <= deadline.remainingMillis(context.nanoTime());
    }

    private boolean isForRunningRequest(String requestId) {
        return localTarget.runningRequests().parentOf(requestId) != null;
    }

    private double expectedMillis(RouteRule route) {
        double tailMillis = hedgeDelay.tailLatencyMillis(route.name());
        return tailMillis > 0 ? tailMillis : route.objectiveMillis();
    }

    void started(OutboundCall call) {
        activeCalls.add(call);
    }

    void ended(OutboundCall call) {
        activeCalls.remove(call);
    }

    int inFlight() {
        return activeCalls.size();
    }

    /** Responds to the calls in flight because the node shuts down. */
    void abortAll() {
        for (OutboundCall call : List.copyOf(activeCalls)) {
            call.abort();
        }
    }

    RelayContext context() {
        return context;
    }

    FleetView fleet() {
        return context.fleet().get();
    }

    InstanceSelector instanceSelector() {
        return instanceSelector;
    }

    SharedRetryBudget retryBudget() {
        return retryBudget;
    }

    AccountQuotas accountQuotas() {
        return accountAccess.quotas();
    }

    HedgeDelay hedgeDelay() {
        return hedgeDelay;
    }

    ObservedRateLimits rateLimits() {
        return rateLimits;
    }

    RelayMeters meters() {
        return meters;
    }
}
