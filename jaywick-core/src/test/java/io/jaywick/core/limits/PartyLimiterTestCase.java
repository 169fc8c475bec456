package io.jaywick.core.limits;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import io.jaywick.core.message.QuotaRequest;
import io.jaywick.core.snapshot.DataCentre;
import io.jaywick.core.snapshot.Party;
import io.jaywick.core.snapshot.Server;
import io.jaywick.core.snapshot.Snapshot;
import io.jaywick.core.table.TableContent;
import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.is;

class PartyLimiterTestCase {

    private static final Party PARTY = party(10);

    private long nowNanos = 1;
    private long clockStepNanos;
    private boolean wholeFleetSeen;

    /** Guards against a call admitted by a process that paused after the check, when the grant may have ended. */
    @Test
    void pauseAfterTheCheckRefusesTheCall() {
        PartyLimiter limiter = limiter(true);
        limiter.onSnapshot(snapshot(1, PARTY, "a"));
        assertThat(limiter.tryAcquire(PARTY), is(true));
        clockStepNanos = TimeUnit.MILLISECONDS.toNanos(500);
        assertThat(limiter.tryAcquire(PARTY), is(false));
    }

    /**
     * Guards against a restarted holder that uses or grants its base allocation while grants of its earlier process may
     * run.
     */
    @Test
    void restartedHolderHasNoQuota() {
        PartyLimiter limiter = limiter(false);
        wholeFleetSeen = true;
        limiter.onSnapshot(snapshot(1, PARTY, "a"));
        limiter.tick();
        assertThat(limiter.tryAcquire(PARTY), is(false));
        QuotaRequest request = new QuotaRequest("b", 1, 1, "p", 1, 10, 10_000, 0, 0, 0, "a");
        assertThat(limiter.handle(request).calls(), equalTo(0));
        nowNanos += TimeUnit.SECONDS.toNanos(12);
        limiter.tick();
        assertThat(limiter.tryAcquire(PARTY), is(false));
        nowNanos += TimeUnit.SECONDS.toNanos(1);
        limiter.tick();
        assertThat(limiter.tryAcquire(PARTY), is(true));
    }

    /** Guards against a misdirected request that makes a holder release quota which the sender still uses. */
    @Test
    void requestForAnotherHolderChangesNothing() {
        PartyLimiter limiter = limiter(true);
        limiter.onSnapshot(snapshot(1, PARTY, "a"));
        assertThat(limiter.handle(request(1, 10, 0, "a")).calls(), equalTo(10));
        assertThat(limiter.handle(request(2, 0, 0, "c")).calls(), equalTo(0));
        nowNanos += TimeUnit.SECONDS.toNanos(5);
        assertThat(limiter.quotaCalls("p"), equalTo(0));
    }

    /**
     * Guards against a changed limit that is ignored, or applied only after the fleet confirms, although the roster is
     * the same.
     */
    @Test
    void editOfTheLimitWithTheSameRosterAppliesAtOnce() {
        PartyLimiter limiter = limiter(true);
        limiter.onSnapshot(snapshot(1, PARTY, "a"));
        limiter.tryAcquire(PARTY);
        limiter.onSnapshot(snapshot(2, party(4), "a"));
        limiter.tick();
        assertThat(limiter.quotaCalls("p"), equalTo(4));
        limiter.onSnapshot(snapshot(3, party(20), "a"));
        limiter.tick();
        assertThat(limiter.quotaCalls("p"), equalTo(20));
    }

    /** Guards against an allocation that grows after a roster change while the former holder may still use its part. */
    @Test
    void allocationGrowsAfterARosterChangeOnlyOnceTheFleetConfirms() {
        PartyLimiter limiter = limiter(true);
        limiter.onSnapshot(snapshot(1, PARTY, "a", "b"));
        limiter.tryAcquire(PARTY);
        limiter.onSnapshot(snapshot(2, PARTY, "a"));
        nowNanos += TimeUnit.SECONDS.toNanos(100);
        limiter.tick();
        assertThat(limiter.quotaCalls("p"), equalTo(5));
        wholeFleetSeen = true;
        nowNanos += TimeUnit.SECONDS.toNanos(2);
        limiter.tick();
        assertThat(limiter.quotaCalls("p"), equalTo(5));
        nowNanos += TimeUnit.SECONDS.toNanos(13);
        limiter.tick();
        assertThat(limiter.quotaCalls("p"), equalTo(10));
    }

    /** Guards against state that is kept after a party has been removed from the table. */
    @Test
    void removedPartyIsRefusedAndItsStateReleased() {
        PartyLimiter limiter = limiter(true);
        limiter.onSnapshot(snapshot(1, PARTY, "a"));
        limiter.tryAcquire(PARTY);
        limiter.onSnapshot(snapshot(2, null, "a"));
        assertThat(limiter.tryAcquire(PARTY), is(false));
        nowNanos += TimeUnit.SECONDS.toNanos(30);
        limiter.tick();
        assertThat(limiter.quotaCalls("p"), equalTo(0));
    }

    private PartyLimiter limiter(boolean firstStart) {
        return new PartyLimiter(
                new LimiterOptions("a", 1, 16, 10_000, firstStart),
                (address, message) -> new CompletableFuture<>(),
                server -> Optional.empty(),
                (oldest, newest) -> wholeFleetSeen,
                () -> {
                    long now = nowNanos;
                    nowNanos += clockStepNanos;
                    return now;
                },
                new Random(1));
    }

    private static QuotaRequest request(long id, int want, int held, String holder) {
        return new QuotaRequest("b", 1, id, "p", 1, want, 10_000, held, 0, 0, holder);
    }

    private static Party party(int limitCalls) {
        return new Party("p", limitCalls, 2_000, 0, Set.of(), 0);
    }

    private static Snapshot snapshot(long revision, Party party, String... servers) {
        Map<String, Server> roster = new HashMap<>();
        for (String server : servers) {
            roster.put(server, new Server(server, new DataCentre("d", "r", true), "s"));
        }
        Map<String, Party> parties = party == null ? Map.of() : Map.of(party.name(), party);
        return new Snapshot(revision, new TableContent(Map.of()), Map.of(), roster, Map.of(), List.of(), parties);
    }
}
