package io.jaywick.core.limits;

import java.util.List;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;

class RosterHistoryTestCase {

    private static final long PERIOD_NANOS = TimeUnit.SECONDS.toNanos(10);
    private static final long WINDOW_MILLIS = 2_000;
    private static final long SETTLE_NANOS = LimitTiming.withDriftMargin(PERIOD_NANOS)
            + LimitTiming.guardedWindowNanos(WINDOW_MILLIS)
            + TimeUnit.MILLISECONDS.toNanos(2);

    private final RosterHistory history = new RosterHistory(PERIOD_NANOS);

    /** Guards against a restarted holder that uses its share while grants of its earlier process run. */
    @Test
    void startingProcessKeepsTheUnknownRosterForOnePeriodAndWindow() {
        history.adopt(new Roster(List.of("a", "b")), 1);
        history.confirmCurrent(5);
        assertThat(history.activeRosters(WINDOW_MILLIS, SETTLE_NANOS - TimeUnit.MILLISECONDS.toNanos(10)), hasSize(2));
        assertThat(history.activeRosters(WINDOW_MILLIS, 5 + SETTLE_NANOS), hasSize(1));
    }

    /** Guards against a share that grows while the former holder's grants run on. */
    @Test
    void rosterChangeTakesEffectOnlyAfterItsConfirmation() {
        history.adopt(new Roster(List.of("a", "b")), 1);
        history.assumeNoEarlierRoster();
        history.adopt(new Roster(List.of("a", "c")), 2);
        assertThat(history.isConfirmed(), is(false));
        assertThat(history.activeRosters(WINDOW_MILLIS, 100 * SETTLE_NANOS), hasSize(2));
        history.confirmCurrent(100 * SETTLE_NANOS);
        assertThat(history.activeRosters(WINDOW_MILLIS, 101 * SETTLE_NANOS), hasSize(1));
    }

    /** Guards against memory that grows with unsettled changes, and against shares of a roster that was dropped. */
    @Test
    void manyUnconfirmedChangesLeaveNoAllocation() {
        history.adopt(new Roster(List.of("a")), 1);
        history.assumeNoEarlierRoster();
        for (int i = 0; i < 20; i++) {
            history.adopt(new Roster(List.of("a", "b" + i)), 2 + i);
        }
        List<Roster> rosters = history.activeRosters(WINDOW_MILLIS, SETTLE_NANOS);
        assertThat(rosters.get(0).servers(), hasSize(0));
    }
}
