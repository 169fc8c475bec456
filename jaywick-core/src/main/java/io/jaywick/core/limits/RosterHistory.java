package io.jaywick.core.limits;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * Rosters under which some server may still use a base allocation. A node may use the smallest allocation that it has
 * under any of them. A roster supersedes the earlier ones for a party when the whole fleet has been seen on it and the
 * grants made under the earlier ones have ended. A starting process does not know the earlier rosters and has no
 * allocation until one supersedes them.
 */
final class RosterHistory {

    /** Maximum rosters kept. With more unconfirmed changes the node has no allocation until one is confirmed. */
    private static final int MAX_ENTRIES = 16;

    /**
     * Stands for the rosters before the start of this process. It is empty, so that the node has no allocation under
     * it.
     */
    private static final Entry UNKNOWN_ROSTER = new Entry(new Roster(List.of()), Long.MIN_VALUE, 0);

    private final long periodNanos;
    private final List<Entry> entries = new ArrayList<>();

    RosterHistory(long periodNanos) {
        this.periodNanos = periodNanos;
        entries.add(UNKNOWN_ROSTER);
    }

    /** Makes a roster the current one from a revision on. A roster equal to the current one changes nothing. */
    void setCurrent(Roster roster, long revision) {
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

    /** Returns the first revision with the current roster. */
    long currentSinceRevision() {
        return entries.get(entries.size() - 1).sinceRevision;
    }

    /** Returns whether no server makes new grants from an allocation of an earlier roster. */
    boolean isConfirmed() {
        Entry last = entries.get(entries.size() - 1);
        return last != UNKNOWN_ROSTER && (last.confirmedNanos != 0 || entries.size() == 1);
    }

    /** Records that the whole fleet has been seen on the current roster. */
    void confirmCurrent(long nowNanos) {
        Entry last = entries.remove(entries.size() - 1);
        // Zero marks an unconfirmed entry, so a confirmation at clock value zero is recorded as 1 ns.
        entries.add(new Entry(last.roster, last.sinceRevision, nowNanos == 0 ? 1 : nowNanos));
    }

    /** Discards the earlier rosters. They cannot be in use, because no process ran before this one. */
    void assumeNoEarlierRoster() {
        entries.subList(0, entries.size() - 1).clear();
    }

    /** Returns the rosters whose smallest allocation applies to a party with this window; the current one is last. */
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

    /** Removes the rosters that no longer apply to any party. */
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
