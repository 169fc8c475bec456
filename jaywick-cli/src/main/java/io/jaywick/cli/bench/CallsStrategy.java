package io.jaywick.cli.bench;

import io.jaywick.core.snapshot.Snapshot;
import io.netty.handler.codec.http.HttpHeaders;
import reactor.core.publisher.Mono;

/** How the callers of the benchmark reach targets. */
interface CallsStrategy {

    /** What a caller learns. */
    enum Result {
        ANSWERED,
        NOT_RUN,
        FAILED
    }

    /**
     * Makes one call.
     *
     * @param caller server beside which the caller runs
     * @param requestId id by which the targets count runs
     * @param idempotencyKey idempotency key, or null
     * @param inheritedHeaders headers of the request for which the call is made, or null
     */
    Mono<Result> call(
            String caller, String path, String requestId, String idempotencyKey, HttpHeaders inheritedHeaders);

    /** Puts the table in force at one caller and its node. */
    void activate(String caller, Snapshot table);
}
