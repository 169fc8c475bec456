package io.jaywick.schema;

/** Thrown when the schema cannot be read or is invalid, or when the generator is called with wrong arguments. */
public final class SchemaException extends RuntimeException {

    public SchemaException(String message) {
        super(message);
    }

    public SchemaException(String message, Throwable cause) {
        super(message, cause);
    }
}
