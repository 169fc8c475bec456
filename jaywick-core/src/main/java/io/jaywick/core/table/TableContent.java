package io.jaywick.core.table;

import java.nio.charset.StandardCharsets;
import java.util.Collections;
import java.util.EnumMap;
import java.util.Map;
import java.util.NavigableMap;
import java.util.TreeMap;

/**
 * Canonical form of the table: the rows of each sheet by key, each as one CSV line without line break. Two published
 * values with the same meaning have equal contents and therefore equal hashes, regardless of the order of their rows.
 */
public final class TableContent {

    private final Map<Sheet, NavigableMap<String, String>> rows;
    private final ContentHash hash;

    /** Copies the rows of each sheet, which are mapped by {@link SheetRow#key}; a missing sheet has no rows. */
    public TableContent(Map<Sheet, ? extends Map<String, String>> rows) {
        Map<Sheet, NavigableMap<String, String>> copy = new EnumMap<>(Sheet.class);
        for (Sheet sheet : Sheet.values()) {
            Map<String, String> sheetRows = rows.get(sheet);
            NavigableMap<String, String> sorted = sheetRows == null ? new TreeMap<>() : new TreeMap<>(sheetRows);
            copy.put(sheet, Collections.unmodifiableNavigableMap(sorted));
        }
        this.rows = copy;
        this.hash = ContentHash.of(canonicalBytes());
    }

    /** Rows of one sheet by key, in key order. */
    public NavigableMap<String, String> rows(Sheet sheet) {
        return rows.get(sheet);
    }

    public ContentHash hash() {
        return hash;
    }

    /** UTF-8 text of all sheets in canonical order, as used for the hash and for a full transfer. */
    public byte[] canonicalBytes() {
        StringBuilder text = new StringBuilder();
        for (Sheet sheet : Sheet.values()) {
            text.append('#').append(sheet.sheetName()).append('\n');
            for (String row : rows.get(sheet).values()) {
                text.append(row).append('\n');
            }
        }
        return text.toString().getBytes(StandardCharsets.UTF_8);
    }
}
