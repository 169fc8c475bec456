package io.jaywick.node.log;

/**
 * A named field of a log line, passed as a parameter of {@link System.Logger#log(System.Logger.Level, String, Object...)}.
 */
public record LogField(String name, Object value) {

    public static LogField of(String name, Object value) {
        return new LogField(name, value);
    }
}
