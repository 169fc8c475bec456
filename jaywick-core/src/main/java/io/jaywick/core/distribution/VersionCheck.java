package io.jaywick.core.distribution;

import io.jaywick.core.table.TableContent;

/** Turns a version into an accepted snapshot or problems. The result depends on nothing but the arguments. */
public interface VersionCheck {

    /** Checks a packed value of the configuration service. */
    CheckedVersion checkPacked(long revision, byte[] packed);

    /** Checks a canonical content that a peer sent. */
    CheckedVersion checkContent(long revision, TableContent content);
}
