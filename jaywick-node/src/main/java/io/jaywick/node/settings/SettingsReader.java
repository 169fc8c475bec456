package io.jaywick.node.settings;

import java.io.IOException;
import java.io.InputStream;
import java.nio.ByteBuffer;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;

import com.fasterxml.jackson.core.JsonLocation;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.dataformat.toml.TomlMapper;
import io.jaywick.core.settings.NodeSettings;
import io.jaywick.core.settings.SettingDefinition;
import io.jaywick.core.table.TableProblem;

/** Reads the settings of a node from a TOML file and validates them against the schema. Reports all errors at once. */
public final class SettingsReader {

    private static final int MAX_FILE_BYTES = 65_536;
    private static final TomlMapper TOML_MAPPER = new TomlMapper();
    private static final ObjectMapper RECORD_MAPPER = new ObjectMapper();

    private final String file;
    private final List<String> errors = new ArrayList<>();

    private SettingsReader(String file) {
        this.file = file;
    }

    /**
     * Reads a file.
     *
     * @throws SettingsException if the file cannot be read or has an invalid setting
     */
    public static NodeSettings read(Path file) {
        try (InputStream input = Files.newInputStream(file)) {
            return parse(file.toString(), input.readNBytes(MAX_FILE_BYTES + 1));
        } catch (IOException e) {
            throw new SettingsException(List.of(file + ": cannot be read: " + e));
        }
    }

    /**
     * Parses the content of a file.
     *
     * @param file name for error messages
     * @throws SettingsException if the content is not valid TOML or has an invalid setting
     */
    public static NodeSettings parse(String file, byte[] bytes) {
        SettingsReader reader = new SettingsReader(file);
        NodeSettings settings = reader.parse(bytes);
        if (!reader.errors.isEmpty()) {
            throw new SettingsException(reader.errors);
        }
        return settings;
    }

    private NodeSettings parse(byte[] bytes) {
        JsonNode root = parseToml(bytes);
        if (root == null) {
            return null;
        }
        Map<String, Map<String, Object>> values = new LinkedHashMap<>();
        for (SettingDefinition definition : NodeSettings.DEFINITIONS) {
            Object value = readValue(definition, root.path(definition.section()).path(definition.name()));
            values.computeIfAbsent(definition.section(), section -> new LinkedHashMap<>())
                    .put(definition.name(), value);
        }
        checkUnknownNames(root, values);
        return errors.isEmpty() ? RECORD_MAPPER.convertValue(values, NodeSettings.class) : null;
    }

    private JsonNode parseToml(byte[] bytes) {
        if (bytes.length > MAX_FILE_BYTES) {
            errors.add(file + ": file exceeds the limit of " + MAX_FILE_BYTES + " bytes");
            return null;
        }
        try {
            String text = StandardCharsets.UTF_8
                    .newDecoder()
                    .decode(ByteBuffer.wrap(bytes))
                    .toString();
            return TOML_MAPPER.readTree(text);
        } catch (CharacterCodingException e) {
            errors.add(file + ": the file is not valid UTF-8");
        } catch (JsonProcessingException e) {
            errors.add(file + ", line " + lineOf(e.getLocation()) + ": not valid TOML: " + e.getOriginalMessage());
        }
        return null;
    }

    /**
     * Returns the line of a syntax error. The parser reports a repeated key only after the line break, at the start of
     * the next line.
     */
    private static int lineOf(JsonLocation location) {
        int line = location == null ? 1 : location.getLineNr();
        return location != null && location.getColumnNr() <= 1 && line > 1 ? line - 1 : Math.max(1, line);
    }

    private void checkUnknownNames(JsonNode root, Map<String, Map<String, Object>> knownNames) {
        for (Map.Entry<String, JsonNode> section : root.properties()) {
            Map<String, Object> names = knownNames.get(section.getKey());
            if (names == null) {
                errors.add(file + ", section " + quoted(section.getKey()) + ": unknown; allowed are "
                        + new TreeSet<>(knownNames.keySet()));
            } else if (!section.getValue().isObject()) {
                errors.add(file + ", section " + quoted(section.getKey()) + ": "
                        + quoted(section.getValue().toString()) + " is not a table of settings");
            } else {
                for (Map.Entry<String, JsonNode> setting : section.getValue().properties()) {
                    if (!names.containsKey(setting.getKey())) {
                        errors.add(
                                file + ", key " + section.getKey() + "." + quoted(setting.getKey()) + ": unknown, with"
                                        + " value " + quoted(setting.getValue().toString()) + "; allowed are "
                                        + new TreeSet<>(names.keySet()));
                    }
                }
            }
        }
    }

    private Object readValue(SettingDefinition definition, JsonNode node) {
        boolean isNumber = definition.type().equals("int") || definition.type().equals("long");
        if (node.isMissingNode()) {
            if (definition.defaultValue() == null) {
                errors.add(file + ", key " + qualifiedKey(definition) + ": missing; required is "
                        + SettingTypes.describeAllowed(definition));
                return null;
            }
            return isNumber
                    ? Long.valueOf(definition.defaultValue())
                    : SettingTypes.parse(definition, definition.defaultValue());
        }
        Object value = null;
        if (isNumber) {
            boolean isInRange = node.isIntegralNumber()
                    && node.canConvertToLong()
                    && node.longValue() >= definition.min()
                    && node.longValue() <= definition.max();
            value = isInRange ? node.longValue() : null;
        } else if (node.isTextual()) {
            value = SettingTypes.parse(definition, node.textValue());
        }
        if (value == null) {
            errors.add(file + ", key " + qualifiedKey(definition) + ": " + quoted(node.toString())
                    + " is not allowed; allowed is " + SettingTypes.describeAllowed(definition));
        }
        return value;
    }

    private static String qualifiedKey(SettingDefinition definition) {
        return definition.section() + "." + definition.name();
    }

    private static String quoted(String value) {
        return TableProblem.quoted(value);
    }
}
