package io.jaywick.node.proxy;

import io.jaywick.core.record.UsageClaimException;

/** Claims calls and dispatches in the usage record before they run. */
final class UsageClaims {

    private static final System.Logger LOG = System.getLogger(UsageClaims.class.getName());

    private UsageClaims() {}

    /**
     * Tells the usage record of a start; a call that cannot be claimed must be refused and is not counted.
     *
     * @param start tells the observer that a call or a dispatch begins
     */
    static boolean tryClaim(Runnable start) {
        try {
            start.run();
            return true;
        } catch (UsageClaimException e) {
            LOG.log(System.Logger.Level.WARNING, "call refused without a claim", e);
            return false;
        }
    }
}
