package io.jaywick.core.distribution;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import io.jaywick.core.snapshot.Snapshot;
import io.jaywick.core.table.Sheet;
import io.jaywick.core.table.TableContent;

/** Accepts every content unless the name of its first party starts with "bad". */
final class TestVersionCheck implements VersionCheck {

    int checkCount;

    static TableContent content(String... parties) {
        Map<String, String> rows = new TreeMap<>();
        for (String party : parties) {
            rows.put(party, party + ",1,1000,1,,1");
        }
        return new TableContent(Map.of(Sheet.PARTIES, rows));
    }

    @Override
    public CheckedVersion checkPacked(long revision, byte[] packed) {
        return checkContent(revision, content(new String(packed, java.nio.charset.StandardCharsets.UTF_8)));
    }

    @Override
    public CheckedVersion checkContent(long revision, TableContent content) {
        checkCount++;
        if (content.rows(Sheet.PARTIES).firstKey().startsWith("bad")) {
            return CheckedVersion.rejected(content.hash().hex(), List.of("bad"));
        }
        return CheckedVersion.accepted(
                new Snapshot(revision, content, Map.of(), Map.of(), Map.of(), List.of(), Map.of()));
    }
}
