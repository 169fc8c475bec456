package io.jaywick.core.distribution;

import java.util.List;

import io.jaywick.core.snapshot.Snapshot;

/**
 * Result of checking one version of the table.
 *
 * @param hash hash of the content, or of the raw value when it cannot be parsed
 * @param snapshot the accepted version, or null when the version is rejected
 * @param problems reasons for the rejection; empty when the version is accepted
 */
public record CheckedVersion(String hash, Snapshot snapshot, List<String> problems) {

    /** Returns the result for an accepted version. */
    public static CheckedVersion accepted(Snapshot snapshot) {
        return new CheckedVersion(snapshot.hash(), snapshot, List.of());
    }

    /** Returns the result for a rejected version. */
    public static CheckedVersion rejected(String hash, List<String> problems) {
        return new CheckedVersion(hash, null, problems);
    }
}
