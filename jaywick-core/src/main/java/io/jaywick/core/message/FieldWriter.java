package io.jaywick.core.message;

import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

/** Writes the fields of a message in their order on the wire. Absent strings, byte arrays and records may be null. */
public interface FieldWriter {

    /** Starts a record with the given number of fields; the name of each is followed by its value. */
    void begin(int fields);

    /** Writes the name of a field, or the key of a map entry. */
    void name(String name);

    void text(String value);

    void whole(long value);

    void decimal(double value);

    void flag(boolean value);

    void bytes(byte[] value);

    /** Writes an absent record. */
    void nothing();

    /** Starts a list with the given number of values. */
    void beginList(int values);

    /** Starts a map with the given number of keys; each is followed by its value. */
    void beginMap(int keys);

    /** Writes a list, each value by the given function; null is written as an empty list. */
    default <T> void list(List<T> values, Consumer<T> writeValue) {
        beginList(values == null ? 0 : values.size());
        if (values != null) {
            for (T value : values) {
                writeValue.accept(value);
            }
        }
    }

    /** Writes a map, each value by the given function; null is written as an empty map. */
    default <T> void map(Map<String, T> values, Consumer<T> writeValue) {
        beginMap(values == null ? 0 : values.size());
        if (values != null) {
            values.forEach((key, value) -> {
                name(key);
                writeValue.accept(value);
            });
        }
    }
}
