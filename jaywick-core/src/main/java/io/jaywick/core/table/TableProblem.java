package io.jaywick.core.table;

/**
 * One problem for which a table is rejected.
 *
 * @param sheet sheet name without suffix; empty when the problem concerns the whole value
 * @param row row number as displayed by a spreadsheet, where the header is row 1; 0 when the problem concerns the whole
 *     sheet
 * @param column column name; empty when the problem concerns no single column
 */
public record TableProblem(ProblemType type, String sheet, int row, String column, String message) {

    private static final int MAX_QUOTED_CHARACTERS = 60;

    /** Returns the value for a message: in single quotes, shortened, with non-printable characters replaced. */
    public static String quoted(String value) {
        StringBuilder text = new StringBuilder("'");
        for (int i = 0; i < value.length() && i < MAX_QUOTED_CHARACTERS; i++) {
            char c = value.charAt(i);
            text.append(Character.isISOControl(c) || Character.isSurrogate(c) ? '?' : c);
        }
        return text.append(value.length() > MAX_QUOTED_CHARACTERS ? "...'" : "'")
                .toString();
    }

    /** Returns one line of text, for example {@code routes.csv row 4, weight_percent: ... [WRONG_WEIGHT_SUM]}. */
    public String toLine() {
        StringBuilder text = new StringBuilder(sheet.isEmpty() ? "table" : sheet + ".csv");
        if (row > 0) {
            text.append(" row ").append(row);
        }
        if (!column.isEmpty()) {
            text.append(", ").append(column);
        }
        return text.append(": ")
                .append(message)
                .append(" [")
                .append(type)
                .append(']')
                .toString();
    }
}
