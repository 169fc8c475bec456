package io.jaywick.core.table;

import java.util.ArrayList;
import java.util.List;
import java.util.TreeSet;

/**
 * Canonical CSV form of a row: fields in canonical column order, quoted only when they contain a comma, home regions
 * sorted and without duplicates. Fields of an accepted table contain neither quotes nor line breaks, so that the form
 * can be parsed by scanning for commas and quotes.
 */
public final class CanonicalRow {

    private static final String HOME_REGIONS = "home_regions";

    private CanonicalRow() {}

    /** Returns the canonical form of a row, without a line break. */
    public static String format(SheetRow row) {
        StringBuilder line = new StringBuilder();
        for (int i = 0; i < row.fields().size(); i++) {
            if (i > 0) {
                line.append(',');
            }
            String field =
                    canonicalValue(row.sheet().columns().get(i), row.fields().get(i));
            if (field.indexOf(',') >= 0) {
                line.append('"').append(field).append('"');
            } else {
                line.append(field);
            }
        }
        return line.toString();
    }

    /** Returns the canonical form of one field. */
    static String canonicalValue(String column, String value) {
        return column.equals(HOME_REGIONS) ? String.join(" ", new TreeSet<>(splitRegions(value))) : value;
    }

    /**
     * Parses a canonical line.
     *
     * @return the row, or null when the quotes of the line do not pair or the number of fields differs
     */
    public static SheetRow parse(Sheet sheet, int number, String line) {
        List<String> fields = new ArrayList<>(sheet.columns().size());
        int position = 0;
        while (position <= line.length()) {
            int end;
            if (position < line.length() && line.charAt(position) == '"') {
                end = line.indexOf('"', position + 1);
                if (end < 0 || end + 1 < line.length() && line.charAt(end + 1) != ',') {
                    return null;
                }
                fields.add(line.substring(position + 1, end));
                position = end + 2;
            } else {
                end = line.indexOf(',', position);
                end = end < 0 ? line.length() : end;
                fields.add(line.substring(position, end));
                position = end + 1;
            }
        }
        return fields.size() == sheet.columns().size() ? new SheetRow(sheet, number, List.copyOf(fields), false) : null;
    }

    /** Splits a field of home regions at its spaces; the result is empty for an empty field. */
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
