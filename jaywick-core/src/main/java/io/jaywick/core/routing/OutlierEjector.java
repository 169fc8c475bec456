package io.jaywick.core.routing;

import java.util.HashMap;
import java.util.Map;

/**
 * Ejects targets of one service after consecutive failures that this node saw itself. At most 30% of the targets are
 * ejected at once, so that a wrong signal cannot empty the service.
 */
public final class OutlierEjector {

    public static final int MAX_EJECTED_PERCENT = 30;
    public static final int FAILURES_TO_EJECT = 5;
    public static final long FIRST_EJECTION_MILLIS = 5_000;
    public static final long MAX_EJECTION_MILLIS = 60_000;

    private static final long NANOS_PER_MILLI = 1_000_000;

    private static final class Record {
        int failures;
        int ejections;
        boolean ejected;
        long untilNanos;
    }

    private final Map<String, Record> records = new HashMap<>();

    /** Counts a failure; the number of targets of the service bounds the ejections. */
    public synchronized void failed(String server, int targets, long now) {
        Record record = records.computeIfAbsent(server, name -> new Record());
        record.failures++;
        if (record.failures < FAILURES_TO_EJECT || isEjected(record, now)) {
            return;
        }
        if ((ejected(now) + 1) * 100 > targets * MAX_EJECTED_PERCENT) {
            return;
        }
        long millis = Math.min(MAX_EJECTION_MILLIS, FIRST_EJECTION_MILLIS << Math.min(record.ejections, 4));
        record.ejected = true;
        record.untilNanos = now + millis * NANOS_PER_MILLI;
        record.ejections++;
        record.failures = 0;
    }

    /** An answered call ends a series of failures and shortens the next ejection. */
    public synchronized void succeeded(String server) {
        Record record = records.get(server);
        if (record != null && !record.ejected) {
            records.remove(server);
        } else if (record != null) {
            record.failures = 0;
        }
    }

    public synchronized boolean isEjected(String server, long now) {
        Record record = records.get(server);
        return record != null && isEjected(record, now);
    }

    /** Number of targets ejected at a moment. */
    public synchronized int ejected(long now) {
        int count = 0;
        for (Record record : records.values()) {
            if (isEjected(record, now)) {
                count++;
            }
        }
        return count;
    }

    private static boolean isEjected(Record record, long now) {
        if (record.ejected && now - record.untilNanos >= 0) {
            record.ejected = false;
        }
        return record.ejected;
    }
}
