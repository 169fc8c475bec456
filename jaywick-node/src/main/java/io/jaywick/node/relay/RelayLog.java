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

    private static final long SECOND_NANOS = 1_000_000_000;

    private final System.Logger logger;
    private final LongSupplier nanoTime;
    private long secondStartNanos;
    private int callLines;
    private int leftOut;

    public RelayLog(System.Logger logger, LongSupplier nanoTime) {
        this.logger = logger;
        this.nanoTime = nanoTime;
        this.secondStartNanos = nanoTime.getAsLong();
    }

    /** Notes a change of what the node believes; fields are names and values in turn. */
    public void change(String message, Object... fields) {
        write(System.Logger.Level.INFO, message, fields);
    }

    public void warning(String message, Object... fields) {
        write(System.Logger.Level.WARNING, message, fields);
    }

    public void debug(String message, Object... fields) {
        write(System.Logger.Level.DEBUG, message, fields);
    }

    /** Notes a decision about one call, within the budget. */
    public void call(String message, Object... fields) {
        long now = nanoTime.getAsLong();
        if (now - secondStartNanos >= SECOND_NANOS) {
            int missing = leftOut;
            secondStartNanos = now;
            callLines = 0;
            leftOut = 0;
            if (missing > 0) {
                change("call lines left out", "count", missing);
            }
        }
        if (callLines >= CALL_LINES_PER_SECOND) {
            leftOut++;
            return;
        }
        callLines++;
        write(System.Logger.Level.INFO, message, fields);
    }

    private void write(System.Logger.Level level, String message, Object... fields) {
        if (!logger.isLoggable(level)) {
            return;
        }
        List<LogField> named = new ArrayList<>(fields.length / 2);
        for (int i = 0; i + 1 < fields.length; i += 2) {
            named.add(LogField.of((String) fields[i], fields[i + 1]));
        }
        logger.log(level, message, named.toArray());
    }
}
