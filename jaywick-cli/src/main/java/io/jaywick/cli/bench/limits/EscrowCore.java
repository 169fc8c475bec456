package io.jaywick.cli.bench.limits;

import io.jaywick.core.limits.PartyLimiter;
import io.jaywick.core.message.QuotaGrant;
import io.jaywick.core.message.QuotaRequest;
import io.jaywick.core.snapshot.Party;
import io.jaywick.core.snapshot.Snapshot;

/** Enforces limits with the {@link PartyLimiter} that the nodes use. */
record EscrowCore(PartyLimiter limiter) implements LimiterCore {

    @Override
    public boolean tryAcquire(Party party) {
        return limiter.tryAcquire(party);
    }

    @Override
    public void onSnapshot(Snapshot snapshot) {
        limiter.onSnapshot(snapshot);
    }

    @Override
    public QuotaGrant handle(QuotaRequest request) {
        return limiter.handle(request);
    }

    @Override
    public void tick() {
        limiter.tick();
    }
}
