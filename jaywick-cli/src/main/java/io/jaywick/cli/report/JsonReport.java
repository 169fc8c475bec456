package io.jaywick.cli.report;

import java.io.IOException;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializationFeature;

/** The report as one JSON object; field names and units as in {@link UsageReport}. */
final class JsonReport implements ReportRenderer {

    private static final ObjectMapper JSON = new ObjectMapper().enable(SerializationFeature.INDENT_OUTPUT);

    @Override
    public void render(UsageReport report, Appendable out) throws IOException {
        out.append(JSON.writeValueAsString(report)).append('\n');
    }
}
