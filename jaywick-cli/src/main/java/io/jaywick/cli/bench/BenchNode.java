package io.jaywick.cli.bench;

import java.util.List;
import java.util.Random;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicLong;

import io.jaywick.core.distribution.TableVersionCheck;
import io.jaywick.core.message.PeerEntry;
import io.jaywick.core.settings.PeersSettings;
import io.jaywick.core.settings.SourceSettings;
import io.jaywick.core.snapshot.Server;
import io.jaywick.core.snapshot.Snapshot;
import io.jaywick.node.frame.FrameCodec;
import io.jaywick.node.peer.DistributionConfig;
import io.jaywick.node.peer.DistributionService;
import io.jaywick.node.peer.LinkLimits;
import io.jaywick.node.peer.MessageHandlers;
import io.jaywick.node.peer.PeerServer;
import io.jaywick.node.peer.PeerTraffic;
import io.jaywick.node.peer.SuspectExchange;
import io.jaywick.node.peer.TcpPeerLink;
import io.jaywick.node.source.InstanceEntry;
import io.jaywick.node.source.InstanceState;

/** A node of the benchmark: a peer server, a peer link and the distribution service. */
final class BenchNode implements AutoCloseable {

    private static final AtomicLong INCARNATIONS = new AtomicLong(1);

    final Server server;
    final long startNanos = System.nanoTime();
    final PeerTraffic traffic = new PeerTraffic();
    private final PeerServer peerServer;
    private final TcpPeerLink link;
    private final DistributionService service;
    private volatile PeerEntry self;

    BenchNode(Server server, BenchFleet fleet, SplittableRandom random) {
        this.server = server;
        MessageHandlers handlers = new MessageHandlers();
        FrameCodec codec = new FrameCodec();
        peerServer = new PeerServer("127.0.0.1:0", handlers, codec, traffic, LinkLimits.DEFAULTS, fleet.loops);
        self = new PeerEntry(
                server.name(),
                server.dataCentre().name(),
                region(),
                server.service(),
                peerServer.address(),
                "127.0.0.1:9",
                INCARNATIONS.getAndIncrement(),
                0,
                false);
        fleet.regionalTraffic.setRegion(peerServer.address(), region());
        link = new TcpPeerLink(
                codec, traffic, LinkLimits.DEFAULTS, fleet.loops, () -> self, new Random(random.nextLong()));
        service = new DistributionService(
                new DistributionConfig(
                        self,
                        new SourceSettings("", fleet.sourceRegion, 4_000, 3_000, 2, 600_000),
                        new PeersSettings(List.of(), 8, 1_000, 500, 300, 2_000, 2_000),
                        fleet.strategy),
                new DistributionService.Environment(
                        fleet.source.sourceFor(region()),
                        () -> CompletableFuture.completedFuture(fleet.instances()),
                        fleet.regionalTraffic.linkFrom(region(), link),
                        handlers,
                        fleet.scheduler,
                        random),
                snapshot -> fleet.onSnapshot(this, snapshot),
                new TableVersionCheck(),
                SuspectExchange.NONE);
    }

    void start() {
        service.start();
    }

    String region() {
        return server.dataCentre().region();
    }

    /** Returns the active revision, or 0 if there is none. */
    long revision() {
        Snapshot snapshot = service.snapshot();
        return snapshot == null ? 0 : snapshot.revision();
    }

    int openConnections() {
        return link.openConnections();
    }

    InstanceEntry instance() {
        return new InstanceEntry(
                self.server(),
                self.dataCentre(),
                self.region(),
                self.service(),
                self.peerAddress(),
                self.ingressAddress(),
                InstanceState.LIVE);
    }

    @Override
    public void close() {
        service.close();
        link.close();
        peerServer.close();
    }
}
