package io.jaywick.core.table;

import java.nio.charset.StandardCharsets;
import java.util.Collections;
import java.util.EnumMap;
import java.util.Map;
import java.util.NavigableMap;
import java.util.TreeMap;

/**
 * Canonical form of the table: per sheet the rows by key, each as one CSV line without line break. Two published
 * values with the same meaning have equal contents and therefore equal hashes, whatever the order of their rows.
 */
public final class TableContent {

    private final Map<Sheet, NavigableMap<String, String>> rows;
    private final ContentHash hash;

    /** Copies the rows; the key of a row joins its key fields with a comma. */
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

    /** Text of all sheets in canonical order, as it is hashed and transferred in full. */
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
