package io.jaywick.cli.bench;

import io.jaywick.core.snapshot.Snapshot;
import io.jaywick.standin.target.CallFleet;
import io.netty.handler.codec.http.HttpHeaders;
import reactor.core.publisher.Mono;

/** Calls through the egress port of the caller's local node. */
final class JaywickStrategy implements CallsStrategy {

    private static final int OK = 200;

    private final CallFleet fleet;
    private final BenchCaller client;

    JaywickStrategy(CallFleet fleet, BenchCaller client) {
        this.fleet = fleet;
        this.client = client;
    }

    @Override
    public Mono<Result> call(
            String caller, String path, String requestId, String idempotencyKey, HttpHeaders inheritedHeaders) {
        return client.send(fleet.node(caller).egressUrl() + path, requestId, idempotencyKey, inheritedHeaders)
                .map(reply -> {
                    if (reply.status() == OK) {
                        return Result.ANSWERED;
                    }
                    return "not-run".equals(reply.headers().get("jaywick-outcome")) ? Result.NOT_RUN : Result.FAILED;
                })
                .onErrorReturn(Result.FAILED);
    }

    @Override
    public void activate(String caller, Snapshot table) {
        fleet.activate(caller, table);
    }
}
