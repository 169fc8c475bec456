package io.jaywick.core.message;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Supplier;

/**
 * Reads the fields of a message in their order on the wire. An absent value is read as an empty string, an empty byte
 * array, an empty list or map, zero or false. A value of a type other than the requested one causes a runtime
 * exception.
 */
public interface FieldReader {

    /** Starts a record and returns its number of fields, or -1 when the record is absent. */
    int begin();

    /** Reads the name of a field, or the key of a map entry. */
    String name();

    String text();

    long whole();

    double decimal();

    boolean flag();

    byte[] bytes();

    /** Starts a list and returns its number of values. */
    int beginList();

    /** Starts a map and returns its number of keys. */
    int beginMap();

    /** Skips a value of any type. */
    void skip();

    /**
     * Reads a whole number as an int.
     *
     * @throws ArithmeticException when it does not fit an int
     */
    default int smallWhole() {
        return Math.toIntExact(whole());
    }

    /** Reads a list, each value by the given function. */
    default <T> List<T> list(Supplier<T> readValue) {
        int values = beginList();
        List<T> list = new ArrayList<>();
        for (int i = 0; i < values; i++) {
            list.add(readValue.get());
        }
        return list;
    }

    /** Reads a map, each value by the given function. */
    default <T> Map<String, T> map(Supplier<T> readValue) {
        int keys = beginMap();
        Map<String, T> map = new LinkedHashMap<>();
        for (int i = 0; i < keys; i++) {
            map.put(name(), readValue.get());
        }
        return map;
    }
}
