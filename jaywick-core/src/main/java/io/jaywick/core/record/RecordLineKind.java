package io.jaywick.core.record;

import java.util.Locale;

/** Kinds of lines of the usage record. */
public enum RecordLineKind {
    /** Counters that changed since the line before, or all counters of an hour that ended. */
    COUNTERS,
    /** Raises the claims only. */
    CLAIM,
    /** Last line of a graceful end; claims nothing beyond what has started. */
    FINAL,
    /** Answer of the admin port: all open counters, under the sequence number of the last written line. */
    QUERY,
    /** Several lines of one process merged by the fold; only in its temporary files. */
    FOLDED;

    private static final RecordLineKind[] KINDS = values();

    private final String fieldValue = name().toLowerCase(Locale.ROOT);

    /** Value of the field {@code kind}. */
    public String fieldValue() {
        return fieldValue;
    }

    /** Returns the kind with this field value, or null. */
    public static RecordLineKind of(String fieldValue) {
        for (RecordLineKind kind : KINDS) {
            if (kind.fieldValue.equals(fieldValue)) {
                return kind;
            }
        }
        return null;
    }
}
