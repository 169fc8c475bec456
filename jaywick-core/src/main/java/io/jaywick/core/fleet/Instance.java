package io.jaywick.core.fleet;

/**
 * One process lifetime of a target, as the platform lists it.
 *
 * @param id changes with most starts of the process
 * @param address HOST:PORT of the target; the node next to it has the same host
 * @param softwareVersion version of the target's own software
 * @param slots number of calls that the target runs concurrently
 * @param draining whether the target has announced that it is about to stop
 * @param coldMillis how long the target stays cold, counted from {@code receivedNanos}
 * @param sequence increases with each report of the same process lifetime
 * @param startMillis wall-clock start of the process; distinguishes two process lifetimes with the same id
 * @param receivedNanos monotonic time at which this node received the entry
 */
public record Instance(
        String id,
        String service,
        String address,
        String dataCentre,
        String softwareVersion,
        int slots,
        boolean draining,
        long coldMillis,
        long sequence,
        long startMillis,
        long receivedNanos) {

    private static final long NANOS_PER_MILLI = 1_000_000;

    public String host() {
        return address.substring(0, address.lastIndexOf(':'));
    }

    /** Returns the remaining milliseconds for which the target is cold, 0 when it is warm. */
    public long coldMillis(long nowNanos) {
        return Math.max(0, coldMillis - (nowNanos - receivedNanos) / NANOS_PER_MILLI);
    }
}
