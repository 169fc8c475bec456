package io.jaywick.cli.bench;

import io.jaywick.core.snapshot.Snapshot;
import io.netty.handler.codec.http.HttpHeaders;
import reactor.core.publisher.Mono;

/** A way in which the callers of the benchmark reach targets. */
interface CallsStrategy {

    /** The outcome of a call as reported to the caller. */
    enum Result {
        ANSWERED,
        NOT_RUN,
        FAILED
    }

    /**
     * Makes one call. Failures are reported as a result, never as an error signal.
     *
     * @param caller name of the caller's local server
     * @param requestId id by which the targets count how often a request ran
     * @param idempotencyKey idempotency key, or null
     * @param inheritedHeaders headers of the request for which the call is made, or null
     */
    Mono<Result> call(
            String caller, String path, String requestId, String idempotencyKey, HttpHeaders inheritedHeaders);

    /** Activates the table for one caller and its node. */
    void activate(String caller, Snapshot table);
}
