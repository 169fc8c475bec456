package io.jaywick.cli.explain;

import java.time.Instant;
import java.util.Map;

/**
 * One line of a node's log.
 *
 * @param requestId null for a line that is about no request
 * @param fields the other fields of the line, in their order
 */
record LogLine(Instant time, String node, String message, String requestId, Map<String, Object> fields) {}
