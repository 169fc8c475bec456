package io.jaywick.node.peer;

import java.io.DataInputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;

import io.jaywick.core.message.Ack;
import io.jaywick.core.message.Announce;
import io.jaywick.core.message.ErrorReply;
import io.jaywick.core.message.FleetQuery;
import io.jaywick.core.message.ForwardCall;
import io.jaywick.core.message.GoAway;
import io.jaywick.core.message.Hello;
import io.jaywick.core.message.Message;
import io.jaywick.core.message.PeerEntry;
import io.jaywick.node.frame.FrameCodec;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import reactor.netty.resources.LoopResources;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.is;
import static org.junit.jupiter.api.Assertions.assertThrows;

class TcpPeerLinkTestCase {

    private static final LoopResources LOOPS = LoopResources.create("test", 2, true);
    private static final PeerEntry SELF = new PeerEntry("s1", "dc1", "r1", "svc", "", "", 1, 0, false);
    private static final LinkLimits LIMITS = new LinkLimits(4, 1_000, 60_000, 60_000);

    private final List<AutoCloseable> opened = new ArrayList<>();
    private final MessageHandlers handlers = new MessageHandlers();
    private final PeerTraffic traffic = new PeerTraffic();

    @AfterEach
    void closeAll() throws Exception {
        for (AutoCloseable closeable : opened) {
            closeable.close();
        }
    }

    @AfterAll
    static void stopLoops() {
        LOOPS.dispose();
    }

    private PeerServer server(FrameCodec codec) {
        handlers.register(Hello.class, hello -> done(new Hello(codec.minVersion(), codec.maxVersion(), SELF)));
        handlers.register(Announce.class, message -> done(new Ack("s2")));
        PeerServer server = new PeerServer("127.0.0.1:0", handlers, codec, traffic, LIMITS, LOOPS);
        opened.add(server);
        return server;
    }

    private TcpPeerLink link(FrameCodec codec) {
        TcpPeerLink link = new TcpPeerLink(codec, new PeerTraffic(), LIMITS, LOOPS, () -> SELF, new Random(1));
        opened.add(link);
        return link;
    }

    @Test
    void requestGetsItsReply() throws Exception {
        Message reply = link(new FrameCodec())
                .request(server(new FrameCodec()).address(), announce())
                .get();
        assertThat(reply, is(new Ack("s2")));
    }

    @Test
    void adjacentVersionsInteroperateInBothDirections() throws Exception {
        FrameCodec next = new FrameCodec(FrameCodec.CURRENT_VERSION + 1);
        assertThat(
                link(next)
                        .request(server(new FrameCodec()).address(), announce())
                        .get(),
                is(new Ack("s2")));
        assertThat(
                link(new FrameCodec())
                        .request(server(next).address(), announce())
                        .get(),
                is(new Ack("s2")));
    }

    @Test
    void connectionWithIncompatibleVersionFailsAsUnreachable() {
        FrameCodec far = new FrameCodec(FrameCodec.CURRENT_VERSION + 2);
        CompletableFuture<Message> reply =
                link(far).request(server(new FrameCodec()).address(), announce());
        assertKind(reply, PeerException.Kind.UNREACHABLE);
    }

    /**
     * Guards against calls that wait for a peer which accepts the connection and stays silent, until their deadlines,
     * and are then reported as possibly executed.
     */
    @Test
    void peerThatDoesNotReplyToHelloFailsAsUnreachable() throws Exception {
        LinkLimits limits = new LinkLimits(4, 1_000, 60_000, 60_000, 50, 500);
        try (ServerSocket silent = new ServerSocket(0, 4, InetAddress.getLoopbackAddress());
                TcpPeerLink link = new TcpPeerLink(
                        new FrameCodec(), new PeerTraffic(), limits, LOOPS, () -> SELF, new Random(1))) {
            CompletableFuture<Message> reply = link.request("127.0.0.1:" + silent.getLocalPort(), announce());
            assertKind(reply.orTimeout(20, TimeUnit.SECONDS), PeerException.Kind.UNREACHABLE);
        }
    }

    /** An unhandled message type must not close the connection, which other requests share. */
    @Test
    void messageWithoutHandlerIsRefusedAndConnectionStaysOpen() throws Exception {
        TcpPeerLink link = link(new FrameCodec());
        String address = server(new FrameCodec()).address();
        assertKind(link.request(address, new FleetQuery("dc1", false)), PeerException.Kind.REFUSED);
        assertThat(link.request(address, announce()).get(), is(new Ack("s2")));
        assertThat(link.openConnections(), is(1));
    }

    @Test
    void tooLongFrameIsReportedAndConnectionClosed() throws Exception {
        assertFaultIsReported(
                ByteBuffer.allocate(4).putInt(FrameCodec.MAX_LENGTH_BYTES + 1).array(), "too-long");
    }

    @Test
    void unsupportedVersionIsReportedAndConnectionClosed() throws Exception {
        assertFaultIsReported(new byte[] {0, 0, 0, 2, 99, (byte) 0xc0}, "bad-version");
    }

    @Test
    void truncatedBodyIsReportedAndConnectionClosed() throws Exception {
        assertFaultIsReported(new byte[] {0, 0, 0, 3, FrameCodec.CURRENT_VERSION - 1, (byte) 0x83, 1}, "truncated");
    }

    private void assertFaultIsReported(byte[] bytes, String kind) throws Exception {
        String address = server(new FrameCodec()).address();
        try (Socket socket = new Socket()) {
            socket.connect(PeerAddress.parse(address));
            OutputStream out = socket.getOutputStream();
            out.write(bytes);
            out.flush();
            DataInputStream in = new DataInputStream(socket.getInputStream());
            Message reply = new FrameCodec().decode(in.readNBytes(in.readInt())).message();
            assertThat(reply, instanceOf(ErrorReply.class));
            assertThat(((ErrorReply) reply).kind(), is(kind));
            assertThat("closed after the reply", in.read(), is(-1));
        }
        assertThat(traffic.rejectedFrames(), is(1L));
    }

    /** Requests to an unresponsive peer must neither exceed its queue nor delay requests to other peers. */
    @Test
    void unresponsivePeerFillsOnlyItsOwnQueue() throws Exception {
        String responsiveAddress = server(new FrameCodec()).address();
        try (ServerSocket unresponsive =
                new ServerSocket(0, 1, PeerAddress.parse("127.0.0.1:1").getAddress())) {
            String unresponsiveAddress = "127.0.0.1:" + unresponsive.getLocalPort();
            TcpPeerLink link = link(new FrameCodec());
            for (int i = 0; i < LIMITS.maxQueuedMessages(); i++) {
                assertThat(link.request(unresponsiveAddress, announce()).isDone(), is(false));
            }
            assertKind(link.request(unresponsiveAddress, announce()), PeerException.Kind.QUEUE_FULL);
            assertThat(link.request(responsiveAddress, announce()).get(), is(new Ack("s2")));
        }
    }

    /** Requests during the backoff must fail at once, so that connection attempts do not run in a tight loop. */
    @Test
    void refusedConnectionStartsBackoff() throws Exception {
        String address;
        try (ServerSocket unused = new ServerSocket(0)) {
            address = "127.0.0.1:" + unused.getLocalPort();
        }
        TcpPeerLink link = link(new FrameCodec());
        assertKind(link.request(address, announce()), PeerException.Kind.UNREACHABLE);
        ExecutionException again = assertThrows(ExecutionException.class, () -> link.request(address, announce())
                .get());
        assertThat(again.getCause(), instanceOf(PeerException.class));
    }

    /**
     * A draining peer closes the connection while a call that it does not accept is in flight. The call has not been
     * executed, so it must fail as LEAVING, not as DISCONNECTED.
     */
    @Test
    void callsNotAcceptedByADrainingPeerFailAsLeaving() throws Exception {
        try (ServerSocket peer =
                new ServerSocket(0, 1, PeerAddress.parse("127.0.0.1:1").getAddress())) {
            TcpPeerLink link = link(new FrameCodec());
            String address = "127.0.0.1:" + peer.getLocalPort();
            CompletableFuture<Message> accepted = link.request(address, forwardCall("accepted"));
            CompletableFuture<Message> notAccepted = link.request(address, forwardCall("not-accepted"));
            FrameCodec codec = new FrameCodec();
            try (Socket socket = peer.accept()) {
                DataInputStream in = new DataInputStream(socket.getInputStream());
                in.readNBytes(in.readInt());
                Hello hello = new Hello(codec.minVersion(), codec.maxVersion(), SELF);
                socket.getOutputStream().write(codec.encode(codec.maxVersion(), 0, hello));
                long firstId = codec.decode(in.readNBytes(in.readInt())).id();
                in.readNBytes(in.readInt());
                socket.getOutputStream().write(codec.encode(codec.maxVersion(), 0, new GoAway(firstId)));
            }
            assertKind(accepted, PeerException.Kind.DISCONNECTED);
            assertKind(notAccepted, PeerException.Kind.LEAVING);
        }
    }

    /** After a GoAway the link must send no further calls to the peer; calls in flight still get their replies. */
    @Test
    void drainingPeerReceivesNoFurtherCalls() throws Exception {
        CompletableFuture<Message> running = new CompletableFuture<>();
        CountDownLatch accepted = new CountDownLatch(1);
        handlers.register(ForwardCall.class, message -> {
            accepted.countDown();
            return running;
        });
        PeerServer server = server(new FrameCodec());
        TcpPeerLink link = link(new FrameCodec());
        CompletableFuture<Message> first = link.request(server.address(), forwardCall("first"));
        assertThat(accepted.await(20, TimeUnit.SECONDS), is(true));
        server.sendGoAway();
        // The reply to the announcement arrives after the GoAway.
        link.request(server.address(), announce()).get();
        assertKind(link.request(server.address(), forwardCall("late")), PeerException.Kind.LEAVING);
        running.complete(new Ack("s2"));
        assertThat(first.get(), is(new Ack("s2")));
    }

    private static ForwardCall forwardCall(String callId) {
        return new ForwardCall(
                callId,
                "id",
                "GET",
                "/",
                List.of(),
                new byte[0],
                "svc",
                "i",
                "r",
                true,
                1,
                100,
                100,
                true,
                false,
                false,
                false,
                "");
    }

    @Test
    void hostNameAsAddressFails() {
        assertKind(link(new FrameCodec()).request("localhost:1", announce()), PeerException.Kind.UNREACHABLE);
    }

    private static Announce announce() {
        return new Announce("s1", 1, "a");
    }

    private static CompletableFuture<Message> done(Message message) {
        return CompletableFuture.completedFuture(message);
    }

    private static void assertKind(CompletableFuture<Message> reply, PeerException.Kind kind) {
        ExecutionException e = assertThrows(ExecutionException.class, reply::get);
        assertThat(((PeerException) e.getCause()).kind(), is(kind));
    }
}
