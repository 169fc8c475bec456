package io.jaywick.core.record;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Set of the sequence numbers of merged lines, held as ranges. When the number of ranges exceeds its limit, the two
 * lowest are joined; {@link #missingUpTo} is then a lower bound.
 */
final class SequenceSet {

    private static final int MAX_RANGES = 1_024;

    private final TreeMap<Long, Long> ranges = new TreeMap<>();

    void add(long first, long last) {
        long from = first;
        long to = last;
        Map.Entry<Long, Long> before = ranges.floorEntry(from);
        if (before != null && before.getValue() >= from - 1) {
            if (before.getValue() >= to) {
                return;
            }
            from = before.getKey();
        }
        Map.Entry<Long, Long> next = ranges.ceilingEntry(from);
        while (next != null && next.getKey() <= to + 1) {
            to = Math.max(to, next.getValue());
            ranges.remove(next.getKey());
            next = ranges.ceilingEntry(from);
        }
        ranges.put(from, to);
        if (ranges.size() > MAX_RANGES) {
            long lowest = ranges.pollFirstEntry().getKey();
            long end = ranges.pollFirstEntry().getValue();
            ranges.put(lowest, end);
        }
    }

    long highest() {
        return ranges.isEmpty() ? 0 : ranges.lastEntry().getValue();
    }

    /** Returns how many numbers from 1 to {@code last} are not in the set. */
    long missingUpTo(long last) {
        long present = 0;
        for (Map.Entry<Long, Long> range : ranges.entrySet()) {
            present += Math.min(last, range.getValue()) - range.getKey() + 1;
        }
        return Math.max(0, last - present);
    }

    List<SequenceRange> ranges() {
        List<SequenceRange> list = new ArrayList<>(ranges.size());
        ranges.forEach((first, last) -> list.add(new SequenceRange(first, last)));
        return list;
    }
}
