package io.jaywick.core.gate;

import java.util.HashMap;
import java.util.Map;

/**
 * Priorities of the requests that run at the local target. A call that the target makes for one of them has at most the
 * priority of that request; otherwise many small calls made for less urgent requests would displace more urgent ones.
 * Not thread-safe.
 */
public final class RunningRequestPriorities {

    /** Separates the id of a request from the number of a call made for it. */
    private static final char CALL_SEPARATOR = '.';

    private final Map<String, Integer> priorities = new HashMap<>();

    /** Registers a running request; 0 is the highest priority. */
    public void register(String requestId, int priority) {
        priorities.put(requestId, priority);
    }

    public void unregister(String requestId) {
        priorities.remove(requestId);
    }

    /**
     * Returns the priority of a call from this host: that of its route, or of the request it is made for if that is
     * lower.
     */
    public int priorityOf(String requestId, int routePriority) {
        int separator = requestId.lastIndexOf(CALL_SEPARATOR);
        Integer parent = separator < 0 ? null : priorities.get(requestId.substring(0, separator));
        return parent == null ? routePriority : Math.max(parent, routePriority);
    }
}
