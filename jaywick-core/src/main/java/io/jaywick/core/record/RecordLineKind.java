package io.jaywick.core.record;

import java.util.Locale;

/** Kind of a line of the usage record. */
public enum RecordLineKind {
    /** Regular line: claims and, when due, the counters that changed and all counters of hours that ended. */
    COUNTERS,
    /** Raises the claims and holds no counters. */
    CLAIM,
    /** Last line of a graceful shutdown; its claims equal the number of starts. */
    FINAL,
    /** Response of the admin port: counters of all open hours, with the sequence number of the last written line. */
    QUERY,
    /** Several merged lines of one process; occurs only in temporary files of the merge. */
    FOLDED;

    private static final RecordLineKind[] KINDS = values();

    private final String fieldValue = name().toLowerCase(Locale.ROOT);

    /** Value of the JSON field {@code kind}. */
    public String fieldValue() {
        return fieldValue;
    }

    /** Returns the kind with this field value, or null when it is unknown. */
    public static RecordLineKind of(String fieldValue) {
        for (RecordLineKind kind : KINDS) {
            if (kind.fieldValue.equals(fieldValue)) {
                return kind;
            }
        }
        return null;
    }
}
