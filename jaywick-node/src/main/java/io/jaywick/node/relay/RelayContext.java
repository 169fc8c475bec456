package io.jaywick.node.relay;

import java.util.function.Supplier;

import io.jaywick.core.fleet.FleetView;

/**
 * Settings and state that the components of one relay share.
 *
 * @param fleet supplier of the newest view
 * @param drainDeadline cap on the deadlines of calls while the node drains
 */
record RelayContext(
        RelaySettings settings,
        HeaderNames names,
        Supplier<FleetView> fleet,
        NodeRuntime runtime,
        DrainDeadline drainDeadline) {

    long nanoTime() {
        return runtime.nanoTime().getAsLong();
    }

    RelayLog log() {
        return runtime.log();
    }
}
