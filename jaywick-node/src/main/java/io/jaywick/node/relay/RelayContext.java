package io.jaywick.node.relay;

import java.util.function.Supplier;

import io.jaywick.core.fleet.FleetView;

/**
 * What the parts of one relay share.
 *
 * @param fleet the newest view
 * @param drainDeadline when the node ends, once it leaves
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
