package io.jaywick.cli.report;

import java.util.List;

/** Notes on the limits of accuracy, printed in every report. */
final class ReportNotes {

    private ReportNotes() {}

    static List<String> all() {
        return List.of(
                "Counted figures are never too high. They may be too low by at most the hidden calls and dispatches.",
                "Any hidden call may belong to any party, so the bound for the total is also the bound for each party.",
                "Bytes and slot time of hidden calls are not known and are not estimated.",
                "The bound holds when a process lost at most its last 2 written lines, or when a peer's line states "
                        + "the later claims. Longer losses at the end of a process that no peer saw stay undetected.",
                "A process stays undetected when no line of it remains and no peer's line names it. It can only have run "
                        + "in a time listed as without lines, in a gap between two processes shorter than 5 minutes, or "
                        + "concurrently with another process of its server.",
                "Slot time is the basis of the shares. An hour without a known agreed share is left out of the "
                        + "comparison and counted.");
    }
}
