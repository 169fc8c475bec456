package io.jaywick.cli.demo;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;

import io.jaywick.node.proxy.CallHeaders;
import io.jaywick.standin.target.TargetServer;
import io.netty.handler.codec.http.HttpMethod;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.core.publisher.Sinks;
import reactor.netty.http.client.HttpClient;
import reactor.netty.resources.ConnectionProvider;

/** Sends calls in each region to the egress ports of the region's nodes and records the response of each call. */
final class DemoCallers implements AutoCloseable {

    private static final Duration CALL_INTERVAL = Duration.ofMillis(20);
    /** The first calls are sent more slowly because the targets and the Java runtime start cold. */
    private static final Duration WARM_UP_CALL_INTERVAL = Duration.ofMillis(100);

    private static final int WARM_UP_CALLS = 30;
    private static final Duration CALL_TIMEOUT = Duration.ofSeconds(5);
    private static final int CALLS_PER_WRITE = 4;

    /**
     * Result of one call as its caller saw it.
     *
     * @param outcome value of the outcome header, empty when absent or when no response arrived
     * @param reason value of the reason header, or the failure when no response arrived
     * @param status HTTP status, 0 when no response arrived
     * @param write true when the call used the route that is not idempotent
     * @param answersOwnRequest true when the body of the response contains the id of this call
     */
    record CallRecord(String outcome, String reason, int status, boolean write, boolean answersOwnRequest) {}

    private final FleetProfile profile;
    private final Map<String, List<DemoFleet.Member>> membersByRegion = new HashMap<>();
    private final ConnectionProvider connections = ConnectionProvider.create("callers", 200);
    private final HttpClient client = HttpClient.create(connections).responseTimeout(CALL_TIMEOUT);
    private final Map<String, CallRecord> callRecords = new ConcurrentHashMap<>();
    private final AtomicLong callsSent = new AtomicLong();
    private final AtomicLong callsInFlight = new AtomicLong();
    private final Sinks.Empty<Void> stopSignal = Sinks.empty();

    DemoCallers(FleetProfile profile, List<DemoFleet.Member> members) {
        this.profile = profile;
        for (DemoFleet.Member member : members) {
            membersByRegion
                    .computeIfAbsent(member.server().dataCentre().region(), region -> new ArrayList<>())
                    .add(member);
        }
    }

    /** Starts a stream of calls in each region. */
    void start() {
        for (Map.Entry<String, List<DemoFleet.Member>> region : membersByRegion.entrySet()) {
            Random random = new Random(region.getKey().hashCode());
            Flux.concat(
                            Flux.interval(WARM_UP_CALL_INTERVAL).take(WARM_UP_CALLS),
                            Flux.interval(CALL_INTERVAL).map(number -> number + WARM_UP_CALLS))
                    .onBackpressureDrop()
                    .takeUntilOther(stopSignal.asMono())
                    .flatMap(number -> call(region.getKey(), region.getValue(), number, random), 256)
                    .subscribe();
        }
    }

    private Mono<Void> call(String region, List<DemoFleet.Member> members, long number, Random random) {
        String id = region + "-" + number;
        boolean write = number % CALLS_PER_WRITE == 0;
        String party = profile.parties().get(random.nextInt(profile.parties().size()));
        DemoFleet.Member member = members.get(random.nextInt(members.size()));
        callsSent.incrementAndGet();
        callsInFlight.incrementAndGet();
        return client.headers(headers -> headers.set(CallHeaders.PARTY, party)
                        .set(CallHeaders.CALL_ID, id)
                        .set(TargetServer.REQUEST_ID_HEADER, id))
                .request(write ? HttpMethod.POST : HttpMethod.GET)
                .uri("http://" + member.node().egressAddress() + (write ? profile.writePath() : profile.readPath()))
                .responseSingle((response, body) -> body.asString()
                        .defaultIfEmpty("")
                        .map(text -> new CallRecord(
                                response.responseHeaders().get(CallHeaders.OUTCOME, ""),
                                response.responseHeaders().get(CallHeaders.REASON, ""),
                                response.status().code(),
                                write,
                                text.contains(" " + id + " "))))
                .onErrorResume(failure -> Mono.just(new CallRecord("", failure.toString(), 0, write, false)))
                .doOnNext(callRecord -> callRecords.put(id, callRecord))
                .doFinally(signal -> callsInFlight.decrementAndGet())
                .then();
    }

    /** Stops sending new calls; calls in flight continue. */
    void stop() {
        stopSignal.tryEmitEmpty();
    }

    boolean isIdle() {
        return callsInFlight.get() == 0;
    }

    /** Returns the recorded calls by request id. */
    Map<String, CallRecord> callRecords() {
        return callRecords;
    }

    long callsSent() {
        return callsSent.get();
    }

    @Override
    public void close() {
        stop();
        connections.dispose();
    }
}
