package io.jaywick.core.message;

import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

/** Takes the fields of a message in their order on the wire. Absent texts, bytes and records may be null. */
public interface FieldWriter {

    /** Starts a record of so many fields; the name of each is followed by its value. */
    void begin(int fields);

    /** Writes the name of a field, or a key. */
    void name(String name);

    void text(String value);

    void whole(long value);

    void decimal(double value);

    void flag(boolean value);

    void bytes(byte[] value);

    /** Writes the value of an absent record. */
    void nothing();

    /** Starts a list of so many values. */
    void beginList(int values);

    /** Starts a map of so many keys, each followed by its value. */
    void beginMap(int keys);

    /** Writes a list with the given way to write one value; a null list counts as an empty one. */
    default <T> void list(List<T> values, Consumer<T> writeValue) {
        beginList(values == null ? 0 : values.size());
        if (values != null) {
            for (T value : values) {
                writeValue.accept(value);
            }
        }
    }

    /** Writes a map with the given way to write one value; a null map counts as an empty one. */
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
