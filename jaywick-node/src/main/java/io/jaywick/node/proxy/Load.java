package io.jaywick.node.proxy;

/**
 * Value of the header {@code jaywick-load}.
 *
 * @param inFlight number of calls that hold a slot or wait for one
 * @param slots slots of the target according to the table
 * @param limit number of concurrent calls that the node currently admits
 */
record Load(int inFlight, int slots, int limit) {

    private static final int FIELDS = 3;
    private static final int MAX_DIGITS = 7;

    String headerValue() {
        return inFlight + "," + slots + "," + limit;
    }

    /** Parses a header value. Returns null if it is malformed, because an invalid load must not fail the call. */
    static Load parse(String value) {
        if (value == null) {
            return null;
        }
        int[] fields = new int[FIELDS];
        int field = 0;
        int digits = 0;
        for (int i = 0; i < value.length(); i++) {
            char c = value.charAt(i);
            if (c == ',' && digits > 0 && field < FIELDS - 1) {
                field++;
                digits = 0;
            } else if (c >= '0' && c <= '9' && digits < MAX_DIGITS) {
                fields[field] = fields[field] * 10 + c - '0';
                digits++;
            } else {
                return null;
            }
        }
        return field == FIELDS - 1 && digits > 0 ? new Load(fields[0], fields[1], fields[2]) : null;
    }
}
