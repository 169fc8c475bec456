package io.jaywick.node.limits;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import java.util.random.RandomGenerator;

import io.jaywick.core.limits.CallQuota;
import io.jaywick.core.limits.FleetRevisions;
import io.jaywick.core.limits.LimiterOptions;
import io.jaywick.core.limits.PartyLimiter;
import io.jaywick.core.membership.Member;
import io.jaywick.core.membership.MembershipView;
import io.jaywick.core.message.ErrorReply;
import io.jaywick.core.message.Message;
import io.jaywick.core.message.MessageHandler;
import io.jaywick.core.message.PeerLink;
import io.jaywick.core.message.QuotaRequest;
import io.jaywick.core.snapshot.Party;
import io.jaywick.core.snapshot.Snapshot;
import io.jaywick.core.snapshot.SnapshotListener;
import reactor.core.Disposable;
import reactor.core.scheduler.Scheduler;

/**
 * Runs a {@link PartyLimiter} on the timers of a node and answers {@link QuotaRequest}s of its peers. See
 * docs/design-limits.md.
 */
public final class QuotaService implements CallQuota, SnapshotListener, MessageHandler, AutoCloseable {

    private static final long TICK_MILLIS = 100;

    private final PartyLimiter limiter;
    private final Disposable ticks;

    /**
     * Starts the periodic ticks of the limiter, which {@link #close} stops.
     *
     * @param nanoClock monotonic clock; the clock of a Reactor scheduler is the wall clock, which may be set back
     */
    public QuotaService(
            LimiterOptions options,
            PeerLink link,
            MembershipView members,
            FleetRevisions revisions,
            Scheduler scheduler,
            LongSupplier nanoClock,
            RandomGenerator random) {
        this.limiter = new PartyLimiter(
                options, link, server -> members.member(server).map(Member::peerAddress), revisions, nanoClock, random);
        this.ticks = scheduler.schedulePeriodically(limiter::tick, TICK_MILLIS, TICK_MILLIS, TimeUnit.MILLISECONDS);
    }

    @Override
    public boolean tryAcquire(Party party) {
        return limiter.tryAcquire(party);
    }

    @Override
    public boolean isAwaitingGrant(Party party) {
        return limiter.quotaCalls(party.name()) == 0;
    }

    @Override
    public void onSnapshot(Snapshot snapshot) {
        limiter.onSnapshot(snapshot);
    }

    @Override
    public CompletableFuture<Message> handle(Message message) {
        Message reply = message instanceof QuotaRequest request
                ? limiter.handle(request)
                : new ErrorReply("unknown-type", message.getClass().getSimpleName());
        return CompletableFuture.completedFuture(reply);
    }

    /** Returns the number of calls of a party that this node currently may admit within any window. */
    public int quotaCalls(String party) {
        return limiter.quotaCalls(party);
    }

    @Override
    public void close() {
        ticks.dispose();
    }
}
