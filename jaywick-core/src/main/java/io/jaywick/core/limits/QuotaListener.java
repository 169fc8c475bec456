package io.jaywick.core.limits;

/** Observes the quotas of a node, for its metrics and log. */
public interface QuotaListener {

    QuotaListener NONE = new QuotaListener() {};

    /** A call was refused because its account is over its limit. */
    default void overQuota(String account) {}

    /** A request for tokens was sent to another node. */
    default void requestSent(boolean lend) {}

    /** A holder did not answer in time. */
    default void holderUnreachable(String host) {}

    /** No holder was reachable for a call, which was admitted from the node's own bucket or refused. */
    default void noHolder(String account, boolean admitted) {}
}
