package io.jaywick.schema;

import javax.lang.model.element.Modifier;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;

import com.fasterxml.jackson.databind.JsonNode;
import com.palantir.javapoet.ClassName;
import com.palantir.javapoet.CodeBlock;
import com.palantir.javapoet.FieldSpec;
import com.palantir.javapoet.JavaFile;
import com.palantir.javapoet.MethodSpec;
import com.palantir.javapoet.ParameterSpec;
import com.palantir.javapoet.ParameterizedTypeName;
import com.palantir.javapoet.TypeName;
import com.palantir.javapoet.TypeSpec;

/**
 * Generates one record per section of {@code settings.toml}, the root record {@code NodeSettings} with all sections as
 * components, and the list of definitions that the settings reader checks a file against.
 */
final class SettingsGenerator {

    private static final String PACKAGE = "io.jaywick.core.settings";
    private static final String ROOT_RECORD = "NodeSettings";
    private static final ClassName DEFINITION = ClassName.get(PACKAGE, "SettingDefinition");

    private final JsonNode schema;

    SettingsGenerator(JsonNode schema) {
        this.schema = schema;
    }

    List<JavaFile> files() {
        List<JavaFile> files = new ArrayList<>();
        MethodSpec.Builder sections = MethodSpec.constructorBuilder();
        CodeBlock.Builder definitions = CodeBlock.builder().add("$T.of(", List.class);
        String separator = "\n";
        for (Map.Entry<String, JsonNode> entry : schema.properties()) {
            ClassName type = ClassName.get(PACKAGE, recordName(entry.getKey(), entry.getValue()));
            sections.addParameter(ParameterSpec.builder(type, entry.getKey()).build());
            files.add(file(section(type, entry.getValue())));
            for (JsonNode field : entry.getValue().path("fields")) {
                definitions.add(separator).add(definition(entry.getKey(), field));
                separator = ",\n";
            }
        }
        files.add(file(definitionRecord()));
        files.add(file(TypeSpec.recordBuilder(ROOT_RECORD)
                .addModifiers(Modifier.PUBLIC)
                .addJavadoc("All settings of a node, one component per section. Generated from settings.toml.\n")
                .recordConstructor(sections.build())
                .addField(FieldSpec.builder(
                                ParameterizedTypeName.get(ClassName.get(List.class), DEFINITION),
                                "DEFINITIONS",
                                Modifier.PUBLIC,
                                Modifier.STATIC,
                                Modifier.FINAL)
                        .addJavadoc("Every setting in the order of the schema.\n")
                        .initializer(definitions.add(")").build())
                        .build())
                .build()));
        return files;
    }

    private static TypeSpec section(ClassName name, JsonNode definition) {
        MethodSpec.Builder constructor = MethodSpec.constructorBuilder();
        TypeSpec.Builder type = TypeSpec.recordBuilder(name.simpleName())
                .addModifiers(Modifier.PUBLIC)
                .addJavadoc("$L\n\n", definition.path("doc").asText());
        for (JsonNode field : definition.path("fields")) {
            constructor.addParameter(
                    ParameterSpec.builder(typeOf(field), field.path("name").asText())
                            .build());
            type.addJavadoc(
                    "@param $L $L\n",
                    field.path("name").asText(),
                    field.path("doc").asText());
        }
        return type.recordConstructor(constructor.build()).build();
    }

    private static TypeSpec definitionRecord() {
        return TypeSpec.recordBuilder("SettingDefinition")
                .addModifiers(Modifier.PUBLIC)
                .addJavadoc("Definition of one setting: section, name, type (string, int, long, address, addresses), "
                        + "default or null when the setting is required, and inclusive range.\n")
                .recordConstructor(MethodSpec.constructorBuilder()
                        .addParameter(String.class, "section")
                        .addParameter(String.class, "name")
                        .addParameter(String.class, "type")
                        .addParameter(String.class, "defaultValue")
                        .addParameter(TypeName.LONG, "min")
                        .addParameter(TypeName.LONG, "max")
                        .addParameter(String.class, "doc")
                        .build())
                .build();
    }

    private static CodeBlock definition(String section, JsonNode field) {
        return CodeBlock.of(
                "new $T($S, $S, $S, $S, $LL, $LL, $S)",
                DEFINITION,
                section,
                field.path("name").asText(),
                field.path("type").asText(),
                field.has("default") ? field.path("default").asText() : null,
                field.path("min").asLong(Long.MIN_VALUE + 1),
                field.path("max").asLong(Long.MAX_VALUE),
                field.path("doc").asText());
    }

    private static TypeName typeOf(JsonNode field) {
        String type = field.path("type").asText();
        return switch (type) {
            case "string", "address" -> ClassName.get(String.class);
            case "addresses" -> ParameterizedTypeName.get(List.class, String.class);
            default -> MessageGenerator.typeOf(type);
        };
    }

    /**
     * Returns the name of a section's record. A section may set it in the schema, because the name derived from the
     * section "node" would be that of the root record.
     */
    private static String recordName(String section, JsonNode definition) {
        String name = definition.path("record").asText(capitalised(section) + "Settings");
        if (name.equals(ROOT_RECORD)) {
            throw new SchemaException("section " + section + " needs a record name other than " + ROOT_RECORD);
        }
        return name;
    }

    private static String capitalised(String name) {
        return Character.toUpperCase(name.charAt(0)) + name.substring(1);
    }

    private static JavaFile file(TypeSpec type) {
        return JavaFile.builder(PACKAGE, type).indent("    ").build();
    }
}
