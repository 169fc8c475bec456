package io.jaywick.cli.bench;

import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

import io.jaywick.core.snapshot.Server;
import io.jaywick.core.snapshot.Service;
import io.jaywick.core.snapshot.Snapshot;
import io.jaywick.core.snapshot.WeightedService;
import io.jaywick.standin.target.CallFleet;
import io.netty.handler.codec.http.HttpHeaders;
import reactor.core.publisher.Mono;

/** Calls targets directly, round robin over those in service, and retries every failure up to 3 times. */
final class NaiveStrategy implements CallsStrategy {

    private static final int OK = 200;
    private static final int RETRIES = 3;

    private final CallFleet fleet;
    private final BenchCaller client;
    private final Random random;
    private final Map<String, Snapshot> tables = new ConcurrentHashMap<>();
    private final AtomicInteger next = new AtomicInteger();

    NaiveStrategy(CallFleet fleet, BenchCaller client, long seed) {
        this.fleet = fleet;
        this.client = client;
        this.random = new Random(seed);
    }

    @Override
    public Mono<Result> call(
            String caller, String path, String requestId, String idempotencyKey, HttpHeaders inheritedHeaders) {
        Snapshot table = tables.get(caller);
        return Mono.defer(() -> client.send(url(table, path), requestId, idempotencyKey, inheritedHeaders))
                .filter(reply -> reply.status() == OK)
                .switchIfEmpty(Mono.error(new IllegalStateException("call failed")))
                .retry(RETRIES)
                .map(reply -> Result.ANSWERED)
                .onErrorReturn(Result.FAILED);
    }

    @Override
    public void activate(String caller, Snapshot table) {
        tables.put(caller, table);
    }

    private String url(Snapshot table, String path) {
        List<Server> targets = chooseService(table, path).servers().stream()
                .filter(server -> server.dataCentre().inService())
                .toList();
        Server server = targets.get(Math.floorMod(next.getAndIncrement(), targets.size()));
        return "http://" + fleet.node(server.name()).target().address() + path;
    }

    private Service chooseService(Snapshot table, String path) {
        int remainingPercent = random.nextInt(100);
        Service chosen = null;
        for (WeightedService weighted : table.routeFor(path).services()) {
            chosen = weighted.service();
            remainingPercent -= weighted.weightPercent();
            if (remainingPercent < 0) {
                break;
            }
        }
        return chosen;
    }
}
