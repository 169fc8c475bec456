package io.jaywick.cli.report;

import java.io.IOException;
import java.util.List;

/** Tables with columns as wide as their widest cell. The first column is aligned left, numbers right. */
final class TextTable {

    private TextTable() {}

    static void render(Appendable out, List<String> header, List<List<String>> rows) throws IOException {
        if (rows.isEmpty()) {
            out.append("  none\n");
            return;
        }
        int[] widths = new int[header.size()];
        for (int i = 0; i < widths.length; i++) {
            widths[i] = header.get(i).length();
            for (List<String> row : rows) {
                widths[i] = Math.max(widths[i], row.get(i).length());
            }
        }
        renderRow(out, header, widths, rows.get(0));
        for (List<String> row : rows) {
            renderRow(out, row, widths, rows.get(0));
        }
    }

    private static void renderRow(Appendable out, List<String> row, int[] widths, List<String> sample)
            throws IOException {
        StringBuilder line = new StringBuilder();
        for (int i = 0; i < widths.length; i++) {
            String padding = " ".repeat(widths[i] - row.get(i).length());
            boolean right = i > 0 && isNumber(sample.get(i));
            line.append("  ").append(right ? padding + row.get(i) : row.get(i) + padding);
        }
        out.append(line.toString().stripTrailing()).append('\n');
    }

    private static boolean isNumber(String text) {
        return text.isEmpty() || text.equals("-") || text.equals("unknown") || Character.isDigit(text.charAt(0));
    }

    /** Replaces control characters, so that names from damaged or hostile input cannot control the terminal. */
    static String replaceControlCharacters(String text) {
        return text.replaceAll("\\p{Cntrl}", "?");
    }
}
