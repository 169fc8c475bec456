package io.jaywick.core.retry;

import java.time.InstantSource;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Idempotency keys of the requests that the node next to a target has dispatched. Each key is accepted once. The node
 * may lack keys from before its own start, from the time when another server was the key's home, and those evicted at
 * capacity. A key that may be one of them is accepted only when its creation time proves that it is newer. Thread-safe.
 */
public final class IdempotencyKeyRegistry {

    /**
     * An edit becomes active everywhere within 8 s, for which a key may still be served at its former home, and clocks
     * may differ by 2 s. Only a key created after both is certainly new.
     */
    public static final long SAFETY_MARGIN_MILLIS = 10_000;

    private final long windowMillis;
    private final int capacity;
    private final InstantSource clock;
    private final Map<String, Long> dispatchMillis = new LinkedHashMap<>();
    private long unrecordedUntilMillis;

    /**
     * Creates an empty registry, for which the time of construction is the start of the process.
     *
     * @param windowMillis time within which a key must not be dispatched twice
     * @param capacity maximum number of keys held
     */
    public IdempotencyKeyRegistry(long windowMillis, int capacity, InstantSource clock) {
        this.windowMillis = windowMillis;
        this.capacity = capacity;
        this.clock = clock;
        this.unrecordedUntilMillis = clock.millis();
    }

    /**
     * Returns whether a key would be accepted, without recording it.
     *
     * @param otherHomeUntilMillis time until which another server was the key's home, or 0
     */
    public synchronized boolean isNew(String party, String key, long otherHomeUntilMillis) {
        long now = clock.millis();
        expire(now);
        return !dispatchMillis.containsKey(registryKey(party, key)) && isProvablyNew(key, otherHomeUntilMillis, now);
    }

    /**
     * Records a key directly before its request is dispatched.
     *
     * @param otherHomeUntilMillis time until which another server was the key's home, or 0
     * @return false when the key was or may have been dispatched before
     */
    public synchronized boolean tryRecord(String party, String key, long otherHomeUntilMillis) {
        if (!isNew(party, key, otherHomeUntilMillis)) {
            return false;
        }
        if (dispatchMillis.size() >= capacity) {
            Iterator<Map.Entry<String, Long>> oldest = dispatchMillis.entrySet().iterator();
            unrecordedUntilMillis =
                    Math.max(unrecordedUntilMillis, oldest.next().getValue());
            oldest.remove();
        }
        dispatchMillis.put(registryKey(party, key), clock.millis());
        return true;
    }

    /** Removes a key whose request certainly did not reach the target. */
    public synchronized void forget(String party, String key) {
        dispatchMillis.remove(registryKey(party, key));
    }

    public synchronized int size() {
        return dispatchMillis.size();
    }

    private boolean isProvablyNew(String key, long otherHomeUntilMillis, long now) {
        long createdMillis = UuidV7.creationMillis(key);
        if (createdMillis >= 0 && (createdMillis < now - windowMillis || createdMillis > now + SAFETY_MARGIN_MILLIS)) {
            // An older key may have expired already, and a creation time in the future proves nothing.
            return false;
        }
        long unknownUntilMillis = Math.max(unrecordedUntilMillis, otherHomeUntilMillis);
        return now - unknownUntilMillis >= windowMillis + SAFETY_MARGIN_MILLIS
                || createdMillis > unknownUntilMillis + SAFETY_MARGIN_MILLIS;
    }

    private void expire(long now) {
        for (Iterator<Long> times = dispatchMillis.values().iterator(); times.hasNext(); ) {
            if (now - times.next() < windowMillis + SAFETY_MARGIN_MILLIS) {
                return;
            }
            times.remove();
        }
    }

    private static String registryKey(String party, String key) {
        return party + '\n' + key;
    }
}
