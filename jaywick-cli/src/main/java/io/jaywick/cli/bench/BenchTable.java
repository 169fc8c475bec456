package io.jaywick.cli.bench;

import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import io.jaywick.core.distribution.TableVersionCheck;
import io.jaywick.core.snapshot.Server;
import io.jaywick.core.table.PackedTable;
import io.jaywick.standin.source.TableGenerator;
import io.jaywick.standin.source.TableShape;

/** A generated table with the given number of servers in three regions of two data centres each, and edits of it. */
final class BenchTable {

    private static final List<Integer> DATA_CENTRES_PER_REGION = List.of(2, 2, 2);
    private static final int SERVERS_PER_SERVICE = 6;
    private static final int PARTIES = 20;
    private static final String PARTIES_SHEET = "parties";

    private final Map<String, byte[]> sheets;

    BenchTable(long seed, int nodes) {
        int services = Math.max(1, nodes / SERVERS_PER_SERVICE);
        sheets = new TableGenerator(seed, new TableShape(DATA_CENTRES_PER_REGION, services, nodes, PARTIES)).sheets();
    }

    /** Returns the packed table of a revision; each revision changes the limit of the same party. */
    byte[] packed(long revision) {
        Map<String, byte[]> edited = new LinkedHashMap<>(sheets);
        String[] lines = new String(sheets.get(PARTIES_SHEET), StandardCharsets.UTF_8).split("\n");
        String[] fields = lines[1].split(",", -1);
        fields[1] = Long.toString(10_000 + revision);
        lines[1] = String.join(",", fields);
        edited.put(PARTIES_SHEET, (String.join("\n", lines) + "\n").getBytes(StandardCharsets.UTF_8));
        return PackedTable.pack(edited);
    }

    /** Returns the servers of the roster. */
    List<Server> servers() {
        return List.copyOf(new TableVersionCheck()
                .checkPacked(1, packed(1))
                .snapshot()
                .servers()
                .values());
    }
}
