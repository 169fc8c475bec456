package io.jaywick.core.record;

import java.util.Map;

/**
 * Agreed shares in force at a node.
 *
 * @param revision table revision
 * @param hour hours since 1970-01-01T00:00Z
 * @param percents agreed share in percent by party; only parties that may be named in the node's region
 */
public record AgreedShares(long revision, long hour, Map<String, Integer> percents) {}
