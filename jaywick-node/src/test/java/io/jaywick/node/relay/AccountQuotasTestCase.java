package io.jaywick.node.relay;

import java.util.ArrayList;
import java.util.List;
import java.util.OptionalInt;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

import io.jaywick.core.fleet.FleetView;
import io.jaywick.core.fleet.Instance;
import io.jaywick.core.limits.QuotaCall;
import io.jaywick.core.message.Hello;
import io.jaywick.core.message.PeerEntry;
import io.jaywick.core.rules.CallerLimits;
import io.jaywick.core.rules.ClientAccount;
import io.jaywick.core.rules.RuleSet;
import io.jaywick.node.frame.FrameCodec;
import io.jaywick.node.peer.LinkLimits;
import io.jaywick.node.peer.MessageHandlers;
import io.jaywick.node.peer.PeerServer;
import io.jaywick.node.peer.PeerTraffic;
import io.jaywick.node.peer.TcpPeerLink;
import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.MeterRegistry;
import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;

/** Two nodes of one data centre with real links between them; one of them holds the account's quota. */
class AccountQuotasTestCase {

    private static final List<String> HOSTS = List.of("127.0.0.1", "127.0.0.3");
    private static final ClientAccount ACCOUNT = new ClientAccount("account", OptionalInt.empty(), Set.of(), 100, 50);

    private final AtomicLong clockNanos = new AtomicLong();
    private final NodeRuntime real = NodeRuntime.start(System.getLogger("test"), true);
    private final NodeRuntime runtime =
            new NodeRuntime(real.loops(), real.loop(), clockNanos::get, new Random(1), real.log());
    private final FleetView view = new FleetView(
            new RuleSet(1, List.of(), List.of(), CallerLimits.DEFAULTS),
            HOSTS.stream().map(AccountQuotasTestCase::instance).toList(),
            Set.of());
    private final List<AutoCloseable> opened = new ArrayList<>();
    private final int port = RelayFixture.freePort(HOSTS);
    private final List<Node> nodes = HOSTS.stream().map(Node::new).toList();

    AccountQuotasTestCase() throws Exception {
        onLoop(() -> nodes.forEach(node -> node.quotas.viewChanged(List.of(ACCOUNT))));
        // Buckets are empty at the start.
        clockNanos.addAndGet(TimeUnit.SECONDS.toNanos(5));
    }

    private static Instance instance(String host) {
        return new Instance("i-" + host, "service", host + ":1", "dc", "v1", 4, false, 0, 1, 0, 0);
    }

    private final class Node {
        private final MeterRegistry registry = new SimpleMeterRegistry();
        private final AccountQuotas quotas;
        private final PeerServer server;

        Node(String host) {
            RelaySettings settings = RelayFixture.settings(host, host, port, host + ":1");
            MessageHandlers handlers = new MessageHandlers();
            FrameCodec codec = new FrameCodec();
            PeerTraffic traffic = new PeerTraffic();
            LinkLimits limits = new LinkLimits(100, 500, 120_000, 60_000, 250, 500);
            PeerEntry self =
                    new PeerEntry(host, "dc", "region", "service", host + ":" + port, host + ":" + port, 0, 0, false);
            handlers.register(
                    Hello.class,
                    message ->
                            CompletableFuture.completedFuture(new Hello(codec.minVersion(), codec.maxVersion(), self)));
            TcpPeerLink link = new TcpPeerLink(codec, traffic, limits, runtime.loops(), () -> self, runtime.random());
            RelayContext context =
                    new RelayContext(settings, RelayFixture.NAMES, () -> view, runtime, new DrainDeadline());
            quotas = new AccountQuotas(context, link, registry);
            quotas.register(handlers);
            server = new PeerServer(host + ":" + port, handlers, codec, traffic, limits, runtime.loops());
            opened.add(link::close);
            opened.add(server::close);
        }

        boolean isHolder() {
            return registry.get("jaywick.quota.held").gauge().value() > 0;
        }

        double count(String meter) {
            return registry.find(meter).counters().stream()
                    .mapToDouble(Counter::count)
                    .sum();
        }

        boolean isAdmitted() throws Exception {
            CompletableFuture<Boolean> admitted = new CompletableFuture<>();
            onLoop(() -> quotas.admit(ACCOUNT.name(), 5_000, new QuotaCall() {
                @Override
                public void admitted() {
                    admitted.complete(true);
                }

                @Override
                public void refused(long retryAfterMillis) {
                    admitted.complete(false);
                }
            }));
            return admitted.get(20, TimeUnit.SECONDS);
        }
    }

    private void onLoop(Runnable task) throws Exception {
        runtime.loop().submit(task).get(20, TimeUnit.SECONDS);
    }

    private Node node(boolean holder) {
        return nodes.stream()
                .filter(node -> node.isHolder() == holder)
                .findFirst()
                .orElseThrow();
    }

    @AfterEach
    void close() throws Exception {
        for (AutoCloseable closeable : opened) {
            closeable.close();
        }
    }

    /** Guards against messages that the other node does not understand, and against messages of a holder. */
    @Test
    void otherNodeGetsTokensFromTheHolder() throws Exception {
        assertThat(node(false).isAdmitted(), is(true));
        assertThat(node(false).count("jaywick.quota.requests"), is(1.0));
        assertThat(node(true).isAdmitted(), is(true));
        assertThat(node(true).count("jaywick.quota.requests"), is(0.0));
    }

    /** Guards against calls that wait for a holder that is down, or are refused though the node has a token for this. */
    @Test
    void nodeUsesItsOwnTokensWhenTheHolderIsDown() throws Exception {
        Node other = node(false);
        node(true).server.close();
        assertThat(other.isAdmitted(), is(true));
        assertThat(other.count("jaywick.quota.unanswered"), greaterThan(0.0));
        assertThat(other.count("jaywick.quota.fallback"), is(1.0));
    }
}
