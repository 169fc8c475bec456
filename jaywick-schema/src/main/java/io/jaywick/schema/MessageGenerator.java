package io.jaywick.schema;

import javax.lang.model.element.Modifier;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;

import com.fasterxml.jackson.databind.JsonNode;
import com.palantir.javapoet.ArrayTypeName;
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
 * Generates one record per table of {@code messages.toml}, with the methods that write and read its fields, and the
 * sealed interface {@code Message} of the records that are sent as a frame of their own.
 */
final class MessageGenerator {

    private static final String PACKAGE = "io.jaywick.core.message";
    private static final ClassName MESSAGE = ClassName.get(PACKAGE, "Message");

    private final JsonNode schema;

    MessageGenerator(JsonNode schema) {
        this.schema = schema;
    }

    List<JavaFile> files() {
        List<JavaFile> files = new ArrayList<>();
        List<ClassName> messages = new ArrayList<>();
        for (Map.Entry<String, JsonNode> entry : schema.properties()) {
            boolean isMessage = entry.getValue().path("message").asBoolean(false);
            if (isMessage) {
                messages.add(ClassName.get(PACKAGE, entry.getKey()));
            }
            files.add(file(record(entry.getKey(), entry.getValue(), isMessage)));
        }
        files.add(file(messageInterface(messages)));
        return files;
    }

    private TypeSpec record(String name, JsonNode definition, boolean isMessage) {
        MethodSpec.Builder constructor = MethodSpec.constructorBuilder();
        FieldMethodsGenerator methods = new FieldMethodsGenerator(ClassName.get(PACKAGE, name), isMessage);
        for (JsonNode field : definition.path("fields")) {
            String[] parts = field.asText().split(" ");
            if (parts.length != 2) {
                throw new SchemaException("field '" + field.asText() + "' of " + name + " is not 'type name'");
            }
            constructor.addParameter(
                    ParameterSpec.builder(typeOf(parts[0]), parts[1]).build());
            methods.addField(parts[0], parts[1]);
        }
        TypeSpec.Builder type = TypeSpec.recordBuilder(name)
                .addModifiers(Modifier.PUBLIC)
                .addJavadoc("$L\n", definition.path("doc").asText())
                .recordConstructor(constructor.build())
                .addMethod(methods.writeMethod())
                .addMethod(methods.readMethod());
        if (isMessage) {
            type.addSuperinterface(MESSAGE);
        }
        return type.build();
    }

    private TypeSpec messageInterface(List<ClassName> messages) {
        CodeBlock.Builder read = CodeBlock.builder().add("return switch (type) {\n$>");
        CodeBlock.Builder types = CodeBlock.builder().add("$T.of(", Set.class);
        for (int i = 0; i < messages.size(); i++) {
            read.add("case $S -> $T.readFrom(reader);\n", messages.get(i).simpleName(), messages.get(i));
            types.add(i == 0 ? "\n$S" : ",\n$S", messages.get(i).simpleName());
        }
        read.add("default -> throw new $T($S + type);\n$<};\n", IllegalArgumentException.class, "unknown type ");
        TypeName names = ParameterizedTypeName.get(Set.class, String.class);
        return TypeSpec.interfaceBuilder("Message")
                .addModifiers(Modifier.PUBLIC, Modifier.SEALED)
                .addJavadoc("A message between nodes. Generated from messages.toml.\n")
                .addPermittedSubclasses(messages)
                .addField(FieldSpec.builder(names, "TYPES", Modifier.PUBLIC, Modifier.STATIC, Modifier.FINAL)
                        .addJavadoc("Names of the message types on the wire.\n")
                        .initializer(types.add(")").build())
                        .build())
                .addMethod(MethodSpec.methodBuilder("writeTo")
                        .addModifiers(Modifier.PUBLIC, Modifier.ABSTRACT)
                        .addJavadoc("Writes all fields in the order of the schema.\n")
                        .addParameter(FieldMethodsGenerator.WRITER, "writer")
                        .build())
                .addMethod(MethodSpec.methodBuilder("read")
                        .addModifiers(Modifier.PUBLIC, Modifier.STATIC)
                        .addJavadoc("Reads a message of one of the {@link #TYPES}. Returns null when it is absent.\n")
                        .returns(MESSAGE)
                        .addParameter(String.class, "type")
                        .addParameter(FieldMethodsGenerator.READER, "reader")
                        .addCode(read.build())
                        .build())
                .build();
    }

    static TypeName typeOf(String name) {
        if (name.startsWith("list<")) {
            return ParameterizedTypeName.get(
                    ClassName.get(List.class), typeOf(typeArgument(name)).box());
        }
        if (name.startsWith("map<")) {
            return ParameterizedTypeName.get(
                    ClassName.get(Map.class),
                    ClassName.get(String.class),
                    typeOf(typeArgument(name)).box());
        }
        return switch (name) {
            case "string" -> ClassName.get(String.class);
            case "int" -> TypeName.INT;
            case "long" -> TypeName.LONG;
            case "double" -> TypeName.DOUBLE;
            case "boolean" -> TypeName.BOOLEAN;
            case "bytes" -> ArrayTypeName.of(TypeName.BYTE);
            default -> {
                if (!Character.isUpperCase(name.charAt(0))) {
                    throw new SchemaException("unknown type " + name);
                }
                yield ClassName.get(PACKAGE, name);
            }
        };
    }

    static String typeArgument(String name) {
        return name.substring(name.indexOf('<') + 1, name.length() - 1);
    }

    private static JavaFile file(TypeSpec type) {
        return JavaFile.builder(PACKAGE, type).indent("    ").build();
    }
}
