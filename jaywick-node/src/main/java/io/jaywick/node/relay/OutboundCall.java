package io.jaywick.node.relay;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

import io.jaywick.core.fleet.FleetView;
import io.jaywick.core.fleet.Instance;
import io.jaywick.core.message.ForwardCall;
import io.jaywick.core.placement.Distance;
import io.jaywick.core.rules.RouteRule;
import io.netty.util.concurrent.ScheduledFuture;

/**
 * One request of a caller beside the node. The nearest instances are tried first, and each may refuse the call when it
 * would miss its latency objective there; then the least loaded one gets it. A call is sent to a second target only
 * when the first certainly did not run it, or when it is idempotent, and only within the fleet's retry budget.
 */
final class OutboundCall implements PendingCall {

    /** Instances that are asked, nearest first, whether they can meet the objective; each costs a round trip. */
    private static final int MAX_TRIALS = 4;

    /** Instances that are asked to take a call that meets its objective nowhere. */
    private static final int MAX_LAST_RESORTS = 2;

    /** The answer that the target itself gives at the deadline still arrives in this time. */
    private static final long DEADLINE_SLACK_MILLIS = 150;

    /** Least and greatest wait that a refused caller is told; its own deadlines are of about one second and more. */
    private static final long MIN_RETRY_AFTER_MILLIS = 100;

    private static final long MAX_RETRY_AFTER_MILLIS = 1_000;

    /** Time for which an instance that refused a call because it leaves gets no further one. */
    private static final long LEAVING_AVOID_MILLIS = 1_000;

    private static final int STATUS_SERVER_FAILURE = 500;
    private static final long NANOS_PER_MILLI = 1_000_000;

    private final OutboundCalls calls;
    private final ClientRequest request;
    private final Consumer<ClientAnswer> done;
    private final String requestId;
    private final Set<String> refusedBy = new HashSet<>();
    private final Set<String> refusedLastBy = new HashSet<>();
    private final Set<String> sentTo = new HashSet<>();
    private RouteRule route;
    private String service;
    private long deadlineNanos;
    private List<String> headers = List.of();
    private final CallHistory history = new CallHistory();
    private int trials;
    private int arrivals;
    private boolean mayHaveRun;
    private long leastExpectedMillis = -1;
    private CallResult failure;
    private PendingCall pending;
    private ScheduledFuture<?> timeout;
    private boolean ended;
    private String endReason = "";

    OutboundCall(OutboundCalls calls, ClientRequest request, Consumer<ClientAnswer> done) {
        this.calls = calls;
        this.request = request;
        this.done = done;
        this.requestId = request.headers().get(calls.context().names().requestId());
    }

    void start() {
        calls.started();
        FleetView view = calls.fleet();
        if (requestId == null || requestId.isEmpty()) {
            end(ClientAnswer.own(ClientAnswer.BAD_REQUEST, "no-request-id", 0));
            return;
        }
        if (calls.isRefusing()) {
            end(refusal("node-leaves"));
            return;
        }
        if (!view.rules().isKnown()) {
            if (!calls.awaitRules(this)) {
                end(refusal("no-rules"));
            }
            return;
        }
        route(view);
    }

    /** Goes on, or is refused, when the rules are known or are no longer awaited. */
    void rulesAwaited() {
        if (ended) {
            return;
        }
        FleetView view = calls.fleet();
        if (view.rules().isKnown()) {
            route(view);
        } else {
            end(refusal("no-rules"));
        }
    }

    private void route(FleetView view) {
        route = view.rules().route(request.host(), request.uri());
        if (route == null) {
            end(ClientAnswer.own(ClientAnswer.NOT_FOUND, "no-route", 0));
            return;
        }
        long allowedMillis = Math.min(
                request.millis(calls.context().names().deadlineMillis(), route.timeoutMillis()), route.timeoutMillis());
        deadlineNanos = request.receivedNanos() + allowedMillis * NANOS_PER_MILLI;
        service = calls.chooseService(route);
        calls.retries().countFirst(service);
        headers = forwardedHeaders();
        timeout = calls.context()
                .runtime()
                .loop()
                .schedule(this::deadlinePassed, remainingMillis() + DEADLINE_SLACK_MILLIS, TimeUnit.MILLISECONDS);
        next();
    }

    private List<String> forwardedHeaders() {
        HeaderNames names = calls.context().names();
        List<String> copy = HopHeaders.copy(
                request.headers(),
                Set.of(
                        names.callerService().toLowerCase(Locale.ROOT),
                        names.expectedInstance().toLowerCase(Locale.ROOT),
                        names.deadlineMillis().toLowerCase(Locale.ROOT)));
        List<String> forwarded = new ArrayList<>(copy);
        forwarded.add(names.callerService());
        forwarded.add(calls.context().settings().service());
        return forwarded;
    }

    private long remainingMillis() {
        return (deadlineNanos - calls.context().nanoTime()) / NANOS_PER_MILLI;
    }

    /** Sends the call to the next instance, or ends it when there is none. */
    private void next() {
        if (ended) {
            return;
        }
        if (remainingMillis() <= 0) {
            end(failure("deadline"));
            return;
        }
        FleetView view = calls.fleet();
        List<Instance> order = calls.placement().order(view, service, route.homeRegions());
        order.removeIf(instance -> sentTo.contains(instance.id()));
        Instance trial = nextTrial(order);
        if (trial != null) {
            trials++;
            offer(trial, true);
            return;
        }
        boolean none = order.isEmpty();
        order.removeIf(instance -> refusedLastBy.contains(instance.id()));
        Instance last = calls.placement().lastResort(view, order);
        if (last == null || refusedLastBy.size() >= MAX_LAST_RESORTS) {
            end(failure(none ? "no-instance" : "overloaded"));
            return;
        }
        refusedLastBy.add(last.id());
        offer(last, false);
    }

    private Instance nextTrial(List<Instance> order) {
        if (trials >= MAX_TRIALS) {
            return null;
        }
        for (Instance instance : order) {
            if (!refusedBy.contains(instance.id())) {
                return instance;
            }
        }
        return null;
    }

    private void offer(Instance instance, boolean trial) {
        long elapsedMillis = (calls.context().nanoTime() - request.receivedNanos()) / NANOS_PER_MILLI;
        ForwardCall call = new ForwardCall(
                calls.nextCallId(),
                requestId,
                request.method(),
                request.uri(),
                headers,
                request.body(),
                service,
                instance.id(),
                route.name(),
                route.idempotent(),
                route.priority(),
                route.objectiveMillis() - elapsedMillis,
                remainingMillis(),
                trial,
                calls.placement().distance(instance) == Distance.OTHER_REGION);
        calls.placement().started(instance.id());
        Offer offer = new Offer(instance);
        PendingCall sent = calls.targetOf(instance).call(call, offer::ended);
        if (!offer.isEnded) {
            pending = () -> {
                sent.cancel();
                offer.drop();
            };
        }
    }

    /** A call at one instance until its result. */
    private final class Offer {
        private final Instance instance;
        private boolean isEnded;

        Offer(Instance instance) {
            this.instance = instance;
        }

        void drop() {
            if (!isEnded) {
                isEnded = true;
                calls.placement().ended(instance.id());
            }
        }

        void ended(CallResult result) {
            if (isEnded) {
                return;
            }
            drop();
            pending = null;
            received(instance, result);
        }
    }

    private void received(Instance instance, CallResult result) {
        if (result.expectedMillis() >= 0) {
            calls.placement().reported(instance.id(), result.expectedMillis());
        }
        if (ended) {
            return;
        }
        calls.meters().attempt(result.outcome(), result.reason());
        history.add(instance.id(), result);
        switch (result.outcome()) {
            case ANSWERED -> answered(instance, result);
            case REFUSED -> refused(instance, result);
            case SHED -> {
                arrived(instance);
                again(result);
            }
            case LOST -> {
                arrived(instance);
                mayHaveRun = true;
                calls.placement().failed(instance.id());
                again(result);
            }
            default -> {
                mayHaveRun = true;
                end(ClientAnswer.own(ClientAnswer.GATEWAY_TIMEOUT, "deadline", 0));
            }
        }
    }

    private void arrived(Instance instance) {
        arrivals++;
        sentTo.add(instance.id());
    }

    private void answered(Instance instance, CallResult result) {
        calls.placement().succeeded(instance.id());
        arrived(instance);
        if (result.status() >= STATUS_SERVER_FAILURE && route.idempotent() && mayTryAgain()) {
            failure = result;
            again(result);
            return;
        }
        end(new ClientAnswer(result.status(), result.headers(), result.body(), 0));
    }

    private void refused(Instance instance, CallResult result) {
        refusedBy.add(instance.id());
        if (result.expectedMillis() >= 0) {
            leastExpectedMillis = leastExpectedMillis < 0
                    ? result.expectedMillis()
                    : Math.min(leastExpectedMillis, result.expectedMillis());
        }
        switch (result.reason()) {
            case "leaving", "unknown-instance" -> {
                sentTo.add(instance.id());
                calls.placement().avoid(instance.id(), LEAVING_AVOID_MILLIS);
            }
            case "peer-unreachable", "target-down" -> {
                sentTo.add(instance.id());
                calls.placement().failed(instance.id());
            }
            default -> {
                // Busy and cold instances may still be asked to take the call as the last resort.
            }
        }
        next();
    }

    private boolean mayTryAgain() {
        return arrivals < route.maxTargets() && remainingMillis() > 0;
    }

    /** Goes on after an arrival that gave no answer, if the route and the budget allow it. */
    private void again(CallResult result) {
        boolean allowed = (result.provesNotRun() && !mayHaveRun || route.idempotent())
                && mayTryAgain()
                && calls.retries().tryTake(service, calls.nodes());
        if (allowed) {
            calls.context().log().call("call is sent again", "requestId", requestId, "reason", result.reason());
            next();
        } else {
            end(failure(result.reason()));
        }
    }

    private ClientAnswer failure(String reason) {
        endReason = reason;
        if (failure != null) {
            return new ClientAnswer(failure.status(), failure.headers(), failure.body(), 0);
        }
        return mayHaveRun ? ClientAnswer.own(ClientAnswer.BAD_GATEWAY, reason, 0) : refusal(reason);
    }

    private ClientAnswer refusal(String reason) {
        endReason = reason;
        long waitMillis = Math.max(MIN_RETRY_AFTER_MILLIS, Math.min(MAX_RETRY_AFTER_MILLIS, leastExpectedMillis));
        // Callers that were refused together must not come back together.
        long spreadMillis = calls.context().runtime().random().nextLong(waitMillis / 2 + 1);
        return ClientAnswer.own(ClientAnswer.UNAVAILABLE, reason, waitMillis + spreadMillis);
    }

    private void deadlinePassed() {
        if (ended) {
            return;
        }
        boolean sent = pending != null;
        if (sent) {
            pending.cancel();
        }
        end(sent || mayHaveRun ? ClientAnswer.own(ClientAnswer.GATEWAY_TIMEOUT, "deadline", 0) : refusal("deadline"));
    }

    @Override
    public void cancel() {
        if (ended) {
            return;
        }
        if (pending != null) {
            pending.cancel();
        }
        calls.meters().cancelled();
        calls.context()
                .log()
                .call(
                        "caller left",
                        "requestId",
                        requestId,
                        "route",
                        route == null ? "" : route.name(),
                        "service",
                        service,
                        "instances",
                        history,
                        "elapsedMillis",
                        (calls.context().nanoTime() - request.receivedNanos()) / NANOS_PER_MILLI);
        finish();
    }

    private void end(ClientAnswer answer) {
        if (ended) {
            return;
        }
        finish();
        long millis = (calls.context().nanoTime() - request.receivedNanos()) / NANOS_PER_MILLI;
        calls.meters().answered(route == null ? "" : route.name(), answer.status(), millis);
        if (answer.status() >= STATUS_SERVER_FAILURE) {
            calls.context()
                    .log()
                    .call(
                            "call failed",
                            "requestId",
                            requestId,
                            "route",
                            route == null ? "" : route.name(),
                            "service",
                            service,
                            "rulesVersion",
                            calls.fleet().rules().version(),
                            "status",
                            answer.status(),
                            "reason",
                            endReason,
                            "instances",
                            history,
                            "elapsedMillis",
                            millis,
                            "remainingMillis",
                            route == null ? 0 : remainingMillis());
        }
        done.accept(answer);
    }

    private void finish() {
        ended = true;
        calls.ended();
        if (timeout != null) {
            timeout.cancel(false);
        }
    }
}
