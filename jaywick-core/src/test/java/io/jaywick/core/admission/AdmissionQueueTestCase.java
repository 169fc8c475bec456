package io.jaywick.core.admission;

import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Map;
import java.util.Random;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.closeTo;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;
import static org.hamcrest.Matchers.lessThanOrEqualTo;
import static org.hamcrest.Matchers.sameInstance;

class AdmissionQueueTestCase {

    private static final String FIXED_SEED = "20261204";
    private static final int CAPACITY = 40;

    private static AdmissionControllerTestCase.Call call(String party, int share, int importance) {
        return new AdmissionControllerTestCase.Call(party, share, importance, Long.MAX_VALUE);
    }

    /**
     * Guards against a heavy party that crowds a small one out of the queue, so that the small one does not get its
     * agreed share of the slots.
     */
    @Property(tries = 100, seed = FIXED_SEED)
    void everyQueuedPartyKeepsItsAgreedShare(
            @ForAll @IntRange(min = 1, max = 60) int small, @ForAll @IntRange(min = 0, max = 5) int importance) {
        AdmissionQueue queue = new AdmissionQueue(CAPACITY);
        ArrayDeque<QueuedCall> naive = new ArrayDeque<>();
        Map<String, Integer> served = new HashMap<>();
        Map<String, Integer> naiveServed = new HashMap<>();
        Random random = new Random(small);
        int rounds = 5_000;
        for (int round = 0; round < rounds; round++) {
            for (int sent = 0; sent < 20; sent++) {
                boolean isHeavy = random.nextInt(20) > 1;
                AdmissionControllerTestCase.Call call =
                        isHeavy ? call("heavy", 40, importance) : call("small", small, 2);
                queue.add(call);
                if (naive.size() < CAPACITY) {
                    naive.add(call);
                }
            }
            served.merge(queue.poll().party, 1, Integer::sum);
            naiveServed.merge(naive.poll().party, 1, Integer::sum);
            assertThat(queue.size(), lessThanOrEqualTo(CAPACITY));
        }
        assertThat(100.0 * served.get("small") / rounds, greaterThanOrEqualTo(small - 1.0));
        assertThat(100.0 * served.get("heavy") / rounds, greaterThanOrEqualTo(39.0));
        assertThat(100.0 * naiveServed.get("small") / rounds, lessThan(15.0));
    }

    /** Guards against spare slots that go to a lower importance or are divided unevenly. */
    @Test
    void spareSlotsGoToImportanceThenEvenly() {
        AdmissionQueue queue = new AdmissionQueue(1_000);
        for (int i = 0; i < 200; i++) {
            queue.add(call("low", 10, 1));
            queue.add(call("high1", 10, 5));
            queue.add(call("high2", 10, 5));
        }
        Map<String, Integer> served = new HashMap<>();
        for (int i = 0; i < 100; i++) {
            served.merge(queue.poll().party, 1, Integer::sum);
        }
        assertThat((double) served.get("low"), closeTo(10, 1));
        assertThat((double) served.get("high1"), closeTo(45, 1));
        assertThat((double) served.get("high2"), closeTo(45, 1));
    }

    /** Guards against a full queue that excludes a party within its share. */
    @Test
    void partyWithinItsShareDisplacesExcessCalls() {
        AdmissionQueue queue = new AdmissionQueue(10);
        for (int i = 0; i < 10; i++) {
            queue.add(call("heavy", 50, 9));
        }
        AdmissionControllerTestCase.Call fifth = null;
        for (int i = 0; i < 5; i++) {
            fifth = call("light", 50, 1);
            QueuedCall displaced = queue.add(fifth);
            assertThat(displaced.party, is("heavy"));
        }
        AdmissionControllerTestCase.Call beyond = call("light", 50, 1);
        assertThat(queue.add(beyond), sameInstance(beyond));
        assertThat(queue.add(call("heavy", 50, 9)).party, is("heavy"));
    }
}
