package io.jaywick.cli.scenario;

import io.jaywick.core.JaywickException;

/** Thrown when a scenario file is malformed or names an unknown action, promise, server or other value. */
public final class ScenarioException extends JaywickException {

    public ScenarioException(String message) {
        super(message);
    }
}
