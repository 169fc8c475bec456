package io.jaywick.cli.report;

import java.util.List;

/** Escaped HTML text and tables. */
final class Html {

    private Html() {}

    /** Escapes text for content and for quoted attributes; control characters become question marks. */
    static String escape(String text) {
        StringBuilder escaped = new StringBuilder(text.length());
        for (int i = 0; i < text.length(); i++) {
            char c = text.charAt(i);
            switch (c) {
                case '&' -> escaped.append("&amp;");
                case '<' -> escaped.append("&lt;");
                case '>' -> escaped.append("&gt;");
                case '"' -> escaped.append("&quot;");
                case '\'' -> escaped.append("&#39;");
                default -> escaped.append(Character.isISOControl(c) ? '?' : c);
            }
        }
        return escaped.toString();
    }

    /** A table with a caption; {@code textColumns} leading columns are aligned left and the first is a row header. */
    static String table(String caption, int textColumns, List<String> header, List<List<String>> rows) {
        StringBuilder html =
                new StringBuilder("<table><caption>").append(escape(caption)).append("</caption><thead><tr>");
        for (int i = 0; i < header.size(); i++) {
            html.append("<th scope=\"col\"")
                    .append(i < textColumns ? ">" : " class=\"n\">")
                    .append(escape(header.get(i)))
                    .append("</th>");
        }
        html.append("</tr></thead><tbody>\n");
        for (List<String> row : rows) {
            html.append("<tr>");
            for (int i = 0; i < row.size(); i++) {
                if (i == 0) {
                    html.append("<th scope=\"row\">").append(escape(row.get(i))).append("</th>");
                } else {
                    html.append(i < textColumns ? "<td>" : "<td class=\"n\">")
                            .append(escape(row.get(i)))
                            .append("</td>");
                }
            }
            html.append("</tr>\n");
        }
        if (rows.isEmpty()) {
            html.append("<tr><td colspan=\"").append(header.size()).append("\">none</td></tr>\n");
        }
        return html.append("</tbody></table>\n").toString();
    }
}
