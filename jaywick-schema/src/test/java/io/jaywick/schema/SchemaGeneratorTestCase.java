package io.jaywick.schema;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import java.util.stream.Stream;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.junit.jupiter.api.Assertions.assertThrows;

class SchemaGeneratorTestCase {

    private static final Path COMMITTED = Path.of("..", "jaywick-core", "src", "generated", "java");

    /** Guards against records that were edited by hand or not regenerated after a change of the schema. */
    @Test
    void committedRecordsEqualTheSchema() throws IOException {
        for (Map.Entry<String, String> file : SchemaGenerator.generate().entrySet()) {
            assertThat(file.getKey(), Files.readString(COMMITTED.resolve(file.getKey())), equalTo(file.getValue()));
        }
    }

    /** Guards against a settings page that omits a setting, or states a default or range that the reader does not apply. */
    @Test
    void pageOfSettingsEqualsTheSchema() throws IOException {
        String page = Files.readString(Path.of("..", "docs", "settings.md"));
        assertThat(page, equalTo(SchemaGenerator.settingsPage()));
    }

    /** Guards against a committed record whose definition was removed from the schema. */
    @Test
    void everyCommittedRecordIsInTheSchema() throws IOException {
        try (Stream<Path> paths = Files.walk(COMMITTED)) {
            long committed = paths.filter(Files::isRegularFile).count();
            assertThat(committed, equalTo((long) SchemaGenerator.generate().size()));
        }
    }

    /** Guards against the section "node", whose record would be overwritten by the root record of the same name. */
    @Test
    void rejectsSectionWithTheNameOfTheRootRecord() {
        SettingsGenerator generator =
                new SettingsGenerator(JsonNodeFactory.instance.objectNode().set("node", null));
        assertThrows(SchemaException.class, generator::files);
    }
}
