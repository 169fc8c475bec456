package io.jaywick.core.distribution;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.TreeMap;

import io.jaywick.core.message.DeltaReply;
import io.jaywick.core.message.RowChange;
import io.jaywick.core.table.Sheet;
import io.jaywick.core.table.TableContent;

/** Computes and applies the row changes between two versions of the table. */
public final class TableDelta {

    private TableDelta() {}

    /** Returns the row changes that turn the base content into the next content. */
    public static List<RowChange> between(TableContent base, TableContent next) {
        List<RowChange> changes = new ArrayList<>();
        for (Sheet sheet : Sheet.values()) {
            NavigableMap<String, String> baseRows = base.rows(sheet);
            NavigableMap<String, String> nextRows = next.rows(sheet);
            for (Map.Entry<String, String> row : nextRows.entrySet()) {
                if (!row.getValue().equals(baseRows.get(row.getKey()))) {
                    changes.add(new RowChange(sheet.sheetName(), row.getKey(), row.getValue()));
                }
            }
            for (String key : baseRows.keySet()) {
                if (!nextRows.containsKey(key)) {
                    changes.add(new RowChange(sheet.sheetName(), key, ""));
                }
            }
        }
        return changes;
    }

    /**
     * Applies a delta to the base content.
     *
     * @return the new content, or null when a change names an unknown sheet or the hash of the result differs from the
     *     hash in the delta
     */
    public static TableContent apply(TableContent base, DeltaReply delta) {
        Map<Sheet, Map<String, String>> rows = new EnumMap<>(Sheet.class);
        for (Sheet sheet : Sheet.values()) {
            rows.put(sheet, base.rows(sheet));
        }
        for (RowChange change : delta.changes()) {
            Sheet sheet = Sheet.byName(change.sheet());
            if (sheet == null) {
                return null;
            }
            Map<String, String> changed = rows.get(sheet);
            if (changed == base.rows(sheet)) {
                changed = new TreeMap<>(changed);
                rows.put(sheet, changed);
            }
            if (change.row() == null || change.row().isEmpty()) {
                changed.remove(change.key());
            } else {
                changed.put(change.key(), change.row());
            }
        }
        TableContent result = new TableContent(rows);
        return result.hash().hex().equals(delta.hash()) ? result : null;
    }
}
