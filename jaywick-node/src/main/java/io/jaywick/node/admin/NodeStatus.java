package io.jaywick.node.admin;

import java.util.List;

/**
 * State of a node, the response to {@code GET /status}.
 *
 * @param revision active revision, 0 if there is none
 * @param hash hash of the active content, empty if there is none
 * @param lastRejected the last rejected version, or null
 * @param sourceBehind set while the source returns a lower revision than the active one, otherwise null
 * @param conflicts number of contents received under the active revision with another hash
 * @param peers number of live peers
 */
public record NodeStatus(
        String server,
        long revision,
        String hash,
        Rejected lastRejected,
        SourceBehind sourceBehind,
        long conflicts,
        int peers,
        long uptimeMillis) {

    /** A version that the verdict rejected, with one line per problem. */
    public record Rejected(long revision, String hash, List<String> problems) {}

    /** The revisions of the source and of the node. */
    public record SourceBehind(long sourceRevision, long activeRevision) {}
}
