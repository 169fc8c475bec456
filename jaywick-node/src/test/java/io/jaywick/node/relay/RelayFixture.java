package io.jaywick.node.relay;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

import io.jaywick.core.fleet.FleetView;
import io.jaywick.core.fleet.Instance;
import io.jaywick.core.gate.ColdBound;
import io.jaywick.core.rules.CallerLimits;
import io.jaywick.core.rules.RouteRule;
import io.jaywick.core.rules.RuleSet;
import io.jaywick.core.rules.ServiceRule;
import io.jaywick.core.rules.ServiceWeight;
import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;

/** Two nodes on different loopback addresses, a target beside the second, and a caller beside the first. */
final class RelayFixture implements AutoCloseable {

    static final HeaderNames NAMES =
            new HeaderNames("Request-Id", "Deadline", "Stamp", "Expect", "Not-Executed", "Caller", "Instance", "Cold");

    static final CallerLimits LIMITS = new CallerLimits(2_000, 10_000, 300, 5_000);

    private static final String CALLER_HOST = "127.0.0.2";
    private static final String TARGET_HOST = "127.0.0.1";

    final FakeTarget target;
    final Relay caller;
    private final PrometheusMeterRegistry callerMetrics = new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);
    final Relay other;
    private RuleSet published;
    private final AtomicLong aheadNanos = new AtomicLong();
    private final NodeRuntime runtime = runtime();

    RelayFixture() throws IOException {
        target = new FakeTarget();
        int peerPort;
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName(TARGET_HOST))) {
            peerPort = socket.getLocalPort();
        }
        caller = relay("caller", CALLER_HOST, peerPort, CALLER_HOST + ":1", callerMetrics);
        other = relay(
                "other",
                TARGET_HOST,
                peerPort,
                target.address(),
                new PrometheusMeterRegistry(PrometheusConfig.DEFAULT));
    }

    private NodeRuntime runtime() {
        NodeRuntime real = NodeRuntime.start(System.getLogger("test"), true);
        return new NodeRuntime(
                real.loops(), real.loop(), () -> System.nanoTime() + aheadNanos.get(), real.random(), real.log());
    }

    /** Waits until the caller's node has taken the given number of calls that are not answered yet. */
    void awaitInFlight(int calls) {
        while (callerMetrics.get("jaywick.calls.inflight").gauge().value() < calls) {
            Thread.onSpinWait();
        }
    }

    /** Lets the nodes believe that time has passed; timers of the loop do not run sooner. */
    void advance(long millis) {
        aheadNanos.addAndGet(TimeUnit.MILLISECONDS.toNanos(millis));
    }

    private Relay relay(String name, String host, int peerPort, String targetAddress, PrometheusMeterRegistry metrics) {
        RelaySettings settings = new RelaySettings(
                name,
                host,
                "dc",
                "region",
                Map.of("dc", "region"),
                name + "-service",
                targetAddress,
                host + ":0",
                host + ":" + peerPort,
                List.of(),
                host + ":0",
                "/ready",
                null,
                0.2,
                100,
                10_000,
                2_000,
                ColdBound.NONE);
        return new Relay(settings, NAMES, runtime, metrics);
    }

    /** Lets both nodes believe that the target serves two routes, one of them idempotent, with the given timeout. */
    void publish(long timeoutMillis) {
        List<RouteRule> routes = new ArrayList<>();
        for (String kind : List.of("safe", "unsafe")) {
            routes.add(new RouteRule(
                    kind,
                    "h.example",
                    "/" + kind + "/",
                    kind.equals("safe"),
                    timeoutMillis,
                    timeoutMillis / 2,
                    1,
                    2,
                    Set.of(),
                    List.of(new ServiceWeight("other-service", 1))));
        }
        RuleSet rules =
                new RuleSet(1, routes, List.of(new ServiceRule("other-service", "/health", 100, 3_000, 0)), LIMITS);
        published = rules;
        FleetView view = new FleetView(rules, List.of(instance(false)), Set.of());
        caller.adopt(view);
        other.adopt(view);
        // The first call finds the views adopted, because both run on the loop before it.
    }

    /** Only the node beside the target learns that it is about to leave. */
    void drainAtTarget() {
        other.adopt(new FleetView(published, List.of(instance(true)), Set.of()));
    }

    private Instance instance(boolean draining) {
        return new Instance(
                "i-1", "other-service", target.address(), "dc", "v1", 4, draining, 0, 1, 0, System.nanoTime());
    }

    /** Sends raw bytes to the caller's node and returns all that comes back until it closes. */
    String exchange(String bytes) throws IOException {
        try (Socket socket = connect()) {
            socket.getOutputStream().write(bytes.getBytes(StandardCharsets.ISO_8859_1));
            return new String(socket.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
        }
    }

    Socket connect() throws IOException {
        Socket socket = new Socket(
                InetAddress.getByName(CALLER_HOST), caller.outboundAddress().getPort());
        socket.setSoTimeout((int) Duration.ofSeconds(20).toMillis());
        return socket;
    }

    /** A request whose connection ends with its answer. */
    static String request(String method, String path, String id, String body) {
        return method + " " + path + " HTTP/1.1\r\nHost: h.example\r\nRequest-Id: " + id
                + "\r\nConnection: close\r\nContent-Length: " + body.length() + "\r\n\r\n" + body;
    }

    @Override
    public void close() throws IOException {
        caller.close();
        other.close();
        target.close();
        runtime.loops().dispose();
    }
}
