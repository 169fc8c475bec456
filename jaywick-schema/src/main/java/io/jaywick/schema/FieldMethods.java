package io.jaywick.schema;

import javax.lang.model.element.Modifier;

import com.palantir.javapoet.ClassName;
import com.palantir.javapoet.CodeBlock;
import com.palantir.javapoet.MethodSpec;

/**
 * Makes the methods that write and read the fields of one record. A start of a node runs them a few hundred times, which
 * plain code bears better than reflection does.
 */
final class FieldMethods {

    static final ClassName WRITER = ClassName.get("io.jaywick.core.message", "FieldWriter");
    static final ClassName READER = ClassName.get("io.jaywick.core.message", "FieldReader");

    private final ClassName record;
    private final boolean message;
    private final CodeBlock.Builder writes = CodeBlock.builder();
    private final CodeBlock.Builder variables = CodeBlock.builder();
    private final CodeBlock.Builder cases = CodeBlock.builder();
    private final CodeBlock.Builder arguments = CodeBlock.builder();
    private int fields;

    FieldMethods(ClassName record, boolean message) {
        this.record = record;
        this.message = message;
    }

    void add(String type, String name) {
        writes.addStatement("writer.name($S)", name);
        writes.add(writing(type, name));
        variables.addStatement("$T $L = $L", MessageGenerator.typeOf(type), name, absent(type));
        cases.add("case $S -> $L = $L;\n", name, name, reading(type));
        arguments.add(fields == 0 ? "$L" : ", $L", name);
        fields++;
    }

    MethodSpec writeMethod() {
        MethodSpec.Builder method = MethodSpec.methodBuilder("writeTo")
                .addModifiers(Modifier.PUBLIC)
                .addParameter(WRITER, "writer")
                .addStatement("writer.begin($L)", fields)
                .addCode(writes.build());
        if (message) {
            method.addAnnotation(Override.class);
        } else {
            method.addJavadoc("Writes all fields.\n");
        }
        return method.build();
    }

    MethodSpec readMethod() {
        return MethodSpec.methodBuilder("readFrom")
                .addModifiers(Modifier.PUBLIC, Modifier.STATIC)
                .addJavadoc("Reads all fields and skips unknown ones; null when the record is absent.\n")
                .returns(record)
                .addParameter(READER, "reader")
                .addStatement("int remainingFields = reader.begin()")
                .beginControlFlow("if (remainingFields < 0)")
                .addStatement("return null")
                .endControlFlow()
                .addCode(variables.build())
                .beginControlFlow("for (; remainingFields > 0; remainingFields--)")
                .beginControlFlow("switch (reader.name())")
                .addCode(cases.build())
                .addCode("default -> reader.skip();\n")
                .endControlFlow()
                .endControlFlow()
                .addStatement("return new $T($L)", record, arguments.build())
                .build();
    }

    private static CodeBlock writing(String type, String name) {
        if (type.startsWith("list<")) {
            return CodeBlock.of("writer.list($L, $L);\n", name, writer(MessageGenerator.argument(type)));
        }
        if (type.startsWith("map<")) {
            return CodeBlock.of("writer.map($L, $L);\n", name, writer(MessageGenerator.argument(type)));
        }
        String method = scalar(type);
        if (method != null) {
            return CodeBlock.of("writer.$L($L);\n", method, name);
        }
        return CodeBlock.builder()
                .beginControlFlow("if ($L == null)", name)
                .addStatement("writer.nothing()")
                .nextControlFlow("else")
                .addStatement("$L.writeTo(writer)", name)
                .endControlFlow()
                .build();
    }

    private static CodeBlock writer(String type) {
        String method = scalar(type);
        return method != null ? CodeBlock.of("writer::$L", method) : CodeBlock.of("value -> value.writeTo(writer)");
    }

    private static CodeBlock reading(String type) {
        if (type.startsWith("list<")) {
            return CodeBlock.of("reader.list($L)", reader(MessageGenerator.argument(type)));
        }
        if (type.startsWith("map<")) {
            return CodeBlock.of("reader.map($L)", reader(MessageGenerator.argument(type)));
        }
        String method = readScalar(type);
        return method != null
                ? CodeBlock.of("reader.$L()", method)
                : CodeBlock.of("$T.readFrom(reader)", MessageGenerator.typeOf(type));
    }

    private static CodeBlock reader(String type) {
        String method = readScalar(type);
        return method != null
                ? CodeBlock.of("reader::$L", method)
                : CodeBlock.of("() -> $T.readFrom(reader)", MessageGenerator.typeOf(type));
    }

    private static String readScalar(String type) {
        return type.equals("int") ? "smallWhole" : scalar(type);
    }

    /** Name of the method for a type that is no record, else null. */
    private static String scalar(String type) {
        return switch (type) {
            case "string" -> "text";
            case "int", "long" -> "whole";
            case "double" -> "decimal";
            case "boolean" -> "flag";
            case "bytes" -> "bytes";
            default -> null;
        };
    }

    private static CodeBlock absent(String type) {
        if (type.startsWith("list<")) {
            return CodeBlock.of("$T.of()", java.util.List.class);
        }
        if (type.startsWith("map<")) {
            return CodeBlock.of("$T.of()", java.util.Map.class);
        }
        return switch (type) {
            case "string" -> CodeBlock.of("$S", "");
            case "int", "long", "double" -> CodeBlock.of("0");
            case "boolean" -> CodeBlock.of("false");
            case "bytes" -> CodeBlock.of("new byte[0]");
            default -> CodeBlock.of("null");
        };
    }
}
