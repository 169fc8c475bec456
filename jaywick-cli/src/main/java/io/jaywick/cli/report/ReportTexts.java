package io.jaywick.cli.report;

import java.util.Map;
import java.util.stream.Collectors;

/** Texts used by several report formats. */
final class ReportTexts {

    private ReportTexts() {}

    /** Maximum missing usage as text. */
    static String hiddenUsage(long calls, long dispatches, boolean bounded) {
        String known = FigureFormat.count(calls) + " calls, " + FigureFormat.count(dispatches) + " dispatches";
        return bounded ? known : "NOT BOUNDED (known claims: " + known + ")";
    }

    /** Agreed shares with the hours from which they apply. */
    static String agreedShares(Map<String, Integer> shares) {
        return shares.entrySet().stream()
                .map(share -> share.getValue() + " % from " + share.getKey())
                .collect(Collectors.joining(", then "));
    }
}
