package io.jaywick.core.distribution;

import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

class AnsweredTimeTestCase {

    private static final long MAX_INTERVAL_MILLIS = 1_000;

    private final AtomicLong nanos = new AtomicLong(-5);
    private final AnsweredTime time = new AnsweredTime(nanos::get, MAX_INTERVAL_MILLIS);

    private void advance(long millis) {
        nanos.addAndGet(TimeUnit.MILLISECONDS.toNanos(millis));
    }

    private long millis() {
        return TimeUnit.NANOSECONDS.toMillis(time.nanos());
    }

    /** Guards against time that counts although the source has been silent since its last answer. */
    @Test
    void onlyTimeBeforeTheNewestAnswerCounts() {
        time.record(0);
        advance(700);
        assertThat(millis(), is(0L));
        assertThat(time.record(200), is(true));
        assertThat(millis(), is(500L));
        assertThat(time.ageMillis(), is(200L));
    }

    /** Guards against an outage that counts once the source is back. */
    @Test
    void timeOfAnOutageDoesNotCount() {
        time.record(0);
        advance(MAX_INTERVAL_MILLIS + 1);
        assertThat(time.record(0), is(false));
        assertThat(millis(), is(0L));
        advance(300);
        time.interrupt();
        assertThat(time.record(0), is(false));
        assertThat(millis(), is(0L));
        advance(300);
        assertThat(time.record(0), is(true));
        assertThat(millis(), is(300L));
    }

    /** Guards against time that counts twice, because a peer reports an older answer than the one known. */
    @Test
    void olderAnswersAreIgnored() {
        time.record(0);
        advance(300);
        time.record(0);
        time.interrupt();
        assertThat(time.record(100), is(true));
        assertThat(millis(), is(300L));
        advance(100);
        assertThat(time.record(0), is(false));
        assertThat(millis(), is(300L));
    }
}
