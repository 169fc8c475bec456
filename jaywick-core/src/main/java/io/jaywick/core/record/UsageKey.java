package io.jaywick.core.record;

/**
 * What one set of usage counters belongs to. See docs/record-format.md.
 *
 * @param label empty, or {@link #REGION_BOUND} or {@link #OVERFLOW} in place of the names; a label is a field of its
 *     own, so that it can never be confused with a party of the same name
 * @param region region of the serving or refusing node
 * @param nested true for calls with a depth above 0
 * @param hour hours since 1970-01-01T00:00Z
 */
public record UsageKey(
        String label, String party, String service, String route, String region, boolean nested, long hour) {

    /** Label of region-bound calls in lines of nodes outside their home regions. */
    public static final String REGION_BOUND = "region-bound";

    /** Label under which calls are counted once a node has reached its bound of keys. */
    public static final String OVERFLOW = "overflow";

    /** Key of calls whose names may not be written here. */
    static UsageKey regionBound(String region, boolean nested, long hour) {
        return new UsageKey(REGION_BOUND, "", "", "", region, nested, hour);
    }

    /** Key of the calls that are counted beyond the bound of keys. */
    static UsageKey overflow(long hour) {
        return new UsageKey(OVERFLOW, "", "", "", "", false, hour);
    }
}
