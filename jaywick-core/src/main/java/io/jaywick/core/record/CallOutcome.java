package io.jaywick.core.record;

/** What jaywick tells the caller of a call. */
public enum CallOutcome {
    /** The target's answer was delivered whole. */
    ANSWERED("answered"),
    /** The call was refused and did not run. */
    NOT_RUN("not-run"),
    /** The call may have run. */
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
