package io.jaywick.node.proxy;

import java.util.concurrent.ConcurrentHashMap;

/**
 * Calls that the target beside the node is running, by call id and depth. It lets the nested calls of the target
 * inherit the remaining time, and the target's answer tell whether a nested call has used up retries, without help
 * of the target.
 */
final class ActiveCalls {

    /** One call at the target. */
    static final class ActiveCall {
        final long deadlineNanos;
        volatile boolean retriedBelow;

        ActiveCall(long deadlineNanos) {
            this.deadlineNanos = deadlineNanos;
        }
    }

    private final ConcurrentHashMap<String, ActiveCall> calls = new ConcurrentHashMap<>();

    void add(String callId, int nestedDepth, ActiveCall call) {
        calls.put(key(callId, nestedDepth), call);
    }

    void remove(String callId, int nestedDepth, ActiveCall call) {
        calls.remove(key(callId, nestedDepth), call);
    }

    /** Returns the call whose request made a nested call of this depth, or null. */
    ActiveCall findParent(String callId, int depth) {
        return depth == 0 ? null : calls.get(key(callId, depth));
    }

    private static String key(String callId, int nestedDepth) {
        return callId + '/' + nestedDepth;
    }
}
