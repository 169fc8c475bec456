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
    private static final long SUPERSEDE_DELAY_NANOS = LimitTiming.withDriftMargin(PERIOD_NANOS)
            + LimitTiming.guardedWindowNanos(WINDOW_MILLIS)
            + TimeUnit.MILLISECONDS.toNanos(2);

    private final RosterHistory history = new RosterHistory(PERIOD_NANOS);

    /** Guards against a restarted holder that uses its allocation while grants of its earlier process run. */
    @Test
    void startingProcessKeepsTheUnknownRosterForOnePeriodAndWindow() {
        history.setCurrent(new Roster(List.of("a", "b")), 1);
        history.confirmCurrent(5);
        assertThat(
                history.activeRosters(WINDOW_MILLIS, SUPERSEDE_DELAY_NANOS - TimeUnit.MILLISECONDS.toNanos(10)),
                hasSize(2));
        assertThat(history.activeRosters(WINDOW_MILLIS, 5 + SUPERSEDE_DELAY_NANOS), hasSize(1));
    }

    /** Guards against an allocation that grows while grants of the former holder run. */
    @Test
    void rosterChangeTakesEffectOnlyAfterItsConfirmation() {
        history.setCurrent(new Roster(List.of("a", "b")), 1);
        history.assumeNoEarlierRoster();
        history.setCurrent(new Roster(List.of("a", "c")), 2);
        assertThat(history.isConfirmed(), is(false));
        assertThat(history.activeRosters(WINDOW_MILLIS, 100 * SUPERSEDE_DELAY_NANOS), hasSize(2));
        history.confirmCurrent(100 * SUPERSEDE_DELAY_NANOS);
        assertThat(history.activeRosters(WINDOW_MILLIS, 101 * SUPERSEDE_DELAY_NANOS), hasSize(1));
    }

    /**
     * Guards against memory that grows with unconfirmed changes, and against allocations of a roster that was
     * discarded.
     */
    @Test
    void manyUnconfirmedChangesLeaveNoAllocation() {
        history.setCurrent(new Roster(List.of("a")), 1);
        history.assumeNoEarlierRoster();
        for (int i = 0; i < 20; i++) {
            history.setCurrent(new Roster(List.of("a", "b" + i)), 2 + i);
        }
        List<Roster> rosters = history.activeRosters(WINDOW_MILLIS, SUPERSEDE_DELAY_NANOS);
        assertThat(rosters.get(0).servers(), hasSize(0));
    }
}
