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
 * The servers that this node knows: from direct contact, from entries that peers pass on, and from the instance list.
 * Only the view of {@link MembershipView} may be used by other threads; it is renewed by {@link #publishView}.
 */
public final class MembershipTable implements MembershipView {

    /** Largest number of known servers. */
    public static final int CAPACITY = 4_096;

    /** Shortest silence after which a server is a suspect, in milliseconds. */
    public static final long MIN_SUSPECT_TIMEOUT_MILLIS = 10_000;

    /**
     * Silence allowed per known server, in milliseconds. A node receives about six foreign entries a second, so an
     * entry is renewed every n/6 seconds on average; three times that keeps false suspicion rare.
     */
    public static final long SUSPECT_TIMEOUT_MILLIS_PER_SERVER = 500;

    /** Silence after which a server is forgotten, in milliseconds; longer than the partitions that regions see. */
    public static final long REMOVAL_TIMEOUT_MILLIS = 6 * 3_600_000L;

    private static final int NEWS_CAPACITY = 256;
    private static final int NEWS_REPEATS = 12;
    private static final int SAMPLE_ATTEMPTS = 4;

    private final Map<String, Peer> peers = new HashMap<>();
    private final List<Peer> order = new ArrayList<>();
    private final Deque<News> news = new ArrayDeque<>();
    private final LongSupplier nowMillis;
    private final RandomGenerator random;
    private PeerEntry self;
    private boolean changed = true;
    private volatile Map<String, Member> view = Map.of();

    /**
     * Makes a table that knows only its own server.
     *
     * @param nowMillis monotonic time
     */
    public MembershipTable(PeerEntry self, LongSupplier nowMillis, RandomGenerator random) {
        this.self = self;
        this.nowMillis = nowMillis;
        this.random = random;
    }

    /** Entry of this server as it is passed on. */
    public PeerEntry self() {
        return self;
    }

    /** Replaces the own entry, for example when the node starts to drain. */
    public void updateSelf(PeerEntry entry) {
        self = entry;
    }

    /** Known servers other than this one. */
    public Collection<Peer> peers() {
        return order;
    }

    /** Returns a known server, or null. */
    public Peer peer(String server) {
        return peers.get(server);
    }

    /** Takes the entry that a server sent of itself. */
    public void mergeDirectEntry(PeerEntry entry) {
        merge(entry, nowMillis.getAsLong());
    }

    /** Takes entries that a peer passed on. */
    public void mergeGossip(List<PeerEntry> entries) {
        long now = nowMillis.getAsLong();
        for (PeerEntry entry : entries) {
            if (entry.ageMillis() >= 0 && entry.ageMillis() <= silenceMillis()) {
                merge(entry, now - entry.ageMillis());
            }
        }
    }

    /** Takes the instance list, which may be stale: it adds servers and never overrules what peers said. */
    public void mergeInstanceList(List<PeerEntry> entries) {
        long now = nowMillis.getAsLong();
        for (PeerEntry entry : entries) {
            Peer known = peers.get(entry.server());
            if (known == null) {
                add(entry, now, false);
            } else if (!known.address().equals(entry.peerAddress()) && state(known) == MemberState.SUSPECT) {
                known.replace(entry, now, false);
                changed = true;
            }
        }
    }

    /** A connection attempt or request to the server failed. */
    public void recordFailure(String server) {
        Peer peer = peers.get(server);
        if (peer != null) {
            peer.failed(nowMillis.getAsLong());
            changed = true;
        }
    }

    /** The server answered. */
    public void recordContact(String server) {
        Peer peer = peers.get(server);
        if (peer != null) {
            peer.heard(nowMillis.getAsLong());
            changed = true;
        }
    }

    /** Leaves out a time in which this process did not run, so that its own pause makes nobody a suspect. */
    public void excludePause(long millis) {
        for (Peer peer : order) {
            peer.shift(millis);
        }
    }

    public MemberState state(Peer peer) {
        return peer.state(nowMillis.getAsLong(), silenceMillis());
    }

    public boolean isAlive(Peer peer) {
        return state(peer) == MemberState.ALIVE;
    }

    /** Returns the own entry and up to the given number of others: recent changes first, then random ones. */
    public List<PeerEntry> gossipEntries(int others) {
        List<PeerEntry> result = new ArrayList<>(others + 1);
        result.add(self);
        for (int i = Math.min(others, news.size()); i > 0; i--) {
            News item = news.poll();
            Peer peer = peers.get(item.server);
            if (peer != null) {
                result.add(aged(peer));
                if (item.repeats > 1) {
                    news.add(new News(item.server, item.repeats - 1));
                }
            }
        }
        for (int i = 0; i < SAMPLE_ATTEMPTS * others && result.size() <= others && !order.isEmpty(); i++) {
            Peer peer = order.get(random.nextInt(order.size()));
            if (peer.confirmed() && state(peer) != MemberState.SUSPECT && !contains(result, peer.server())) {
                result.add(aged(peer));
            }
        }
        return result;
    }

    /** Forgets servers that are silent for long and renews the view for other threads. */
    public void publishView() {
        long now = nowMillis.getAsLong();
        for (int i = order.size() - 1; i >= 0; i--) {
            if (now - order.get(i).heardMillis() > REMOVAL_TIMEOUT_MILLIS) {
                remove(i);
            }
        }
        // Silence turns servers into suspects without an event, so the states are compared as well.
        for (int i = 0; i < order.size() && !changed; i++) {
            Peer peer = order.get(i);
            Member member = view.get(peer.server());
            changed = member == null || member.state() != state(peer);
        }
        if (changed) {
            Map<String, Member> next = new HashMap<>(order.size() * 2 + 2);
            next.put(self.server(), ownMember());
            for (Peer peer : order) {
                next.put(peer.server(), peer.member(state(peer)));
            }
            view = next;
            changed = false;
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

    private long silenceMillis() {
        return Math.max(MIN_SUSPECT_TIMEOUT_MILLIS, SUSPECT_TIMEOUT_MILLIS_PER_SERVER * order.size());
    }

    private void merge(PeerEntry entry, long heard) {
        Peer known = peers.get(entry.server());
        if (known == null) {
            add(entry, heard, true);
            return;
        }
        long incarnation = known.entry().incarnation();
        boolean newer = entry.incarnation() > incarnation;
        boolean leaves = entry.incarnation() == incarnation
                && entry.leaving()
                && !known.entry().leaving();
        if (newer || leaves) {
            known.replace(entry, heard, true);
            addNews(entry.server());
            changed = true;
        } else if (entry.incarnation() == incarnation && heard > known.heardMillis()) {
            MemberState before = state(known);
            known.heard(heard);
            changed |= before != state(known);
        }
    }

    private void add(PeerEntry entry, long heard, boolean confirmed) {
        if (entry.server().equals(self.server()) || entry.server().isEmpty()) {
            return;
        }
        if (order.size() >= CAPACITY && !evictSuspect()) {
            return;
        }
        Peer peer = new Peer(self.server(), entry, heard, confirmed);
        peers.put(entry.server(), peer);
        order.add(peer);
        changed = true;
        if (confirmed) {
            addNews(entry.server());
        }
    }

    private boolean evictSuspect() {
        int oldest = -1;
        for (int i = 0; i < order.size(); i++) {
            Peer peer = order.get(i);
            if (state(peer) == MemberState.SUSPECT
                    && (oldest < 0 || peer.heardMillis() < order.get(oldest).heardMillis())) {
                oldest = i;
            }
        }
        if (oldest >= 0) {
            remove(oldest);
        }
        return oldest >= 0;
    }

    private void remove(int index) {
        peers.remove(order.get(index).server());
        Peer last = order.remove(order.size() - 1);
        if (index < order.size()) {
            order.set(index, last);
        }
        changed = true;
    }

    private void addNews(String server) {
        if (news.size() < NEWS_CAPACITY) {
            news.addFirst(new News(server, NEWS_REPEATS));
        }
    }

    private PeerEntry aged(Peer peer) {
        PeerEntry entry = peer.entry();
        return new PeerEntry(
                entry.server(),
                entry.dataCentre(),
                entry.region(),
                entry.service(),
                entry.peerAddress(),
                entry.ingressAddress(),
                entry.incarnation(),
                nowMillis.getAsLong() - peer.heardMillis(),
                entry.leaving());
    }

    private static boolean contains(List<PeerEntry> entries, String server) {
        for (PeerEntry entry : entries) {
            if (entry.server().equals(server)) {
                return true;
            }
        }
        return false;
    }

    private record News(String server, int repeats) {}
}
