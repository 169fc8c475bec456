package io.jaywick.core.record;

import java.util.Arrays;

/**
 * Small set of named counters. Values are never negative and, within one process, never decrease. Not thread safe.
 *
 * <p>The names are specified in docs/record-format.md. Lookups compare references first, so that counting with constant
 * names takes a few nanoseconds.
 */
public final class UsageCounters {

    public static final String ANSWERED = "answered";
    public static final String REFUSED = "refused.";
    public static final String UNKNOWN = "unknown.";
    public static final String RETRIES = "retries";
    public static final String REQUEST_BYTES = "requestBytes";
    public static final String RESPONSE_BYTES = "responseBytes";
    public static final String LINK_BYTES = "linkBytes.";
    public static final String DISPATCHES = "dispatches";
    public static final String RETRIED_DISPATCHES = "retriedDispatches";
    public static final String SLOT_MICROS = "slotMicros";

    /**
     * Maximum number of names. Further names with a prefix, such as reasons and links, are counted as
     * {@code PREFIX.other}.
     */
    static final int MAX_NAMES = 64;

    private static final int INITIAL_NAMES = 6;

    private String[] names = new String[INITIAL_NAMES];
    private long[] values = new long[INITIAL_NAMES];
    private int size;

    /** Number of counters. */
    public int size() {
        return size;
    }

    public String name(int index) {
        return names[index];
    }

    public long value(int index) {
        return values[index];
    }

    /** Returns the value of a counter, 0 when it is absent. */
    public long get(String name) {
        int index = indexOf(name);
        return index < 0 ? 0 : values[index];
    }

    /** Returns the sum of all counters whose names start with the prefix. */
    public long sum(String prefix) {
        long sum = 0;
        for (int i = 0; i < size; i++) {
            if (names[i].startsWith(prefix)) {
                sum += values[i];
            }
        }
        return sum;
    }

    /** Number of ended calls of all outcomes: answered, refused and unknown. */
    public long endedCalls() {
        long ended = 0;
        for (int i = 0; i < size; i++) {
            String name = names[i];
            if (name.equals(ANSWERED) || name.startsWith(REFUSED) || name.startsWith(UNKNOWN)) {
                ended += values[i];
            }
        }
        return ended;
    }

    /** Adds to a counter. Adding 0 does not create the counter. */
    public void add(String name, long delta) {
        if (delta != 0) {
            int index = indexOrAppend(name);
            values[index] += delta;
        }
    }

    /** Sets a counter to the maximum of its current value and the given one. */
    public void raiseTo(String name, long value) {
        if (value != 0) {
            int index = indexOrAppend(name);
            values[index] = Math.max(values[index], value);
        }
    }

    /** Adds the values of all counters of another set. */
    public void addAll(UsageCounters other) {
        for (int i = 0; i < other.size; i++) {
            add(other.names[i], other.values[i]);
        }
    }

    /** Sets every counter to the maximum of both sets, which merges two states of the same process. */
    public void raiseAllTo(UsageCounters other) {
        for (int i = 0; i < other.size; i++) {
            raiseTo(other.names[i], other.values[i]);
        }
    }

    public UsageCounters copy() {
        UsageCounters copy = new UsageCounters();
        copy.names = Arrays.copyOf(names, Math.max(1, size));
        copy.values = Arrays.copyOf(values, Math.max(1, size));
        copy.size = size;
        return copy;
    }

    private int indexOrAppend(String name) {
        int index = indexOf(name);
        if (index >= 0) {
            return index;
        }
        if (size >= MAX_NAMES) {
            return indexOfOther(name);
        }
        return append(name);
    }

    /** Returns the index of {@code PREFIX.other}. Names without a dot are few and fixed, so they are appended. */
    private int indexOfOther(String name) {
        int dot = name.indexOf('.');
        if (dot < 0) {
            return append(name);
        }
        String other = name.substring(0, dot + 1) + "other";
        int index = indexOf(other);
        return index >= 0 ? index : append(other);
    }

    private int append(String name) {
        if (size == names.length) {
            names = Arrays.copyOf(names, size * 2);
            values = Arrays.copyOf(values, size * 2);
        }
        names[size] = name;
        return size++;
    }

    private int indexOf(String name) {
        for (int i = 0; i < size; i++) {
            if (names[i] == name) {
                return i;
            }
        }
        for (int i = 0; i < size; i++) {
            if (names[i].equals(name)) {
                return i;
            }
        }
        return -1;
    }
}
