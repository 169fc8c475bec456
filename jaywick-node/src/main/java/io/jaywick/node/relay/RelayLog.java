package io.jaywick.node.relay;

import java.util.ArrayList;
import java.util.List;
import java.util.function.LongSupplier;

import io.jaywick.node.log.LogField;

/**
 * Structured log of a node. Lines about calls are rate limited, so that a flood of refusals does not use the processor
 * time that calls need; a further line reports how many were suppressed.
 */
public final class RelayLog {

    /** Limit for log lines about calls; at about 20 microseconds per line these use a thousandth of a core. */
    private static final int CALL_LINES_PER_SECOND = 50;

    /**
     * Separate limit for refusals at the local target and of callers without a valid key. A failed call lists the former
     * as well, at the caller's node; these lines add the cause, and an overload causes many more refusals than failed
     * calls. A client with a wrong key must not suppress the lines about other calls.
     */
    private static final int REFUSAL_LINES_PER_SECOND = 10;

    private final System.Logger logger;
    private final LogRateLimiter callLimiter;
    private final LogRateLimiter refusalLimiter;

    public RelayLog(System.Logger logger, LongSupplier nanoTime) {
        this.logger = logger;
        this.callLimiter = new LogRateLimiter(CALL_LINES_PER_SECOND, nanoTime);
        this.refusalLimiter = new LogRateLimiter(REFUSAL_LINES_PER_SECOND, nanoTime);
    }

    /** Logs a change of the node's state or view; fields are alternating names and values. */
    public void info(String message, Object... fields) {
        write(System.Logger.Level.INFO, message, fields);
    }

    public void warning(String message, Object... fields) {
        write(System.Logger.Level.WARNING, message, fields);
    }

    public void debug(String message, Object... fields) {
        write(System.Logger.Level.DEBUG, message, fields);
    }

    /** Logs an event of one call, rate limited. */
    public void callEvent(String message, Object... fields) {
        infoRateLimited(callLimiter, "call log lines suppressed", message, fields);
    }

    /** Logs a call that was refused at the local target or because of its caller, with a separate rate limit. */
    public void refusalEvent(String message, Object... fields) {
        infoRateLimited(refusalLimiter, "refusal log lines suppressed", message, fields);
    }

    private void infoRateLimited(LogRateLimiter limiter, String suppressedMessage, String message, Object... fields) {
        int suppressed = limiter.startSecondIfDue();
        if (suppressed > 0) {
            info(suppressedMessage, "count", suppressed);
        }
        if (limiter.tryAcquire()) {
            write(System.Logger.Level.INFO, message, fields);
        }
    }

    private void write(System.Logger.Level level, String message, Object... fields) {
        if (!logger.isLoggable(level)) {
            return;
        }
        List<LogField> logFields = new ArrayList<>(fields.length / 2);
        for (int i = 0; i + 1 < fields.length; i += 2) {
            logFields.add(LogField.of((String) fields[i], fields[i + 1]));
        }
        logger.log(level, message, logFields.toArray());
    }
}
