package io.jaywick.core.message;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Supplier;

/**
 * Gives the fields of a message in their order on the wire. An absent value is read as an empty text, empty bytes, an
 * empty list or map, zero or false. A value of another type than the one asked for is a fault, told by a runtime
 * exception.
 */
public interface FieldReader {

    /** Returns the number of fields of the record that follows, or -1 when it is absent. */
    int begin();

    /** Reads the name of a field, or a key. */
    String name();

    String text();

    long whole();

    double decimal();

    boolean flag();

    byte[] bytes();

    /** Returns the number of values of the list that follows. */
    int beginList();

    /** Returns the number of keys of the map that follows. */
    int beginMap();

    /** Skips a value of any type. */
    void skip();

    /** Reads a whole number that fits an int. */
    default int smallWhole() {
        return Math.toIntExact(whole());
    }

    /** Reads a list with the given way to read one value. */
    default <T> List<T> list(Supplier<T> readValue) {
        int values = beginList();
        List<T> list = new ArrayList<>();
        for (int i = 0; i < values; i++) {
            list.add(readValue.get());
        }
        return list;
    }

    /** Reads a map with the given way to read one value. */
    default <T> Map<String, T> map(Supplier<T> readValue) {
        int keys = beginMap();
        Map<String, T> map = new LinkedHashMap<>();
        for (int i = 0; i < keys; i++) {
            map.put(name(), readValue.get());
        }
        return map;
    }
}
