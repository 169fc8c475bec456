package io.jaywick.core.admission;

/**
 * Says when a request is blocked, and for how long.
 *
 * @param crashesToBlock crashes at which a request must have been in flight
 * @param minSpacingMillis crashes recorded within this time after another one do not count: targets that fail together
 *     for a common cause have many unrelated requests in flight
 * @param blockMillis time from the last crash for which the request is blocked. It then runs again, because a request
 *     that did not cause the crashes can be cleared only by its response; another crash blocks it again
 */
public record SuspectPolicy(int crashesToBlock, long minSpacingMillis, long blockMillis) {

    /** For targets that run one suspect at a time, so that a second crash identifies the request. */
    public static final SuspectPolicy SERIALIZED = new SuspectPolicy(2, 0, SuspectList.EXPIRY_MILLIS);

    /** For targets that run suspects beside other calls. */
    public static final SuspectPolicy CONCURRENT = new SuspectPolicy(3, 1_000, 60_000);
}
