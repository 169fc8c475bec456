package io.jaywick.node.proxy;

import java.util.concurrent.ConcurrentHashMap;

/**
 * Calls in flight at the local target, by call ID and depth. A nested call of the target inherits the remaining time of
 * the call that caused it, and the response to that call reports whether a nested call has used retries. The target
 * only has to propagate the call ID and the depth.
 */
final class ActiveCalls {

    /** One call in flight at the target. */
    static final class ActiveCall {
        final long deadlineNanos;
        /** Whether a nested call was shed, refused or failed, or has already used retries. */
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

    /**
     * Returns the call that caused a nested call of this depth, or null if the depth is 0 or that call is not in flight
     * at the local target.
     */
    ActiveCall findParent(String callId, int depth) {
        return depth == 0 ? null : calls.get(key(callId, depth));
    }

    private static String key(String callId, int nestedDepth) {
        return callId + '/' + nestedDepth;
    }
}
