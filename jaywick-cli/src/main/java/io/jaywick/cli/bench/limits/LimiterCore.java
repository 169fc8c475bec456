package io.jaywick.cli.bench.limits;

import io.jaywick.core.message.QuotaGrant;
import io.jaywick.core.message.QuotaRequest;
import io.jaywick.core.snapshot.Party;
import io.jaywick.core.snapshot.Snapshot;

/** The part of a limit strategy that runs on one node. */
public interface LimiterCore {

    /** Returns whether a call of the party is admitted now, and counts it if so. */
    boolean tryAcquire(Party party);

    /** Called when the node activates a table version. */
    void onSnapshot(Snapshot snapshot);

    /** Answers a quota request of another node; the grant may be empty. */
    QuotaGrant handle(QuotaRequest request);

    /** Runs the periodic work, such as requests for quota. */
    void tick();
}
