package io.jaywick.core.distribution;

import java.time.Duration;

import io.jaywick.core.message.SourceEntry;

/**
 * Decides how long the state that an entry had in a former era of the source is used in place of the one that the
 * source lists after its return from a copy, which may be older. Revisions cannot decide this, because they are given
 * out again; the content of the entries may.
 */
@FunctionalInterface
public interface RetentionPolicy {

    /** Retention of a state that only a newer one replaces. */
    long UNLIMITED_MILLIS = Duration.ofDays(365).toMillis();

    /**
     * Returns the longest time in milliseconds for which the known state is used, or 0 if the listed one replaces it at
     * once.
     *
     * @param known entry of a former era, or its removal
     * @param listed entry of the same key that the source lists, or its removal
     * @param isWritten whether the listed state was written in the present era; otherwise it may come from the copy
     */
    long retentionMillis(SourceEntry known, SourceEntry listed, boolean isWritten);
}
