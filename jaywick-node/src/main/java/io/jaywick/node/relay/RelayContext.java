package io.jaywick.node.relay;

import java.util.function.Supplier;

import io.jaywick.core.fleet.FleetView;

/**
 * What the parts of one relay share.
 *
 * @param fleet the newest view
 */
record RelayContext(RelaySettings settings, HeaderNames names, Supplier<FleetView> fleet, NodeRuntime runtime) {

    long nanoTime() {
        return runtime.nanoTime().getAsLong();
    }

    RelayLog log() {
        return runtime.log();
    }
}
