package io.jaywick.core.routing;

/** Reason for which a call was refused without being run, as sent in the header {@code jaywick-reason}. */
public enum RefusalReason {
    NO_ROUTE("no-route"),
    NO_TARGET("no-target"),
    UNKNOWN_PARTY("unknown-party"),
    OUTSIDE_HOME_REGIONS("outside-home-regions"),
    DATA_CENTRE_OUT("data-centre-out"),
    DRAINING("draining"),
    COLD("cold"),
    OVERLOADED("overloaded"),
    PARTY_LIMIT("party-limit"),
    DEADLINE("deadline"),
    SUSPECT("suspect"),
    NO_TABLE("no-table"),
    DUPLICATE_KEY("duplicate-key"),
    /** No record line can be written, so the usage of the call could not be counted. */
    NO_RECORD("no-record");

    private static final RefusalReason[] VALUES = values();

    private final String headerValue;

    RefusalReason(String headerValue) {
        this.headerValue = headerValue;
    }

    /** Returns the value of the header {@code jaywick-reason}. */
    public String headerValue() {
        return headerValue;
    }

    /** Returns the reason with this header value, or null if there is none. */
    public static RefusalReason byHeaderValue(String value) {
        for (RefusalReason reason : VALUES) {
            if (reason.headerValue.equals(value)) {
                return reason;
            }
        }
        return null;
    }

    /** Returns whether another target may accept the call. */
    public boolean mayBeAcceptedElsewhere() {
        return switch (this) {
            case DATA_CENTRE_OUT, DRAINING, COLD, OVERLOADED, NO_TABLE, NO_ROUTE, NO_TARGET, NO_RECORD -> true;
            default -> false;
        };
    }
}
