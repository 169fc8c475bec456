package io.jaywick.cli.scenario;

import io.jaywick.core.JaywickException;

/** A scenario file is malformed, or names an action, promise or server that does not exist. */
public final class ScenarioException extends JaywickException {

    public ScenarioException(String message) {
        super(message);
    }
}
