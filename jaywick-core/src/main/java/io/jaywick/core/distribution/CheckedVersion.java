package io.jaywick.core.distribution;

import java.util.List;

import io.jaywick.core.snapshot.Snapshot;

/**
 * Result of checking one version of the table.
 *
 * @param hash hash of the content, or of the raw value when that cannot be read
 * @param snapshot null when the version is rejected
 * @param problems why it is rejected, empty when it is accepted
 */
public record CheckedVersion(String hash, Snapshot snapshot, List<String> problems) {

    /** An accepted version. */
    public static CheckedVersion accepted(Snapshot snapshot) {
        return new CheckedVersion(snapshot.hash(), snapshot, List.of());
    }

    /** A rejected version. */
    public static CheckedVersion rejected(String hash, List<String> problems) {
        return new CheckedVersion(hash, null, problems);
    }
}
