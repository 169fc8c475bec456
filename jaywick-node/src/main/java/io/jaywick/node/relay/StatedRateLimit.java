package io.jaywick.node.relay;

import java.util.List;

/**
 * Limit on the calls of all nodes together that a target names in a response.
 *
 * @param header name of the header as received
 * @param text value of the header
 * @param callsPerSecond 0 or more; {@link Double#NaN} if the text is no such number
 */
record StatedRateLimit(String header, String text, double callsPerSecond) {

    /**
     * Returns the limit that a response names, or null if it has no such header.
     *
     * @param headers alternating names and values
     * @param names names of the header, of which the first one that is present counts
     */
    static StatedRateLimit find(List<String> headers, List<String> names) {
        for (String name : names) {
            String value = HopHeaders.find(headers, name);
            if (value != null) {
                return new StatedRateLimit(name, value, parse(value));
            }
        }
        return null;
    }

    /** Returns the calls per second that a text states, or {@link Double#NaN} if it is no finite number from 0 on. */
    static double parse(String text) {
        try {
            double value = Double.parseDouble(text.trim());
            return value >= 0 && Double.isFinite(value) ? value : Double.NaN;
        } catch (NumberFormatException e) {
            return Double.NaN;
        }
    }

    boolean isValid() {
        return !Double.isNaN(callsPerSecond);
    }
}
