package io.jaywick.core.record;

import java.io.IOException;
import java.util.HashMap;
import java.util.Map;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;

/** Reads the values of record lines and interns names, which repeat in most lines. Not thread safe. */
final class RecordValueReader {

    private static final int MAX_POOLED_NAMES = 100_000;

    private final Map<String, String> names = new HashMap<>();

    static void requireToken(JsonParser parser, JsonToken token) throws IOException {
        if (parser.currentToken() != token) {
            throw new RecordLineException("field '" + parser.currentName() + "' has the wrong type");
        }
    }

    static long readCount(JsonParser parser) throws IOException {
        requireToken(parser, JsonToken.VALUE_NUMBER_INT);
        long value = parser.getLongValue();
        if (value < 0) {
            throw new RecordLineException("field '" + parser.currentName() + "' is negative");
        }
        return value;
    }

    static String readText(JsonParser parser) throws IOException {
        requireToken(parser, JsonToken.VALUE_STRING);
        return parser.getText();
    }

    String readName(JsonParser parser) throws IOException {
        return intern(readText(parser));
    }

    String intern(String name) {
        String known = names.get(name);
        if (known != null) {
            return known;
        }
        if (names.size() < MAX_POOLED_NAMES) {
            names.put(name, name);
        }
        return name;
    }
}
