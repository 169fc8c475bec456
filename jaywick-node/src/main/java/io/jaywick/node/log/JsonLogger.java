package io.jaywick.node.log;

import java.io.IOException;
import java.io.PrintWriter;
import java.io.StringWriter;
import java.io.UncheckedIOException;
import java.text.MessageFormat;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.ResourceBundle;
import java.util.function.Consumer;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;

/**
 * Logger that writes one JSON object per line with the fields time, level, logger, message, node, error, then the
 * {@link LogField} parameters. A parameter can override the fixed field node, but not the value of another fixed
 * field.
 */
final class JsonLogger implements System.Logger {

    /** Without data binding, whose serializers cost processor time at the first lines of a process. */
    private static final JsonFactory JSON = new JsonFactory();

    private final String name;
    private final Level threshold;
    private final InstantSource clock;
    private final Consumer<String> lineConsumer;

    JsonLogger(String name, Level threshold, InstantSource clock, Consumer<String> lines) {
        this.name = name;
        this.threshold = threshold;
        this.clock = clock;
        this.lineConsumer = lines;
    }

    @Override
    public String getName() {
        return name;
    }

    @Override
    public boolean isLoggable(Level level) {
        return level != Level.OFF && level.getSeverity() >= threshold.getSeverity();
    }

    @Override
    public void log(Level level, ResourceBundle bundle, String message, Throwable error) {
        if (isLoggable(level)) {
            write(level, message, error, List.of());
        }
    }

    @Override
    public void log(Level level, ResourceBundle bundle, String format, Object... params) {
        if (!isLoggable(level)) {
            return;
        }
        List<Object> arguments = new ArrayList<>();
        List<LogField> fields = new ArrayList<>();
        Throwable error = null;
        for (Object param : params == null ? new Object[0] : params) {
            if (param instanceof LogField field) {
                fields.add(field);
            } else if (param instanceof Throwable throwable) {
                error = throwable;
            } else {
                arguments.add(param);
            }
        }
        write(level, formatMessage(format, arguments), error, fields);
    }

    private static String formatMessage(String format, List<Object> arguments) {
        if (arguments.isEmpty() || format == null) {
            return format;
        }
        try {
            return MessageFormat.format(format, arguments.toArray());
        } catch (IllegalArgumentException e) {
            return format + " " + arguments;
        }
    }

    private void write(Level level, String message, Throwable error, List<LogField> fields) {
        Map<String, Object> line = new LinkedHashMap<>();
        line.put("time", Instant.ofEpochMilli(clock.millis()).toString());
        line.put("level", level.getName());
        line.put("logger", name);
        line.put("message", message);
        line.put("node", JsonLoggerFinder.node());
        line.put("error", error == null ? null : stackTrace(error));
        for (LogField field : fields) {
            if (field.name().equals("node")) {
                line.put("node", toJsonValue(field.value()));
            } else {
                line.putIfAbsent(field.name(), toJsonValue(field.value()));
            }
        }
        line.values().removeIf(value -> value == null);
        lineConsumer.accept(toJson(line));
    }

    private static String toJson(Map<String, Object> line) {
        StringWriter text = new StringWriter();
        try (JsonGenerator json = JSON.createGenerator(text)) {
            json.writeStartObject();
            for (Map.Entry<String, Object> field : line.entrySet()) {
                json.writeFieldName(field.getKey());
                writeValue(json, field.getValue());
            }
            json.writeEndObject();
        } catch (IOException e) {
            throw new UncheckedIOException("log line cannot be written as JSON", e);
        }
        return text.toString();
    }

    private static void writeValue(JsonGenerator json, Object value) throws IOException {
        if (value instanceof Boolean flag) {
            json.writeBoolean(flag);
        } else if (value instanceof Double || value instanceof Float) {
            json.writeNumber(((Number) value).doubleValue());
        } else if (value instanceof Number) {
            json.writeNumber(value.toString());
        } else {
            json.writeString((String) value);
        }
    }

    private static Object toJsonValue(Object value) {
        return value instanceof Number || value instanceof Boolean ? value : String.valueOf(value);
    }

    private static String stackTrace(Throwable error) {
        StringWriter text = new StringWriter();
        error.printStackTrace(new PrintWriter(text, true));
        return text.toString();
    }
}
