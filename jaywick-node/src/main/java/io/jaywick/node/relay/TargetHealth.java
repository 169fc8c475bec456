package io.jaywick.node.relay;

import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.LongConsumer;

import io.jaywick.core.message.ForwardCall;
import io.jaywick.core.rules.ServiceRule;

/**
 * Checks the health of the local target, but only when the node's view of it may be wrong: after the start of the node,
 * after a lost connection and after an evacuation. Health responses may be misleading, so only the instance id, the
 * cold time and the fact that the target responds are used.
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
    private final LongConsumer onColdMillis;
    private boolean checkScheduled;
    private boolean down;
    private long downSinceNanos;

    /**
     * Creates the health check of the target of a pool.
     *
     * @param onColdMillis receives the time for which the target remains cold
     */
    TargetHealth(RelayContext context, TargetPool pool, LongConsumer onColdMillis) {
        this.context = context;
        this.pool = pool;
        this.onColdMillis = onColdMillis;
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
        boolean lost =
                result.outcome() == CallResult.Outcome.LOST && result.reason().startsWith("connection-");
        if (result.reason().equals("target-down")) {
            markDown();
        }
        if (lost || result.reason().equals("target-down")) {
            scheduleCheck();
        }
    }

    /** Schedules a check unless one is scheduled, running or just completed. */
    void scheduleCheck() {
        if (!checkScheduled && serviceRule() != null) {
            checkScheduled = true;
            context.runtime()
                    .loop()
                    .schedule(this::sendCheck, down ? MIN_CHECK_INTERVAL_MILLIS : 0, TimeUnit.MILLISECONDS);
        }
    }

    private void sendCheck() {
        ServiceRule service = serviceRule();
        if (service == null) {
            checkScheduled = false;
            return;
        }
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
                false);
        pool.send(check, () -> CHECK_TIMEOUT_MILLIS, this::checkEnded);
    }

    private void checkEnded(CallResult result) {
        context.runtime()
                .loop()
                .schedule(() -> checkScheduled = false, MIN_CHECK_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
        if (result.reason().equals("target-down")) {
            markDown();
            context.runtime()
                    .loop()
                    .schedule(this::scheduleCheck, MIN_CHECK_INTERVAL_MILLIS + 1, TimeUnit.MILLISECONDS);
            return;
        }
        if (result.outcome() != CallResult.Outcome.ANSWERED) {
            context.log().info("health check of the local target failed", "reason", result.reason());
            return;
        }
        markUp();
        pool.recordInstance(header(result, pool.names().instanceId()));
        String cold = header(result, pool.names().coldMillis());
        if (cold != null) {
            try {
                onColdMillis.accept(Long.parseLong(cold.trim()));
            } catch (NumberFormatException e) {
                context.log().warning("invalid cold time in a health response", "value", cold);
            }
        }
    }

    private void markDown() {
        if (!down) {
            down = true;
            downSinceNanos = context.nanoTime();
            context.log().info("local target unreachable");
        }
    }

    private void markUp() {
        if (down) {
            down = false;
            long millis = TimeUnit.NANOSECONDS.toMillis(context.nanoTime() - downSinceNanos);
            context.log().info("local target reachable again", "downMillis", millis);
        }
    }

    private static String header(CallResult result, String name) {
        List<String> headers = result.headers();
        for (int i = 0; i + 1 < headers.size(); i += 2) {
            if (headers.get(i).equalsIgnoreCase(name)) {
                return headers.get(i + 1);
            }
        }
        return null;
    }
}
