package io.jaywick.cli.report;

import java.util.Map;
import java.util.stream.Collectors;

/** Texts that several formats share. */
final class Hidden {

    private Hidden() {}

    /** Bound of a gap in words. */
    static String text(long calls, long dispatches, boolean bounded) {
        String known = Figures.count(calls) + " calls, " + Figures.count(dispatches) + " dispatches";
        return bounded ? known : "NOT BOUNDED (known claims: " + known + ")";
    }

    /** Agreed shares with the hours from which they apply. */
    static String shares(Map<String, Integer> shares) {
        return shares.entrySet().stream()
                .map(share -> share.getValue() + " % from " + share.getKey())
                .collect(Collectors.joining(", then "));
    }
}
