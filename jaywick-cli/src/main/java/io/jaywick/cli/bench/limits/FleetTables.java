package io.jaywick.cli.bench.limits;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

import io.jaywick.core.snapshot.DataCentre;
import io.jaywick.core.snapshot.Party;
import io.jaywick.core.snapshot.Server;
import io.jaywick.core.snapshot.Snapshot;
import io.jaywick.core.table.TableContent;

/** Builds the table versions of a virtual fleet. They hold only the roster and the parties, which limiters read. */
public final class FleetTables {

    private static final TableContent NO_ROWS = new TableContent(Map.of());

    private final Map<String, DataCentre> dataCentres = new LinkedHashMap<>();
    private final Map<String, Server> roster = new TreeMap<>();
    private final Map<String, Party> parties = new TreeMap<>();
    private long revision;

    FleetTables(LimitFleetOptions options) {
        for (int i = 0; i < options.dataCentres(); i++) {
            String region = "region-" + (i * options.regions() / options.dataCentres() + 1);
            dataCentres.put("dc-" + (i + 1), new DataCentre("dc-" + (i + 1), region, true));
        }
        List<DataCentre> locations = new ArrayList<>(dataCentres.values());
        for (int i = 0; i < options.servers(); i++) {
            addServer("s" + (i + 1), locations.get(i * locations.size() / options.servers()));
        }
    }

    /** Adds a server to the next version. */
    void addServer(String server, DataCentre dataCentre) {
        roster.put(server, new Server(server, dataCentre, "service"));
    }

    /** Removes a server from the next version. */
    void removeServer(String server) {
        roster.remove(server);
    }

    /** Sets a limit in the next version. */
    void setLimit(String party, int limitCalls, long windowMillis) {
        parties.put(party, new Party(party, limitCalls, windowMillis, 0, Set.of(), 0));
    }

    DataCentre dataCentre(String name) {
        return dataCentres.get(name);
    }

    /** Returns a snapshot of the current content under the next revision. */
    Snapshot nextSnapshot() {
        revision++;
        return new Snapshot(
                revision,
                NO_ROWS,
                Map.copyOf(dataCentres),
                Map.copyOf(roster),
                Map.of(),
                List.of(),
                Map.copyOf(parties));
    }
}
