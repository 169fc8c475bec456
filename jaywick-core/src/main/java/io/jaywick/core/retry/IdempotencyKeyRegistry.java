package io.jaywick.core.retry;

import java.time.InstantSource;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Idempotency keys that the node beside a target has dispatched. A key is accepted once. A key that the node may have
 * missed, because it started, because another server was the key's home, or because it had to forget keys, is accepted
 * only when its own creation time proves that it is newer than what was missed. Thread-safe.
 */
public final class IdempotencyKeyRegistry {

    /**
     * A node can serve a key's former home for the 8 s within which an edit is active everywhere, and clocks may differ
     * by 2 s. Only a key created after both is certainly new.
     */
    public static final long SAFETY_MARGIN_MILLIS = 10_000;

    private final long windowMillis;
    private final int capacity;
    private final InstantSource clock;
    private final Map<String, Long> dispatchMillis = new LinkedHashMap<>();
    private long unrecordedUntilMillis;

    /** Takes the moment of construction as the start of the process. */
    public IdempotencyKeyRegistry(long windowMillis, int capacity, InstantSource clock) {
        this.windowMillis = windowMillis;
        this.capacity = capacity;
        this.clock = clock;
        this.unrecordedUntilMillis = clock.millis();
    }

    /** Tells whether a key would be accepted, without recording it. */
    public synchronized boolean isNew(String party, String key, long otherHomeUntilMillis) {
        long now = clock.millis();
        expire(now);
        return !dispatchMillis.containsKey(registryKey(party, key)) && isProvablyNew(key, otherHomeUntilMillis, now);
    }

    /**
     * Records a key directly before its request is dispatched.
     *
     * @param otherHomeUntilMillis moment until which another server was the key's home, or 0
     * @return false when the key was dispatched before or may have been
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

    /** Forgets a key whose request provably never reached the target. */
    public synchronized void forget(String party, String key) {
        dispatchMillis.remove(registryKey(party, key));
    }

    public synchronized int size() {
        return dispatchMillis.size();
    }

    private boolean isProvablyNew(String key, long otherHomeUntilMillis, long now) {
        long createdMillis = UuidV7.creationMillis(key);
        if (createdMillis >= 0 && (createdMillis < now - windowMillis || createdMillis > now + SAFETY_MARGIN_MILLIS)) {
            // An older key may have been forgotten by now, and a key from the future proves nothing.
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
