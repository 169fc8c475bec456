package io.jaywick.standin.target;

import java.time.InstantSource;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Supplier;

import io.jaywick.core.limits.CallQuota;
import io.jaywick.core.membership.Member;
import io.jaywick.core.membership.MemberState;
import io.jaywick.core.membership.MembershipView;
import io.jaywick.core.record.CallUsage;
import io.jaywick.core.record.DispatchUsage;
import io.jaywick.core.record.UsageClaimException;
import io.jaywick.core.record.UsageObserver;
import io.jaywick.core.settings.CallsSettings;
import io.jaywick.core.snapshot.Party;
import io.jaywick.core.snapshot.Server;
import io.jaywick.core.snapshot.Snapshot;
import io.jaywick.node.proxy.NodeLocation;
import io.jaywick.node.proxy.ProxyContext;
import io.jaywick.node.proxy.ProxyServer;
import io.micrometer.core.instrument.MeterRegistry;
import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import io.micrometer.tracing.Tracer;
import reactor.core.scheduler.Scheduler;

/** Runs a proxy and a stand-in target for each server of a table, in one process on the loopback address. */
public final class CallFleet implements AutoCloseable {

    private static final String ANY_PORT = "127.0.0.1:0";

    /** The default settings of the schema, but with a ramp of 1 s and a drain of at most 2 s. */
    public static final CallsSettings SETTINGS = new CallsSettings(1_000, 2_000, 64, 600_000, 100_000);

    /** The proxy and the target of one server. */
    public record Node(Server server, ProxyServer proxy, TargetServer target, MeterRegistry meters) {

        /** Returns the base URL for calls of the local caller. */
        public String egressUrl() {
            return "http://127.0.0.1:" + proxy.egress().port();
        }
    }

    private final Scheduler timers;
    private final FailableUsageObserver usage = new FailableUsageObserver();
    private final ReplaceableQuota quota = new ReplaceableQuota();
    private final AtomicReference<Snapshot> snapshot = new AtomicReference<>();
    private final Map<String, AtomicReference<Snapshot>> serverSnapshots = new ConcurrentHashMap<>();
    private final Map<String, Node> nodes = new LinkedHashMap<>();
    private final Map<String, Member> members = new ConcurrentHashMap<>();

    /**
     * Starts the proxies and targets of all servers.
     *
     * @param nested creates the nested calls of each target; null when the targets make none
     * @param tracer records the spans of all nodes
     */
    public CallFleet(
            Snapshot table,
            TargetBehaviour behaviour,
            CallsSettings settings,
            Scheduler timers,
            NestedFactory nested,
            Tracer tracer,
            long seed) {
        this.timers = timers;
        snapshot.set(table);
        Random seeds = new Random(seed);
        for (Server server : table.servers().values().stream()
                .sorted(Comparator.comparing(Server::name))
                .toList()) {
            start(server, behaviour, settings, nested, tracer, seeds.nextLong());
        }
    }

    /** Creates the nested calls of a target, which are sent to the egress port of the target's node. */
    @FunctionalInterface
    public interface NestedFactory {

        TargetServer.NestedCalls create(Server server, Supplier<String> egressUrl);
    }

    /** Sets the quota of all nodes. By default no call is refused. */
    public void setQuota(CallQuota limit) {
        quota.limit = limit;
    }

    /** Makes the usage record of every node fail, or work again when false. */
    public void setUsageRecordFailing(boolean fails) {
        usage.failing = fails;
    }

    public Node node(String server) {
        return nodes.get(server);
    }

    public List<Node> nodes() {
        return List.copyOf(nodes.values());
    }

    /** Activates a table on all nodes at once. */
    public void activate(Snapshot table) {
        snapshot.set(table);
        serverSnapshots.clear();
    }

    /** Activates a table on one node only, until the next one is activated on all nodes. */
    public void activate(String server, Snapshot table) {
        serverSnapshots.put(server, new AtomicReference<>(table));
    }

    @Override
    public void close() {
        for (Node node : nodes.values()) {
            node.proxy().close();
            node.target().close();
        }
    }

    private void start(
            Server server,
            TargetBehaviour behaviour,
            CallsSettings settings,
            NestedFactory nested,
            Tracer tracer,
            long seed) {
        String name = server.name();
        TargetServer.NestedCalls calls = nested == null
                ? null
                : nested.create(server, () -> nodes.get(name).egressUrl());
        TargetServer target = new TargetServer(name, new TargetModel(behaviour, System::nanoTime), timers, calls);
        MeterRegistry meters = new SimpleMeterRegistry();
        ProxyContext context = new ProxyContext(
                new NodeLocation(
                        name, server.dataCentre().name(), server.dataCentre().region()),
                () -> serverSnapshots.containsKey(name)
                        ? serverSnapshots.get(name).get()
                        : snapshot.get(),
                new FleetView(),
                quota,
                usage,
                settings,
                timers,
                System::nanoTime,
                InstantSource.system(),
                new Random(seed),
                meters,
                tracer);
        ProxyServer proxy = new ProxyServer(context, ANY_PORT, ANY_PORT, target.address());
        nodes.put(name, new Node(server, proxy, target, meters));
        members.put(
                name,
                new Member(
                        name,
                        server.dataCentre().name(),
                        server.dataCentre().region(),
                        server.service(),
                        ANY_PORT,
                        "127.0.0.1:" + proxy.ingress().port(),
                        1,
                        MemberState.ALIVE));
    }

    private final class FleetView implements MembershipView {

        @Override
        public List<Member> members() {
            return List.copyOf(members.values());
        }

        @Override
        public Optional<Member> member(String server) {
            return Optional.ofNullable(members.get(server));
        }
    }

    private static final class ReplaceableQuota implements CallQuota {

        private volatile CallQuota limit = party -> true;

        @Override
        public boolean tryAcquire(Party party) {
            return limit.tryAcquire(party);
        }

        @Override
        public boolean isAwaitingGrant(Party party) {
            return limit.isAwaitingGrant(party);
        }
    }

    /** Counts nothing. While failing, it rejects each start as a recorder does that cannot write its lines. */
    private static final class FailableUsageObserver implements UsageObserver {

        private volatile boolean failing;

        private void checkClaim() {
            if (failing) {
                throw new UsageClaimException("usage record cannot be written", null);
            }
        }

        @Override
        public void callStarted() {
            checkClaim();
        }

        @Override
        public void callEnded(CallUsage usage) {}

        @Override
        public void dispatchStarted() {
            checkClaim();
        }

        @Override
        public void dispatchEnded(DispatchUsage usage) {}
    }
}
