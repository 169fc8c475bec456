package io.jaywick.cli.explain;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Log lines of one request and of the calls made for it. For each node that logged such a line, it also holds context
 * lines: the last lines without a request id before the node's last line of the request. Memory is bounded, whatever
 * the size of the logs.
 */
final class RequestTimeline {

    /** Maximum age of a context line; older lines do not describe changes around the request. */
    static final Duration CONTEXT_WINDOW = Duration.ofSeconds(30);

    private static final int MAX_CONTEXT_LINES_PER_NODE = 20;

    /** Bounds memory when the given id is a common word; an ordinary request has only a few lines. */
    private static final int MAX_EVENTS = 1_000;

    /** Separates the request's id from the remainder of the id of a call that a target makes for the request. */
    private static final String CALL_ID_SEPARATOR = ".";

    private static final Comparator<LogLine> BY_TIME = Comparator.comparing(LogLine::time);

    private final String requestId;
    private final List<LogLine> events = new ArrayList<>();
    private final Map<String, List<LogLine>> contextLines = new HashMap<>();
    private final Map<String, Instant> lastEventTimeByNode = new HashMap<>();

    RequestTimeline(String requestId) {
        this.requestId = requestId;
    }

    static RequestTimeline read(String requestId, LogFileReader logs) {
        RequestTimeline timeline = new RequestTimeline(requestId);
        logs.read(text -> text.contains(requestId), timeline::addEvent);
        if (!timeline.events.isEmpty()) {
            logs.read(text -> !text.contains(requestId) && !text.contains("\"requestId\""), timeline::addContextLine);
        }
        return timeline;
    }

    private void addEvent(LogLine line) {
        boolean belongsToRequest = requestId.equals(line.requestId())
                || line.requestId() != null && line.requestId().startsWith(requestId + CALL_ID_SEPARATOR);
        if (belongsToRequest && events.size() < MAX_EVENTS) {
            events.add(line);
            lastEventTimeByNode.merge(line.node(), line.time(), (a, b) -> a.isAfter(b) ? a : b);
        }
    }

    private void addContextLine(LogLine line) {
        Instant lastEventTime = lastEventTimeByNode.get(line.node());
        if (lastEventTime == null
                || line.time().isAfter(lastEventTime)
                || line.time().isBefore(lastEventTime.minus(CONTEXT_WINDOW))) {
            return;
        }
        List<LogLine> kept = contextLines.computeIfAbsent(line.node(), node -> new ArrayList<>());
        kept.add(line);
        if (kept.size() > MAX_CONTEXT_LINES_PER_NODE) {
            kept.remove(kept.stream().min(BY_TIME).orElseThrow());
        }
    }

    /** Lines of the request and of the calls made for it, oldest first. */
    List<LogLine> events() {
        return events.stream().sorted(BY_TIME).toList();
    }

    /** Context lines of a node, oldest first. */
    List<LogLine> contextLines(String node) {
        return contextLines.getOrDefault(node, List.of()).stream()
                .sorted(BY_TIME)
                .toList();
    }
}
