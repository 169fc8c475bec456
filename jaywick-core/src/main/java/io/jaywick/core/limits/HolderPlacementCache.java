package io.jaywick.core.limits;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import com.dynatrace.hash4j.hashing.Hasher64;
import com.dynatrace.hash4j.hashing.Hashing;

/** Remembers which servers hold the shares of a party under a roster, because ranking the whole roster is slow. */
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

    /** Holders of a party under a roster. */
    synchronized Placement placement(Roster roster, String party) {
        return placements.computeIfAbsent(new Key(roster.hash(), party), key -> computePlacement(roster, party));
    }

    private Placement computePlacement(Roster roster, String party) {
        List<String> holders = roster.holders(party, holdersPerParty);
        List<String> requestOrder = new ArrayList<>(holders);
        requestOrder.remove(self);
        // Each node starts with another holder, so that nodes with small demand do not all ask the same one.
        long selfHash = HASHER.hashCharsToLong(self);
        requestOrder.sort((a, b) -> Long.compareUnsigned(
                HASHER.hashLongLongToLong(selfHash, HASHER.hashCharsToLong(a)),
                HASHER.hashLongLongToLong(selfHash, HASHER.hashCharsToLong(b))));
        return new Placement(holders, List.copyOf(requestOrder));
    }

    private record Key(long rosterHash, String party) {}

    /** Holders in rank order, and in the order in which this node asks them. */
    record Placement(List<String> holders, List<String> requestOrder) {

        int baseAllocation(int limitCalls, String server) {
            return Roster.baseAllocation(limitCalls, holders.indexOf(server), holders.size());
        }
    }
}
