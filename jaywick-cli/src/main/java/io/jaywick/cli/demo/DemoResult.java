package io.jaywick.cli.demo;

import java.util.List;

/**
 * Result of a demonstration, with the keys that {@code --json} prints.
 *
 * @param ok true when every promise held
 * @param newWorkToOutDataCentreAfterMillis time from publishing the evacuation to the start of the last call on a
 *     target of the evacuated data centre
 * @param controlBytesPerNode bytes of the frames between nodes, sent and received, averaged over the nodes
 * @param sourceCalls calls of all nodes to the configuration service
 * @param broken one message for each violation of a promise
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
     * One published edit of the table.
     *
     * @param accepted for a valid edit, true when every node adopted it in time; for an invalid one, false when a node
     *     reported the rejection and none adopted it
     * @param convergenceMillis time from publishing until the last node adopted the revision or, for an invalid one,
     *     until the first node reported the rejection; the waiting time when this did not happen
     */
    record Edit(long revision, boolean accepted, long convergenceMillis) {}

    /**
     * Counts of calls as their callers saw them.
     *
     * @param refusedNotRun calls refused with the outcome that guarantees that no target ran them
     * @param failed calls that were neither answered nor refused in this way
     * @param ranTwice calls to a route that is not idempotent that targets ran more than once
     */
    record Calls(long sent, long answered, long refusedNotRun, long failed, long ranTwice) {}
}
