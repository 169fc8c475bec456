package io.jaywick.cli.explain;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * What the logs say of one request: its own lines and those of the calls that were made for it, and for each node that wrote one the last things that it came to
 * believe before. Memory is bounded, whatever the size of the logs.
 */
final class RequestTimeline {

    /** A belief that is older than this did not change around the request. */
    static final Duration CONTEXT_WINDOW = Duration.ofSeconds(30);

    /** Beliefs that are kept for each node. */
    private static final int MAX_CONTEXT_LINES_PER_NODE = 20;

    /** A request has a few lines; a wrong id such as a common word must not fill the memory. */
    private static final int MAX_EVENTS = 1_000;

    /** A call that a target makes for a request has an id that begins with the request's id and this. */
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
        if (lastEventTime == null || line.time().isAfter(lastEventTime) || line.time().isBefore(lastEventTime.minus(CONTEXT_WINDOW))) {
            return;
        }
        List<LogLine> kept = contextLines.computeIfAbsent(line.node(), node -> new ArrayList<>());
        kept.add(line);
        if (kept.size() > MAX_CONTEXT_LINES_PER_NODE) {
            kept.remove(kept.stream().min(BY_TIME).orElseThrow());
        }
    }

    /** Lines of the request, oldest first. */
    List<LogLine> events() {
        return events.stream().sorted(BY_TIME).toList();
    }

    /** The last beliefs of a node before its last line of the request, oldest first. */
    List<LogLine> contextLines(String node) {
        return contextLines.getOrDefault(node, List.of()).stream().sorted(BY_TIME).toList();
    }
}
