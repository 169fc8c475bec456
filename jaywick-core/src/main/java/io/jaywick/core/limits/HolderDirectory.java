package io.jaywick.core.limits;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import com.dynatrace.hash4j.hashing.Hasher64;
import com.dynatrace.hash4j.hashing.Hashing;

/** Remembers which servers hold the shares of a party under a roster, because ranking the whole roster is slow. */
final class HolderDirectory {

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

    HolderDirectory(String self, int holdersPerParty) {
        this.self = self;
        this.holdersPerParty = holdersPerParty;
    }

    /** Holders of a party under a roster. */
    synchronized Placement placement(Roster roster, String party) {
        return placements.computeIfAbsent(new Key(roster.hash(), party), key -> place(roster, party));
    }

    private Placement place(Roster roster, String party) {
        List<String> holders = roster.holders(party, holdersPerParty);
        List<String> askOrder = new ArrayList<>(holders);
        askOrder.remove(self);
        // Each node starts with another holder, so that nodes with small demand do not all ask the same one.
        long selfHash = HASHER.hashCharsToLong(self);
        askOrder.sort((a, b) -> Long.compareUnsigned(
                HASHER.hashLongLongToLong(selfHash, HASHER.hashCharsToLong(a)),
                HASHER.hashLongLongToLong(selfHash, HASHER.hashCharsToLong(b))));
        return new Placement(holders, List.copyOf(askOrder));
    }

    private record Key(long rosterHash, String party) {}

    /** Holders in rank order, and in the order in which this node asks them. */
    record Placement(List<String> holders, List<String> askOrder) {

        int share(int limitCalls, String server) {
            return Roster.baseAllocation(limitCalls, holders.indexOf(server), holders.size());
        }
    }
}
