package io.jaywick.core.table;

import java.util.ArrayList;
import java.util.List;
import java.util.TreeSet;

/**
 * Canonical CSV form of a row: fields in canonical column order, quoted as a whole only when they contain a comma,
 * home regions sorted and without repetition. Fields of an accepted table contain no quotes and no line breaks, so the
 * form parses back with a scan for commas and quotes.
 */
public final class CanonicalRow {

    private static final String HOME_REGIONS = "home_regions";

    private CanonicalRow() {}

    /** Returns the canonical line of a row. */
    public static String format(SheetRow row) {
        StringBuilder line = new StringBuilder();
        for (int i = 0; i < row.fields().size(); i++) {
            if (i > 0) {
                line.append(',');
            }
            String field = field(row.sheet().columns().get(i), row.fields().get(i));
            if (field.indexOf(',') >= 0) {
                line.append('"').append(field).append('"');
            } else {
                line.append(field);
            }
        }
        return line.toString();
    }

    /** Returns the canonical form of one value. */
    static String field(String column, String value) {
        return column.equals(HOME_REGIONS) ? String.join(" ", new TreeSet<>(splitRegions(value))) : value;
    }

    /** Returns the row of a canonical line, or null when the line has another form or another number of fields. */
    public static SheetRow parse(Sheet sheet, int number, String line) {
        List<String> fields = new ArrayList<>(sheet.columns().size());
        int at = 0;
        while (at <= line.length()) {
            int end;
            if (at < line.length() && line.charAt(at) == '"') {
                end = line.indexOf('"', at + 1);
                if (end < 0 || end + 1 < line.length() && line.charAt(end + 1) != ',') {
                    return null;
                }
                fields.add(line.substring(at + 1, end));
                at = end + 2;
            } else {
                end = line.indexOf(',', at);
                end = end < 0 ? line.length() : end;
                fields.add(line.substring(at, end));
                at = end + 1;
            }
        }
        return fields.size() == sheet.columns().size() ? new SheetRow(sheet, number, List.copyOf(fields), false) : null;
    }

    /** Splits a field of home regions at its spaces; an empty field has none. */
    public static List<String> splitRegions(String homeRegions) {
        List<String> regions = new ArrayList<>();
        for (String region : homeRegions.split(" ")) {
            if (!region.isEmpty()) {
                regions.add(region);
            }
        }
        return regions;
    }
}
