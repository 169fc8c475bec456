package io.jaywick.node.relay;

import java.util.HashSet;
import java.util.Set;

import io.jaywick.core.gate.RunningRequests.RunningRequest;
import io.jaywick.core.message.ForwardCall;
import io.jaywick.core.retry.NestedCallAdmission;
import io.jaywick.core.retry.NestedCalls;

/**
 * Admits executions at the local target by the capacity that their calls to other services find, with metrics and log
 * lines.
 */
final class NestedAdmission {

    /** Share below which a log line is written. */
    private static final double LOGGED_SHARE = 0.5;

    /** The share is decided anew after about this time. */
    private static final double RETRY_MILLIS = 500;

    private final RelayContext context;
    private final RelayMeters meters;
    private final NestedCalls nestedCalls;
    private final NestedCallAdmission admission;
    private final Set<String> knownServices = new HashSet<>();
    private final Set<String> loggedAsLow = new HashSet<>();

    NestedAdmission(RelayContext context, RelayMeters meters, NestedCalls nestedCalls) {
        this.context = context;
        this.meters = meters;
        this.nestedCalls = nestedCalls;
        this.admission = new NestedCallAdmission(
                context.runtime().nanoTime(), context.runtime().random(), this::shareChanged);
    }

    /** Decides whether a call may be executed; a call that may not is counted. */
    boolean tryAdmit(ForwardCall call) {
        if (knownServices.isEmpty()) {
            return true;
        }
        boolean admitted = admission.tryAdmit(nestedCalls.callsPerExecution(call.route()), call.priority());
        if (!admitted) {
            meters.countRefusedExecution(call.route());
        }
        return admitted;
    }

    /** Returns the time after which a refused call has a better chance, longer the fewer executions are admitted. */
    long retryMillis(ForwardCall call) {
        return Math.round(RETRY_MILLIS / admission.share(nestedCalls.callsPerExecution(call.route()), call.priority()));
    }

    /** Records the end of a call made for a request that runs at the local target. */
    void recordOutcome(RunningRequest parent, String service, NestedCallAdmission.Outcome outcome) {
        if (knownServices.add(service)) {
            meters.registerNestedShare(service, () -> admission.lowestShare(service));
        }
        meters.countNestedCall(service, outcome);
        admission.recordCall(service, parent.priority(), outcome);
    }

    private void shareChanged(String service, int priority, double previousShare, double share, double refusedCalls) {
        String key = service + " " + priority;
        if (share < LOGGED_SHARE && loggedAsLow.add(key)) {
            context.log()
                    .info(
                            "executions refused because their calls find no capacity",
                            "service",
                            service,
                            "priority",
                            priority,
                            "admittedShare",
                            share,
                            "refusedCalls",
                            refusedCalls);
        } else if (share >= 1 && loggedAsLow.remove(key)) {
            context.log().info("all executions admitted again", "service", service, "priority", priority);
        }
    }
}
