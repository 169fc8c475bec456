package io.jaywick.node.relay;

import java.util.List;
import java.util.concurrent.TimeUnit;

import io.jaywick.core.message.ForwardCall;
import io.jaywick.core.rules.ServiceRule;

/**
 * Checks the health of the local target, but only when the node's view of it may be wrong: after the start of the node,
 * after a lost connection and after an evacuation. Health responses may be misleading, so only the instance id, the
 * cold time, a rate limit and the fact that the target responds are used.
 */
final class TargetHealth {

    /**
     * Minimum time between checks. Reasons for a check within this time share one, because each check takes a slot of
     * the target.
     */
    private static final long MIN_CHECK_INTERVAL_MILLIS = 300;

    /** A check waits for a slot of the target like any call. */
    private static final long CHECK_TIMEOUT_MILLIS = 2_000;

    private static final byte[] NO_BODY = new byte[0];

    private final RelayContext context;
    private final TargetPool pool;
    private final Listener listener;
    private boolean checkScheduled;
    private boolean checkAgain;
    private long checkSentNanos;
    private boolean down;
    private long downSinceNanos;

    /** Receives what the checks find. */
    interface Listener {

        /** The target responded to a check that was sent at the given monotonic time. */
        void responded(long sentNanos);

        /** The target states the time for which it remains cold. */
        void cold(long millis);

        /** The target sent the given headers, alternating names and values, at the given monotonic time. */
        void stated(List<String> headers, long receivedNanos);

        /** The target is unreachable, or another instance has taken its place. */
        void crashed();
    }

    TargetHealth(RelayContext context, TargetPool pool, Listener listener) {
        this.context = context;
        this.pool = pool;
        this.listener = listener;
    }

    private ServiceRule serviceRule() {
        return context.fleet().get().rules().service(context.settings().service());
    }

    /** Whether the last connection attempt failed; calls are refused at once until a check succeeds. */
    boolean isDown() {
        return down;
    }

    /** Schedules a check if a call ended because its connection was lost or could not be opened. */
    void observe(CallResult result) {
        if (result.reason().equals("target-down")) {
            markDown();
        }
        if (result.isConnectionLost() || result.reason().equals("target-down")) {
            scheduleCheck();
        }
    }

    /** Schedules a check, or another one after the pause if one is scheduled, running or just completed. */
    void scheduleCheck() {
        if (checkScheduled) {
            checkAgain = true;
        } else if (serviceRule() != null) {
            checkScheduled = true;
            context.runtime()
                    .loop()
                    .schedule(this::sendCheck, down ? MIN_CHECK_INTERVAL_MILLIS : 0, TimeUnit.MILLISECONDS);
        }
    }

    /** Resumes the checks of a target that is down; they stop while the rules lack its service. */
    void viewChanged() {
        if (down && !checkScheduled) {
            scheduleCheck();
        }
    }

    private void sendCheck() {
        ServiceRule service = serviceRule();
        if (service == null) {
            checkScheduled = false;
            return;
        }
        checkAgain = false;
        checkSentNanos = context.nanoTime();
        ForwardCall check = new ForwardCall(
                "health",
                "",
                "GET",
                service.healthPath(),
                List.of("Host", context.settings().targetAddress()),
                NO_BODY,
                service.name(),
                "",
                "",
                true,
                0,
                CHECK_TIMEOUT_MILLIS,
                CHECK_TIMEOUT_MILLIS,
                false,
                false,
                false,
                false,
                "");
        pool.send(check, () -> CHECK_TIMEOUT_MILLIS, this::checkEnded);
    }

    private void checkEnded(CallResult result, long endNanos) {
        context.runtime().loop().schedule(this::endPause, MIN_CHECK_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
        if (result.reason().equals("target-down")) {
            markDown();
            checkAgain = true;
            return;
        }
        if (result.outcome() != CallResult.Outcome.ANSWERED) {
            context.log().info("health check of the local target failed", "reason", result.reason());
            // Nothing else leads to a check while all calls are refused.
            checkAgain |= down;
            return;
        }
        markUp();
        String instance = HopHeaders.find(result.headers(), pool.names().instanceId());
        if (instance != null && pool.observedInstance() != null && !instance.equals(pool.observedInstance())) {
            listener.crashed();
        }
        listener.responded(checkSentNanos);
        pool.recordInstance(instance);
        listener.stated(result.headers(), endNanos);
        String cold = HopHeaders.find(result.headers(), pool.names().coldMillis());
        if (cold != null) {
            try {
                listener.cold(Long.parseLong(cold.trim()));
            } catch (NumberFormatException e) {
                context.log().warning("invalid cold time in a health response", "value", cold);
            }
        }
    }

    private void endPause() {
        checkScheduled = false;
        if (checkAgain) {
            scheduleCheck();
        }
    }

    private void markDown() {
        if (!down) {
            down = true;
            downSinceNanos = context.nanoTime();
            context.log().info("local target unreachable");
            listener.crashed();
        }
    }

    private void markUp() {
        if (down) {
            down = false;
            long millis = TimeUnit.NANOSECONDS.toMillis(context.nanoTime() - downSinceNanos);
            context.log().info("local target reachable again", "downMillis", millis);
        }
    }
}
