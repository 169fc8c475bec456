package io.jaywick.node.proxy;

import java.util.List;
import java.util.random.RandomGenerator;

import com.dynatrace.hash4j.hashing.Hashing;
import io.jaywick.core.retry.UuidV7;
import io.netty.handler.codec.http.HttpHeaders;

/** Names of the headers of docs/design.md, section 5, and tolerant readers of their values. */
public final class CallHeaders {

    public static final String PARTY = "jaywick-party";
    public static final String CALL_ID = "jaywick-call-id";
    /** Remaining time of the call in milliseconds. */
    public static final String DEADLINE_MILLIS = "jaywick-deadline-millis";

    public static final String ATTEMPT = "jaywick-attempt";
    /** 0 for a new call. A target copies the value that it receives to the calls that it makes for the request. */
    public static final String DEPTH = "jaywick-depth";

    public static final String HASH = "jaywick-hash";
    public static final String IDEMPOTENCY_KEY = "idempotency-key";
    public static final String TRACE_PARENT = "traceparent";
    /** Ids of the target losses at which the request was in flight, separated by commas. */
    public static final String CRASHES = "jaywick-crashes";

    public static final String OUTCOME = "jaywick-outcome";
    public static final String REASON = "jaywick-reason";
    /** Calls in flight, slots and limit, separated by commas. */
    public static final String LOAD = "jaywick-load";

    public static final String RETRIED = "jaywick-retried";

    /** Reason beside the outcome {@code answered}: the target shed the call. */
    static final String SHED = "shed";

    static final String CONNECTION_LOST = "connection-lost";
    static final String DEADLINE_PASSED = "deadline-passed";
    static final String ANSWER_CUT = "answer-cut";

    static final int MAX_DEPTH = 1_000;

    private static final int MAX_NAME_CHARS = 64;
    private static final int MAX_DIGITS = 18;
    private static final int MAX_CRASH_IDS = 2;

    private CallHeaders() {}

    /**
     * Reads a duration. Text that is no number counts as absent, a negative number as 0, and a number too large for a
     * long as the largest long.
     */
    static long parseMillis(HttpHeaders headers, String name, long defaultMillis) {
        String text = headers.get(name);
        if (text == null) {
            return defaultMillis;
        }
        String trimmed = text.trim();
        boolean negative = trimmed.startsWith("-");
        String digits = negative ? trimmed.substring(1) : trimmed;
        if (digits.isEmpty()) {
            return defaultMillis;
        }
        for (int i = 0; i < digits.length(); i++) {
            if (digits.charAt(i) < '0' || digits.charAt(i) > '9') {
                return defaultMillis;
            }
        }
        if (negative) {
            return 0;
        }
        return digits.length() > MAX_DIGITS ? Long.MAX_VALUE : Long.parseLong(digits);
    }

    /** Reads a small count between limits. */
    static int parseCount(HttpHeaders headers, String name, int min, int max) {
        return (int) Math.min(max, Math.max(min, parseMillis(headers, name, min)));
    }

    /**
     * Reads a name chosen by the caller. Several values count as one joined value, and a long value is replaced by its
     * hash, which bounds the memory of whatever keeps it.
     */
    static String readName(HttpHeaders headers, String name) {
        String value = headers.get(name);
        if (value == null) {
            return null;
        }
        List<String> values = headers.getAll(name);
        String joined = values.size() == 1 ? value : String.join(",", values);
        if (joined.isEmpty()) {
            return null;
        }
        return joined.length() <= MAX_NAME_CHARS
                ? joined
                : Hashing.murmur3_128().hashStream().putString(joined).get().toString();
    }

    /** Reads the ids of losses. */
    static List<String> readCrashIds(HttpHeaders headers) {
        String value = headers.get(CRASHES);
        if (value == null || value.isEmpty()) {
            return List.of();
        }
        String[] ids = value.split(",", MAX_CRASH_IDS + 1);
        return List.of(ids).subList(0, Math.min(MAX_CRASH_IDS, ids.length)).stream()
                .filter(id -> !id.isBlank() && id.length() <= 2 * MAX_NAME_CHARS)
                .distinct()
                .toList();
    }

    /** Returns the call id of the request, or a new one. */
    static String readOrCreateCallId(HttpHeaders headers, long nowMillis, RandomGenerator random) {
        String id = readName(headers, CALL_ID);
        return id != null ? id : UuidV7.of(nowMillis, random.nextLong(), random.nextLong());
    }
}
