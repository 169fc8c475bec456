package io.jaywick.cli.explain;

import java.time.Instant;
import java.util.Map;

/**
 * One line of a node's log.
 *
 * @param requestId null for a line that belongs to no request
 * @param fields remaining fields of the line, in their order in the log
 */
record LogLine(Instant time, String node, String message, String requestId, Map<String, Object> fields) {}
