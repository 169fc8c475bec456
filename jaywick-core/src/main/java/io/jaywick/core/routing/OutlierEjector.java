package io.jaywick.core.routing;

import java.util.HashMap;
import java.util.Map;

/**
 * Ejects targets of one service after consecutive failures that this node has observed itself. At most 30% of the
 * targets are ejected at a time, so that a false signal cannot leave the service without targets.
 */
public final class OutlierEjector {

    public static final int MAX_EJECTED_PERCENT = 30;
    public static final int FAILURES_TO_EJECT = 5;
    public static final long FIRST_EJECTION_MILLIS = 5_000;
    public static final long MAX_EJECTION_MILLIS = 60_000;

    private static final long NANOS_PER_MILLI = 1_000_000;

    private static final class TargetFailures {
        int failures;
        int ejections;
        boolean ejected;
        long ejectedUntilNanos;
    }

    private final Map<String, TargetFailures> failuresByTarget = new HashMap<>();

    /**
     * Records a failure, and ejects the target if there are enough. The number of targets of the service bounds the
     * ejections.
     */
    public synchronized void recordFailure(String server, int targetCount, long nowNanos) {
        TargetFailures target = failuresByTarget.computeIfAbsent(server, name -> new TargetFailures());
        target.failures++;
        if (target.failures < FAILURES_TO_EJECT || isEjected(target, nowNanos)) {
            return;
        }
        if ((ejectedCount(nowNanos) + 1) * 100 > targetCount * MAX_EJECTED_PERCENT) {
            return;
        }
        long millis = Math.min(MAX_EJECTION_MILLIS, FIRST_EJECTION_MILLIS << Math.min(target.ejections, 4));
        target.ejected = true;
        target.ejectedUntilNanos = nowNanos + millis * NANOS_PER_MILLI;
        target.ejections++;
        target.failures = 0;
    }

    /**
     * Records an answered call. It ends a series of failures; if the target is not ejected, it also resets the duration
     * of the next ejection.
     */
    public synchronized void recordSuccess(String server) {
        TargetFailures target = failuresByTarget.get(server);
        if (target != null && !target.ejected) {
            failuresByTarget.remove(server);
        } else if (target != null) {
            target.failures = 0;
        }
    }

    public synchronized boolean isEjected(String server, long nowNanos) {
        TargetFailures target = failuresByTarget.get(server);
        return target != null && isEjected(target, nowNanos);
    }

    /** Returns the number of targets that are ejected at the given time. */
    public synchronized int ejectedCount(long nowNanos) {
        int count = 0;
        for (TargetFailures target : failuresByTarget.values()) {
            if (isEjected(target, nowNanos)) {
                count++;
            }
        }
        return count;
    }

    private static boolean isEjected(TargetFailures target, long nowNanos) {
        if (target.ejected && nowNanos - target.ejectedUntilNanos >= 0) {
            target.ejected = false;
        }
        return target.ejected;
    }
}
