package io.jaywick.node.relay;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

import io.jaywick.core.fleet.FleetView;
import io.jaywick.core.fleet.Instance;
import io.jaywick.core.gate.RunningRequests.RunningRequest;
import io.jaywick.core.message.ForwardCall;
import io.jaywick.core.placement.AttemptPlan;
import io.jaywick.core.placement.AttemptPurpose;
import io.jaywick.core.placement.Distance;
import io.jaywick.core.retry.NestedCallAdmission;
import io.jaywick.core.rules.CallerDecision;
import io.jaywick.core.rules.CallerDecision.Outcome;
import io.jaywick.core.rules.ClientAccount;
import io.jaywick.core.rules.RouteRule;
import io.netty.util.concurrent.ScheduledFuture;

/**
 * One request of a local caller. Trial attempts go to the nearest instances first, and each may refuse the call if it
 * would miss its latency objective there; a last-resort attempt then goes to the instance that is expected to respond
 * first. A call is sent to a second target only if the first one certainly did not execute it or the call is
 * idempotent, and only within the retry budget of the fleet. An idempotent call whose response is late is hedged: it is
 * sent to a second target while the first one may still respond.
 */
final class OutboundCall implements PendingCall {

    /** Extra time for a response that the target itself sends at the deadline. */
    private static final long DEADLINE_SLACK_MILLIS = 150;

    /** Time for which an instance is avoided after it refused a call as draining or unknown. */
    private static final long DRAINING_AVOID_MILLIS = 1_000;

    /**
     * A call that an instance refuses because calls made for it would find no capacity is tried at one other, whose calls
     * may go elsewhere. Trying all of them would cost the processors more than the call is worth.
     */
    private static final int MAX_NESTED_REFUSALS = 2;

    /** Reason of a call that no instance accepts. */
    private static final String OVERLOADED = "overloaded";

    /** Reason of a call beyond the limit of its account. */
    private static final String OVER_QUOTA = "over-quota";

    /** Such a call can succeed only after a change of the rules or contact to their source, which takes a second or more. */
    private static final long NEWER_RULES_WAIT_MILLIS = 1_000;

    private static final int STATUS_SERVER_FAILURE = 500;
    private static final long NANOS_PER_MILLI = 1_000_000;

    private final OutboundCalls calls;
    private final ClientRequest request;
    private final Consumer<ClientResponse> onResponse;
    private final String requestId;
    private final CallResponses responses;
    private final OutboundCallLog log;
    private final CallHistory history = new CallHistory();
    private final List<Attempt> openAttempts = new ArrayList<>();
    private ClientAccount account;
    private RoutedCall routed;
    private AttemptPlan plan;
    private RunningRequest parent;
    private CallToken token;
    private int reachedTargets;
    private int nestedRefusals;
    private boolean wasRefused;
    private boolean wasShed;
    private ScheduledFuture<?> hedgeTimer;
    private ScheduledFuture<?> deadlineTimer;
    private boolean ended;

    OutboundCall(OutboundCalls calls, ClientRequest request, Consumer<ClientResponse> onResponse) {
        this.calls = calls;
        this.request = request;
        this.onResponse = onResponse;
        this.responses = new CallResponses(calls.context().runtime().random());
        this.requestId = request.headers().get(calls.context().names().requestId());
        this.log = new OutboundCallLog(calls.context().log(), requestId);
    }

    void start() {
        calls.started(this);
        FleetView view = calls.fleet();
        if (requestId == null || requestId.isEmpty()) {
            respond(ClientResponse.generated(ClientResponse.BAD_REQUEST, "no-request-id", 0));
            return;
        }
        if (!view.rules().isLoaded()) {
            respond(responses.refusal("no-rules"));
            return;
        }
        RouteRule route = view.rules().routeFor(request.host(), request.uri());
        if (route == null) {
            respond(ClientResponse.generated(ClientResponse.NOT_FOUND, "no-route", 0));
            return;
        }
        CallerDecision caller = calls.checkCaller(view.rules(), request, requestId, route);
        account = caller.account();
        if (!caller.isAccepted()) {
            refuseCaller(caller.outcome(), route);
            return;
        }
        long deadlineNanos =
                RoutedCall.deadlineNanos(request, route, calls.context().names());
        if (!calls.canAccept(requestId, route, deadlineNanos)) {
            respond(responses.refusal("node-leaves"));
            return;
        }
        routed = RoutedCall.of(calls, request, requestId, route, caller.terms());
        plan = new AttemptPlan(
                calls.instanceSelector(),
                calls::fleet,
                routed.service(),
                route.name(),
                routed.terms().homeRegions());
        deadlineTimer = calls.context()
                .runtime()
                .loop()
                .schedule(this::deadlinePassed, remainingMillis() + DEADLINE_SLACK_MILLIS, TimeUnit.MILLISECONDS);
        takeToken();
    }

    /** Takes a token of the account's quota before the first attempt. */
    private void takeToken() {
        token = new CallToken(calls.accountQuotas(), routed.account(), this::startAdmitted, this::refuseOverQuota);
        token.take(CallToken.maxWaitMillis(routed.route().objectiveMillis()));
    }

    private void refuseOverQuota(long retryAfterMillis) {
        calls.meters().countAccountOutcome(OVER_QUOTA);
        long millis = CallToken.retryAfterMillis(
                retryAfterMillis, calls.context().runtime().random());
        respond(ClientResponse.generated(ClientResponse.TOO_MANY_REQUESTS, OVER_QUOTA, millis));
    }

    /** Refuses a call that its caller may not make. */
    private void refuseCaller(Outcome outcome, RouteRule route) {
        calls.meters().countAccountOutcome(outcome.label());
        log.callerRefused(route, account, outcome.label());
        if (outcome.lacksKey()) {
            respond(ClientResponse.generated(ClientResponse.UNAUTHORIZED, outcome.label(), 0));
        } else {
            responses.recordExpectedWait(NEWER_RULES_WAIT_MILLIS);
            respond(responses.refusal(outcome.label()));
        }
    }

    /** Makes the first attempt of a call that its caller may make now. */
    private void startAdmitted() {
        if (routed.account() != null) {
            calls.meters().countAccountOutcome(Outcome.ACCEPTED.label());
        }
        parent = calls.recordCall(requestId, routed.service());
        attemptNext();
    }

    private long remainingMillis() {
        long deadlineNanos = calls.context().drainDeadline().cap(routed.deadlineNanos());
        return (deadlineNanos - calls.context().nanoTime()) / NANOS_PER_MILLI;
    }

    /** Starts an attempt at the next instance, or responds with a failure if there is none. */
    private void attemptNext() {
        if (ended) {
            return;
        }
        if (remainingMillis() <= 0) {
            respond(responses.failure("deadline"));
            return;
        }
        AttemptPlan.Choice choice =
                plan.nextAttempt(routed.route().objectiveMillis() - elapsedMillis(), remainingMillis());
        if (choice == null) {
            responses.recordExpectedWait(plan.minWaitMillis());
            respond(responses.failure(plan.isExhausted() ? "no-instance" : OVERLOADED));
        } else {
            startAttempt(choice);
        }
    }

    private void startAttempt(AttemptPlan.Choice choice) {
        Instance instance = choice.instance();
        long now = calls.context().nanoTime();
        boolean foreign = calls.instanceSelector().distance(instance) == Distance.OTHER_REGION;
        if (foreign) {
            calls.meters().countOtherRegion(choice.purpose());
        }
        boolean ofRepeatedExecution = parent != null && parent.repeated();
        boolean repeated = ofRepeatedExecution || reachedTargets > 0 || choice.purpose() == AttemptPurpose.HEDGE;
        ForwardCall call = routed.toMessage(
                choice,
                calls.nextCallId(),
                foreign,
                repeated,
                now,
                remainingMillis(),
                calls.rateLimits().textOf(instance));
        Attempt attempt = new Attempt(choice, now);
        openAttempts.add(attempt);
        calls.instanceSelector().recordAttemptStart(instance.id());
        attempt.setPending(calls.targetOf(instance).send(call, result -> attemptEnded(attempt, result)));
        if (!ended && choice.purpose() != AttemptPurpose.HEDGE && openAttempts.contains(attempt)) {
            scheduleHedge();
        }
    }

    private void attemptEnded(Attempt attempt, CallResult result) {
        if (removeAttempt(attempt)) {
            handleResult(attempt, requireOwnResponse(attempt, result));
        }
    }

    /** Replaces a response to another request, which must not reach this caller, by a lost one. */
    private CallResult requireOwnResponse(Attempt attempt, CallResult result) {
        String respondedId =
                HopHeaders.find(result.headers(), calls.context().names().requestId());
        if (result.outcome() != CallResult.Outcome.ANSWERED || requestId.equals(respondedId)) {
            return result;
        }
        calls.context()
                .log()
                .warning(
                        "node sent the response to another request",
                        "requestId",
                        requestId,
                        "responseId",
                        String.valueOf(respondedId),
                        "instance",
                        attempt.instance().id());
        return CallResult.lost(CallResult.ANOTHER_REQUEST)
                .withLoadEstimate(result.expectedMillis(), result.waitMillis())
                .withCapacity(result.serviceMillis(), result.concurrencyLimit());
    }

    private boolean removeAttempt(Attempt attempt) {
        if (!openAttempts.remove(attempt)) {
            return false;
        }
        calls.instanceSelector().recordAttemptEnd(attempt.instance().id());
        return true;
    }

    private void cancelAttempts() {
        for (Attempt attempt : List.copyOf(openAttempts)) {
            if (removeAttempt(attempt)) {
                attempt.cancel();
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
            hedgeTimer =
                    calls.context().runtime().loop().schedule(this::startHedge, delayMillis, TimeUnit.MILLISECONDS);
        }
    }

    private void cancelHedge() {
        if (hedgeTimer != null) {
            hedgeTimer.cancel(false);
            hedgeTimer = null;
        }
    }

    /** Sends the call to a second instance while the first one may still respond. */
    private void startHedge() {
        if (ended
                || openAttempts.size() != 1
                || plan.isHedged()
                || reachedTargets + openAttempts.size() >= routed.route().maxTargets()) {
            return;
        }
        AttemptPlan.Choice choice = plan.nextHedge(remainingMillis());
        if (choice == null || !calls.retryBudget().tryWithdraw(routed.service())) {
            return;
        }
        calls.meters().countHedged();
        log.hedged(routed, openAttempts.get(0).instance(), choice.instance(), elapsedMillis());
        startAttempt(choice);
    }

    private void handleResult(Attempt attempt, CallResult result) {
        Instance instance = attempt.instance();
        if (result.expectedMillis() >= 0) {
            calls.instanceSelector()
                    .recordLoad(instance.id(), routed.route().name(), result.expectedMillis(), result.waitMillis());
            if (calls.context().settings().learnCapacity()) {
                calls.instanceSelector()
                        .recordCapacity(
                                instance.id(),
                                routed.route().name(),
                                result.serviceMillis(),
                                result.concurrencyLimit());
            }
        }
        if (ended) {
            return;
        }
        if (result.isResponseOfInstance()) {
            calls.recordStatements(instance, result.headers());
        }
        calls.meters().countAttempt(result.outcome(), result.reason());
        history.add(instance.id(), result);
        switch (result.outcome()) {
            case ANSWERED -> handleAnswered(attempt, result);
            case REFUSED -> handleRefused(attempt, result);
            case SHED -> {
                // Only a refusal after the last shed attempt shows that the nodes found no capacity.
                wasRefused = false;
                wasShed |= !result.reason().equals(CallResult.ANOTHER_INSTANCE);
                recordTargetReached(instance);
                retryOrFail(result);
            }
            case LOST -> {
                recordTargetReached(instance);
                responses.markMayHaveExecuted();
                calls.instanceSelector().recordFailure(instance.id());
                retryOrFail(result);
            }
            default -> {
                excludeReachedTarget(instance);
                responses.markMayHaveExecuted();
                if (openAttempts.isEmpty()) {
                    respond(responses.timeout());
                }
            }
        }
    }

    private void recordTargetReached(Instance instance) {
        excludeReachedTarget(instance);
        calls.instanceSelector().recordAccepted(instance, routed.route().name());
    }

    private void excludeReachedTarget(Instance instance) {
        reachedTargets++;
        plan.exclude(instance.id());
    }

    private void handleAnswered(Attempt attempt, CallResult result) {
        calls.instanceSelector().recordSuccess(attempt.instance().id());
        recordTargetReached(attempt.instance());
        if (result.status() >= STATUS_SERVER_FAILURE
                && routed.route().idempotent()
                && (!openAttempts.isEmpty() || canRetry())) {
            responses.recordTargetFailure(result);
            retryOrFail(result);
            return;
        }
        if (result.status() < STATUS_SERVER_FAILURE) {
            long nanos = calls.context().nanoTime() - attempt.startNanos();
            calls.hedgeDelay().observe(routed.route().name(), nanos / (double) NANOS_PER_MILLI);
        }
        respond(responses.ofTarget(result));
    }

    private void handleRefused(Attempt attempt, CallResult result) {
        Instance instance = attempt.instance();
        plan.recordRefusal(instance.id());
        responses.recordExpectedWait(result.waitMillis());
        switch (result.reason()) {
            case "retry-budget" -> plan.exclude(instance.id());
            case "leaving", "unknown-instance" -> {
                plan.exclude(instance.id());
                calls.instanceSelector().avoid(instance.id(), DRAINING_AVOID_MILLIS);
            }
            case "peer-unreachable", "target-down" -> {
                plan.exclude(instance.id());
                calls.instanceSelector().recordFailure(instance.id());
            }
            case "suspect" -> {
                // The other instances of the service refuse the request as well, or would crash.
                endAttempts(attempt, result);
                return;
            }
            case "nested-capacity" -> {
                wasRefused = true;
                nestedRefusals++;
                plan.exclude(instance.id());
                if (nestedRefusals >= MAX_NESTED_REFUSALS) {
                    endAttempts(attempt, result);
                    return;
                }
            }
            default -> {
                wasRefused = true;
                calls.instanceSelector()
                        .recordSaturated(instance, routed.route().name());
            }
        }
        if (openAttempts.isEmpty()) {
            attemptNext();
        } else if (attempt.purpose() == AttemptPurpose.HEDGE) {
            replaceRefusedHedge();
        }
    }

    /** Makes no further attempt after a refused one. */
    private void endAttempts(Attempt refused, CallResult result) {
        if (refused.purpose() == AttemptPurpose.HEDGE) {
            calls.retryBudget().refund(routed.service());
        }
        if (openAttempts.isEmpty()) {
            respond(responses.failure(result.reason()));
        }
    }

    private void replaceRefusedHedge() {
        AttemptPlan.Choice choice = plan.nextHedge(remainingMillis());
        if (choice == null) {
            calls.retryBudget().refund(routed.service());
        } else {
            startAttempt(choice);
        }
    }

    private boolean canRetry() {
        return reachedTargets < routed.route().maxTargets() && remainingMillis() > 0;
    }

    /**
     * Retries after an attempt that reached a target without success, if the route and the retry budget allow it. Does
     * nothing while another attempt is in flight.
     */
    private void retryOrFail(CallResult result) {
        if (!openAttempts.isEmpty()) {
            return;
        }
        boolean allowed = (result.isProvenNotExecuted() && responses.isNotExecuted()
                        || routed.route().idempotent())
                && !result.reason().equals(CallResult.SUSPECT_LOST)
                && canRetry()
                && tryWithdrawRetry();
        if (allowed) {
            log.retried(result.reason());
            attemptNext();
        } else {
            respond(responses.failure(result.reason()));
        }
    }

    private boolean tryWithdrawRetry() {
        return parent == null
                ? calls.retryBudget().tryWithdraw(routed.service())
                : calls.retryBudget().tryWithdrawForRunningRequest(routed.service());
    }

    private void deadlinePassed() {
        if (ended) {
            return;
        }
        boolean sent = !openAttempts.isEmpty();
        respond(sent || !responses.isNotExecuted() ? responses.timeout() : responses.refusal("deadline"));
    }

    /**
     * Ends the call because the node shuts down. The caller gets a response with what is known of the call instead of a
     * closed connection.
     */
    void abort() {
        if (ended) {
            return;
        }
        if (!openAttempts.isEmpty()) {
            responses.markMayHaveExecuted();
        }
        respond(responses.failure("node-ends"));
    }

    @Override
    public void cancel() {
        if (ended) {
            return;
        }
        calls.meters().countCancelled();
        log.callerDisconnected(routed, account, history, elapsedMillis());
        finish();
    }

    private void respond(ClientResponse response) {
        if (ended) {
            return;
        }
        finish();
        recordNestedOutcome(response);
        long millis = elapsedMillis();
        calls.meters().recordResponse(routeName(), response.status(), millis);
        if (response.status() >= STATUS_SERVER_FAILURE) {
            log.failed(
                    routed,
                    account,
                    calls.fleet().rules().version(),
                    response.status(),
                    responses.reason(),
                    new OutboundCallLog.Progress(history, millis, routed == null ? 0 : remainingMillis()));
        }
        onResponse.accept(response);
    }

    /**
     * Records whether a call made for a running request found capacity. Failures of targets, nodes and links do not
     * count, because fewer executions would not prevent them.
     */
    private void recordNestedOutcome(ClientResponse response) {
        if (parent == null) {
            return;
        }
        if (responses.isOfTarget()) {
            recordNestedOutcome(NestedCallAdmission.Outcome.ANSWERED);
        } else if (response.status() == ClientResponse.SERVICE_UNAVAILABLE) {
            if (wasRefused || responses.reason().equals(OVERLOADED)) {
                recordNestedOutcome(NestedCallAdmission.Outcome.REFUSED);
            } else if (wasShed) {
                recordNestedOutcome(NestedCallAdmission.Outcome.SHED);
            }
        }
    }

    private void recordNestedOutcome(NestedCallAdmission.Outcome outcome) {
        calls.recordNestedOutcome(parent, routed.service(), outcome);
    }

    private String routeName() {
        return routed == null ? "" : routed.route().name();
    }

    private void finish() {
        ended = true;
        if (token != null) {
            token.callEnded(reachedTargets > 0 || !openAttempts.isEmpty() || !responses.isNotExecuted());
        }
        cancelHedge();
        cancelAttempts();
        calls.ended(this);
        if (deadlineTimer != null) {
            deadlineTimer.cancel(false);
        }
    }
}
