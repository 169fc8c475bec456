package io.jaywick.cli.bench.limits;

import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;

import io.jaywick.core.limits.LimitTiming;
import io.jaywick.core.limits.Roster;
import io.jaywick.core.limits.WindowCounter;
import io.jaywick.core.message.QuotaGrant;
import io.jaywick.core.message.QuotaRequest;
import io.jaywick.core.snapshot.Party;
import io.jaywick.core.snapshot.Snapshot;

/**
 * Leases calls in small batches from an owner, the first live member by rendezvous hash. The owner counts the calls
 * that it granted in the last window. This can exceed the limit: nodes with different views of the live members choose
 * different owners, and an owner loses its count when it restarts.
 */
final class OwnerLeaseCore implements LimiterCore {

    private static final int BUCKETS = 128;

    /** A lease lasts a window divided by this number; the owner counts its calls for a lease longer than the window. */
    private static final int LEASES_PER_WINDOW = 4;

    private static final long REQUEST_TIMEOUT_NANOS = TimeUnit.MILLISECONDS.toNanos(200);

    private final LimitStrategy.Environment environment;
    private final Map<String, State> states = new HashMap<>();
    private long nextRequestId;
    private Snapshot snapshot;

    OwnerLeaseCore(LimitStrategy.Environment environment) {
        this.environment = environment;
    }

    @Override
    public boolean tryAcquire(Party party) {
        if (snapshot == null) {
            return false;
        }
        Party current = snapshot.parties().get(party.name());
        State state = state(current);
        long nowNanos = environment.clock().getAsLong();
        state.demandSinceTick++;
        if (nowNanos >= state.leaseEndNanos) {
            state.tokens = 0;
        }
        if (state.tokens == 0) {
            return false;
        }
        state.tokens--;
        return true;
    }

    @Override
    public void onSnapshot(Snapshot adopted) {
        snapshot = adopted;
    }

    @Override
    public QuotaGrant handle(QuotaRequest request) {
        Party party = snapshot == null ? null : snapshot.parties().get(request.party());
        int calls = party == null ? 0 : grant(party, request.wantCalls());
        return new QuotaGrant(
                environment.options().server(), 0, request.requestId(), request.party(), calls, 0, calls, 0);
    }

    @Override
    public void tick() {
        if (snapshot == null) {
            return;
        }
        for (Map.Entry<String, State> entry : states.entrySet()) {
            Party party = snapshot.parties().get(entry.getKey());
            State state = entry.getValue();
            long nowNanos = environment.clock().getAsLong();
            int missingCalls = 2 * state.demandSinceTick - state.tokens;
            if (state.demandSinceTick == 0
                    || missingCalls <= 0
                    || nowNanos - state.sentNanos < REQUEST_TIMEOUT_NANOS && state.pending) {
                state.demandSinceTick = 0;
                continue;
            }
            state.demandSinceTick = 0;
            requestLease(party, state, Math.min(missingCalls, party.limitCalls()), nowNanos);
        }
    }

    private void requestLease(Party party, State state, int want, long nowNanos) {
        String owner = new Roster(environment.liveMembers().get())
                .holders(party.name(), 1)
                .get(0);
        state.sentNanos = nowNanos;
        if (owner.equals(environment.options().server())) {
            credit(party, state, grant(party, want), nowNanos);
            return;
        }
        state.pending = true;
        long requestId = nextRequestId++;
        QuotaRequest request = new QuotaRequest(
                environment.options().server(),
                0,
                requestId,
                party.name(),
                snapshot.revision(),
                want,
                0,
                0,
                0,
                0,
                owner);
        environment.link().request(owner, request).whenComplete((reply, failure) -> {
            state.pending = false;
            if (reply instanceof QuotaGrant grant) {
                credit(party, state, grant.calls(), nowNanos);
            }
        });
    }

    private void credit(Party party, State state, int calls, long sentNanos) {
        long endNanos = sentNanos + TimeUnit.MILLISECONDS.toNanos(party.windowMillis()) / LEASES_PER_WINDOW;
        if (environment.clock().getAsLong() < endNanos) {
            state.tokens += calls;
            state.leaseEndNanos = endNanos;
        }
    }

    private int grant(Party party, int want) {
        State state = state(party);
        long nowNanos = environment.clock().getAsLong();
        int calls = (int) Math.max(0, Math.min(want, party.limitCalls() - state.granted.count(nowNanos)));
        for (int i = 0; i < calls; i++) {
            state.granted.add(nowNanos);
        }
        return calls;
    }

    private State state(Party party) {
        return states.computeIfAbsent(party.name(), name -> new State(party.windowMillis()));
    }

    private static final class State {

        private final WindowCounter granted;
        private int tokens;
        private int demandSinceTick;
        private boolean pending;
        private long sentNanos;
        private long leaseEndNanos;

        private State(long windowMillis) {
            long windowNanos = LimitTiming.guardedWindowNanos(windowMillis);
            granted = new WindowCounter(windowNanos + windowNanos / LEASES_PER_WINDOW, BUCKETS);
        }
    }
}
