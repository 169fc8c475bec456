package io.jaywick.schema;

import java.util.Map;

import com.fasterxml.jackson.databind.JsonNode;

/** Renders the settings page, which documents every setting of {@code settings.toml}. */
final class SettingsPage {

    private static final String INTRODUCTION =
            """
            # Settings of a node

            `jaywick-node --settings FILE` reads one TOML file in UTF-8 of at most 65,536 bytes. Each section below is a \
            TOML table, for example `[source]`. A setting without a default is required. All errors are reported at \
            once; each names the file, the key or line, the value and what is allowed, and the node exits with status 2.

            An address is `IP:PORT` with an IPv4 address, or an IPv6 address in brackets, and a port from 0 to 65535. \
            Host names are not resolved. Port 0 selects a free port. Addresses in a list are separated by spaces. A string has \
            1 to 128 printable characters without spaces. Ranges are inclusive.

            Nodes on the users' platform read the file that the platform writes, with other settings; docs/OPERATIONS.md \
            lists those of the quotas.

            `./generate-records` writes this page from `settings.toml`, and a test compares the two.
            """;

    private final JsonNode schema;

    SettingsPage(JsonNode schema) {
        this.schema = schema;
    }

    String render() {
        StringBuilder text = new StringBuilder(INTRODUCTION);
        for (Map.Entry<String, JsonNode> section : schema.properties()) {
            text.append("\n## `[").append(section.getKey()).append("]`\n\n");
            text.append(section.getValue().path("doc").asText()).append("\n\n");
            text.append("| setting | type | default | range | meaning |\n|---|---|---|---|---|\n");
            for (JsonNode field : section.getValue().path("fields")) {
                text.append("| `").append(field.path("name").asText());
                text.append("` | ").append(field.path("type").asText());
                text.append(" | ").append(defaultOf(field));
                text.append(" | ").append(rangeOf(field));
                text.append(" | ").append(field.path("doc").asText()).append(" |\n");
            }
        }
        return text.toString();
    }

    private static String defaultOf(JsonNode field) {
        if (!field.has("default")) {
            return "required";
        }
        String value = field.path("default").asText();
        return value.isEmpty() ? "empty" : "`" + value + "`";
    }

    private static String rangeOf(JsonNode field) {
        return field.has("min")
                ? field.path("min").asText() + " to " + field.path("max").asText()
                : "";
    }
}
