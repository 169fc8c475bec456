package io.jaywick.core.record;

/**
 * Dimensions by which usage is counted. See docs/record-format.md.
 *
 * @param label empty, or {@link #REGION_BOUND} or {@link #OVERFLOW} in place of the names; a label has its
 *     own field, so that it cannot be confused with a party of the same name
 * @param region region of the node that served or refused the call
 * @param nested true for calls with a nesting depth above 0
 * @param hour hours since 1970-01-01T00:00Z
 */
public record UsageKey(
        String label, String party, String service, String route, String region, boolean nested, long hour) {

    /** Label of region-bound calls that a node outside their home regions counts. */
    public static final String REGION_BOUND = "region-bound";

    /** Label of calls that are counted after the maximum number of keys of an hour is reached. */
    public static final String OVERFLOW = "overflow";

    /** Returns the key of calls whose names must not be recorded in the region of this node. */
    static UsageKey regionBound(String region, boolean nested, long hour) {
        return new UsageKey(REGION_BOUND, "", "", "", region, nested, hour);
    }

    /** Returns the key of calls that exceed the maximum number of keys. */
    static UsageKey overflow(long hour) {
        return new UsageKey(OVERFLOW, "", "", "", "", false, hour);
    }
}
