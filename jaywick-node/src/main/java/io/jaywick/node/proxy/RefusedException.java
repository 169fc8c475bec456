package io.jaywick.node.proxy;

import io.jaywick.core.routing.RefusalReason;

/** A call was refused before or while it waited for a slot. It was not executed. */
final class RefusedException extends ProxyException {

    private final RefusalReason reason;

    RefusedException(RefusalReason reason) {
        super(reason.headerValue());
        this.reason = reason;
    }

    RefusalReason reason() {
        return reason;
    }

    /** Records no stack trace, because refusals are frequent under overload. */
    @Override
    public synchronized Throwable fillInStackTrace() {
        return this;
    }
}
