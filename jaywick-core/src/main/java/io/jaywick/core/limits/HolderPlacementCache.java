package io.jaywick.core.limits;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import com.dynatrace.hash4j.hashing.Hasher64;
import com.dynatrace.hash4j.hashing.Hashing;

/**
 * Caches which servers hold the base allocations of a party under a roster, because ranking the whole roster is slow.
 */
final class HolderPlacementCache {

    private static final int MAX_PLACEMENTS = 8_192;
    private static final Hasher64 HASHER = Hashing.komihash5_0();

    private final String self;
    private final int holdersPerParty;
    private final Map<Key, Placement> placements = new LinkedHashMap<>() {
        @Override
        protected boolean removeEldestEntry(Map.Entry<Key, Placement> eldest) {
            return size() > MAX_PLACEMENTS;
        }
    };

    HolderPlacementCache(String self, int holdersPerParty) {
        this.self = self;
        this.holdersPerParty = holdersPerParty;
    }

    /** Returns the holders of a party under a roster, ranking the roster if they are not cached. */
    synchronized Placement placement(Roster roster, String party) {
        return placements.computeIfAbsent(new Key(roster.hash(), party), key -> computePlacement(roster, party));
    }

    private Placement computePlacement(Roster roster, String party) {
        List<String> holders = roster.holders(party, holdersPerParty);
        List<String> requestOrder = new ArrayList<>(holders);
        requestOrder.remove(self);
        // Each node sends its requests in a different order, so that nodes with small demand do not all use the same
        // holder.
        long selfHash = HASHER.hashCharsToLong(self);
        requestOrder.sort((a, b) -> Long.compareUnsigned(
                HASHER.hashLongLongToLong(selfHash, HASHER.hashCharsToLong(a)),
                HASHER.hashLongLongToLong(selfHash, HASHER.hashCharsToLong(b))));
        return new Placement(holders, List.copyOf(requestOrder));
    }

    private record Key(long rosterHash, String party) {}

    /** Holders in rank order, and all of them but this node in the order in which this node sends them requests. */
    record Placement(List<String> holders, List<String> requestOrder) {

        int baseAllocation(int limitCalls, String server) {
            return Roster.baseAllocation(limitCalls, holders.indexOf(server), holders.size());
        }
    }
}
