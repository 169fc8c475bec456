package io.jaywick.core.gate;

import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

class ColdStartLimitTestCase {

    @Test
    void sustainedRateIsLimitByDefault() {
        assertThat(ColdStartLimit.NONE.callsPerSecond(25), is(25.0));
    }

    /** Guards against an overloaded cold target, and against refusals of calls that it could serve. */
    @Test
    void admitsMoreThanSustainedRateButLessThanLimit() {
        ColdStartLimit limit = new ColdStartLimit(1.5, 5);
        assertThat(limit.callsPerSecond(25), lessThan(42.5));
        assertThat(limit.callsPerSecond(25), greaterThan(25.0));
    }
}
