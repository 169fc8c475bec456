package io.jaywick.cli.bench.limits;

import io.jaywick.core.message.QuotaGrant;
import io.jaywick.core.message.QuotaRequest;
import io.jaywick.core.snapshot.Party;
import io.jaywick.core.snapshot.Snapshot;

/** One node's part of a way to enforce party limits. */
public interface LimiterCore {

    boolean tryAcquire(Party party);

    void onSnapshot(Snapshot snapshot);

    QuotaGrant handle(QuotaRequest request);

    void tick();
}
