package io.jaywick.core.limits;

/**
 * Reports which table revisions are active on the fleet, according to the fleet status. After a change of the roster,
 * base allocations grow only once the fleet is known to have activated it, so an implementation returns false while the
 * revision of any server is unknown.
 */
@FunctionalInterface
public interface FleetRevisions {

    /**
     * Returns whether every server of the roster, and every server that was removed from it and may still be running,
     * has reported an active revision between the two arguments, inclusive.
     */
    boolean allWithin(long oldestRevision, long newestRevision);
}
