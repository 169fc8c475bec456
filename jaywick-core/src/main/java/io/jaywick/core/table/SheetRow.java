package io.jaywick.core.table;

import java.util.List;

/**
 * One row of a sheet with its fields as text.
 *
 * @param number row number as displayed by a spreadsheet; the header is row 1
 * @param fields values in canonical column order
 * @param malformed true when a problem concerns the whole row; its names count as defined, so that one defect does not
 *     cause a problem in each row that refers to it, but its other fields are not checked
 */
public record SheetRow(Sheet sheet, int number, List<String> fields, boolean malformed) {

    public String field(String column) {
        return fields.get(sheet.columns().indexOf(column));
    }

    /** Value of a column in canonical form, in which values with the same meaning are equal. */
    public String canonicalField(String column) {
        return CanonicalRow.canonicalValue(column, field(column));
    }

    /** Key of the row: its key fields joined with a comma. */
    public String key() {
        return String.join(",", fields.subList(0, sheet.keyColumns()));
    }
}
