package io.jaywick.node.proxy;

import java.util.List;
import java.util.random.RandomGenerator;

import com.dynatrace.hash4j.hashing.Hashing;
import io.jaywick.core.retry.UuidV7;
import io.netty.handler.codec.http.HttpHeaders;

/** Names of the HTTP headers of calls and lenient parsers of their values. See docs/design.md, section 5. */
public final class CallHeaders {

    public static final String PARTY = "jaywick-party";
    public static final String CALL_ID = "jaywick-call-id";
    /** Remaining time of the call in milliseconds. */
    public static final String DEADLINE_MILLIS = "jaywick-deadline-millis";

    public static final String ATTEMPT = "jaywick-attempt";
    /**
     * Nesting depth, 0 for a call that is not nested. A target copies the value that it receives to the calls that it
     * makes for the request.
     */
    public static final String DEPTH = "jaywick-depth";

    public static final String HASH = "jaywick-hash";
    public static final String IDEMPOTENCY_KEY = "idempotency-key";
    public static final String TRACE_PARENT = "traceparent";
    /** Comma-separated IDs of the target crashes at which the request was in flight. */
    public static final String CRASHES = "jaywick-crashes";

    public static final String OUTCOME = "jaywick-outcome";
    public static final String REASON = "jaywick-reason";
    /** Comma-separated values of a {@link Load}. */
    public static final String LOAD = "jaywick-load";

    public static final String RETRIED = "jaywick-retried";

    /** Reason reported with the outcome {@code answered}: the target shed the call. */
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
     * Parses a duration in milliseconds. Returns the default if the header is absent or not a whole number, 0 for a
     * negative number, and {@link Long#MAX_VALUE} for a number of more than {@value #MAX_DIGITS} digits, which might
     * not fit in a long.
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

    /**
     * Parses a count and limits it to the given range. Returns the minimum if the header is absent or not a whole
     * number.
     */
    static int parseCount(HttpHeaders headers, String name, int min, int max) {
        return (int) Math.min(max, Math.max(min, parseMillis(headers, name, min)));
    }

    /**
     * Reads a name chosen by the caller, or returns null if it is absent or empty. The values of a repeated header are
     * joined. A value of more than {@value #MAX_NAME_CHARS} characters is replaced by its hash, which bounds the memory
     * of all structures that hold it.
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

    /** Reads at most {@value #MAX_CRASH_IDS} crash IDs and ignores blank and overlong ones. */
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

    /** Returns the call ID of the request, or a new one if the request has none. */
    static String readOrCreateCallId(HttpHeaders headers, long nowMillis, RandomGenerator random) {
        String id = readName(headers, CALL_ID);
        return id != null ? id : UuidV7.of(nowMillis, random.nextLong(), random.nextLong());
    }
}
