package io.jaywick.node.relay;

import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.LongConsumer;

import io.jaywick.core.message.ForwardCall;
import io.jaywick.core.rules.ServiceRule;

/**
 * Asks the target for its health, only when there is a reason to doubt what the node believes: after the node's start,
 * after a lost connection and after an evacuation. Health answers may mislead, so only the identity of the target, its
 * cold time and whether it answers at all are taken from them.
 */
final class TargetHealth {

    /** Doubts of this time are settled by one check, because each check costs the target a slot. */
    private static final long MIN_CHECK_INTERVAL_MILLIS = 300;

    /** A check waits for a slot like any call. */
    private static final long CHECK_TIMEOUT_MILLIS = 2_000;

    private static final byte[] NO_BODY = new byte[0];

    private final RelayContext context;
    private final TargetPool pool;
    private final LongConsumer onColdMillis;
    private boolean checkScheduled;
    private boolean down;
    private long downSinceNanos;

    /**
     * Makes the check of the target behind a pool.
     *
     * @param onColdMillis is told how long the target stays cold
     */
    TargetHealth(RelayContext context, TargetPool pool, LongConsumer onColdMillis) {
        this.context = context;
        this.pool = pool;
        this.onColdMillis = onColdMillis;
    }

    private ServiceRule serviceRule() {
        return context.fleet().get().rules().service(context.settings().service());
    }

    /** Whether the last attempt to connect failed; calls are refused at once until a check succeeds. */
    boolean isDown() {
        return down;
    }

    /** Notes how a call ended. */
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

    /** Asks the target soon, unless that is under way. */
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
            context.log().info("target's health is unknown", "reason", result.reason());
            return;
        }
        markUp();
        pool.recordInstance(header(result, pool.names().instanceId()));
        String cold = header(result, pool.names().coldMillis());
        if (cold != null) {
            try {
                onColdMillis.accept(Long.parseLong(cold.trim()));
            } catch (NumberFormatException e) {
                context.log().warning("unreadable cold time in a health answer", "value", cold);
            }
        }
    }

    private void markDown() {
        if (!down) {
            down = true;
            downSinceNanos = context.nanoTime();
            context.log().info("target is down");
        }
    }

    private void markUp() {
        if (down) {
            down = false;
            long millis = TimeUnit.NANOSECONDS.toMillis(context.nanoTime() - downSinceNanos);
            context.log().info("target is back", "downMillis", millis);
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
