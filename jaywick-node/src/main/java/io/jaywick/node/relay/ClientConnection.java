package io.jaywick.node.relay;

import java.io.ByteArrayOutputStream;
import java.util.ArrayDeque;
import java.util.Locale;
import java.util.concurrent.TimeUnit;

import io.jaywick.core.rules.CallerLimits;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.handler.codec.http.TooLongHttpHeaderException;
import io.netty.handler.codec.http.TooLongHttpLineException;
import io.netty.util.concurrent.ScheduledFuture;

/** One connection of a caller beside the node. Requests are answered one at a time, in their order. */
final class ClientConnection extends SimpleChannelInboundHandler<HttpObject> {

    /** Requests that a caller may send ahead of their answers. */
    private static final int MAX_PIPELINED = 16;

    private static final double MILLIS_PER_SECOND = 1_000;

    private final ClientListener listener;
    private final ArrayDeque<ClientRequest> waiting = new ArrayDeque<>();
    private ChannelHandlerContext context;
    private HttpRequest head;
    private ByteArrayOutputStream body;
    private ClientRequest current;
    private PendingCall pending;
    private boolean closing;
    private boolean lastRequest;
    private ScheduledFuture<?> timer;

    ClientConnection(ClientListener listener) {
        this.listener = listener;
    }

    @Override
    public void channelActive(ChannelHandlerContext active) {
        context = active;
        listener.opened(this);
        awaitHead();
    }

    /** Whether a request is being read or answered. */
    boolean isBusy() {
        return current != null || head != null || !waiting.isEmpty();
    }

    /** Closes the connection after the answer under way, or now. */
    void closeWhenIdle() {
        closing = true;
        if (!isBusy()) {
            context.close();
        }
    }

    private void awaitHead() {
        limit(listener.limits().idleTimeoutMillis(), () -> {
            if (!isBusy()) {
                context.close();
            }
        });
    }

    private void limit(long millis, Runnable action) {
        if (timer != null) {
            timer.cancel(false);
        }
        timer = context.channel().eventLoop().schedule(action, millis, TimeUnit.MILLISECONDS);
    }

    /** Called with the first bytes of a request head. */
    void headStarted() {
        if (!isBusy()) {
            limit(listener.limits().headerTimeoutMillis(), () -> {
                if (head == null && current == null) {
                    reject(ClientAnswer.REQUEST_TIMEOUT, "header-timeout");
                }
            });
        }
    }

    @Override
    protected void channelRead0(ChannelHandlerContext reading, HttpObject message) {
        if (lastRequest) {
            return;
        }
        if (message.decoderResult().isFailure()) {
            Throwable cause = message.decoderResult().cause();
            boolean tooLong = cause instanceof TooLongHttpHeaderException || cause instanceof TooLongHttpLineException;
            reject(tooLong ? ClientAnswer.HEADERS_TOO_LARGE : ClientAnswer.BAD_REQUEST, "malformed-request");
            return;
        }
        if (message instanceof HttpRequest request) {
            begin(request);
        }
        if (message instanceof HttpContent content && head != null) {
            add(content.content());
            if (message instanceof LastHttpContent && head != null) {
                complete();
            }
        }
    }

    private void begin(HttpRequest request) {
        if (request.headers().getAll(HttpHeaderNames.HOST).size() > 1) {
            reject(ClientAnswer.BAD_REQUEST, "several-hosts");
            return;
        }
        head = request;
        body = new ByteArrayOutputStream();
        CallerLimits limits = listener.limits();
        if (HttpUtil.getContentLength(request, 0L) > limits.maxBodyBytes()) {
            reject(ClientAnswer.TOO_LARGE, "body-too-large");
            return;
        }
        if (HttpUtil.is100ContinueExpected(request)) {
            context.writeAndFlush(new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE));
        }
        if (timer != null) {
            timer.cancel(false);
        }
    }

    private void add(ByteBuf content) {
        if (body.size() + content.readableBytes() > listener.limits().maxBodyBytes()) {
            reject(ClientAnswer.TOO_LARGE, "body-too-large");
            return;
        }
        byte[] bytes = new byte[content.readableBytes()];
        content.getBytes(content.readerIndex(), bytes);
        body.writeBytes(bytes);
    }

    private void complete() {
        ClientRequest request = new ClientRequest(
                head.method().name(), head.uri(), head.headers(), body.toByteArray(), listener.nanoTime());
        boolean keepAlive = HttpUtil.isKeepAlive(head);
        head = null;
        body = null;
        if (!keepAlive) {
            lastRequest = true;
        }
        if (current == null) {
            serve(request);
        } else if (waiting.size() < MAX_PIPELINED) {
            waiting.add(request);
        } else {
            context.close();
        }
    }

    private void serve(ClientRequest request) {
        current = request;
        PendingCall started = listener.serve(request, answer -> answered(request, answer));
        if (current == request) {
            pending = started;
        }
    }

    private void answered(ClientRequest request, ClientAnswer answer) {
        current = null;
        pending = null;
        boolean close = closing || listener.isLeaving() || lastRequest && waiting.isEmpty();
        write(request, answer, close);
        if (close) {
            lastRequest = true;
            return;
        }
        ClientRequest following = waiting.poll();
        if (following != null) {
            serve(following);
        } else if (head == null) {
            awaitHead();
        }
    }

    private void write(ClientRequest request, ClientAnswer answer, boolean close) {
        boolean bodiless = request != null && request.method().equals("HEAD");
        FullHttpResponse response = new DefaultFullHttpResponse(
                HttpVersion.HTTP_1_1,
                HttpResponseStatus.valueOf(answer.status()),
                bodiless ? Unpooled.EMPTY_BUFFER : Unpooled.wrappedBuffer(answer.body()));
        HopHeaders.addTo(response.headers(), answer.headers());
        String idName = listener.names().requestId();
        String id = request == null ? null : request.headers().get(idName);
        if (id != null) {
            response.headers().set(idName, id);
        }
        if (answer.retryAfterMillis() > 0) {
            response.headers()
                    .set(
                            HttpHeaderNames.RETRY_AFTER,
                            String.format(Locale.ROOT, "%.3f", answer.retryAfterMillis() / MILLIS_PER_SECOND));
        }
        HttpUtil.setContentLength(response, answer.body().length);
        if (close) {
            response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        }
        context.writeAndFlush(response).addListener(close ? ChannelFutureListener.CLOSE : written -> {});
    }

    private void reject(int status, String reason) {
        lastRequest = true;
        head = null;
        listener.rejected(reason);
        write(null, ClientAnswer.own(status, reason, 0), true);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext failed, Throwable cause) {
        listener.log().debug("caller's connection failed", "error", String.valueOf(cause));
        failed.close();
    }

    @Override
    public void channelInactive(ChannelHandlerContext inactive) {
        if (timer != null) {
            timer.cancel(false);
        }
        waiting.clear();
        if (pending != null) {
            PendingCall left = pending;
            pending = null;
            left.cancel();
        }
        listener.closed(this);
    }
}
