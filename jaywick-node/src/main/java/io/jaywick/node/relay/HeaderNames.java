package io.jaywick.node.relay;

import java.util.List;

/**
 * Names of the HTTP headers that have a meaning to the node; they depend on the deployment.
 *
 * @param requestId id of a request as sent once by a caller; echoed in the response
 * @param deadlineMillis time for which the sender waits for the response, in milliseconds
 * @param answerStamp present in every response that a target generated
 * @param expectedInstance id of the only instance that may execute the call
 * @param notExecuted present in responses of a target that did not execute the call
 * @param callerService service of the node that received the call from its local caller
 * @param instanceId id of the instance that responded
 * @param coldMillis remaining time for which the instance is cold, in milliseconds
 * @param rateLimit calls per second that the instance accepts from all nodes together, present while it has a limit;
 *     several names of the same header
 * @param leaving with the value 1 in responses of an instance that accepts no further calls; several names of the same
 *     header
 * @param credential key of a client account, in requests of callers; it is never forwarded while there are accounts
 * @param account name of the client account to which the key of a request belongs, in requests to targets
 */
public record HeaderNames(
        String requestId,
        String deadlineMillis,
        String answerStamp,
        String expectedInstance,
        String notExecuted,
        String callerService,
        String instanceId,
        String coldMillis,
        List<String> rateLimit,
        List<String> leaving,
        String credential,
        String account) {

    private static final String LEAVING_VALUE = "1";

    /** Returns the names of the headers that most calls and responses have. */
    List<String> ofMostCalls() {
        return List.of(instanceId, callerService, answerStamp, requestId);
    }

    /**
     * Returns the name of the header by which an instance states that it leaves, or null if the response has no such
     * statement.
     *
     * @param headers alternating names and values
     */
    String findLeaving(List<String> headers) {
        for (String name : leaving) {
            String value = HopHeaders.find(headers, name);
            if (value != null && value.trim().equals(LEAVING_VALUE)) {
                return name;
            }
        }
        return null;
    }
}
