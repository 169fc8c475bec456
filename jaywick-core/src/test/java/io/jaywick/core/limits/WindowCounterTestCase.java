package io.jaywick.core.limits;

import java.util.ArrayList;
import java.util.List;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

class WindowCounterTestCase {

    private static final long WINDOW = 1_000;
    private static final int LIMIT = 20;

    /** Guards against a count below the calls of the window, or above the calls of the window and one bucket. */
    @Property(seed = "11")
    void countLiesBetweenTheWindowAndOneBucketMore(
            @ForAll @Size(max = 200) List<@IntRange(min = 0, max = 90) Integer> gaps) {
        WindowCounter counter = new WindowCounter(WINDOW, 10);
        List<Long> exact = new ArrayList<>();
        long now = -5_000;
        for (int gap : gaps) {
            now += gap;
            counter.add(now);
            exact.add(now);
            assertThat(counter.count(now), greaterThanOrEqualTo(within(exact, now, WINDOW)));
            assertThat(counter.count(now), lessThanOrEqualTo(within(exact, now, WINDOW + WINDOW / 10)));
        }
    }

    /** Guards against calls that are dropped when the window grows. */
    @Property(seed = "11")
    void resizeForgetsNoCall(@ForAll @IntRange(min = 1, max = 2_000) int later) {
        WindowCounter counter = new WindowCounter(WINDOW, 10);
        for (int i = 0; i < LIMIT; i++) {
            counter.add(i);
        }
        counter.resize(3 * WINDOW, LIMIT);
        assertThat(counter.count(LIMIT + later), greaterThanOrEqualTo((long) LIMIT));
    }

    /** The naive counter restarts at aligned times, so that a window across two of them contains twice the limit. */
    @Test
    void naiveAlignedWindowAdmitsTwiceTheLimit() {
        List<Long> admitted = new ArrayList<>();
        long aligned = -1;
        int used = 0;
        for (long now = 900; now < 1_100; now++) {
            if (now / WINDOW != aligned) {
                aligned = now / WINDOW;
                used = 0;
            }
            if (used < LIMIT) {
                used++;
                admitted.add(now);
            }
        }
        assertThat(within(admitted, 1_100, WINDOW), greaterThan((long) LIMIT));
    }

    private static long within(List<Long> times, long now, long window) {
        return times.stream().filter(time -> time > now - window).count();
    }
}
