package io.jaywick.core.rules;

/**
 * Whether a call is accepted from its caller.
 *
 * @param account account to which the key of the call belongs, or null
 * @param terms terms of an accepted call, otherwise null
 */
public record CallerDecision(Outcome outcome, ClientAccount account, CallTerms terms) {

    /** The labels appear in responses, log lines and metrics. */
    public enum Outcome {
        ACCEPTED("accepted"),
        NO_KEY("no-key"),
        SEVERAL_KEYS("several-keys"),
        UNKNOWN_KEY("unknown-key"),
        UNVERIFIED_KEY("unverified-key"),
        NO_COMMON_REGION("no-common-region");

        private final String label;

        Outcome(String label) {
            this.label = label;
        }

        public String label() {
            return label;
        }

        /** Whether the call is refused because it has no valid key. */
        public boolean lacksKey() {
            return this == NO_KEY || this == SEVERAL_KEYS || this == UNKNOWN_KEY;
        }
    }

    static CallerDecision accepted(CallTerms terms) {
        return new CallerDecision(Outcome.ACCEPTED, terms.account(), terms);
    }

    static CallerDecision refused(Outcome outcome, ClientAccount account) {
        return new CallerDecision(outcome, account, null);
    }

    public boolean isAccepted() {
        return outcome == Outcome.ACCEPTED;
    }
}
