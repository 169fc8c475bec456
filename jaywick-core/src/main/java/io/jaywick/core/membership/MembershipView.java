package io.jaywick.core.membership;

import java.util.List;
import java.util.Optional;

/** The members known to one node. The view may be stale or wrong, and every user of it must tolerate that. */
public interface MembershipView {

    /** Returns all known members, in no particular order. */
    List<Member> members();

    /** Returns the member with the given server name, if it is known. */
    Optional<Member> member(String server);
}
