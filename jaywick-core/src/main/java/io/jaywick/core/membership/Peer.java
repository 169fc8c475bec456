package io.jaywick.core.membership;

import io.jaywick.core.message.PeerEntry;

/** State of one server in the membership table, modified only on the thread of the table. */
public final class Peer {

    static final long NEVER = Long.MIN_VALUE / 2;

    private final long relayScore;
    private final long readerScore;
    private final long pairScore;
    private PeerEntry entry;
    private long lastContactMillis;
    private long lastFailureMillis = NEVER;
    private boolean confirmed;
    private long knownRevision;
    private Member member;

    Peer(String self, PeerEntry entry, long lastContactMillis, boolean confirmed) {
        this.entry = entry;
        this.lastContactMillis = lastContactMillis;
        this.confirmed = confirmed;
        this.relayScore = RendezvousHash.score("relay", entry.server());
        this.readerScore = RendezvousHash.score("reader", entry.server());
        this.pairScore = RendezvousHash.pairScore(self, entry.server());
    }

    public String server() {
        return entry.server();
    }

    public String dataCentre() {
        return entry.dataCentre();
    }

    public String region() {
        return entry.region();
    }

    /** Returns the HOST:PORT of the listener for frames. */
    public String address() {
        return entry.peerAddress();
    }

    /** Returns the newest revision that the server is known to hold, or 0 when none is known. */
    public long knownRevision() {
        return knownRevision;
    }

    /** Records a revision that the server reported to hold. */
    public void recordRevision(long revision) {
        knownRevision = Math.max(knownRevision, revision);
    }

    PeerEntry entry() {
        return entry;
    }

    long lastContactMillis() {
        return lastContactMillis;
    }

    /** Returns true when the server or a peer reported its entry, false when only the instance list did. */
    boolean confirmed() {
        return confirmed;
    }

    long relayScore() {
        return relayScore;
    }

    long readerScore() {
        return readerScore;
    }

    long pairScore() {
        return pairScore;
    }

    void replace(PeerEntry newEntry, long newLastContactMillis, boolean newConfirmed) {
        entry = newEntry;
        lastContactMillis = newLastContactMillis;
        lastFailureMillis = NEVER;
        confirmed = newConfirmed;
        knownRevision = 0;
        member = null;
    }

    void recordContact(long millis) {
        lastContactMillis = Math.max(lastContactMillis, millis);
        confirmed = true;
    }

    void recordFailure(long millis) {
        lastFailureMillis = millis;
    }

    void shiftTimes(long millis) {
        lastContactMillis += millis;
        if (lastFailureMillis != NEVER) {
            lastFailureMillis += millis;
        }
    }

    /** Returns the state. A failed contact makes the server a suspect until a contact after the failure. */
    MemberState state(long nowMillis, long suspectTimeoutMillis) {
        if (entry.leaving()) {
            return MemberState.LEAVING;
        }
        boolean suspect =
                lastFailureMillis >= lastContactMillis || nowMillis - lastContactMillis > suspectTimeoutMillis;
        return suspect ? MemberState.SUSPECT : MemberState.ALIVE;
    }

    Member member(MemberState state) {
        if (member == null || member.state() != state) {
            member = new Member(
                    entry.server(),
                    entry.dataCentre(),
                    entry.region(),
                    entry.service(),
                    entry.peerAddress(),
                    entry.ingressAddress(),
                    entry.incarnation(),
                    state);
        }
        return member;
    }
}
