package io.jaywick.schema;

/** The schema cannot be read or names an unknown type. */
public final class SchemaException extends RuntimeException {

    public SchemaException(String message) {
        super(message);
    }

    public SchemaException(String message, Throwable cause) {
        super(message, cause);
    }
}
