package io.jaywick.core.table;

import java.util.List;

/**
 * One row of a sheet as text.
 *
 * @param number row number as a spreadsheet shows it, the header being row 1
 * @param fields values in canonical column order
 * @param malformed true when a problem of the whole row was found; its names count as defined, so that one defect does not
 *     lead to a problem in each row that refers to it, but nothing else of the row is judged
 */
public record SheetRow(Sheet sheet, int number, List<String> fields, boolean malformed) {

    /** Value of a column. */
    public String field(String column) {
        return fields.get(sheet.columns().indexOf(column));
    }

    /** Value of a column in canonical form, in which equal meaning is equal text. */
    public String canonicalField(String column) {
        return CanonicalRow.canonicalValue(column, field(column));
    }

    /** Key fields joined with a comma. */
    public String key() {
        return String.join(",", fields.subList(0, sheet.keyColumns()));
    }
}
