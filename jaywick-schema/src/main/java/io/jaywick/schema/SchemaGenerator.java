package io.jaywick.schema;

import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import java.util.TreeMap;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.dataformat.toml.TomlMapper;
import com.palantir.javapoet.JavaFile;

/**
 * Generates the records of messages and settings from {@code messages.toml} and {@code settings.toml}.
 *
 * <p>The output is committed, so that a build does not run the generator; a test compares it with the schema.
 */
public final class SchemaGenerator {

    private SchemaGenerator() {}

    /**
     * Writes all generated files below a source root, and the settings page.
     *
     * @param args the source root, for example {@code jaywick-core/src/generated/java}, and the file of the
     *     settings page
     */
    public static void main(String[] args) throws IOException {
        if (args.length != 2) {
            throw new SchemaException("usage: SchemaGenerator SOURCE_ROOT SETTINGS_PAGE");
        }
        for (Map.Entry<String, String> file : generate().entrySet()) {
            Path path = Path.of(args[0], file.getKey());
            Files.createDirectories(path.getParent());
            Files.writeString(path, file.getValue(), StandardCharsets.UTF_8);
        }
        Files.writeString(Path.of(args[1]), settingsPage(), StandardCharsets.UTF_8);
    }

    /** Returns the settings page, a Markdown text that documents every setting. */
    public static String settingsPage() {
        return new SettingsPage(load("settings.toml")).render();
    }

    /** Returns the content of every generated file, keyed by its path below the source root. */
    public static Map<String, String> generate() {
        Map<String, String> files = new TreeMap<>();
        for (JavaFile file : new MessageGenerator(load("messages.toml")).files()) {
            files.put(pathOf(file), file.toString());
        }
        for (JavaFile file : new SettingsGenerator(load("settings.toml")).files()) {
            files.put(pathOf(file), file.toString());
        }
        return files;
    }

    private static String pathOf(JavaFile file) {
        return file.packageName().replace('.', '/') + "/" + file.typeSpec().name() + ".java";
    }

    private static JsonNode load(String resource) {
        try (InputStream input = SchemaGenerator.class.getResourceAsStream(resource)) {
            if (input == null) {
                throw new SchemaException("schema " + resource + " is missing");
            }
            return new TomlMapper().readTree(input);
        } catch (IOException e) {
            throw new SchemaException("schema " + resource + " cannot be read", e);
        }
    }
}
