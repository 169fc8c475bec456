package io.jaywick.core.admission;

/**
 * Number of crashes after which a request is blocked.
 *
 * @param crashesToBlock crashes at which a request must have been in flight
 * @param minSpacingMillis crashes recorded within this time after another one do not count: targets that fail together
 *     for a common cause have many unrelated requests in flight
 */
public record SuspectPolicy(int crashesToBlock, long minSpacingMillis) {

    /** For targets that run one suspect at a time, so that a second crash identifies the request. */
    public static final SuspectPolicy SERIALIZED = new SuspectPolicy(2, 0);

    /** For targets that run suspects beside other calls. */
    public static final SuspectPolicy CONCURRENT = new SuspectPolicy(3, 1_000);
}
