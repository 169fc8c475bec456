package io.jaywick.core.limits;

/**
 * What the fleet status says of the revisions in force. A share grows over a change of the roster only after a
 * positive answer, so an implementation answers false when it does not know.
 */
@FunctionalInterface
public interface FleetRevisions {

    /**
     * Tells whether every server of the roster, and every server that left it and may still run, has reported a
     * revision that is not older than the first and not newer than the second argument.
     */
    boolean allWithin(long oldestRevision, long newestRevision);
}
