package io.jaywick.node.relay;

import io.jaywick.core.fleet.Instance;
import io.jaywick.core.placement.AttemptPlan;
import io.jaywick.core.placement.AttemptPurpose;

/** A call at one instance until its result. */
final class Attempt {

    private final AttemptPlan.Choice choice;
    private final long startNanos;
    private PendingCall pending;

    Attempt(AttemptPlan.Choice choice, long startNanos) {
        this.choice = choice;
        this.startNanos = startNanos;
    }

    /** Notes the handle that ends the call there. */
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
