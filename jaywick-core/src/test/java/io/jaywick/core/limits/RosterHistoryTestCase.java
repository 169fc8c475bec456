package io.jaywick.core.limits;

import java.util.List;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;

class RosterHistoryTestCase {

    private static final long PERIOD = TimeUnit.SECONDS.toNanos(10);
    private static final long WINDOW_MILLIS = 2_000;
    private static final long SETTLE = LimitTiming.withDriftMargin(PERIOD)
            + LimitTiming.guardedWindowNanos(WINDOW_MILLIS)
            + TimeUnit.MILLISECONDS.toNanos(2);

    private final RosterHistory history = new RosterHistory(PERIOD);

    /** Guards against a restarted holder that uses its share while grants of its earlier process run. */
    @Test
    void startingProcessKeepsTheUnknownRosterForOnePeriodAndWindow() {
        history.adopt(new Roster(List.of("a", "b")), 1);
        history.confirm(5);
        assertThat(history.inForce(WINDOW_MILLIS, SETTLE - TimeUnit.MILLISECONDS.toNanos(10)), hasSize(2));
        assertThat(history.inForce(WINDOW_MILLIS, 5 + SETTLE), hasSize(1));
    }

    /** Guards against a share that grows while the former holder's grants run on. */
    @Test
    void changeOfTheRosterIsSettledOnlyAfterItsConfirmation() {
        history.adopt(new Roster(List.of("a", "b")), 1);
        history.assumeFirst();
        history.adopt(new Roster(List.of("a", "c")), 2);
        assertThat(history.isConfirmed(), is(false));
        assertThat(history.inForce(WINDOW_MILLIS, 100 * SETTLE), hasSize(2));
        history.confirm(100 * SETTLE);
        assertThat(history.inForce(WINDOW_MILLIS, 101 * SETTLE), hasSize(1));
    }

    /** Guards against memory that grows with unsettled changes, and against shares of a roster that was dropped. */
    @Test
    void manyUnsettledChangesLeaveNoShare() {
        history.adopt(new Roster(List.of("a")), 1);
        history.assumeFirst();
        for (int i = 0; i < 20; i++) {
            history.adopt(new Roster(List.of("a", "b" + i)), 2 + i);
        }
        List<Roster> rosters = history.inForce(WINDOW_MILLIS, SETTLE);
        assertThat(rosters.get(0).servers(), hasSize(0));
    }
}
