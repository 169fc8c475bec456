package io.jaywick.core.table;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * Rows of all readable sheets, with their fields as text.
 *
 * <p>Rows come either from the sheets of a published value or from canonical content that a peer sent. The same checks
 * apply to both, so that every node reaches the same verdict regardless of how it received a version.
 */
public final class TableRows {

    private final Map<Sheet, List<SheetRow>> rows;

    private TableRows(Map<Sheet, List<SheetRow>> rows) {
        this.rows = rows;
    }

    /** Parses the sheets by name and adds every defect to the problems. */
    public static TableRows ofSheets(Map<String, byte[]> sheets, ProblemList problems) {
        Map<Sheet, List<SheetRow>> rows = new EnumMap<>(Sheet.class);
        for (String name : sheets.keySet()) {
            if (Sheet.byName(name) == null) {
                problems.add(
                        ProblemType.UNKNOWN_SHEET,
                        null,
                        0,
                        "",
                        "sheet " + TableProblem.quoted(name) + " is unknown; allowed are " + Sheet.names());
            }
        }
        for (Sheet sheet : Sheet.values()) {
            byte[] bytes = sheets.get(sheet.sheetName());
            if (bytes == null) {
                problems.add(ProblemType.MISSING_SHEET, sheet, 0, "", "the sheet is missing");
                continue;
            }
            List<SheetRow> read = SheetReader.read(sheet, bytes, problems);
            if (read != null) {
                rows.put(sheet, read);
            }
        }
        return new TableRows(rows);
    }

    /** Parses canonical rows; a row that is not canonical or has the wrong key is a problem. */
    public static TableRows ofContent(TableContent content, ProblemList problems) {
        Map<Sheet, List<SheetRow>> rows = new EnumMap<>(Sheet.class);
        int bytes = content.canonicalBytes().length;
        if (bytes > TableLimits.MAX_VALUE_BYTES) {
            problems.add(
                    ProblemType.VALUE_TOO_LARGE,
                    null,
                    0,
                    "",
                    "the table has " + bytes + " bytes, allowed are " + TableLimits.MAX_VALUE_BYTES);
        }
        for (Sheet sheet : Sheet.values()) {
            List<SheetRow> read = new ArrayList<>();
            int number = 1;
            for (Map.Entry<String, String> entry : content.rows(sheet).entrySet()) {
                number++;
                SheetRow row = CanonicalRow.parse(sheet, number, entry.getValue());
                if (row == null
                        || !row.key().equals(entry.getKey())
                        || !CanonicalRow.format(row).equals(entry.getValue())) {
                    problems.add(
                            ProblemType.NOT_CANONICAL,
                            sheet,
                            number,
                            "",
                            "row " + TableProblem.quoted(entry.getValue()) + " under key "
                                    + TableProblem.quoted(entry.getKey()) + " is not in canonical form");
                } else {
                    read.add(SheetReader.checkRow(row, problems));
                }
            }
            rows.put(sheet, read);
        }
        return new TableRows(rows);
    }

    /** Returns whether the sheet is readable. */
    public boolean has(Sheet sheet) {
        return rows.containsKey(sheet);
    }

    /** Rows of a sheet in file order; empty when the sheet is unreadable. */
    public List<SheetRow> rows(Sheet sheet) {
        return rows.getOrDefault(sheet, List.of());
    }

    /** Returns whether the sheet is readable and has no malformed row. */
    public boolean isComplete(Sheet sheet) {
        return has(sheet) && rows(sheet).stream().noneMatch(SheetRow::malformed);
    }

    /** The readable sheets. */
    public Set<Sheet> sheets() {
        return rows.keySet();
    }

    /** Returns the canonical content; of rows with the same key, the last one is kept. */
    public TableContent content() {
        Map<Sheet, Map<String, String>> canonical = new EnumMap<>(Sheet.class);
        for (Map.Entry<Sheet, List<SheetRow>> sheet : rows.entrySet()) {
            Map<String, String> lines = new TreeMap<>();
            for (SheetRow row : sheet.getValue()) {
                lines.put(row.key(), CanonicalRow.format(row));
            }
            canonical.put(sheet.getKey(), lines);
        }
        return new TableContent(canonical);
    }

    /**
     * Parses the bytes of {@link TableContent#canonicalBytes}, as sent in a full transfer.
     *
     * @throws TableFormatException when the bytes are not in canonical form
     */
    public static TableContent parseCanonicalBytes(byte[] bytes) {
        String text = new String(bytes, StandardCharsets.UTF_8);
        Map<Sheet, Map<String, String>> canonical = new EnumMap<>(Sheet.class);
        ProblemList problems = new ProblemList();
        Sheet sheet = null;
        int position = 0;
        while (position < text.length() && problems.isEmpty()) {
            int end = text.indexOf('\n', position);
            end = end < 0 ? text.length() : end;
            String line = text.substring(position, end);
            position = end + 1;
            if (line.startsWith("#")) {
                sheet = Sheet.byName(line.substring(1));
                canonical.put(sheet == null ? Sheet.DATA_CENTRES : sheet, new TreeMap<>());
            }
            SheetRow row = sheet == null || line.startsWith("#") ? null : CanonicalRow.parse(sheet, 0, line);
            if (row != null) {
                canonical.get(sheet).put(row.key(), line);
            } else if (sheet == null || !line.startsWith("#")) {
                problems.add(
                        ProblemType.NOT_CANONICAL, sheet, 0, "", "line " + TableProblem.quoted(line) + " is not a row");
            }
        }
        TableContent content = new TableContent(canonical);
        if (problems.isEmpty() && !Arrays.equals(content.canonicalBytes(), bytes)) {
            problems.add(ProblemType.NOT_CANONICAL, null, 0, "", "the bytes are not in canonical order or encoding");
        }
        if (!problems.isEmpty()) {
            throw new TableFormatException(problems.toList());
        }
        return content;
    }
}
