package io.jaywick.core.fleet;

/**
 * One life of a target.
 *
 * @param id new with most starts
 * @param address HOST:PORT of the target; the node beside it has the same host
 * @param softwareVersion version of the target's own software
 * @param slots calls that the target runs at a time
 * @param draining whether the target has said that it is about to leave
 * @param coldMillis how long the target stays cold, counted from {@code seenNanos}
 * @param sequence grows with each report of one life
 * @param startMillis wall-clock start of this life; it distinguishes two lives with one id
 * @param receivedNanos monotonic moment at which this node learned the entry
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

    /** Host part of the address. */
    public String host() {
        return address.substring(0, address.lastIndexOf(':'));
    }

    /** Returns how long the target stays cold, 0 when it is warm. */
    public long coldMillis(long nowNanos) {
        return Math.max(0, coldMillis - (nowNanos - receivedNanos) / NANOS_PER_MILLI);
    }
}
