package io.jaywick.core.record;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Reference implementation of the merge: for each counter of a process, takes the value of the line with the highest
 * sequence number that contains it.
 */
final class NaiveMerge {

    private record CounterId(long process, UsageKey key, String counter) {}

    private NaiveMerge() {}

    static Map<UsageKey, Map<String, Long>> sums(List<RecordLine> lines) {
        Map<CounterId, Long> values = new HashMap<>();
        Map<CounterId, Long> sequences = new HashMap<>();
        for (RecordLine line : lines) {
            for (UsageEntry entry : line.entries()) {
                for (int i = 0; i < entry.counters().size(); i++) {
                    CounterId id = new CounterId(
                            line.identity().process(),
                            entry.key(),
                            entry.counters().name(i));
                    if (line.sequence() >= sequences.getOrDefault(id, 0L)) {
                        sequences.put(id, line.sequence());
                        values.put(id, entry.counters().value(i));
                    }
                }
            }
        }
        Map<UsageKey, Map<String, Long>> sums = new HashMap<>();
        values.forEach((id, value) ->
                sums.computeIfAbsent(id.key(), ignored -> new HashMap<>()).merge(id.counter(), value, Long::sum));
        return sums;
    }
}
