package io.jaywick.cli.report;

import java.io.IOException;

/** Writes a report in one format. */
@FunctionalInterface
interface ReportRenderer {

    void render(UsageReport report, Appendable out) throws IOException;

    /** Returns the renderer of a format, or null. */
    static ReportRenderer of(String format) {
        return switch (format) {
            case "text" -> new TextReport();
            case "csv" -> new CsvReport();
            case "json" -> new JsonReport();
            case "html" -> new HtmlReport();
            default -> null;
        };
    }
}
