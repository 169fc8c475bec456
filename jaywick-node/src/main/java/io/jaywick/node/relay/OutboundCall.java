package io.jaywick.node.relay;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

import io.jaywick.core.fleet.FleetView;
import io.jaywick.core.fleet.Instance;
import io.jaywick.core.message.ForwardCall;
import io.jaywick.core.placement.AttemptPlan;
import io.jaywick.core.placement.AttemptPurpose;
import io.jaywick.core.placement.Distance;
import io.jaywick.core.rules.RouteRule;
import io.netty.util.concurrent.ScheduledFuture;

/**
 * One request of a caller beside the node. The nearest instances are tried first, and each may refuse the call when it
 * would miss its latency objective there; then the one that is expected to answer first gets it. A call is sent to a
 * second target only when the first certainly did not run it, or when it is idempotent, and only within the fleet's
 * retry budget. An idempotent call whose answer is late is hedged: a second target is asked while the first may still
 * answer.
 */
final class OutboundCall implements PendingCall {

    /** The answer that the target itself gives at the deadline still arrives in this time. */
    private static final long DEADLINE_SLACK_MILLIS = 150;

    /** Time for which an instance that refused a call because it leaves gets no further one. */
    private static final long LEAVING_AVOID_MILLIS = 1_000;

    private static final int STATUS_SERVER_FAILURE = 500;
    private static final long NANOS_PER_MILLI = 1_000_000;

    private final OutboundCalls calls;
    private final ClientRequest request;
    private final Consumer<ClientAnswer> done;
    private final String requestId;
    private final CallAnswers answers;
    private final CallHistory history = new CallHistory();
    private final List<Offer> open = new ArrayList<>();
    private RoutedCall routed;
    private AttemptPlan plan;
    private int arrivals;
    private ScheduledFuture<?> hedge;
    private ScheduledFuture<?> timeout;
    private boolean ended;

    OutboundCall(OutboundCalls calls, ClientRequest request, Consumer<ClientAnswer> done) {
        this.calls = calls;
        this.request = request;
        this.done = done;
        this.answers = new CallAnswers(calls.context().runtime().random());
        this.requestId = request.headers().get(calls.context().names().requestId());
    }

    void start() {
        calls.started(this);
        FleetView view = calls.fleet();
        if (requestId == null || requestId.isEmpty()) {
            end(ClientAnswer.own(ClientAnswer.BAD_REQUEST, "no-request-id", 0));
            return;
        }
        if (!view.rules().isLoaded()) {
            end(answers.refusal("no-rules"));
            return;
        }
        RouteRule route = view.rules().routeFor(request.host(), request.uri());
        if (route == null) {
            end(ClientAnswer.own(ClientAnswer.NOT_FOUND, "no-route", 0));
            return;
        }
        if (!calls.mayTake(route)) {
            end(answers.refusal("node-leaves"));
            return;
        }
        routed = RoutedCall.of(calls, request, requestId, route);
        plan = new AttemptPlan(calls.placement(), calls::fleet, routed.service(), route.name(), route.homeRegions());
        calls.retries().recordOriginalCall(routed.service());
        timeout = calls.context()
                .runtime()
                .loop()
                .schedule(this::deadlinePassed, remainingMillis() + DEADLINE_SLACK_MILLIS, TimeUnit.MILLISECONDS);
        next();
    }

    private long remainingMillis() {
        long deadlineNanos = calls.context().leave().cap(routed.deadlineNanos());
        return (deadlineNanos - calls.context().nanoTime()) / NANOS_PER_MILLI;
    }

    /** Sends the call to the next instance, or ends it when there is none. */
    private void next() {
        if (ended) {
            return;
        }
        if (remainingMillis() <= 0) {
            end(answers.failure("deadline"));
            return;
        }
        AttemptPlan.Choice choice =
                plan.nextAttempt(routed.route().objectiveMillis() - elapsedMillis(), remainingMillis());
        if (choice == null) {
            answers.expects(plan.minWaitMillis());
            end(answers.failure(plan.isExhausted() ? "no-instance" : "overloaded"));
        } else {
            offer(choice);
        }
    }

    private void offer(AttemptPlan.Choice choice) {
        Instance instance = choice.instance();
        long now = calls.context().nanoTime();
        boolean foreign = calls.placement().distance(instance) == Distance.OTHER_REGION;
        ForwardCall call = routed.offeredTo(choice, calls.nextCallId(), foreign, now, remainingMillis());
        Offer offer = new Offer(choice, now);
        open.add(offer);
        calls.placement().recordAttemptStart(instance.id());
        offer.sent(calls.targetOf(instance).call(call, result -> offerEnded(offer, result)));
        if (!ended && choice.purpose() != AttemptPurpose.HEDGE && open.contains(offer)) {
            scheduleHedge();
        }
    }

    private void offerEnded(Offer offer, CallResult result) {
        if (close(offer)) {
            received(offer, result);
        }
    }

    private boolean close(Offer offer) {
        if (!open.remove(offer)) {
            return false;
        }
        calls.placement().recordAttemptEnd(offer.instance().id());
        return true;
    }

    private void cancelOpen() {
        for (Offer offer : List.copyOf(open)) {
            if (close(offer)) {
                offer.cancel();
            }
        }
    }

    private long elapsedMillis() {
        return (calls.context().nanoTime() - request.receivedNanos()) / NANOS_PER_MILLI;
    }

    private void scheduleHedge() {
        cancelHedge();
        long delayMillis = routed.route().idempotent()
                ? calls.hedgeDelay().delayMillis(routed.route().name(), remainingMillis())
                : -1;
        if (delayMillis >= 0) {
            hedge = calls.context().runtime().loop().schedule(this::hedge, delayMillis, TimeUnit.MILLISECONDS);
        }
    }

    private void cancelHedge() {
        if (hedge != null) {
            hedge.cancel(false);
            hedge = null;
        }
    }

    /** Asks a second instance while the first one may still answer. */
    private void hedge() {
        if (ended
                || open.size() != 1
                || plan.isHedged()
                || arrivals + open.size() >= routed.route().maxTargets()) {
            return;
        }
        AttemptPlan.Choice choice = plan.nextHedge(remainingMillis());
        if (choice == null || !calls.retries().tryWithdraw(routed.service(), calls.nodes())) {
            return;
        }
        calls.meters().hedged();
        calls.context()
                .log()
                .call(
                        "call is hedged",
                        "requestId",
                        requestId,
                        "route",
                        routed.route().name(),
                        "lateInstance",
                        open.get(0).instance().id(),
                        "instance",
                        choice.instance().id(),
                        "elapsedMillis",
                        elapsedMillis());
        offer(choice);
    }

    private void received(Offer offer, CallResult result) {
        Instance instance = offer.instance();
        if (result.expectedMillis() >= 0) {
            calls.placement().recordLoad(instance.id(), result.expectedMillis(), result.waitMillis());
        }
        if (ended) {
            return;
        }
        calls.meters().attempt(result.outcome(), result.reason());
        history.add(instance.id(), result);
        switch (result.outcome()) {
            case ANSWERED -> answered(offer, result);
            case REFUSED -> refused(offer, result);
            case SHED -> {
                arrived(instance);
                again(result);
            }
            case LOST -> {
                arrived(instance);
                answers.mayHaveRun();
                calls.placement().recordFailure(instance.id());
                again(result);
            }
            default -> {
                answers.mayHaveRun();
                if (open.isEmpty()) {
                    end(answers.timedOut());
                }
            }
        }
    }

    private void arrived(Instance instance) {
        arrivals++;
        calls.placement().recordAccepted(instance, routed.route().name());
        plan.exclude(instance.id());
    }

    private void answered(Offer offer, CallResult result) {
        calls.placement().recordSuccess(offer.instance().id());
        arrived(offer.instance());
        if (result.status() >= STATUS_SERVER_FAILURE
                && routed.route().idempotent()
                && (!open.isEmpty() || mayTryAgain())) {
            answers.failed(result);
            again(result);
            return;
        }
        if (result.status() < STATUS_SERVER_FAILURE) {
            long nanos = calls.context().nanoTime() - offer.startNanos();
            calls.hedgeDelay().observe(routed.route().name(), nanos / (double) NANOS_PER_MILLI);
        }
        end(answers.passedOn(result));
    }

    private void refused(Offer offer, CallResult result) {
        Instance instance = offer.instance();
        plan.recordRefusal(instance.id());
        answers.expects(result.waitMillis());
        switch (result.reason()) {
            case "leaving", "unknown-instance" -> {
                plan.exclude(instance.id());
                calls.placement().avoid(instance.id(), LEAVING_AVOID_MILLIS);
            }
            case "peer-unreachable", "target-down" -> {
                plan.exclude(instance.id());
                calls.placement().recordFailure(instance.id());
            }
            default -> calls.placement()
                    .recordSaturated(instance, routed.route().name());
        }
        if (open.isEmpty()) {
            next();
        } else if (offer.purpose() == AttemptPurpose.HEDGE) {
            hedgeRefused();
        }
    }

    private void hedgeRefused() {
        AttemptPlan.Choice choice = plan.nextHedge(remainingMillis());
        if (choice == null) {
            calls.retries().refund(routed.service());
        } else {
            offer(choice);
        }
    }

    private boolean mayTryAgain() {
        return arrivals < routed.route().maxTargets() && remainingMillis() > 0;
    }

    /** Goes on after an arrival that gave no answer, if the route and the budget allow it and no hedge is under way. */
    private void again(CallResult result) {
        if (!open.isEmpty()) {
            return;
        }
        boolean allowed =
                (result.provesNotRun() && answers.isNotRun() || routed.route().idempotent())
                        && mayTryAgain()
                        && calls.retries().tryWithdraw(routed.service(), calls.nodes());
        if (allowed) {
            calls.context().log().call("call is sent again", "requestId", requestId, "reason", result.reason());
            next();
        } else {
            end(answers.failure(result.reason()));
        }
    }

    private void deadlinePassed() {
        if (ended) {
            return;
        }
        boolean sent = !open.isEmpty();
        end(sent || !answers.isNotRun() ? answers.timedOut() : answers.refusal("deadline"));
    }

    /** The node ends now: its caller is told what is known of the call instead of a closed connection. */
    void nodeEnds() {
        if (ended) {
            return;
        }
        if (!open.isEmpty()) {
            answers.mayHaveRun();
        }
        end(answers.failure("node-ends"));
    }

    @Override
    public void cancel() {
        if (ended) {
            return;
        }
        calls.meters().cancelled();
        calls.context()
                .log()
                .call(
                        "caller left",
                        "requestId",
                        requestId,
                        "route",
                        routeName(),
                        "service",
                        serviceName(),
                        "instances",
                        history,
                        "elapsedMillis",
                        elapsedMillis());
        finish();
    }

    private void end(ClientAnswer answer) {
        if (ended) {
            return;
        }
        finish();
        long millis = elapsedMillis();
        calls.meters().answered(routeName(), answer.status(), millis);
        if (answer.status() >= STATUS_SERVER_FAILURE) {
            calls.context()
                    .log()
                    .call(
                            "call failed",
                            "requestId",
                            requestId,
                            "route",
                            routeName(),
                            "service",
                            serviceName(),
                            "rulesVersion",
                            calls.fleet().rules().version(),
                            "status",
                            answer.status(),
                            "reason",
                            answers.reason(),
                            "instances",
                            history,
                            "elapsedMillis",
                            millis,
                            "remainingMillis",
                            routed == null ? 0 : remainingMillis());
        }
        done.accept(answer);
    }

    private String routeName() {
        return routed == null ? "" : routed.route().name();
    }

    private String serviceName() {
        return routed == null ? "" : routed.service();
    }

    private void finish() {
        ended = true;
        cancelHedge();
        cancelOpen();
        calls.ended(this);
        if (timeout != null) {
            timeout.cancel(false);
        }
    }
}
