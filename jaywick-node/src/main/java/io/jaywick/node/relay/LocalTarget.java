package io.jaywick.node.relay;

import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

import io.jaywick.core.fleet.FleetView;
import io.jaywick.core.fleet.Instance;
import io.jaywick.core.gate.CallUrgency;
import io.jaywick.core.gate.GateCall;
import io.jaywick.core.gate.GateRefusal;
import io.jaywick.core.gate.RunningRequests;
import io.jaywick.core.gate.RunningRequests.RunningRequest;
import io.jaywick.core.gate.TargetGate;
import io.jaywick.core.message.ForwardCall;
import io.jaywick.core.retry.NestedCalls;
import io.jaywick.core.rules.ServiceRule;

/**
 * The local target. All calls to it, from any node, pass through this class, so that its slots, its cold-start budget
 * and its draining are enforced even if the view of a sender is stale.
 */
final class LocalTarget implements CallTarget {

    /** Interval at which queued calls are checked against their deadlines and the rate of starts. */
    private static final long QUEUE_CHECK_INTERVAL_MILLIS = 20;

    private static final int STATUS_CLIENT_ERROR = 400;

    private static final long NANOS_PER_MILLI = 1_000_000;

    private final RelayContext context;
    private final LearnedCapacity capacity;
    private final TargetGate gate;
    private final TargetStatements statements;
    private final TargetPool pool;
    private final TargetHealth health;
    private final CrashSuspects suspects;
    private final NestedCalls nestedCalls;
    private final NestedAdmission nestedAdmission;
    private final RunningRequests runningRequests = new RunningRequests();
    private Instance current;
    private boolean queueCheckScheduled;
    private boolean evacuated;
    private boolean draining;

    LocalTarget(
            RelayContext context,
            TargetPool pool,
            CrashSuspects suspects,
            NestedCalls nestedCalls,
            NestedAdmission nestedAdmission) {
        this.context = context;
        this.capacity = new LearnedCapacity(context);
        this.gate = capacity.createGate();
        this.statements = new TargetStatements(context, gate);
        this.pool = pool;
        this.suspects = suspects;
        this.nestedCalls = nestedCalls;
        this.nestedAdmission = nestedAdmission;
        this.health = new TargetHealth(context, pool, new HealthListener());
    }

    /**
     * Accepts only calls that are expected to end before the given monotonic time, and refuses queued ones that can no
     * longer do so.
     */
    void setShutdownDeadline(long endNanos) {
        gate.setShutdownDeadline(endNanos);
    }

    /** Refuses further calls because the node is draining; accepted ones continue. */
    void refuseNew() {
        draining = true;
    }

    /** Refuses the queued calls because the node shuts down; none of them was executed. */
    void refuseQueued() {
        gate.refuseWaiting(GateRefusal.LEAVING);
    }

    /** The requests that run at the target, for which it makes calls. */
    RunningRequests runningRequests() {
        return runningRequests;
    }

    NestedCalls nestedCalls() {
        return nestedCalls;
    }

    NestedAdmission nestedAdmission() {
        return nestedAdmission;
    }

    int running() {
        return gate.running();
    }

    int waiting() {
        return gate.waiting();
    }

    boolean isCold() {
        return gate.isCold();
    }

    LearnedCapacity capacity() {
        return capacity;
    }

    /** Calls per second that the target accepts, as it states; {@link Double#NaN} if it names no limit. */
    double rateLimit() {
        return statements.callsPerSecond();
    }

    /** Whether the target has stated that it leaves; it receives no further calls. */
    boolean isLeaving() {
        return statements.isLeaving();
    }

    /** Schedules checks of the queue for as long as it is not empty. */
    private void scheduleQueueCheck() {
        if (!queueCheckScheduled && gate.waiting() > 0) {
            queueCheckScheduled = true;
            context.runtime()
                    .loop()
                    .schedule(
                            () -> {
                                queueCheckScheduled = false;
                                gate.dispatch();
                                capacity.logChange(current, gate);
                                scheduleQueueCheck();
                            },
                            QUEUE_CHECK_INTERVAL_MILLIS,
                            TimeUnit.MILLISECONDS);
        }
    }

    /** Applies a new view of the fleet: the entry of the target and the evacuation of its data centre. */
    void viewChanged() {
        health.viewChanged();
        FleetView view = context.fleet().get();
        Instance entry = findEntry(view);
        boolean nowEvacuated = view.isEvacuated(context.settings().dataCentre());
        if (evacuated && !nowEvacuated) {
            // The target may have become cold during the evacuation, and its entry may be stale.
            ServiceRule rule = view.rules().service(context.settings().service());
            startColdPeriod(rule == null ? 0 : rule.coldStartMillis(), "evacuation over");
            health.scheduleCheck();
        }
        evacuated = nowEvacuated;
        if (entry == null) {
            if (current != null) {
                context.log().info("local target no longer listed", "instance", current.id());
                current = null;
                gate.refuseWaiting(GateRefusal.LEAVING);
            }
            return;
        }
        if (nowEvacuated || entry.draining()) {
            gate.refuseWaiting(GateRefusal.LEAVING);
        }
        if (!entry.equals(current)) {
            updateInstance(entry);
        }
    }

    private void updateInstance(Instance entry) {
        boolean isNewInstance =
                current == null || !current.id().equals(entry.id()) || current.startMillis() != entry.startMillis();
        boolean isFirst = current == null;
        current = entry;
        statements.instanceListed(entry);
        ServiceRule rule =
                context.fleet().get().rules().service(context.settings().service());
        // Each running call uses a separate connection, and the target resets connections beyond its limit.
        gate.setSlots(rule == null ? entry.slots() : Math.min(entry.slots(), rule.maxConnections()));
        long coldMillis = entry.coldMillis(context.nanoTime());
        if (coldMillis > 0) {
            startColdPeriod(coldMillis, "listed");
        }
        if (isNewInstance) {
            capacity.targetStarted();
            context.log()
                    .info(
                            "local target listed",
                            "instance",
                            entry.id(),
                            "slots",
                            entry.slots(),
                            "coldMillis",
                            coldMillis,
                            "draining",
                            entry.draining());
        }
        if (isFirst) {
            health.scheduleCheck();
        }
    }

    /**
     * Returns the entry at the address of the target, or null. Of several entries, the one with the instance id that
     * the target reported is preferred, then one that is not draining, then the newest one.
     */
    private Instance findEntry(FleetView view) {
        Instance best = null;
        for (Instance instance : view.instancesOf(context.settings().service())) {
            if (instance.address().equals(context.settings().targetAddress())
                    && (best == null || isPreferred(instance, best))) {
                best = instance;
            }
        }
        return best;
    }

    private boolean isPreferred(Instance a, Instance b) {
        String observedId = pool.observedInstance();
        if (a.id().equals(observedId) != b.id().equals(observedId)) {
            return a.id().equals(observedId);
        }
        if (a.draining() != b.draining()) {
            return b.draining();
        }
        return a.startMillis() != b.startMillis()
                ? a.startMillis() > b.startMillis()
                : a.receivedNanos() > b.receivedNanos();
    }

    private void startColdPeriod(long millis, String cause) {
        if (millis > 0) {
            capacity.targetCold();
        }
        ServiceRule rule =
                context.fleet().get().rules().service(context.settings().service());
        if (rule == null || rule.coldCallsPerSecond() <= 0) {
            return;
        }
        if (millis <= 0) {
            gate.setColdStartLimit(context.nanoTime(), 0);
            return;
        }
        double callsPerSecond = context.settings().coldStartLimit().callsPerSecond(rule.coldCallsPerSecond());
        gate.setColdStartLimit(context.nanoTime() + millis * NANOS_PER_MILLI, callsPerSecond);
        context.log().info("local target cold", "cause", cause, "forMillis", millis, "callsPerSecond", callsPerSecond);
    }

    private final class HealthListener implements TargetHealth.Listener {

        @Override
        public void responded(long sentNanos) {
            suspects.targetResponded(sentNanos);
        }

        @Override
        public void cold(long millis) {
            startColdPeriod(millis, "health");
        }

        @Override
        public void stated(List<String> headers, long receivedNanos) {
            String from = HopHeaders.find(headers, context.names().instanceId());
            if (current != null) {
                statements.observeHealth(from == null ? current.id() : from, headers, receivedNanos);
            }
        }

        @Override
        public void crashed() {
            suspects.targetCrashed();
        }
    }

    @Override
    public PendingCall send(ForwardCall call, Consumer<CallResult> onResult) {
        GateRefusal refusal = findRefusal(call);
        LocalCall localCall = new LocalCall(call, onResult);
        if (refusal == null && !nestedAdmission.tryAdmit(call)) {
            refusal = GateRefusal.NESTED_CAPACITY;
        }
        if (refusal == null && !localCall.reserveNestedCalls()) {
            refusal = GateRefusal.RETRY_BUDGET;
        }
        if (refusal == null) {
            statements.passedOn(call.rateLimit());
            refusal = gate.submit(localCall);
            scheduleQueueCheck();
            if (refusal != null) {
                localCall.cancelReservation();
            }
        }
        if (refusal != null) {
            logRefusal(call, refusal);
            onResult.accept(toResult(refusal, call));
        }
        return localCall::cancel;
    }

    /** Returns the result of a refused call. The load of the target matters only to calls that it may still get. */
    private CallResult toResult(GateRefusal refusal, ForwardCall call) {
        CallResult result = CallResult.refused(refusal);
        return switch (refusal) {
            case LEAVING, UNKNOWN_INSTANCE, RETRY_BUDGET -> result;
            case NESTED_CAPACITY -> result.withLoadEstimate(-1, nestedAdmission.retryMillis(call));
            case SUSPECT -> result.withLoadEstimate(-1, suspects.blockedMillis(call));
            default -> withLoadEstimate(result, call);
        };
    }

    private void logRefusal(ForwardCall call, GateRefusal reason) {
        context.log()
                .refusalEvent(
                        "call refused at the local target",
                        "requestId",
                        call.requestId(),
                        "route",
                        call.route(),
                        "instance",
                        call.instanceId(),
                        "reason",
                        reason.label(),
                        "trial",
                        call.trial(),
                        "priority",
                        call.priority(),
                        "running",
                        gate.running(),
                        "waiting",
                        gate.waiting(),
                        "cold",
                        gate.isCold(),
                        "expectedMillis",
                        gate.expectedMillis(),
                        "objectiveMillis",
                        call.objectiveMillis(),
                        "remainingMillis",
                        call.remainingMillis());
    }

    private GateRefusal findRefusal(ForwardCall call) {
        FleetView view = context.fleet().get();
        Instance chosen = view.instance(call.instanceId());
        if (chosen == null
                || current == null
                || !chosen.id().equals(current.id())
                || !chosen.service().equals(call.service())) {
            return GateRefusal.UNKNOWN_INSTANCE;
        }
        if (suspects.blockedMillis(call) > 0 || suspects.isHedgeOfSuspect(call)) {
            return GateRefusal.SUSPECT;
        }
        if (health.isDown()) {
            return GateRefusal.TARGET_DOWN;
        }
        if (draining || statements.isLeaving() || chosen.draining() || view.isEvacuated(chosen.dataCentre())) {
            return GateRefusal.LEAVING;
        }
        return null;
    }

    /** Adds the load and the capacity of the target, and the wait of another call like this one that arrives now. */
    private CallResult withLoadEstimate(CallResult result, ForwardCall call) {
        capacity.logChange(current, gate);
        return capacity.addTo(
                result.withLoadEstimate(gate.expectedMillis(), gate.waitMillis(urgencyNow(call))), call.route());
    }

    /** Returns the urgency of a call that arrives now with the times of the given one. */
    private CallUrgency urgencyNow(ForwardCall call) {
        long now = context.nanoTime();
        return new CallUrgency(
                call.route(),
                call.priority(),
                now + call.objectiveMillis() * NANOS_PER_MILLI,
                now + call.remainingMillis() * NANOS_PER_MILLI);
    }

    /** A call from its submission to the gate until its result. */
    private final class LocalCall extends GateCall {
        private final ForwardCall call;
        private final Consumer<CallResult> onResult;
        private final long deadlineNanos;
        private Map<String, Integer> reservedCalls = Map.of();
        private RunningRequest runningRequest;
        private PendingCall targetCall;
        private boolean ended;

        LocalCall(ForwardCall call, Consumer<CallResult> onResult) {
            super(urgencyNow(call), call.trial(), call.hedge(), call.foreign());
            this.call = call;
            this.onResult = onResult;
            this.deadlineNanos = context.nanoTime() + call.remainingMillis() * NANOS_PER_MILLI;
        }

        /** Reserves the calls of a repeated execution; returns false when the retry budgets do not cover them. */
        boolean reserveNestedCalls() {
            Map<String, Integer> reserved = call.repeated() ? nestedCalls.tryReserve(call.route()) : Map.of();
            if (reserved == null) {
                return false;
            }
            reservedCalls = reserved;
            return true;
        }

        /** Returns the reserved calls because the call is not executed. */
        void cancelReservation() {
            nestedCalls.cancel(reservedCalls);
            reservedCalls = Map.of();
        }

        private long remainingMillis() {
            return (context.drainDeadline().cap(deadlineNanos) - context.nanoTime()) / NANOS_PER_MILLI;
        }

        @Override
        protected void onAdmitted() {
            runningRequest = new RunningRequest(call.route(), call.priority(), call.repeated());
            runningRequests.register(call.requestId(), runningRequest);
            targetCall = pool.send(call, () -> Math.max(1, remainingMillis()), this::targetCallEnded);
        }

        @Override
        protected void onRefused(GateRefusal reason) {
            cancelReservation();
            logRefusal(call, reason);
            reportResult(withLoadEstimate(CallResult.refused(reason), call));
        }

        private void targetCallEnded(CallResult result, long endNanos) {
            runningRequests.unregister(call.requestId(), runningRequest);
            if (result.isProvenNotExecuted()) {
                cancelReservation();
            } else {
                nestedCalls.recordExecution(call.route());
            }
            health.observe(result);
            if (result.isResponseOfInstance()) {
                statements.observeResponse(call.instanceId(), result.headers(), endNanos);
            }
            CallResult reported = suspects.callEnded(call, result);
            if (result.reason().equals(CallResult.ANOTHER_INSTANCE)) {
                viewChanged();
            }
            boolean answered = result.outcome() == CallResult.Outcome.ANSWERED;
            gate.release(this, answered, answered && result.status() < STATUS_CLIENT_ERROR);
            reportResult(withLoadEstimate(reported, call));
        }

        private void reportResult(CallResult result) {
            if (!ended) {
                ended = true;
                onResult.accept(result);
            }
        }

        void cancel() {
            if (ended) {
                return;
            }
            ended = true;
            gate.cancel(this);
            if (targetCall != null) {
                runningRequests.unregister(call.requestId(), runningRequest);
                nestedCalls.recordExecution(call.route());
                targetCall.cancel();
                gate.release(this, false);
            } else {
                cancelReservation();
            }
        }
    }
}
