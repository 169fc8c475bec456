package io.jaywick.node.relay;

import java.util.function.Consumer;

import io.jaywick.core.message.ForwardCall;

/** Takes a call to one instance. The result comes exactly once, possibly before the method returns. */
@FunctionalInterface
interface CallTarget {

    PendingCall send(ForwardCall call, Consumer<CallResult> onResult);
}
