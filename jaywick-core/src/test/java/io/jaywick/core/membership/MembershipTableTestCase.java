package io.jaywick.core.membership;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Random;

import io.jaywick.core.message.PeerEntry;
import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

class MembershipTableTestCase {

    private long now;
    private final MembershipTable table = new MembershipTable(entry("self", 1, 0), () -> now, new Random(3));

    private static PeerEntry entry(String server, long incarnation, long ageMillis) {
        return new PeerEntry(
                server, "dc1", "r1", "svc", server + ":" + incarnation, server + ":9", incarnation, ageMillis, false);
    }

    private MemberState state(String server) {
        return table.state(table.peer(server));
    }

    @Test
    void failedContactMakesSuspectUntilNewerContact() {
        table.mergeDirectEntry(entry("a", 1, 0));
        now = 1_000;
        table.recordFailure("a");
        assertThat(state("a"), is(MemberState.SUSPECT));
        now = 2_000;
        table.mergeGossip(List.of(entry("a", 1, 1_500)));
        assertThat("entry from before the failure", state("a"), is(MemberState.SUSPECT));
        table.mergeGossip(List.of(entry("a", 1, 500)));
        assertThat(state("a"), is(MemberState.ALIVE));
    }

    @Test
    void newerIncarnationReplacesTheAddressAndAnOlderOneDoesNot() {
        table.mergeDirectEntry(entry("a", 2, 0));
        table.mergeGossip(List.of(entry("a", 3, 5_000)));
        assertThat(table.peer("a").address(), is("a:3"));
        table.mergeGossip(List.of(entry("a", 2, 0)));
        assertThat(table.peer("a").address(), is("a:3"));
    }

    @Test
    void staleInstanceListReplacesNoAlivePeer() {
        table.mergeDirectEntry(entry("a", 2, 0));
        table.mergeInstanceList(List.of(entry("a", 0, 0), entry("b", 0, 0)));
        assertThat(table.peer("a").address(), is("a:2"));
        now = 20_000;
        table.mergeInstanceList(List.of(entry("a", 0, 0)));
        assertThat("no contact for the suspect timeout", table.peer("a").address(), is("a:0"));
    }

    /** Guards against entries of a stale instance list that circulate as if a peer had had contact with the servers. */
    @Test
    void entriesKnownOnlyFromInstanceListAreNotGossiped() {
        table.mergeInstanceList(List.of(entry("b", 0, 0)));
        assertThat(table.gossipEntries(3), hasSize(1));
        table.mergeDirectEntry(entry("a", 1, 0));
        assertThat(table.gossipEntries(3), hasSize(2));
    }

    @Test
    void pauseOfOwnProcessMakesNoPeerSuspect() {
        table.mergeDirectEntry(entry("a", 1, 0));
        now = 300_000;
        table.excludePause(300_000);
        assertThat(state("a"), is(MemberState.ALIVE));
    }

    @Test
    void capacityIsBoundedAndSuspectsAreEvicted() {
        for (int i = 0; i < MembershipTable.CAPACITY + 10; i++) {
            table.mergeDirectEntry(entry("s" + i, 1, 0));
        }
        assertThat(table.peers(), hasSize(MembershipTable.CAPACITY));
        now = 1;
        table.recordFailure("s5");
        table.mergeDirectEntry(entry("new", 1, 0));
        assertThat(table.peers(), hasSize(MembershipTable.CAPACITY));
        assertThat(state("new"), is(MemberState.ALIVE));
        table.publishView();
        assertThat(table.member("s5").isPresent(), is(false));
    }

    /** Compares the roles with those of a full sort of all members. */
    @Test
    void rolesEqualThoseOfFullSort() {
        for (int i = 0; i < 50; i++) {
            table.mergeDirectEntry(entry("s" + i, 1, 0));
        }
        for (int i = 0; i < 50; i += 7) {
            now++;
            table.recordFailure("s" + i);
        }
        Roles roles = new Roles(table, 8, new Random(1));
        List<String> alive = new ArrayList<>(List.of("self"));
        table.peers().stream().filter(table::isAlive).forEach(peer -> alive.add(peer.server()));
        alive.sort(Comparator.comparingLong((String server) -> RendezvousHash.score("relay", server))
                .reversed());
        assertThat(roles.relayRank(), is(alive.indexOf("self")));
        alive.remove("self");
        alive.sort(Comparator.comparingLong((String server) -> RendezvousHash.pairScore("self", server))
                .reversed());
        assertThat(roles.neighbours().stream().map(Peer::server).toList(), is(alive.subList(0, 8)));
        assertThat(roles.aliveCount(), is(alive.size() + 1));
    }

    /** Guards against a group hash that assigns most servers of a data centre to one aggregating node. */
    @Test
    void groupsAreOfSimilarSize() {
        int[] sizes = new int[24];
        for (int i = 0; i < 740; i++) {
            sizes[RendezvousHash.group("svc-" + i, sizes.length)]++;
        }
        for (int size : sizes) {
            assertThat(size, is(lessThan(64)));
        }
    }
}
