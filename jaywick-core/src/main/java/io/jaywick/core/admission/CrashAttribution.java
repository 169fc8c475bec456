package io.jaywick.core.admission;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.LongSupplier;

/**
 * Attributes the crashes of one target to the calls that were in flight. A lost connection alone is no crash, because
 * targets also reset single connections; the calls lost are suspected only when the target is then found to be down. Of
 * these, only those with the most earlier crashes are recorded, so that a request that crashes targets repeatedly does
 * not bring suspicion on the calls beside it each time. Not thread-safe.
 */
public final class CrashAttribution {

    /** Time from the loss of a call within which a crash of its target is detected. */
    private static final long MAX_DETECTION_MILLIS = 1_000;

    private static final long NANOS_PER_MILLI = 1_000_000;

    private record LostCall(Set<String> homeRegions, long lostNanos) {}

    private final SuspectList suspects;
    private final String crashIdPrefix;
    private final LongSupplier nanoTime;
    private final Map<String, LostCall> lostCalls = new LinkedHashMap<>();
    private long crashCount;

    /**
     * Creates the attribution for one target.
     *
     * @param crashIdPrefix unique to the process; begins the identifiers of the crashes that it detects
     */
    public CrashAttribution(SuspectList suspects, String crashIdPrefix, LongSupplier nanoTime) {
        this.suspects = suspects;
        this.crashIdPrefix = crashIdPrefix;
        this.nanoTime = nanoTime;
    }

    /** Records a call whose connection to the target was lost before its response. */
    public void recordLostCall(String fingerprint, Set<String> homeRegions) {
        long now = nanoTime.getAsLong();
        lostCalls.values().removeIf(call -> now - call.lostNanos() > MAX_DETECTION_MILLIS * NANOS_PER_MILLI);
        lostCalls.put(fingerprint, new LostCall(homeRegions, now));
    }

    /** Records that the target responded to a request sent at the given time: calls lost before were not lost to a crash. */
    public void recordResponse(long sentNanos) {
        lostCalls.values().removeIf(call -> call.lostNanos() - sentNanos <= 0);
    }

    /** Number of crashes at which calls were lost. */
    public long crashCount() {
        return crashCount;
    }

    /**
     * Records that the target is down or was restarted.
     *
     * @return the fingerprints of the suspected requests; empty if no call was lost just before
     */
    public List<String> recordCrash() {
        long now = nanoTime.getAsLong();
        List<String> suspected = new ArrayList<>();
        int mostCrashes = 0;
        for (Map.Entry<String, LostCall> lost : lostCalls.entrySet()) {
            if (now - lost.getValue().lostNanos() > MAX_DETECTION_MILLIS * NANOS_PER_MILLI) {
                continue;
            }
            int crashes = suspects.crashIds(lost.getKey()).size();
            if (crashes > mostCrashes) {
                mostCrashes = crashes;
                suspected.clear();
            }
            if (crashes == mostCrashes) {
                suspected.add(lost.getKey());
            }
        }
        if (!suspected.isEmpty()) {
            crashCount++;
            for (String fingerprint : suspected) {
                suspects.recordCrash(
                        fingerprint,
                        crashIdPrefix + "-" + crashCount,
                        lostCalls.get(fingerprint).homeRegions());
            }
        }
        lostCalls.clear();
        return suspected;
    }
}
