package io.jaywick.core.gate;

import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

class ColdStartLimitTestCase {

    @Test
    void withoutABoundTheRateHolds() {
        assertThat(ColdStartLimit.NONE.callsPerSecond(25), is(25.0));
    }

    /** Guards against a cold target that falls over, and against callers refused that it could serve. */
    @Test
    void boundIsUsedButNotReached() {
        ColdStartLimit bound = new ColdStartLimit(1.5, 5);
        assertThat(bound.callsPerSecond(25), lessThan(42.5));
        assertThat(bound.callsPerSecond(25), greaterThan(25.0));
    }
}
