package io.jaywick.core.gate;

import java.util.HashMap;
import java.util.Map;

/**
 * The requests that run at the local target, by which calls that the target makes for them are recognised. Not
 * thread-safe.
 */
public final class RunningRequests {

    /** Separates the id of a request from the number of a call made for it. */
    private static final char CALL_SEPARATOR = '.';

    private final Map<String, RunningRequest> requests = new HashMap<>();

    /**
     * A running request.
     *
     * @param priority 0 is the highest
     * @param repeated whether it may also have run at another target, or is made by an execution that was repeated
     */
    public record RunningRequest(String route, int priority, boolean repeated) {}

    public void register(String requestId, RunningRequest request) {
        requests.put(requestId, request);
    }

    /** Ends a request; one that was registered later with the same id is still running. */
    public void unregister(String requestId, RunningRequest request) {
        requests.computeIfPresent(requestId, (id, newest) -> newest == request ? null : newest);
    }

    /** Returns the running request that a call from this host is made for, or null. */
    public RunningRequest parentOf(String callRequestId) {
        int separator = callRequestId.lastIndexOf(CALL_SEPARATOR);
        return separator < 0 ? null : requests.get(callRequestId.substring(0, separator));
    }

    /**
     * Returns the priority of a call from this host: that of its route, or of the request it is made for if that is
     * lower. Otherwise many small calls made for less urgent requests would displace more urgent ones.
     */
    public int priorityOf(String callRequestId, int routePriority) {
        RunningRequest parent = parentOf(callRequestId);
        return parent == null ? routePriority : Math.max(parent.priority(), routePriority);
    }
}
