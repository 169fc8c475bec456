package io.jaywick.core.distribution;

import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;
import java.util.Random;

import io.jaywick.core.distribution.FleetStatusAggregator.VersionCount;
import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

class FleetStatusAggregatorTestCase {

    /**
     * Guards against counts or a smallest revision that change because each level of aggregation bounds its list of
     * laggards. The naive version counts all servers at once.
     */
    @Test
    void hierarchicalSumsEqualTheFlatSum() {
        Random random = new Random(5);
        for (int round = 0; round < 200; round++) {
            List<VersionCount> groups = new ArrayList<>();
            long newest = 0;
            long smallest = Long.MAX_VALUE;
            int activeServers = 0;
            int servers = 0;
            List<Long> revisions = new ArrayList<>();
            for (int group = 0; group < 5; group++) {
                List<VersionCount> members = new ArrayList<>();
                for (int i = random.nextInt(40); i >= 0; i--) {
                    long revision = 1 + random.nextInt(8);
                    revisions.add(revision);
                    members.add(new VersionCount("s" + group + "-" + i, revision, "h" + revision, 1, 1, List.of()));
                    newest = Math.max(newest, revision);
                    smallest = Math.min(smallest, revision);
                    servers++;
                }
                VersionCount sum = FleetStatusAggregator.sum(members);
                groups.add(new VersionCount(
                        "group" + group,
                        sum.revision(),
                        sum.hash(),
                        sum.activeServers(),
                        sum.reportingServers(),
                        sum.laggards()));
            }
            for (long revision : revisions) {
                activeServers += revision == newest ? 1 : 0;
            }
            FleetStatus status = FleetStatusAggregator.status(groups, servers);
            assertThat(status.activeServers(), is(activeServers));
            assertThat(status.reportingServers(), is(servers));
            assertThat(status.smallestActiveRevision(), is(OptionalLong.of(smallest)));
            assertThat(status.laggards().size(), is(lessThanOrEqualTo(FleetStatusAggregator.MAX_LAGGARDS)));
        }
    }

    /**
     * Guards against quotas that grow too early: a server that never reported may still have an old table active, so
     * the smallest active revision must stay unknown.
     */
    @Test
    void unreportedServerMakesSmallestActiveRevisionUnknown() {
        List<VersionCount> counts = List.of(new VersionCount("dc1", 4, "h", 3, 3, List.of()));
        assertThat(FleetStatusAggregator.status(counts, 4).smallestActiveRevision(), is(OptionalLong.empty()));
        assertThat(FleetStatusAggregator.status(counts, 3).smallestActiveRevision(), is(OptionalLong.of(4)));
        assertThat(FleetStatusAggregator.status(List.of(), 0).smallestActiveRevision(), is(OptionalLong.empty()));
    }

    /** Guards against a group that is missing from the status because none of its servers has the newest revision. */
    @Test
    void groupOnOlderRevisionIsListedAsOneLaggard() {
        List<VersionCount> counts = List.of(
                new VersionCount("dc1", 4, "h4", 3, 3, List.of()), new VersionCount("dc2", 2, "h2", 5, 5, List.of()));
        FleetStatus status = FleetStatusAggregator.status(counts, 8);
        assertThat(status.smallestActiveRevision(), is(OptionalLong.of(2)));
        assertThat(status.laggards(), hasSize(1));
        assertThat(status.laggards().get(0).server(), is("5 servers of dc2"));
    }
}
