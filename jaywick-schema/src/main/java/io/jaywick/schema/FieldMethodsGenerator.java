package io.jaywick.schema;

import javax.lang.model.element.Modifier;

import com.palantir.javapoet.ClassName;
import com.palantir.javapoet.CodeBlock;
import com.palantir.javapoet.MethodSpec;

/**
 * Generates the methods that write and read the fields of one record. A node calls them only a few hundred times while
 * it starts, where plain code costs less than reflection.
 */
final class FieldMethodsGenerator {

    static final ClassName WRITER = ClassName.get("io.jaywick.core.message", "FieldWriter");
    static final ClassName READER = ClassName.get("io.jaywick.core.message", "FieldReader");

    private final ClassName record;
    private final boolean isMessage;
    private final CodeBlock.Builder writeStatements = CodeBlock.builder();
    private final CodeBlock.Builder variableDeclarations = CodeBlock.builder();
    private final CodeBlock.Builder readCases = CodeBlock.builder();
    private final CodeBlock.Builder constructorArguments = CodeBlock.builder();
    private int fieldCount;

    FieldMethodsGenerator(ClassName record, boolean isMessage) {
        this.record = record;
        this.isMessage = isMessage;
    }

    void addField(String type, String name) {
        writeStatements.addStatement("writer.name($S)", name);
        writeStatements.add(writeCode(type, name));
        variableDeclarations.addStatement("$T $L = $L", MessageGenerator.typeOf(type), name, defaultValue(type));
        readCases.add("case $S -> $L = $L;\n", name, name, readExpression(type));
        constructorArguments.add(fieldCount == 0 ? "$L" : ", $L", name);
        fieldCount++;
    }

    MethodSpec writeMethod() {
        MethodSpec.Builder method = MethodSpec.methodBuilder("writeTo")
                .addModifiers(Modifier.PUBLIC)
                .addParameter(WRITER, "writer")
                .addStatement("writer.begin($L)", fieldCount)
                .addCode(writeStatements.build());
        if (isMessage) {
            method.addAnnotation(Override.class);
        } else {
            method.addJavadoc("Writes all fields in the order of the schema.\n");
        }
        return method.build();
    }

    MethodSpec readMethod() {
        return MethodSpec.methodBuilder("readFrom")
                .addModifiers(Modifier.PUBLIC, Modifier.STATIC)
                .addJavadoc(
                        "Reads the fields in any order and skips unknown ones. Returns null when the record is absent.\n")
                .returns(record)
                .addParameter(READER, "reader")
                .addStatement("int remainingFields = reader.begin()")
                .beginControlFlow("if (remainingFields < 0)")
                .addStatement("return null")
                .endControlFlow()
                .addCode(variableDeclarations.build())
                .beginControlFlow("for (; remainingFields > 0; remainingFields--)")
                .beginControlFlow("switch (reader.name())")
                .addCode(readCases.build())
                .addCode("default -> reader.skip();\n")
                .endControlFlow()
                .endControlFlow()
                .addStatement("return new $T($L)", record, constructorArguments.build())
                .build();
    }

    private static CodeBlock writeCode(String type, String name) {
        if (type.startsWith("list<")) {
            return CodeBlock.of("writer.list($L, $L);\n", name, elementWriter(MessageGenerator.typeArgument(type)));
        }
        if (type.startsWith("map<")) {
            return CodeBlock.of("writer.map($L, $L);\n", name, elementWriter(MessageGenerator.typeArgument(type)));
        }
        String method = scalarWriteMethod(type);
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

    private static CodeBlock elementWriter(String type) {
        String method = scalarWriteMethod(type);
        return method != null ? CodeBlock.of("writer::$L", method) : CodeBlock.of("value -> value.writeTo(writer)");
    }

    private static CodeBlock readExpression(String type) {
        if (type.startsWith("list<")) {
            return CodeBlock.of("reader.list($L)", elementReader(MessageGenerator.typeArgument(type)));
        }
        if (type.startsWith("map<")) {
            return CodeBlock.of("reader.map($L)", elementReader(MessageGenerator.typeArgument(type)));
        }
        String method = scalarReadMethod(type);
        return method != null
                ? CodeBlock.of("reader.$L()", method)
                : CodeBlock.of("$T.readFrom(reader)", MessageGenerator.typeOf(type));
    }

    private static CodeBlock elementReader(String type) {
        String method = scalarReadMethod(type);
        return method != null
                ? CodeBlock.of("reader::$L", method)
                : CodeBlock.of("() -> $T.readFrom(reader)", MessageGenerator.typeOf(type));
    }

    private static String scalarReadMethod(String type) {
        return type.equals("int") ? "smallWhole" : scalarWriteMethod(type);
    }

    /** Returns the name of the write method for a type other than a list, map or record, for those null. */
    private static String scalarWriteMethod(String type) {
        return switch (type) {
            case "string" -> "text";
            case "int", "long" -> "whole";
            case "double" -> "decimal";
            case "boolean" -> "flag";
            case "bytes" -> "bytes";
            default -> null;
        };
    }

    private static CodeBlock defaultValue(String type) {
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
