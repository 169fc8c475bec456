package io.jaywick.core.limits;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * Rosters whose shares some server may still use. A node may use the smallest share that it has under any of them.
 * An entry becomes the only one in force for a party when the whole fleet was seen on it and the grants made under
 * earlier ones have ended. A process that starts knows no earlier roster; it holds no share until the same is known.
 */
final class RosterHistory {

    /** More unsettled changes of the roster than this leave the node without shares until one is settled. */
    private static final int MAX_ENTRIES = 16;

    /** The roster that a starting process does not know. */
    private static final Entry UNKNOWN_ROSTER = new Entry(new Roster(List.of()), Long.MIN_VALUE, 0);

    private final long periodNanos;
    private final List<Entry> entries = new ArrayList<>();

    RosterHistory(long periodNanos) {
        this.periodNanos = periodNanos;
        entries.add(UNKNOWN_ROSTER);
    }

    /** Takes a roster into force from a revision on; an equal roster changes nothing. */
    void adopt(Roster roster, long revision) {
        if (current().hash() == roster.hash()) {
            return;
        }
        entries.add(new Entry(roster, revision, 0));
        if (entries.size() > MAX_ENTRIES) {
            entries.subList(0, entries.size() - 1).clear();
            entries.add(0, UNKNOWN_ROSTER);
        }
    }

    Roster current() {
        return entries.get(entries.size() - 1).roster;
    }

    /** First revision with the current roster. */
    long currentSinceRevision() {
        return entries.get(entries.size() - 1).sinceRevision;
    }

    /** True when no server uses a share of an earlier roster for new grants. */
    boolean isConfirmed() {
        Entry last = entries.get(entries.size() - 1);
        return last != UNKNOWN_ROSTER && (last.confirmedNanos != 0 || entries.size() == 1);
    }

    /** The whole fleet was seen on the current roster. */
    void confirmCurrent(long nowNanos) {
        Entry last = entries.remove(entries.size() - 1);
        // Zero marks an unconfirmed entry, so a confirmation at clock value zero is moved by one nanosecond.
        entries.add(new Entry(last.roster, last.sinceRevision, nowNanos == 0 ? 1 : nowNanos));
    }

    /** No other roster can be in use, because no process ran before this one. */
    void assumeNoEarlierRoster() {
        entries.subList(0, entries.size() - 1).clear();
    }

    /** Rosters of which the smallest share applies to a party with this window; the current one is the last. */
    List<Roster> activeRosters(long windowMillis, long nowNanos) {
        int first = 0;
        for (int i = entries.size() - 1; i > 0; i--) {
            if (supersedesEarlier(entries.get(i), windowMillis, nowNanos)) {
                first = i;
                break;
            }
        }
        return entries.subList(first, entries.size()).stream()
                .map(e -> e.roster)
                .toList();
    }

    /** Forgets the rosters that apply to no party any more. */
    void removeSuperseded(long longestWindowMillis, long nowNanos) {
        for (int i = entries.size() - 1; i > 0; i--) {
            if (supersedesEarlier(entries.get(i), longestWindowMillis, nowNanos)) {
                entries.subList(0, i).clear();
                return;
            }
        }
    }

    private boolean supersedesEarlier(Entry entry, long windowMillis, long nowNanos) {
        return entry.confirmedNanos != 0
                && nowNanos - entry.confirmedNanos
                        > LimitTiming.withDriftMargin(periodNanos)
                                + LimitTiming.guardedWindowNanos(windowMillis)
                                + TimeUnit.MILLISECONDS.toNanos(1);
    }

    private record Entry(Roster roster, long sinceRevision, long confirmedNanos) {}
}
