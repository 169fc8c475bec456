package io.jaywick.core.membership;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.LongSupplier;
import java.util.random.RandomGenerator;

import io.jaywick.core.message.PeerEntry;

/**
 * The servers known to this node: from direct contact, from entries that peers pass on, and from the instance list.
 * Used by one thread, except for the methods of {@link MembershipView}, which read the view of the last
 * {@link #publishView} and may be called by any thread.
 */
public final class MembershipTable implements MembershipView {

    /** Maximum number of known servers other than this one. */
    public static final int CAPACITY = 4_096;

    /** Minimum time without contact after which a server is a suspect, in milliseconds. */
    public static final long MIN_SUSPECT_TIMEOUT_MILLIS = 10_000;

    /**
     * Part of the suspect timeout for each known server, in milliseconds. A node receives about six entries of other
     * servers per second, so with n servers an entry is renewed every n/6 seconds on average; a timeout of three times
     * that keeps false suspicion rare.
     */
    public static final long SUSPECT_TIMEOUT_MILLIS_PER_SERVER = 500;

    /** Time without contact after which a server is removed, in milliseconds; partitions of regions are shorter. */
    public static final long REMOVAL_TIMEOUT_MILLIS = 6 * 3_600_000L;

    private static final int MAX_PENDING_UPDATES = 256;
    private static final int TRANSMISSIONS_PER_UPDATE = 12;
    private static final int SAMPLE_ATTEMPTS_PER_ENTRY = 4;

    private final Map<String, Peer> peers = new HashMap<>();
    private final List<Peer> peerList = new ArrayList<>();
    private final Deque<PendingUpdate> pendingUpdates = new ArrayDeque<>();
    private final LongSupplier nowMillis;
    private final RandomGenerator random;
    private PeerEntry self;
    private boolean viewOutdated = true;
    private volatile Map<String, Member> view = Map.of();

    /**
     * Creates a table that contains only this server.
     *
     * @param nowMillis monotonic clock in milliseconds
     */
    public MembershipTable(PeerEntry self, LongSupplier nowMillis, RandomGenerator random) {
        this.self = self;
        this.nowMillis = nowMillis;
        this.random = random;
    }

    /** Returns the entry of this server as it is sent to peers. */
    public PeerEntry self() {
        return self;
    }

    /** Replaces the entry of this server, for example when the node starts to drain. */
    public void updateSelf(PeerEntry entry) {
        self = entry;
    }

    /** Returns the known servers other than this one, in no particular order. */
    public Collection<Peer> peers() {
        return peerList;
    }

    /** Returns a known server other than this one, or null. */
    public Peer peer(String server) {
        return peers.get(server);
    }

    /** Merges the entry that a server sent about itself. */
    public void mergeDirectEntry(PeerEntry entry) {
        merge(entry, nowMillis.getAsLong());
    }

    /** Merges entries that a peer passed on; those older than the suspect timeout are ignored. */
    public void mergeGossip(List<PeerEntry> entries) {
        long now = nowMillis.getAsLong();
        for (PeerEntry entry : entries) {
            if (entry.ageMillis() >= 0 && entry.ageMillis() <= suspectTimeoutMillis()) {
                merge(entry, now - entry.ageMillis());
            }
        }
    }

    /**
     * Merges the instance list. The list may be stale, so it adds servers and replaces the addresses of suspects, but
     * does not override the entry of any other server.
     */
    public void mergeInstanceList(List<PeerEntry> entries) {
        long now = nowMillis.getAsLong();
        for (PeerEntry entry : entries) {
            Peer existing = peers.get(entry.server());
            if (existing == null) {
                add(entry, now, false);
            } else if (!existing.address().equals(entry.peerAddress()) && state(existing) == MemberState.SUSPECT) {
                existing.replace(entry, now, false);
                viewOutdated = true;
            }
        }
    }

    /** Records that a connection attempt or a request to the server failed. */
    public void recordFailure(String server) {
        Peer peer = peers.get(server);
        if (peer != null) {
            peer.recordFailure(nowMillis.getAsLong());
            viewOutdated = true;
        }
    }

    /** Records that the server answered. */
    public void recordContact(String server) {
        Peer peer = peers.get(server);
        if (peer != null) {
            peer.recordContact(nowMillis.getAsLong());
            viewOutdated = true;
        }
    }

    /** Excludes a pause of this process from all timeouts, so that the pause makes no server a suspect. */
    public void excludePause(long millis) {
        for (Peer peer : peerList) {
            peer.shiftTimes(millis);
        }
    }

    public MemberState state(Peer peer) {
        return peer.state(nowMillis.getAsLong(), suspectTimeoutMillis());
    }

    public boolean isAlive(Peer peer) {
        return state(peer) == MemberState.ALIVE;
    }

    /**
     * Returns the entries to send to a peer: that of this server and up to the given number of others, first those with
     * recent changes, then random ones that are confirmed and no suspects.
     */
    public List<PeerEntry> gossipEntries(int maxOthers) {
        List<PeerEntry> result = new ArrayList<>(maxOthers + 1);
        result.add(self);
        for (int i = Math.min(maxOthers, pendingUpdates.size()); i > 0; i--) {
            PendingUpdate update = pendingUpdates.poll();
            Peer peer = peers.get(update.server);
            if (peer != null) {
                result.add(withCurrentAge(peer));
                if (update.remainingTransmissions > 1) {
                    pendingUpdates.add(new PendingUpdate(update.server, update.remainingTransmissions - 1));
                }
            }
        }
        for (int i = 0;
                i < SAMPLE_ATTEMPTS_PER_ENTRY * maxOthers && result.size() <= maxOthers && !peerList.isEmpty();
                i++) {
            Peer peer = peerList.get(random.nextInt(peerList.size()));
            if (peer.confirmed() && state(peer) != MemberState.SUSPECT && !containsServer(result, peer.server())) {
                result.add(withCurrentAge(peer));
            }
        }
        return result;
    }

    /** Removes servers without contact for {@link #REMOVAL_TIMEOUT_MILLIS} and renews the view for other threads. */
    public void publishView() {
        long now = nowMillis.getAsLong();
        for (int i = peerList.size() - 1; i >= 0; i--) {
            if (now - peerList.get(i).lastContactMillis() > REMOVAL_TIMEOUT_MILLIS) {
                remove(i);
            }
        }
        // The suspect timeout changes states without an event, so the states are compared as well.
        for (int i = 0; i < peerList.size() && !viewOutdated; i++) {
            Peer peer = peerList.get(i);
            Member member = view.get(peer.server());
            viewOutdated = member == null || member.state() != state(peer);
        }
        if (viewOutdated) {
            Map<String, Member> next = new HashMap<>(peerList.size() * 2 + 2);
            next.put(self.server(), ownMember());
            for (Peer peer : peerList) {
                next.put(peer.server(), peer.member(state(peer)));
            }
            view = next;
            viewOutdated = false;
        }
    }

    @Override
    public List<Member> members() {
        return List.copyOf(view.values());
    }

    @Override
    public Optional<Member> member(String server) {
        return Optional.ofNullable(view.get(server));
    }

    private Member ownMember() {
        MemberState state = self.leaving() ? MemberState.LEAVING : MemberState.ALIVE;
        return new Member(
                self.server(),
                self.dataCentre(),
                self.region(),
                self.service(),
                self.peerAddress(),
                self.ingressAddress(),
                self.incarnation(),
                state);
    }

    private long suspectTimeoutMillis() {
        return Math.max(MIN_SUSPECT_TIMEOUT_MILLIS, SUSPECT_TIMEOUT_MILLIS_PER_SERVER * peerList.size());
    }

    private void merge(PeerEntry entry, long contactMillis) {
        Peer existing = peers.get(entry.server());
        if (existing == null) {
            add(entry, contactMillis, true);
            return;
        }
        long incarnation = existing.entry().incarnation();
        boolean newer = entry.incarnation() > incarnation;
        boolean startsDraining = entry.incarnation() == incarnation
                && entry.leaving()
                && !existing.entry().leaving();
        if (newer || startsDraining) {
            existing.replace(entry, contactMillis, true);
            enqueueUpdate(entry.server());
            viewOutdated = true;
        } else if (entry.incarnation() == incarnation && contactMillis > existing.lastContactMillis()) {
            MemberState previousState = state(existing);
            existing.recordContact(contactMillis);
            viewOutdated |= previousState != state(existing);
        }
    }

    private void add(PeerEntry entry, long contactMillis, boolean confirmed) {
        if (entry.server().equals(self.server()) || entry.server().isEmpty()) {
            return;
        }
        if (peerList.size() >= CAPACITY && !evictOldestSuspect()) {
            return;
        }
        Peer peer = new Peer(self.server(), entry, contactMillis, confirmed);
        peers.put(entry.server(), peer);
        peerList.add(peer);
        viewOutdated = true;
        if (confirmed) {
            enqueueUpdate(entry.server());
        }
    }

    private boolean evictOldestSuspect() {
        int oldest = -1;
        for (int i = 0; i < peerList.size(); i++) {
            Peer peer = peerList.get(i);
            if (state(peer) == MemberState.SUSPECT
                    && (oldest < 0
                            || peer.lastContactMillis() < peerList.get(oldest).lastContactMillis())) {
                oldest = i;
            }
        }
        if (oldest >= 0) {
            remove(oldest);
        }
        return oldest >= 0;
    }

    private void remove(int index) {
        peers.remove(peerList.get(index).server());
        Peer last = peerList.remove(peerList.size() - 1);
        if (index < peerList.size()) {
            peerList.set(index, last);
        }
        viewOutdated = true;
    }

    private void enqueueUpdate(String server) {
        if (pendingUpdates.size() < MAX_PENDING_UPDATES) {
            pendingUpdates.addFirst(new PendingUpdate(server, TRANSMISSIONS_PER_UPDATE));
        }
    }

    private PeerEntry withCurrentAge(Peer peer) {
        PeerEntry entry = peer.entry();
        return new PeerEntry(
                entry.server(),
                entry.dataCentre(),
                entry.region(),
                entry.service(),
                entry.peerAddress(),
                entry.ingressAddress(),
                entry.incarnation(),
                nowMillis.getAsLong() - peer.lastContactMillis(),
                entry.leaving());
    }

    private static boolean containsServer(List<PeerEntry> entries, String server) {
        for (PeerEntry entry : entries) {
            if (entry.server().equals(server)) {
                return true;
            }
        }
        return false;
    }

    private record PendingUpdate(String server, int remainingTransmissions) {}
}
