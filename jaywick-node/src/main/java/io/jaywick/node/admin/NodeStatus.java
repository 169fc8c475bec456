package io.jaywick.node.admin;

import java.util.List;

/**
 * State of a node as {@code GET /status} shows it.
 *
 * @param revision active revision, 0 when the node has none
 * @param hash hash of the active content, empty when the node has none
 * @param lastRejected the last rejected version, or null
 * @param sourceBehind set while the source shows a lower revision than the active one, otherwise null
 * @param conflicts contents seen under the active revision with another hash
 * @param peers live peers
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
