package io.jaywick.node.relay;

/**
 * Names of the headers that a deployment gives their meaning.
 *
 * @param requestId id of one attempt of a caller; echoed in the answer
 * @param deadlineMillis time that the sender will wait
 * @param answerStamp present in every answer that a target made
 * @param expectedInstance the only instance that may run the call
 * @param notExecuted present in answers of targets that did not run the call
 * @param callerService service beside the node at which the call began
 * @param instanceId instance that answered
 * @param coldMillis how long the instance stays cold
 */
public record HeaderNames(
        String requestId,
        String deadlineMillis,
        String answerStamp,
        String expectedInstance,
        String notExecuted,
        String callerService,
        String instanceId,
        String coldMillis) {}
