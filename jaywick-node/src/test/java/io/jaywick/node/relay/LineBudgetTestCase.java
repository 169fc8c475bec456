package io.jaywick.node.relay;

import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

class LineBudgetTestCase {

    private final AtomicLong nanos = new AtomicLong();
    private final LineBudget budget = new LineBudget(3, nanos::get);

    /** Guards against a flood of refusals that takes the processor time of the calls, and against lines lost unseen. */
    @Test
    void linesBeyondTheBudgetAreCounted() {
        int written = 0;
        for (int i = 0; i < 10; i++) {
            assertThat(budget.renew(), is(0));
            written += budget.tryTake() ? 1 : 0;
        }
        assertThat(written, is(3));
        nanos.addAndGet(TimeUnit.SECONDS.toNanos(1));
        assertThat(budget.renew(), is(7));
        assertThat(budget.renew(), is(0));
        assertThat(budget.tryTake(), is(true));
    }
}
