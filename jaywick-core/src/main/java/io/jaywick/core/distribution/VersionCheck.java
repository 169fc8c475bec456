package io.jaywick.core.distribution;

import io.jaywick.core.table.TableContent;

/** Checks a version and returns its snapshot or its problems. The result depends only on the arguments. */
public interface VersionCheck {

    /** Checks a packed value from the configuration service. */
    CheckedVersion checkPacked(long revision, byte[] packed);

    /** Checks canonical content from a peer. */
    CheckedVersion checkContent(long revision, TableContent content);
}
