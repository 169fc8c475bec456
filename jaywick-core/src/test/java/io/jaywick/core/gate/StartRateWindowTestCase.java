package io.jaywick.core.gate;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.DoubleRange;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.closeTo;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

class StartRateWindowTestCase {

    private static final double NANOS_PER_MILLI = 1_000_000;

    /** Moves one call after the other to the first time at which the period before it contains a free place. */
    private static double naiveWaitMillis(List<Long> starts, int ahead, StartRate rate, long now) {
        List<Long> all = new ArrayList<>(starts);
        long start = now;
        for (int i = 0; i <= ahead; i++) {
            while (startsWithinPeriod(all, start, rate) >= rate.calls()) {
                start = oldestWithinPeriod(all, start, rate) + rate.periodNanos();
            }
            all.add(start);
        }
        return (start - now) / NANOS_PER_MILLI;
    }

    private static long startsWithinPeriod(List<Long> starts, long now, StartRate rate) {
        return starts.stream().filter(start -> now - start < rate.periodNanos()).count();
    }

    private static long oldestWithinPeriod(List<Long> starts, long now, StartRate rate) {
        return starts.stream()
                .filter(start -> now - start < rate.periodNanos())
                .mapToLong(start -> start)
                .min()
                .orElseThrow();
    }

    /** Guards against a wait that differs from the first time at which the rate leaves room for a call. */
    @Property(seed = "42", tries = 300)
    void waitEndsWhenTheRateLeavesRoom(
            @ForAll @Size(max = 60) List<@IntRange(min = 0, max = 200) Integer> gapsMillis,
            @ForAll @DoubleRange(min = 0.25, max = 40) double callsPerSecond,
            @ForAll @IntRange(min = 0, max = 50) int ahead) {
        StartRateWindow window = new StartRateWindow();
        List<Long> starts = new ArrayList<>();
        long now = -5_000_000_000L;
        for (int gapMillis : gapsMillis) {
            now += TimeUnit.MILLISECONDS.toNanos(gapMillis);
            window.recordStart(now);
            starts.add(now);
        }
        for (StartRate rate : List.of(StartRate.inAnySecond(callsPerSecond), StartRate.onAverage(callsPerSecond))) {
            assertThat(window.waitMillis(ahead, rate, now), closeTo(naiveWaitMillis(starts, ahead, rate, now), 1e-6));
        }
    }

    /** Guards against a fractional rate that is rounded up, and against starts that cluster in one second. */
    @Property(seed = "42", tries = 200)
    void averageIsNoMoreThanTheRate(@ForAll @DoubleRange(min = 0.25, max = 40) double callsPerSecond) {
        StartRate rate = StartRate.onAverage(callsPerSecond);
        StartRateWindow window = new StartRateWindow();
        List<Long> starts = new ArrayList<>();
        long seconds = 60;
        for (long now = 0; now < TimeUnit.SECONDS.toNanos(seconds); now += TimeUnit.MILLISECONDS.toNanos(5)) {
            while (window.waitMillis(0, rate, now) <= 0) {
                window.recordStart(now);
                starts.add(now);
            }
        }
        assertThat((double) starts.size(), lessThanOrEqualTo(seconds * callsPerSecond + rate.calls()));
        for (long start : starts) {
            long inSecond = starts.stream()
                    .filter(other -> other >= start && other - start < TimeUnit.SECONDS.toNanos(1))
                    .count();
            assertThat(inSecond, lessThanOrEqualTo((long) Math.ceil(callsPerSecond)));
        }
    }

    /** Guards against an overflow for a rate that no target sustains. */
    @Test
    void enormousRateDoesNotLimit() {
        StartRateWindow window = new StartRateWindow();
        for (int i = 0; i < 5_000; i++) {
            window.recordStart(i);
        }
        assertThat(window.waitMillis(1_000, StartRate.onAverage(Double.MAX_VALUE), 5_000), is(0.0));
    }
}
