package io.jaywick.core.admission;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.TimeUnit;

import io.jaywick.core.message.SuspectEntry;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

class CrashAttributionTestCase {

    private static final String FIXED_SEED = "20261205";

    private long now;
    private final SuspectList suspects = newList();
    private final CrashAttribution attribution = new CrashAttribution(suspects, "p", () -> now);

    private SuspectList newList() {
        return new SuspectList("a", SuspectPolicy.CONCURRENT, () -> now);
    }

    private void advance(long millis) {
        now += TimeUnit.MILLISECONDS.toNanos(millis);
    }

    /** Guards against a reset of one connection, or an idle one that the target forgot, that counts as a crash. */
    @Test
    void lostCallsOfATargetThatRespondsAreNotSuspected() {
        attribution.recordLostCall("f", Set.of());
        advance(5);
        attribution.recordResponse(now);
        assertThat(attribution.recordCrash(), empty());
        attribution.recordLostCall("f", Set.of());
        advance(1_500);
        assertThat("lost long before the target went down", attribution.recordCrash(), empty());
    }

    /** Guards against a response to a check from before the crash that hides it. */
    @Test
    void responseToAnEarlierCheckDoesNotHideTheCrash() {
        long checkSentNanos = now;
        advance(5);
        attribution.recordLostCall("f", Set.of());
        attribution.recordResponse(checkSentNanos);
        assertThat(attribution.recordCrash(), is(List.of("f")));
    }

    /** Guards against suspicion of the calls that run beside a request that has crashed other targets before. */
    @Test
    void onlyTheMostSuspectedCallsAreRecorded() {
        suspects.recordCrash("poison", "other-1", Set.of());
        advance(2_000);
        attribution.recordLostCall("sound", Set.of());
        attribution.recordLostCall("poison", Set.of());
        assertThat(attribution.recordCrash(), is(List.of("poison")));
        assertThat(suspects.crashIds("poison"), hasSize(2));
        assertThat(suspects.crashIds("sound"), empty());
    }

    /**
     * Load pattern "one request crashes each target that runs it, beside popular sound requests": the request is
     * blocked at all nodes after few crashes, and no sound one stays blocked. Targets also crash without a cause among
     * the requests, several at a time.
     */
    @Property(tries = 40, seed = FIXED_SEED)
    void poisonIsBlockedEverywhereAndPopularRequestsAreNot(@ForAll Random random) {
        now = 0;
        int nodes = 12;
        int popular = 60;
        List<SuspectList> lists = new ArrayList<>();
        List<CrashAttribution> attributions = new ArrayList<>();
        for (int i = 0; i < nodes; i++) {
            lists.add(newList());
            attributions.add(new CrashAttribution(lists.get(i), "n" + i, () -> now));
        }
        int poisonCrashes = 0;
        for (int round = 0; round < 40; round++) {
            advance(1_000 + random.nextInt(3_000));
            answerPopular(lists, popular, random);
            int first = random.nextInt(nodes);
            boolean poison = !lists.get(first).isBlocked("poison");
            int crashes = poison ? 1 : 1 + random.nextInt(3);
            poisonCrashes += poison ? 1 : 0;
            for (int i = 0; i < crashes; i++) {
                int node = (first + i) % nodes;
                Set<String> inFlight = new HashSet<>();
                for (int slot = 0; slot < 8; slot++) {
                    inFlight.add("popular-" + random.nextInt(popular));
                }
                if (poison) {
                    inFlight.add("poison");
                }
                inFlight.forEach(call -> attributions.get(node).recordLostCall(call, Set.of()));
                List<String> suspected = attributions.get(node).recordCrash();
                List<SuspectEntry> report = lists.get(node).entriesOf(suspected, "a");
                lists.forEach(list -> report.forEach(list::merge));
            }
        }
        assertThat("crashes until blocked", poisonCrashes, lessThanOrEqualTo(4));
        answerPopular(lists, popular, random);
        for (SuspectList list : lists) {
            assertThat(list.isBlocked("poison"), is(true));
            for (int i = 0; i < popular; i++) {
                assertThat(list.isBlocked("popular-" + i), is(false));
            }
        }
    }

    /** Each popular request is answered at one node, which tells the others if it is a suspect there. */
    private static void answerPopular(List<SuspectList> lists, int popular, Random random) {
        for (int i = 0; i < popular; i++) {
            String request = "popular-" + i;
            SuspectList list = lists.get(random.nextInt(lists.size()));
            if (!list.isBlocked(request) && !list.crashIds(request).isEmpty()) {
                lists.forEach(other -> other.clear(request));
            }
        }
    }
}
