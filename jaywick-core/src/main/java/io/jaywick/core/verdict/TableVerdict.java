package io.jaywick.core.verdict;

import java.util.List;
import java.util.Map;

import io.jaywick.core.table.ContentHash;
import io.jaywick.core.table.PackedTable;
import io.jaywick.core.table.ProblemList;
import io.jaywick.core.table.ProblemType;
import io.jaywick.core.table.Sheet;
import io.jaywick.core.table.TableContent;
import io.jaywick.core.table.TableFormatException;
import io.jaywick.core.table.TableLimits;
import io.jaywick.core.table.TableProblem;
import io.jaywick.core.table.TableRows;

/**
 * Validation result of a table. It depends only on the bytes of the table and is therefore the same on every node. See
 * docs/design.md, section 3.
 */
public final class TableVerdict {

    private final ContentHash hash;
    private final TableContent content;
    private final List<TableProblem> problems;

    private TableVerdict(ContentHash hash, TableContent content, List<TableProblem> problems) {
        this.hash = hash;
        this.content = content;
        this.problems = problems;
    }

    /** Validates a published value. */
    public static TableVerdict ofPacked(byte[] packed) {
        ProblemList problems = new ProblemList();
        Map<String, byte[]> sheets = PackedTable.unpack(packed, problems);
        return sheets == null
                ? new TableVerdict(ContentHash.of(packed), null, problems.toList())
                : validateSheets(sheets, packed, problems);
    }

    /** Validates sheets that are to be packed, by sheet name without suffix. */
    public static TableVerdict ofSheets(Map<String, byte[]> sheets) {
        ProblemList problems = new ProblemList();
        byte[] packed = PackedTable.pack(sheets);
        if (packed.length > TableLimits.MAX_VALUE_BYTES) {
            problems.add(
                    ProblemType.VALUE_TOO_LARGE,
                    null,
                    0,
                    "",
                    "the packed value has " + packed.length + " bytes, allowed are " + TableLimits.MAX_VALUE_BYTES);
        }
        return validateSheets(sheets, packed, problems);
    }

    /** Validates canonical content, as received from a peer by a delta or a full transfer. */
    public static TableVerdict ofContent(TableContent content) {
        ProblemList problems = new ProblemList();
        validate(TableRows.ofContent(content, problems), problems);
        return new TableVerdict(content.hash(), problems.isEmpty() ? content : null, problems.toList());
    }

    private static TableVerdict validateSheets(Map<String, byte[]> sheets, byte[] packed, ProblemList problems) {
        TableRows rows = TableRows.ofSheets(sheets, problems);
        validate(rows, problems);
        if (!problems.isEmpty()) {
            return new TableVerdict(ContentHash.of(packed), null, problems.toList());
        }
        TableContent content = rows.content();
        return new TableVerdict(content.hash(), content, List.of());
    }

    private static void validate(TableRows rows, ProblemList problems) {
        FieldChecks.check(rows, problems);
        ReferenceChecks.check(rows, problems);
        RouteChecks.check(rows, problems);
        if (rows.sheets().size() == Sheet.values().length
                && rows.sheets().stream().allMatch(sheet -> rows.rows(sheet).isEmpty())) {
            problems.add(ProblemType.EMPTY_TABLE, null, 0, "", "the table has no row");
        } else if (rows.has(Sheet.DATA_CENTRES) && rows.rows(Sheet.DATA_CENTRES).isEmpty()) {
            problems.add(ProblemType.NO_DATA_CENTRE, Sheet.DATA_CENTRES, 0, "", "the table has no data centre");
        } else if (rows.isComplete(Sheet.DATA_CENTRES)
                && rows.isComplete(Sheet.SERVERS)
                && rows.isComplete(Sheet.SERVICES)) {
            HomeRegionChecks.check(rows, problems);
        }
    }

    /** Returns whether a node may activate the table. */
    public boolean accepted() {
        return problems.isEmpty();
    }

    /** Problems of the table, empty when it is accepted. */
    public List<TableProblem> problems() {
        return problems;
    }

    /** Hash of the canonical content when it is accepted or given, otherwise of the packed value. */
    public ContentHash hash() {
        return hash;
    }

    /**
     * Canonical content of an accepted table.
     *
     * @throws TableFormatException when the table is rejected
     */
    public TableContent content() {
        if (content == null) {
            throw new TableFormatException(problems);
        }
        return content;
    }
}
