package io.jaywick.cli.bench.limits;

import java.util.HashMap;
import java.util.Map;
import java.util.function.LongSupplier;

import io.jaywick.core.limits.LimitTiming;
import io.jaywick.core.limits.Roster;
import io.jaywick.core.limits.WindowCounter;
import io.jaywick.core.message.QuotaGrant;
import io.jaywick.core.message.QuotaRequest;
import io.jaywick.core.snapshot.Party;
import io.jaywick.core.snapshot.Snapshot;

/** Gives each server of the roster an equal share of the limit, without messages between servers. */
final class FixedShareCore implements LimiterCore {

    private static final int BUCKETS = 128;

    private final String server;
    private final LongSupplier clock;
    private final long startNanos;
    private final Map<String, WindowCounter> used = new HashMap<>();
    private Snapshot snapshot;
    private Roster roster;

    FixedShareCore(String server, LongSupplier clock) {
        this.server = server;
        this.clock = clock;
        this.startNanos = clock.getAsLong();
    }

    @Override
    public boolean tryAcquire(Party party) {
        if (snapshot == null) {
            return false;
        }
        Party current = snapshot.parties().get(party.name());
        long windowNanos = LimitTiming.guardedWindowNanos(current.windowMillis());
        long nowNanos = clock.getAsLong();
        // An earlier process of this server may have used the share within the last window.
        if (nowNanos - startNanos < windowNanos) {
            return false;
        }
        int rank = roster.servers().indexOf(server);
        WindowCounter counter = used.computeIfAbsent(party.name(), name -> new WindowCounter(windowNanos, BUCKETS));
        counter.resize(windowNanos, nowNanos);
        if (counter.count(nowNanos)
                >= Roster.baseAllocation(
                        current.limitCalls(), rank, roster.servers().size())) {
            return false;
        }
        counter.add(nowNanos);
        return true;
    }

    @Override
    public void onSnapshot(Snapshot adopted) {
        snapshot = adopted;
        roster = new Roster(adopted.servers().keySet());
    }

    @Override
    public QuotaGrant handle(QuotaRequest request) {
        return new QuotaGrant(server, 0, request.requestId(), request.party(), 0, 0, 0, 0);
    }

    @Override
    public void tick() {
        // Fixed shares need no periodic work.
    }
}
