package io.jaywick.cli.demo;

import java.util.List;

/**
 * Result of a demonstration, with the keys that {@code --json} prints.
 *
 * @param ok true when every promise held
 * @param newWorkToOutDataCentreAfterMillis time from publishing the edit to the last call that a target of the data
 *     centre began
 * @param controlBytesPerNode frames between nodes, sent and received, of an average node
 * @param sourceCalls calls of all nodes to the configuration service
 * @param broken promises that did not hold
 */
record DemoResult(
        boolean ok,
        String fleet,
        int nodes,
        List<Edit> edits,
        Calls calls,
        long newWorkToOutDataCentreAfterMillis,
        long controlBytesPerNode,
        long sourceCalls,
        List<String> broken) {

    /**
     * One edit.
     *
     * @param convergenceMillis until the last node held it or, for a rejected one, until a reader had rejected it
     */
    record Edit(long revision, boolean accepted, long convergenceMillis) {}

    /**
     * Calls as their callers saw them.
     *
     * @param failed calls without an answer that were not refused as not run
     * @param ranTwice calls to a route that is not idempotent which targets ran more than once
     */
    record Calls(long sent, long answered, long refusedNotRun, long failed, long ranTwice) {}
}
