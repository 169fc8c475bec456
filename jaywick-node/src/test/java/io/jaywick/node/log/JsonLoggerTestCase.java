package io.jaywick.node.log;

import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.List;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.not;

class JsonLoggerTestCase {

    private final List<String> lines = new ArrayList<>();
    private final System.Logger logger = new JsonLogger(
            "test", System.Logger.Level.INFO, InstantSource.fixed(Instant.parse("2026-01-01T00:00:00Z")), lines::add);

    /** Guards against renamed fields, which would break the queries of operators. */
    @Test
    void writesFieldsUnderTheirFixedNames() {
        logger.log(
                System.Logger.Level.INFO,
                "adopted a version",
                LogField.of("node", "catalogue-selfoss"),
                LogField.of("revision", 7),
                LogField.of("level", "not replaced"));
        assertThat(
                lines.get(0),
                equalTo("{\"time\":\"2026-01-01T00:00:00Z\",\"level\":\"INFO\",\"logger\":\"test\","
                        + "\"message\":\"adopted a version\",\"node\":\"catalogue-selfoss\",\"revision\":7}"));
    }

    /** Guards against text of a peer or caller that splits a line or adds fields. */
    @Test
    void escapesUntrustedText() throws Exception {
        String text = "a\"}\n{\"level\":\"ERROR\u0000";
        logger.log(System.Logger.Level.WARNING, text, new IllegalStateException(text), LogField.of("peer", text));
        assertThat(lines.get(0), not(containsString("\n")));
        JsonNode line = new ObjectMapper().readTree(lines.get(0));
        assertThat(line.get("message").asText(), equalTo(text));
        assertThat(line.get("error").asText(), containsString("IllegalStateException"));
        assertThat(line.get("peer").asText(), equalTo(text));
    }

    /** Guards against losing a line to a format error and against writing lines below the threshold. */
    @Test
    void formatsParametersAndAppliesThreshold() {
        logger.log(System.Logger.Level.DEBUG, "hidden");
        assertThat(lines, empty());
        logger.log(System.Logger.Level.INFO, "{0} of {1}", 3, 4);
        logger.log(System.Logger.Level.INFO, "{broken", 3);
        assertThat(lines.get(0), containsString("3 of 4"));
        assertThat(lines.get(1), containsString("{broken [3]"));
    }

    /** Guards against a finder that is not registered with the runtime. */
    @Test
    void runtimeLoadsTheFinder() {
        assertThat(System.LoggerFinder.getLoggerFinder(), instanceOf(JsonLoggerFinder.class));
    }
}
