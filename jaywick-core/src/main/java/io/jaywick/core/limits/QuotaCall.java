package io.jaywick.core.limits;

/** A call that asks for a token of its account. Exactly one method is called, once, unless the call is cancelled. */
public interface QuotaCall {

    void admitted();

    /** The call is refused. Tokens are expected after the given time. */
    void refused(long retryAfterMillis);
}
