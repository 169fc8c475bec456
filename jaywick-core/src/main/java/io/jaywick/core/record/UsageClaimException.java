package io.jaywick.core.record;

import io.jaywick.core.JaywickException;

/**
 * Thrown when no claim covers a call because no record line can be written. The call must be refused as not run.
 */
public final class UsageClaimException extends JaywickException {

    public UsageClaimException(String message, Throwable cause) {
        super(message, cause);
    }
}
