package io.jaywick.node.settings;

import java.util.List;

import io.jaywick.core.JaywickException;

/** The settings file cannot be read or has invalid settings. The node ends with status 2. */
public final class SettingsException extends JaywickException {

    private final transient List<String> errors;

    public SettingsException(List<String> errors) {
        super(String.join("\n", errors));
        this.errors = List.copyOf(errors);
    }

    /** Every error found, each with file, key or line, value and what is allowed. */
    public List<String> errors() {
        return errors;
    }
}
