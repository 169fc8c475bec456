package io.jaywick.core.limits;

import java.util.List;
import java.util.stream.IntStream;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

class RosterTestCase {

    /** Guards against allocations that add up to more or less than the limit. */
    @Property(seed = "7")
    void allocationsAddUpToTheLimit(
            @ForAll @IntRange(min = 1, max = Integer.MAX_VALUE) int limit,
            @ForAll @IntRange(min = 1, max = 64) int holders) {
        long sum = 0;
        for (int rank = 0; rank < holders; rank++) {
            sum += Roster.baseAllocation(limit, rank, holders);
        }
        assertThat(sum, equalTo((long) limit));
    }

    /**
     * Guards against a raised limit that lowers an allocation, because two revisions together could then exceed both
     * limits.
     */
    @Property(seed = "7")
    void noAllocationFallsWhenTheLimitRises(
            @ForAll @IntRange(min = 1, max = 100_000) int limit,
            @ForAll @IntRange(min = 0, max = 1_000) int rise,
            @ForAll @IntRange(min = 1, max = 64) int holders) {
        for (int rank = 0; rank < holders; rank++) {
            assertThat(
                    Roster.baseAllocation(limit + rise, rank, holders),
                    greaterThanOrEqualTo(Roster.baseAllocation(limit, rank, holders)));
        }
    }

    /** The naive split rounds each allocation to the nearest integer and so exceeds the limit. */
    @Test
    void naiveSplitExceedsTheLimit() {
        int naive = 16 * (int) Math.round(25 / 16.0);
        assertThat(naive, greaterThan(25));
    }

    /** Guards against a change of one server that moves the allocations of others. */
    @Test
    void removedServerChangesOnlyItsOwnRank() {
        List<String> names = IntStream.range(0, 100).mapToObj(i -> "s" + i).toList();
        List<String> before = new Roster(names).holders("p", 16);
        List<String> after = new Roster(names.stream()
                        .filter(name -> !name.equals(before.get(3)))
                        .toList())
                .holders("p", 16);
        long moved = after.stream().filter(name -> !before.contains(name)).count();
        assertThat(moved, lessThanOrEqualTo(1L));
    }
}
