package io.jaywick.node.proxy;

import io.jaywick.core.routing.RefusalReason;

/** A call was refused while it waited for a slot. It did not run. */
final class RefusedException extends ProxyException {

    private final RefusalReason reason;

    RefusedException(RefusalReason reason) {
        super(reason.headerValue());
        this.reason = reason;
    }

    RefusalReason reason() {
        return reason;
    }

    /** Refusals are frequent under overload and need no stack trace. */
    @Override
    public synchronized Throwable fillInStackTrace() {
        return this;
    }
}
