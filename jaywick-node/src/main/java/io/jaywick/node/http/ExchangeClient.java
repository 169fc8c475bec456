package io.jaywick.node.http;

import java.io.ByteArrayOutputStream;
import java.util.ArrayDeque;
import java.util.HashSet;
import java.util.Queue;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;

import io.jaywick.node.http.ExchangeException.Kind;
import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;

/**
 * HTTP/1.1 client of one server with a few kept connections, each for one exchange at a time ({@link ExchangeCodec}).
 * It never repeats a request. It consists of the parts that the relay loads anyway, which makes a start of the node
 * cheaper than a general HTTP client. Thread-safe; its state belongs to its event loop, on which responses complete.
 */
public final class ExchangeClient implements AutoCloseable {

    private final Bootstrap bootstrap;
    private final EventLoop loop;
    private final String host;
    private final int maxConnections;
    private final int maxResponseBytes;
    private final ArrayDeque<Connection> idle = new ArrayDeque<>();
    private final Queue<Exchange> waiting = new ArrayDeque<>();
    private final Set<Channel> channels = new HashSet<>();
    private int openConnections;
    private boolean closed;

    /** A complete response. */
    public record Response(int status, HttpHeaders headers, byte[] body) {}

    /**
     * Creates a client without connections.
     *
     * @param bootstrap remote address and options of the connections
     * @param host value of the Host header
     * @param maxResponseBytes bound on the length of a body, also that of an error response
     */
    public ExchangeClient(Bootstrap bootstrap, EventLoop loop, String host, int maxConnections, int maxResponseBytes) {
        this.loop = loop;
        this.host = host;
        this.maxConnections = maxConnections;
        this.maxResponseBytes = maxResponseBytes;
        this.bootstrap = bootstrap
                .group(loop)
                .channel(NioSocketChannel.class)
                .handler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel opened) {
                        opened.pipeline().addLast(new ExchangeCodec(), new Connection());
                    }
                });
    }

    /** A request with the part of its response that has arrived. */
    private static final class Exchange {
        final String uri;
        final long responseMillis;
        final CompletableFuture<Response> reply = new CompletableFuture<>();
        final ByteArrayOutputStream body = new ByteArrayOutputStream();
        HttpResponse response;
        Connection connection;
        Future<?> totalTimer;
        Future<?> readTimer;

        Exchange(String uri, long responseMillis) {
            this.uri = uri;
            this.responseMillis = responseMillis;
        }

        /** Ends the exchange; returns false if it has ended before. */
        boolean end() {
            if (reply.isDone()) {
                return false;
            }
            totalTimer.cancel(false);
            cancelReadTimer();
            return true;
        }

        void cancelReadTimer() {
            if (readTimer != null) {
                readTimer.cancel(false);
            }
        }
    }

    /**
     * Sends a request; the future fails with {@link ExchangeException}.
     *
     * @param responseMillis longest time without a byte of the response, from when the request is sent
     * @param totalMillis longest time until the response is complete, including the connection
     */
    public CompletableFuture<Response> get(String uri, long responseMillis, long totalMillis) {
        Exchange exchange = new Exchange(uri, responseMillis);
        if (loop.inEventLoop()) {
            start(exchange, totalMillis);
        } else {
            loop.execute(() -> start(exchange, totalMillis));
        }
        return exchange.reply;
    }

    private void start(Exchange exchange, long totalMillis) {
        exchange.totalTimer =
                loop.schedule(() -> fail(exchange, Kind.TIMEOUT, null), totalMillis, TimeUnit.MILLISECONDS);
        if (closed) {
            fail(exchange, Kind.DISCONNECTED, null);
            return;
        }
        waiting.add(exchange);
        startWaiting();
    }

    private void startWaiting() {
        while (!waiting.isEmpty()) {
            Connection kept = idle.poll();
            if (kept == null && openConnections >= maxConnections) {
                return;
            }
            Exchange next = waiting.poll();
            if (next.reply.isDone()) {
                if (kept != null) {
                    idle.add(kept);
                }
            } else if (kept != null) {
                kept.send(next);
            } else {
                connect(next);
            }
        }
    }

    private void connect(Exchange exchange) {
        openConnections++;
        ChannelFuture connect = bootstrap.connect();
        connect.addListener(done -> {
            if (!connect.isSuccess()) {
                openConnections--;
                fail(exchange, Kind.DISCONNECTED, connect.cause());
                startWaiting();
                return;
            }
            channels.add(connect.channel());
            Connection connection = connect.channel().pipeline().get(Connection.class);
            if (closed) {
                connect.channel().close();
            } else if (exchange.reply.isDone()) {
                connection.release();
            } else {
                connection.send(exchange);
            }
        });
    }

    /** Fails an exchange. Its connection is closed, because the rest of its response may still arrive. */
    private void fail(Exchange exchange, Kind kind, Throwable cause) {
        if (exchange.end()) {
            if (exchange.connection != null) {
                exchange.connection.channel.close();
            }
            String reason = cause == null ? kind.toString() : kind + ", " + cause;
            exchange.reply.completeExceptionally(new ExchangeException(kind, "no response: " + reason, cause));
        }
    }

    /** One connection and its current exchange, which is null between two. */
    private final class Connection extends SimpleChannelInboundHandler<HttpObject> {
        private Channel channel;
        private Exchange exchange;

        @Override
        public void handlerAdded(ChannelHandlerContext context) {
            channel = context.channel();
        }

        void send(Exchange sent) {
            exchange = sent;
            sent.connection = this;
            restartReadTimer();
            FullHttpRequest request =
                    new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, sent.uri, Unpooled.EMPTY_BUFFER);
            request.headers().set(HttpHeaderNames.HOST, host);
            request.headers().set(HttpHeaderNames.ACCEPT, "*/*");
            channel.writeAndFlush(request).addListener(written -> {
                if (!written.isSuccess()) {
                    fail(sent, Kind.DISCONNECTED, written.cause());
                }
            });
        }

        private void restartReadTimer() {
            Exchange timed = exchange;
            timed.cancelReadTimer();
            timed.readTimer =
                    loop.schedule(() -> fail(timed, Kind.TIMEOUT, null), timed.responseMillis, TimeUnit.MILLISECONDS);
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, HttpObject message) {
            if (exchange == null || exchange.reply.isDone()) {
                channel.close();
                return;
            }
            if (message.decoderResult().isFailure()) {
                fail(exchange, Kind.MALFORMED, message.decoderResult().cause());
                return;
            }
            restartReadTimer();
            if (message instanceof HttpResponse response) {
                exchange.response = response;
            }
            if (exchange.response.status().codeClass() == HttpStatusClass.INFORMATIONAL) {
                return;
            }
            if (message instanceof HttpContent content) {
                append(content.content());
            }
            if (message instanceof LastHttpContent && !exchange.reply.isDone()) {
                complete();
            }
        }

        private void append(ByteBuf content) {
            if (exchange.body.size() + content.readableBytes() > maxResponseBytes) {
                fail(exchange, Kind.TOO_LONG, null);
                return;
            }
            byte[] bytes = new byte[content.readableBytes()];
            content.getBytes(content.readerIndex(), bytes);
            exchange.body.writeBytes(bytes);
        }

        private void complete() {
            Exchange finished = exchange;
            HttpResponse response = finished.response;
            finished.end();
            exchange = null;
            if (HttpUtil.isKeepAlive(response)) {
                release();
            } else {
                channel.close();
            }
            finished.reply.complete(
                    new Response(response.status().code(), response.headers(), finished.body.toByteArray()));
        }

        /** Makes the connection available, unless the codec has closed it because of surplus bytes. */
        private void release() {
            if (channel.isActive()) {
                idle.add(this);
                startWaiting();
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            if (exchange != null) {
                fail(exchange, Kind.DISCONNECTED, cause);
            }
            channel.close();
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            openConnections--;
            channels.remove(channel);
            idle.remove(this);
            if (exchange != null) {
                fail(exchange, Kind.DISCONNECTED, null);
            }
            startWaiting();
        }
    }

    /** Closes all connections; the exchanges in flight fail. */
    @Override
    public void close() {
        loop.execute(() -> {
            closed = true;
            for (Channel channel : Set.copyOf(channels)) {
                channel.close();
            }
            for (Exchange exchange : waiting) {
                fail(exchange, Kind.DISCONNECTED, null);
            }
            waiting.clear();
        });
    }
}
