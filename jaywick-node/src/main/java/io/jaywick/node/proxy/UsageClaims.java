package io.jaywick.node.proxy;

import io.jaywick.core.record.UsageClaimException;

/** Claims calls and dispatches in the usage record before they are executed. */
final class UsageClaims {

    private static final System.Logger LOG = System.getLogger(UsageClaims.class.getName());

    private UsageClaims() {}

    /**
     * Reports a start to the usage record. Returns false if the call cannot be claimed; it must then be refused and is
     * not counted.
     *
     * @param start notifies the observer of the start of a call or a dispatch
     */
    static boolean tryClaim(Runnable start) {
        try {
            start.run();
            return true;
        } catch (UsageClaimException e) {
            LOG.log(System.Logger.Level.WARNING, "call refused, not claimed in the usage record", e);
            return false;
        }
    }
}
