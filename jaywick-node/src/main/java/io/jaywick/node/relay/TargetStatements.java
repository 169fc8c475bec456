package io.jaywick.node.relay;

import java.util.List;

import io.jaywick.core.fleet.Instance;
import io.jaywick.core.gate.GateRefusal;
import io.jaywick.core.gate.TargetGate;

/**
 * What the local target states about itself in its responses: how many calls per second it accepts, and that it leaves.
 * Each response to a call names the limit that is in force; one without a limit ends it. A target that leaves does so
 * until its end. A statement holds for the instance that made it.
 */
final class TargetStatements {

    /** Smaller changes of the limit are not logged, as a target may adapt it with each response. */
    private static final double LOGGED_CHANGE_FACTOR = 1.5;

    private final RelayContext context;
    private final TargetGate gate;
    private String instanceId = "";
    private long startMillis;
    private boolean leaving;
    private boolean responded;
    private long newestNanos;
    private double callsPerSecond = Double.NaN;
    private double loggedCallsPerSecond = Double.NaN;

    TargetStatements(RelayContext context, TargetGate gate) {
        this.context = context;
        this.gate = gate;
    }

    /** The limit in force in calls per second; {@link Double#NaN} if there is none. */
    double callsPerSecond() {
        return callsPerSecond;
    }

    /** Whether the target has stated that it leaves. */
    boolean isLeaving() {
        return leaving;
    }

    /** Discards the statements of another instance or of an earlier start of this one. */
    void instanceListed(Instance instance) {
        if (instance.id().equals(instanceId) && instance.startMillis() == startMillis) {
            return;
        }
        instanceId = instance.id();
        startMillis = instance.startMillis();
        leaving = false;
        responded = false;
        removeLimit();
        loggedCallsPerSecond = Double.NaN;
    }

    /**
     * Applies a response to a call.
     *
     * @param from id of the instance that responded
     * @param headers alternating names and values
     * @param receivedNanos monotonic time at which the response began; older responses than the newest are ignored
     */
    void observeResponse(String from, List<String> headers, long receivedNanos) {
        observeLeaving(from, headers);
        if (isOutdated(from, receivedNanos)) {
            return;
        }
        StatedRateLimit limit = StatedRateLimit.find(headers, context.names().rateLimit());
        if (limit != null && !limit.isValid()) {
            logInvalid(limit);
            return;
        }
        responded = true;
        newestNanos = receivedNanos;
        if (limit != null) {
            setLimit(limit.callsPerSecond(), limit.header());
        } else if (!Double.isNaN(callsPerSecond)) {
            removeLimit();
            logRemoved();
        }
    }

    /** Applies the response to a health check; one without a limit does not end the limit, as it may lack the header. */
    void observeHealth(String from, List<String> headers, long receivedNanos) {
        observeLeaving(from, headers);
        StatedRateLimit limit = StatedRateLimit.find(headers, context.names().rateLimit());
        if (limit != null && !isOutdated(from, receivedNanos)) {
            observeResponse(from, headers, receivedNanos);
        }
    }

    private void observeLeaving(String from, List<String> headers) {
        String header = context.names().findLeaving(headers);
        if (header != null && !leaving && from.equals(instanceId)) {
            leaving = true;
            context.log().info("local target leaves", "instance", instanceId, "header", header);
            gate.refuseWaiting(GateRefusal.LEAVING);
        }
    }

    private boolean isOutdated(String from, long receivedNanos) {
        return !from.equals(instanceId) || responded && receivedNanos - newestNanos < 0;
    }

    /**
     * Applies the limit that another node knows from a response of the instance. It holds until the first response that
     * this node observes.
     *
     * @param text calls per second, or empty
     */
    void passedOn(String text) {
        if (responded || text.isEmpty()) {
            return;
        }
        double passedOnCallsPerSecond = StatedRateLimit.parse(text);
        if (!Double.isNaN(passedOnCallsPerSecond)) {
            setLimit(passedOnCallsPerSecond, "");
        }
    }

    private void setLimit(double newerCallsPerSecond, String header) {
        if (newerCallsPerSecond != callsPerSecond) {
            callsPerSecond = newerCallsPerSecond;
            gate.setRateLimit(newerCallsPerSecond);
        }
        boolean isLogged = newerCallsPerSecond <= loggedCallsPerSecond * LOGGED_CHANGE_FACTOR
                && newerCallsPerSecond * LOGGED_CHANGE_FACTOR >= loggedCallsPerSecond;
        if (!isLogged) {
            loggedCallsPerSecond = newerCallsPerSecond;
            context.log()
                    .callEvent(
                            "local target names a rate limit",
                            "instance",
                            instanceId,
                            "header",
                            header,
                            "callsPerSecond",
                            newerCallsPerSecond);
        }
    }

    private void removeLimit() {
        if (!Double.isNaN(callsPerSecond)) {
            callsPerSecond = Double.NaN;
            gate.removeRateLimit();
        }
    }

    private void logRemoved() {
        loggedCallsPerSecond = Double.NaN;
        context.log().callEvent("local target names no rate limit any more", "instance", instanceId);
    }

    private void logInvalid(StatedRateLimit limit) {
        context.log()
                .callEvent(
                        "invalid rate limit of the local target",
                        "instance",
                        instanceId,
                        "header",
                        limit.header(),
                        "value",
                        limit.text());
    }
}
