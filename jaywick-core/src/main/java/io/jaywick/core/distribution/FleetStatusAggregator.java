package io.jaywick.core.distribution;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.OptionalLong;

import io.jaywick.core.message.Laggard;

/** Aggregates version counts of servers, groups or data centres, with bounded lists of laggards. */
public final class FleetStatusAggregator {

    /** Maximum number of laggards in one aggregated count. */
    public static final int MAX_LAGGARDS = 16;

    private FleetStatusAggregator() {}

    /**
     * Aggregates counts. A count whose version is not the newest becomes one laggard that stands for all its servers.
     */
    public static VersionCount sum(Collection<VersionCount> counts) {
        long revision = 0;
        String hash = "";
        for (VersionCount count : counts) {
            if (count.revision > revision) {
                revision = count.revision;
                hash = count.hash;
            }
        }
        int activeServers = 0;
        int reportingServers = 0;
        List<Laggard> laggards = new ArrayList<>();
        for (VersionCount count : counts) {
            reportingServers += count.reportingServers;
            if (count.revision == revision && count.hash.equals(hash)) {
                activeServers += count.activeServers;
            } else if (count.activeServers > 0) {
                String name = count.activeServers == 1 ? count.name : count.activeServers + " servers of " + count.name;
                laggards.add(new Laggard(name, count.revision));
            }
            laggards.addAll(count.laggards);
        }
        // Keeps the oldest laggards, so that every level of aggregation preserves the smallest revision.
        laggards.sort(Comparator.comparingLong(Laggard::revision).thenComparing(Laggard::server));
        if (laggards.size() > MAX_LAGGARDS) {
            laggards = new ArrayList<>(laggards.subList(0, MAX_LAGGARDS));
        }
        return new VersionCount("", revision, hash, activeServers, reportingServers, laggards);
    }

    /** Returns the status of the fleet from the counts of its data centres and the number of servers in the roster. */
    public static FleetStatus status(Collection<VersionCount> counts, int rosterSize) {
        VersionCount sum = sum(counts);
        OptionalLong smallestActiveRevision = OptionalLong.empty();
        if (rosterSize > 0 && sum.reportingServers >= rosterSize && sum.revision > 0) {
            long revision = sum.revision;
            for (Laggard laggard : sum.laggards) {
                revision = Math.min(revision, laggard.revision());
            }
            smallestActiveRevision = OptionalLong.of(revision);
        }
        return new FleetStatus(
                sum.revision,
                sum.hash,
                sum.activeServers,
                sum.reportingServers,
                rosterSize,
                sum.laggards,
                smallestActiveRevision);
    }

    /**
     * Version count of one server or of several servers.
     *
     * @param name name of these servers in the list of laggards
     * @param activeServers number of servers on which the version with this revision and hash is active
     * @param reportingServers number of servers that reported
     */
    public record VersionCount(
            String name, long revision, String hash, int activeServers, int reportingServers, List<Laggard> laggards) {}
}
