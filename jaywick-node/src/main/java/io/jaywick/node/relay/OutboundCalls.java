package io.jaywick.node.relay;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;

import io.jaywick.core.fleet.FleetView;
import io.jaywick.core.fleet.Instance;
import io.jaywick.core.placement.Distance;
import io.jaywick.core.placement.Placement;
import io.jaywick.core.retry.FleetRetryBudget;
import io.jaywick.core.routing.SmoothWeights;
import io.jaywick.core.rules.RouteRule;
import io.jaywick.core.rules.ServiceWeight;
import io.netty.channel.EventLoop;

/** What all calls of the callers beside one node share. */
final class OutboundCalls {

    private final RelaySettings settings;
    private final HeaderNames names;
    private final Supplier<FleetView> fleet;
    private final Placement placement;
    private final FleetRetryBudget retries;
    private final CallTarget local;
    private final PeerCalls peers;
    private final EventLoop loop;
    private final LongSupplier nanoTime;
    private final RandomGenerator random;
    private final RelayLog log;
    private final RelayMeters meters;
    private final Map<String, SmoothWeights<ServiceWeight>> weights = new HashMap<>();
    private final int peerPort;
    private boolean refusing;
    private int inFlight;
    private int nodes = 1;
    private long lastCallNumber;

    OutboundCalls(
            RelaySettings settings,
            HeaderNames names,
            Supplier<FleetView> fleet,
            Placement placement,
            CallTarget local,
            PeerCalls peers,
            EventLoop loop,
            LongSupplier nanoTime,
            RandomGenerator random,
            RelayLog log,
            RelayMeters meters) {
        this.settings = settings;
        this.names = names;
        this.fleet = fleet;
        this.placement = placement;
        this.retries = new FleetRetryBudget(
                settings.retryRatio(), settings.retryAllowance(), settings.retryWindowMillis(), nanoTime, random);
        this.local = local;
        this.peers = peers;
        this.loop = loop;
        this.nanoTime = nanoTime;
        this.random = random;
        this.log = log;
        this.meters = meters;
        this.peerPort = Integer.parseInt(
                settings.peerAddress().substring(settings.peerAddress().lastIndexOf(':') + 1));
    }

    /** Serves one request; the returned handle ends it when its caller leaves. */
    PendingCall serve(ClientRequest request, Consumer<ClientAnswer> done) {
        OutboundCall call = new OutboundCall(this, request, done);
        call.start();
        return call;
    }

    /** Forgets what belonged to instances that are gone. */
    void viewChanged() {
        Set<String> ids = new HashSet<>();
        Set<String> hosts = new HashSet<>();
        for (Instance instance : fleet.get().instances()) {
            ids.add(instance.id());
            hosts.add(instance.host());
        }
        placement.retain(ids);
        nodes = Math.max(1, hosts.size());
    }

    String chooseService(RouteRule route) {
        return weights.computeIfAbsent(
                        route.name(),
                        name -> new SmoothWeights<>(
                                route.services(), ServiceWeight::service, ServiceWeight::weight, random))
                .choose(route.services())
                .service();
    }

    CallTarget targetOf(Instance instance) {
        return placement.distance(instance) == Distance.SAME_INSTANCE
                ? local
                : peers.at(instance.host() + ":" + peerPort);
    }

    String nextCallId() {
        lastCallNumber++;
        return settings.host() + "-" + lastCallNumber;
    }

    /** From now on new calls are refused as not run. */
    void refuseNew() {
        refusing = true;
    }

    boolean isRefusing() {
        return refusing;
    }

    void started() {
        inFlight++;
    }

    void ended() {
        inFlight--;
    }

    int inFlight() {
        return inFlight;
    }

    int nodes() {
        return nodes;
    }

    RelaySettings settings() {
        return settings;
    }

    HeaderNames names() {
        return names;
    }

    FleetView fleet() {
        return fleet.get();
    }

    Placement placement() {
        return placement;
    }

    FleetRetryBudget retries() {
        return retries;
    }

    EventLoop loop() {
        return loop;
    }

    LongSupplier nanoTime() {
        return nanoTime;
    }

    RandomGenerator random() {
        return random;
    }

    RelayLog log() {
        return log;
    }

    RelayMeters meters() {
        return meters;
    }
}
