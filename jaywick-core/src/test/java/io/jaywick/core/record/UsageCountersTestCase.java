package io.jaywick.core.record;

import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

class UsageCountersTestCase {

    /** Guards against a count that is written to the array from before the set grew. */
    @Test
    void keepsValuesWhenArraysGrow() {
        UsageCounters counters = new UsageCounters();
        for (int i = 0; i < 20; i++) {
            counters.add("refused.reason" + i, i + 1);
        }
        assertThat(counters.endedCalls(), equalTo(210L));
    }

    /** Guards against unbounded names; the calls must stay counted. */
    @Test
    void namesBeyondLimitShareOneCounter() {
        UsageCounters counters = new UsageCounters();
        for (int i = 0; i < 1_000; i++) {
            counters.add("refused.reason" + i, 1);
            counters.add("linkBytes.link" + i, 1);
        }
        counters.add(UsageCounters.ANSWERED, 1);
        assertThat(counters.endedCalls(), equalTo(1_001L));
        assertThat(counters.size(), lessThanOrEqualTo(UsageCounters.MAX_NAMES + 3));
    }
}
