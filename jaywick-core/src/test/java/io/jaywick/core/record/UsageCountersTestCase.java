package io.jaywick.core.record;

import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

class UsageCountersTestCase {

    /** Guards against a count that is written to the old array after the arrays grew. */
    @Test
    void keepsValuesWhenArraysGrow() {
        UsageCounters counters = new UsageCounters();
        for (int i = 0; i < 20; i++) {
            counters.add("refused.reason" + i, i + 1);
        }
        assertThat(counters.endedCalls(), equalTo(210L));
    }

    /** Guards against an unbounded number of names and against calls that are not counted beyond the limit. */
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
