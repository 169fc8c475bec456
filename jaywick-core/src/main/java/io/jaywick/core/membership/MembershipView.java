package io.jaywick.core.membership;

import java.util.List;
import java.util.Optional;

/** The members that one node knows. It may lag and be wrong, and every user of it must tolerate that. */
public interface MembershipView {

    /** All known members, in no particular order. */
    List<Member> members();

    /** The member under a server name. */
    Optional<Member> member(String server);
}
