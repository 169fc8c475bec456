package io.jaywick.node.relay;

import java.util.Locale;

/** Instances at which one call was attempted and the result of each, formatted for the log line of a failed call. */
final class CallHistory {

    private final StringBuilder text = new StringBuilder();

    /**
     * Appends the result of an attempt, with the time until a response that the instance expects for a further call, if
     * that time is known and above 0.
     */
    void add(String instanceId, CallResult result) {
        if (text.length() > 0) {
            text.append(' ');
        }
        text.append(instanceId).append('=');
        if (result.outcome() == CallResult.Outcome.ANSWERED) {
            text.append(result.status());
        } else {
            text.append(result.outcome().name().toLowerCase(Locale.ROOT))
                    .append(':')
                    .append(result.reason());
        }
        if (result.expectedMillis() > 0) {
            text.append(":expects").append(result.expectedMillis());
        }
    }

    @Override
    public String toString() {
        return text.toString();
    }
}
