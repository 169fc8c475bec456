package io.jaywick.node.relay;

import java.util.Locale;

/** The instances that one call was offered to and what each said, as the line that explains a failure has it. */
final class CallHistory {

    private final StringBuilder text = new StringBuilder();

    /** Adds how the call ended at an instance, with the milliseconds that the instance expects to need for the next one. */
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
