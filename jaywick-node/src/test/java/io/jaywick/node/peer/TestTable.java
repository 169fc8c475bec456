package io.jaywick.node.peer;

import java.nio.charset.StandardCharsets;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import io.jaywick.core.distribution.CheckedVersion;
import io.jaywick.core.distribution.VersionCheck;
import io.jaywick.core.snapshot.DataCentre;
import io.jaywick.core.snapshot.Server;
import io.jaywick.core.snapshot.Snapshot;
import io.jaywick.core.table.ContentHash;
import io.jaywick.core.table.Sheet;
import io.jaywick.core.table.TableContent;

/** Creates and checks tables made of a roster and a free text. A text that starts with "bad" is rejected. */
final class TestTable implements VersionCheck {

    private final Map<String, String> servers = new TreeMap<>();
    private final Map<String, DataCentre> dataCentres = new TreeMap<>();
    private final Map<String, Snapshot> accepted = new HashMap<>();
    private final Map<String, TableContent> contents = new HashMap<>();

    void addServer(String server, String dataCentre, String region) {
        servers.put(server, dataCentre);
        contents.clear();
        dataCentres.put(dataCentre, new DataCentre(dataCentre, region, true));
    }

    static byte[] packed(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }

    TableContent content(String text) {
        Map<Sheet, Map<String, String>> rows = new EnumMap<>(Sheet.class);
        Map<String, String> roster = new TreeMap<>();
        servers.forEach((server, dataCentre) -> roster.put(server, server + "," + dataCentre + ",svc"));
        rows.put(Sheet.SERVERS, roster);
        Map<String, String> parties = new TreeMap<>();
        for (String name : text.split("\\|")) {
            parties.put(name, name + ",1,1000,1,,1");
        }
        rows.put(Sheet.PARTIES, parties);
        return new TableContent(rows);
    }

    @Override
    public CheckedVersion checkPacked(long revision, byte[] packed) {
        String text = new String(packed, StandardCharsets.UTF_8);
        return checkContent(revision, contents.computeIfAbsent(text, this::content));
    }

    @Override
    public CheckedVersion checkContent(long revision, TableContent content) {
        if (content.rows(Sheet.PARTIES).firstKey().startsWith("bad")) {
            return CheckedVersion.rejected(
                    ContentHash.of(content.canonicalBytes()).hex(), List.of("bad"));
        }
        return CheckedVersion.accepted(
                accepted.computeIfAbsent(revision + content.hash().hex(), key -> snapshot(revision, content)));
    }

    private Snapshot snapshot(long revision, TableContent content) {
        Map<String, Server> roster = new TreeMap<>();
        servers.forEach(
                (server, dataCentre) -> roster.put(server, new Server(server, dataCentres.get(dataCentre), "svc")));
        return new Snapshot(revision, content, dataCentres, roster, Map.of(), List.of(), Map.of());
    }
}
