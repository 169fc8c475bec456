package io.jaywick.core.record;

import io.jaywick.core.JaywickException;

/** A call cannot be covered by a claim because no line can be written; it must be refused as not run. */
public final class UsageClaimException extends JaywickException {

    public UsageClaimException(String message, Throwable cause) {
        super(message, cause);
    }
}
