package io.jaywick.node.settings;

import java.util.List;

import io.jaywick.core.JaywickException;

/** The settings file cannot be read or has invalid settings. The node exits with status 2. */
public final class SettingsException extends JaywickException {

    private final transient List<String> errors;

    public SettingsException(List<String> errors) {
        super(String.join("\n", errors));
        this.errors = List.copyOf(errors);
    }

    /** Returns all errors found, each with the file, the key or line, the value and the allowed values. */
    public List<String> errors() {
        return errors;
    }
}
