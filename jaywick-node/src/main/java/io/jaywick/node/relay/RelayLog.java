package io.jaywick.node.relay;

import java.util.ArrayList;
import java.util.List;
import java.util.function.LongSupplier;

import io.jaywick.node.log.LogField;

/**
 * Lines about calls and about what the node believes. Lines about calls have a budget, so that a flood of refusals
 * does not cost the time that the calls need; a line tells how many were left out.
 */
public final class RelayLog {

    /** Lines about calls in each second; at about 20 microseconds a line they cost a thousandth of a core. */
    private static final int CALL_LINES_PER_SECOND = 50;

    /**
     * Lines about refusals at the target beside the node in each second. A call that fails names them too, at the caller's
     * node; these lines add why, and in an overload there are many more of them than of failed calls.
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

    /** Notes a change of what the node believes; fields are names and values in turn. */
    public void info(String message, Object... fields) {
        write(System.Logger.Level.INFO, message, fields);
    }

    public void warning(String message, Object... fields) {
        write(System.Logger.Level.WARNING, message, fields);
    }

    public void debug(String message, Object... fields) {
        write(System.Logger.Level.DEBUG, message, fields);
    }

    /** Notes a decision about one call, within the budget. */
    public void callEvent(String message, Object... fields) {
        infoRateLimited(callLimiter, "call lines left out", message, fields);
    }

    /** Notes that the target beside the node did not get a call, within a budget of its own. */
    public void refusalEvent(String message, Object... fields) {
        infoRateLimited(refusalLimiter, "refusal lines left out", message, fields);
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
