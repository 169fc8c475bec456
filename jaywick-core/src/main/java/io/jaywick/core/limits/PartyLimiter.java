package io.jaywick.core.limits;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.LongSupplier;
import java.util.random.RandomGenerator;

import io.jaywick.core.message.Message;
import io.jaywick.core.message.PeerLink;
import io.jaywick.core.message.QuotaGrant;
import io.jaywick.core.message.QuotaRequest;
import io.jaywick.core.snapshot.Party;
import io.jaywick.core.snapshot.Snapshot;
import io.jaywick.core.snapshot.SnapshotListener;

/**
 * Enforces the limits of the parties without consensus between nodes (I13). Servers of the roster hold base allocations
 * of each limit; nodes with demand lease quota from these holders for a limited period. docs/design-limits.md shows why
 * no sliding window over all nodes contains more calls than the limit. The owner calls {@link #tick} about ten times a
 * second. Thread-safe.
 */
public final class PartyLimiter implements CallQuota, SnapshotListener {

    private static final long ROSTER_CONFIRM_INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(1);

    /** Party name of a request that only queries whether the peer has confirmed the current roster. */
    private static final String ROSTER_PROBE_PARTY = "";

    private final LimiterOptions options;
    private final long periodNanos;
    private final PeerLink link;
    private final AddressLookup addresses;
    private final FleetRevisions revisions;
    private final LongSupplier nanoClock;
    private final RandomGenerator random;

    private final Map<String, PartyQuotaState> states = new ConcurrentHashMap<>();
    private final RosterHistory history;
    private final HolderPlacementCache placements;
    private final AtomicLong requestIds;
    private final AtomicLong grantIds = new AtomicLong();
    private volatile Snapshot snapshot;
    private volatile long generation;
    private long nextRosterConfirmNanos;

    public PartyLimiter(
            LimiterOptions options,
            PeerLink link,
            AddressLookup addresses,
            FleetRevisions revisions,
            LongSupplier nanoClock,
            RandomGenerator random) {
        this.options = options;
        this.periodNanos = TimeUnit.MILLISECONDS.toNanos(options.grantMillis());
        this.link = link;
        this.addresses = addresses;
        this.revisions = revisions;
        this.nanoClock = nanoClock;
        this.random = random;
        this.history = new RosterHistory(periodNanos);
        this.placements = new HolderPlacementCache(options.server(), options.holdersPerParty());
        // Starts at random, so that a late answer to an earlier process of this server matches no request of this one.
        this.requestIds = new AtomicLong(random.nextLong() >>> 2);
        this.nextRosterConfirmNanos = nanoClock.getAsLong();
    }

    @Override
    public boolean tryAcquire(Party party) {
        Snapshot current = snapshot;
        Party known = current == null ? null : current.parties().get(party.name());
        if (known == null) {
            return false;
        }
        long startNanos;
        while (true) {
            PartyQuotaState state = state(known);
            synchronized (state) {
                if (state.isRetired()) {
                    continue;
                }
                startNanos = nanoClock.getAsLong();
                refresh(state, startNanos);
                if (!state.tryAcquire(startNanos)) {
                    return false;
                }
            }
            // If the process has paused since the check, the grant may have ended. The call stays counted.
            return nanoClock.getAsLong() - startNanos <= LimitTiming.guardNanos(known.windowMillis()) / 2;
        }
    }

    @Override
    public void onSnapshot(Snapshot adopted) {
        synchronized (history) {
            boolean first = snapshot == null;
            if (first || !adopted.servers().keySet().equals(snapshot.servers().keySet())) {
                history.setCurrent(new Roster(adopted.servers().keySet()), adopted.revision());
            }
            if (first && options.firstStart()) {
                history.assumeNoEarlierRoster();
            }
            snapshot = adopted;
            generation++;
        }
    }

    /** Handles a quota request of another node. */
    public QuotaGrant handle(QuotaRequest request) {
        Snapshot current = snapshot;
        Party known = current == null ? null : current.parties().get(request.party());
        HolderLedger.Decision decision = HolderLedger.Decision.NONE;
        // A misdirected request reports on a grant of another holder, which must not be applied to the grant of this
        // one.
        boolean isAddressee = options.server().equals(request.holder());
        while (known != null && isAddressee) {
            PartyQuotaState state = state(known);
            synchronized (state) {
                if (state.isRetired()) {
                    continue;
                }
                long nowNanos = nanoClock.getAsLong();
                refresh(state, nowNanos);
                decision = state.decide(request, nowNanos);
            }
            break;
        }
        return new QuotaGrant(
                options.server(),
                grantIds.incrementAndGet(),
                request.requestId(),
                request.party(),
                decision.calls(),
                options.grantMillis(),
                decision.readyCalls(),
                settledRoster());
    }

    /**
     * Renews grants, requests missing quota, releases surplus quota, and discards the state of removed parties and
     * superseded rosters.
     */
    public void tick() {
        if (snapshot == null) {
            return;
        }
        confirmRoster();
        for (PartyQuotaState state : states.values()) {
            List<OutgoingRequest> outgoing = new ArrayList<>();
            synchronized (state) {
                long nowNanos = nanoClock.getAsLong();
                refresh(state, nowNanos);
                if (snapshot.parties().containsKey(state.party())) {
                    planRequests(state, nowNanos, outgoing);
                } else if (state.tryRetire(nowNanos)) {
                    states.remove(state.party());
                }
            }
            for (OutgoingRequest each : outgoing) {
                send(state, each);
            }
        }
    }

    /** Returns the calls of the party that this node may currently admit in any window, for status and metrics. */
    public int quotaCalls(String party) {
        PartyQuotaState state = states.get(party);
        if (state == null) {
            return 0;
        }
        synchronized (state) {
            return state.quotaCalls(nanoClock.getAsLong());
        }
    }

    private void planRequests(PartyQuotaState state, long nowNanos, List<OutgoingRequest> outgoing) {
        Snapshot current = snapshot;
        Party party = current.parties().get(state.party());
        Roster roster = currentRoster();
        HolderPlacementCache.Placement placement = placements.placement(roster, party.name());
        List<PartyQuotaState.PlannedRequest> plannedRequests = state.planRequests(
                placement.requestOrder(),
                holder -> addresses.peerAddress(holder).isPresent()
                        ? placement.baseAllocation(party.limitCalls(), holder)
                        : 0,
                nowNanos);
        for (PartyQuotaState.PlannedRequest planned : plannedRequests) {
            String address = addresses.peerAddress(planned.holder()).orElse(null);
            if (address == null) {
                continue;
            }
            long requestId = requestIds.incrementAndGet();
            QuotaLease lease = state.recordRequest(planned, requestId, nowNanos);
            QuotaRequest request = new QuotaRequest(
                    options.server(),
                    options.incarnation(),
                    requestId,
                    party.name(),
                    current.revision(),
                    planned.wantCalls(),
                    options.grantMillis(),
                    lease.heldCalls(nowNanos),
                    lease.releasedIdleCalls(),
                    lease.answeredId(),
                    planned.holder());
            outgoing.add(new OutgoingRequest(planned.holder(), address, request));
        }
    }

    private void send(PartyQuotaState state, OutgoingRequest outgoing) {
        QuotaRequest request = outgoing.request;
        link.request(outgoing.address, request).whenComplete((reply, failure) -> {
            synchronized (state) {
                if (reply instanceof QuotaGrant grant
                        && grant.holder().equals(outgoing.holder)
                        && grant.party().equals(request.party())) {
                    state.applyGrant(outgoing.holder, grant, nanoClock.getAsLong());
                } else {
                    state.recordFailure(outgoing.holder, request.requestId());
                }
            }
            receiveSettledRoster(reply);
        });
    }

    /**
     * Checks the fleet status, and queries a random peer, to find out whether an earlier roster may still be in use.
     */
    private void confirmRoster() {
        long nowNanos = nanoClock.getAsLong();
        Roster roster;
        synchronized (history) {
            history.removeSuperseded(longestWindowMillis(), nowNanos);
            if (history.isConfirmed() || nowNanos < nextRosterConfirmNanos) {
                return;
            }
            nextRosterConfirmNanos = nowNanos + ROSTER_CONFIRM_INTERVAL_NANOS;
            if (revisions.allWithin(history.currentSinceRevision(), snapshot.revision())) {
                history.confirmCurrent(nowNanos);
                generation++;
                return;
            }
            roster = history.current();
        }
        String peer = roster.servers().get(random.nextInt(roster.servers().size()));
        if (peer.equals(options.server())) {
            return;
        }
        QuotaRequest probe = new QuotaRequest(
                options.server(),
                options.incarnation(),
                requestIds.incrementAndGet(),
                ROSTER_PROBE_PARTY,
                snapshot.revision(),
                0,
                options.grantMillis(),
                0,
                0,
                0,
                peer);
        addresses.peerAddress(peer).ifPresent(address -> link.request(address, probe)
                .whenComplete((reply, failure) -> receiveSettledRoster(reply)));
    }

    private void receiveSettledRoster(Message reply) {
        if (!(reply instanceof QuotaGrant grant) || grant.settledRoster() == 0) {
            return;
        }
        synchronized (history) {
            if (!history.isConfirmed() && history.current().hash() == grant.settledRoster()) {
                history.confirmCurrent(nanoClock.getAsLong());
                generation++;
            }
        }
    }

    private long settledRoster() {
        synchronized (history) {
            return history.isConfirmed() ? history.current().hash() : 0;
        }
    }

    private Roster currentRoster() {
        synchronized (history) {
            return history.current();
        }
    }

    private long longestWindowMillis() {
        long longest = 0;
        for (Party party : snapshot.parties().values()) {
            longest = Math.max(longest, party.windowMillis());
        }
        return longest;
    }

    private PartyQuotaState state(Party party) {
        return states.computeIfAbsent(
                party.name(), name -> new PartyQuotaState(name, party.windowMillis(), periodNanos));
    }

    /**
     * Applies the newest table, and a base allocation that has become usable since because fewer rosters are active.
     */
    private void refresh(PartyQuotaState state, long nowNanos) {
        List<Roster> rosters;
        Snapshot current;
        long currentGeneration;
        synchronized (history) {
            current = snapshot;
            currentGeneration = generation;
            Party party = current.parties().get(state.party());
            rosters = history.activeRosters(party == null ? 0 : party.windowMillis(), nowNanos);
        }
        if (state.generation() == currentGeneration && state.activeRosterCount() == rosters.size()) {
            return;
        }
        Party party = current.parties().get(state.party());
        if (party == null) {
            state.configure(currentGeneration, 0, state.windowMillis(), 0, rosters.size(), nowNanos);
            return;
        }
        int baseAllocation = Integer.MAX_VALUE;
        for (Roster roster : rosters) {
            baseAllocation = Math.min(
                    baseAllocation,
                    placements.placement(roster, party.name()).baseAllocation(party.limitCalls(), options.server()));
        }
        state.configure(
                currentGeneration, party.limitCalls(), party.windowMillis(), baseAllocation, rosters.size(), nowNanos);
    }

    private record OutgoingRequest(String holder, String address, QuotaRequest request) {}
}
