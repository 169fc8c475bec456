package io.jaywick.node.relay;

import java.util.function.Consumer;

import io.jaywick.core.message.ForwardCall;

/**
 * Sends calls to one instance. The result is delivered exactly once unless the call is cancelled, possibly before the
 * method returns.
 */
@FunctionalInterface
interface CallTarget {

    PendingCall send(ForwardCall call, Consumer<CallResult> onResult);
}
