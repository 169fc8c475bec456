package io.jaywick.node.relay;

import io.jaywick.core.fleet.Instance;
import io.jaywick.core.placement.AttemptPlan;
import io.jaywick.core.placement.AttemptPurpose;

/** One attempt of a call at one instance, until its result. */
final class Attempt {

    private final AttemptPlan.Choice choice;
    private final long startNanos;
    private PendingCall pending;

    Attempt(AttemptPlan.Choice choice, long startNanos) {
        this.choice = choice;
        this.startNanos = startNanos;
    }

    /** Sets the handle that cancels the attempt. */
    void setPending(PendingCall handle) {
        pending = handle;
    }

    void cancel() {
        pending.cancel();
    }

    Instance instance() {
        return choice.instance();
    }

    AttemptPurpose purpose() {
        return choice.purpose();
    }

    long startNanos() {
        return startNanos;
    }
}
