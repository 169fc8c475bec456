package io.jaywick.core.gate;

/**
 * What the place of a call in the queue of a target depends on.
 *
 * @param priority 0 is the highest
 * @param objectiveNanos latency objective in monotonic time: until then an answer has its full value
 * @param deadlineNanos deadline in monotonic time: after it an answer has no value
 */
public record CallUrgency(String route, int priority, long objectiveNanos, long deadlineNanos) {}
