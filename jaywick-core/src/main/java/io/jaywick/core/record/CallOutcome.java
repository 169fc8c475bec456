package io.jaywick.core.record;

/** Outcome of a call as reported to its caller. */
public enum CallOutcome {
    /** The complete response of the target was delivered. */
    ANSWERED("answered"),
    /** The call was refused and did not run. */
    NOT_RUN("not-run"),
    /** The call may or may not have run. */
    UNKNOWN("unknown");

    private final String headerValue;

    CallOutcome(String headerValue) {
        this.headerValue = headerValue;
    }

    /** Value of the header {@code jaywick-outcome}. */
    public String headerValue() {
        return headerValue;
    }
}
