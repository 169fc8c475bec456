package io.jaywick.core.record;

import java.util.Map;

/**
 * Agreed shares of the table revision that is active at a node.
 *
 * @param revision revision of the active table
 * @param hour hours since 1970-01-01T00:00Z
 * @param percents agreed share in percent by party; contains only the parties whose home regions allow the
 *     node's region
 */
public record AgreedShares(long revision, long hour, Map<String, Integer> percents) {}
