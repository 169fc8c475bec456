package io.jaywick.node;

import java.util.List;
import java.util.Optional;

import io.jaywick.core.membership.Member;
import io.jaywick.core.membership.MembershipView;

/** Membership view that is empty until it is set, because the proxy binds its ports before the view can be created. */
final class DeferredMembership implements MembershipView {

    private volatile MembershipView view;

    void set(MembershipView membership) {
        view = membership;
    }

    @Override
    public List<Member> members() {
        MembershipView current = view;
        return current == null ? List.of() : current.members();
    }

    @Override
    public Optional<Member> member(String server) {
        MembershipView current = view;
        return current == null ? Optional.empty() : current.member(server);
    }
}
