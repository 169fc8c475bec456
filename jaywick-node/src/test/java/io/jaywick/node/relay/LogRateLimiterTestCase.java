package io.jaywick.node.relay;

import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

class LogRateLimiterTestCase {

    private final AtomicLong nanos = new AtomicLong();
    private final LogRateLimiter limiter = new LogRateLimiter(3, nanos::get);

    /**
     * Guards against a flood of refusals that uses the processor time of calls, and against suppressed lines that are
     * not reported.
     */
    @Test
    void suppressedLinesAreCounted() {
        int written = 0;
        for (int i = 0; i < 10; i++) {
            assertThat(limiter.startSecondIfDue(), is(0));
            written += limiter.tryAcquire() ? 1 : 0;
        }
        assertThat(written, is(3));
        nanos.addAndGet(TimeUnit.SECONDS.toNanos(1));
        assertThat(limiter.startSecondIfDue(), is(7));
        assertThat(limiter.startSecondIfDue(), is(0));
        assertThat(limiter.tryAcquire(), is(true));
    }
}
