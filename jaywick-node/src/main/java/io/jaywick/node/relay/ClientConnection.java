package io.jaywick.node.relay;

import java.io.ByteArrayOutputStream;
import java.util.ArrayDeque;
import java.util.concurrent.TimeUnit;

import io.jaywick.core.rules.CallerLimits;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
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

/** One connection of a local caller. Pipelined requests are served one at a time, in order. */
final class ClientConnection extends SimpleChannelInboundHandler<HttpObject> {

    /** Requests waiting for the response to an earlier one from which on the connection is not read for a while. */
    private static final int MAX_PIPELINED = 64;

    /** Bytes of the bodies of waiting requests from which on the connection is not read for a while. */
    private static final int MAX_PIPELINED_BYTES = 1 << 20;

    /** A request that the caller sent on a new connection is read within this time, also on a busy machine. */
    private static final long NEW_CONNECTION_MILLIS = 500;

    private static final long MILLIS_PER_SECOND = 1_000;

    private final ClientListener listener;
    private final ArrayDeque<ClientRequest> pipelined = new ArrayDeque<>();
    private long pipelinedBytes;
    private ChannelHandlerContext context;
    private HttpRequest incomingRequest;
    private ByteArrayOutputStream incomingBody;
    private ClientRequest activeRequest;
    private PendingCall activeCall;
    private ClientResponse pendingRejection;
    private int unflushedResponses;
    private boolean starting;
    private boolean closing;
    private boolean closeAfterResponse;
    private boolean inputEnded;
    private long idleSinceNanos;
    private ScheduledFuture<?> timer;

    ClientConnection(ClientListener listener) {
        this.listener = listener;
    }

    @Override
    public void channelActive(ChannelHandlerContext active) {
        context = active;
        listener.connectionOpened(this);
        startIdleTimer();
    }

    /** Whether a request is being received or served, or a response is not yet written to the socket. */
    boolean isBusy() {
        return hasRequest() || unflushedResponses > 0;
    }

    boolean isReceiving() {
        return incomingRequest != null;
    }

    int unflushedResponses() {
        return unflushedResponses;
    }

    private boolean hasRequest() {
        return activeRequest != null || incomingRequest != null || !pipelined.isEmpty();
    }

    /**
     * Closes the connection if it has been idle for a while, else after the response to the request that is being
     * received or served or is about to arrive.
     */
    void closeWhenIdle() {
        closeAfterResponse = true;
        long idleMillis = TimeUnit.NANOSECONDS.toMillis(listener.nanoTime() - idleSinceNanos);
        if (!isBusy() && idleMillis >= NEW_CONNECTION_MILLIS) {
            context.close();
        }
    }

    private void responseFlushed(boolean close) {
        unflushedResponses--;
        if (close || closeAfterResponse && !isBusy()) {
            context.close();
        }
    }

    private void startIdleTimer() {
        idleSinceNanos = listener.nanoTime();
        restartTimer(listener.limits().idleTimeoutMillis(), () -> {
            if (!hasRequest()) {
                context.close();
            }
        });
    }

    private void restartTimer(long millis, Runnable onTimeout) {
        if (timer != null) {
            timer.cancel(false);
        }
        timer = context.channel().eventLoop().schedule(onTimeout, millis, TimeUnit.MILLISECONDS);
    }

    /**
     * Starts the header timeout when bytes arrive while no request is being received or served; each further read
     * before the end of the header section restarts it.
     */
    void bytesReceived() {
        if (!hasRequest()) {
            idleSinceNanos = listener.nanoTime();
            restartTimer(listener.limits().headerTimeoutMillis(), () -> {
                if (incomingRequest == null && activeRequest == null) {
                    reject(ClientResponse.REQUEST_TIMEOUT, "header-timeout");
                }
            });
        }
    }

    @Override
    protected void channelRead0(ChannelHandlerContext reading, HttpObject message) {
        if (inputEnded) {
            return;
        }
        if (message.decoderResult().isFailure()) {
            Throwable cause = message.decoderResult().cause();
            boolean tooLong = cause instanceof TooLongHttpHeaderException || cause instanceof TooLongHttpLineException;
            reject(tooLong ? ClientResponse.HEADERS_TOO_LARGE : ClientResponse.BAD_REQUEST, "malformed-request");
            return;
        }
        if (message instanceof HttpRequest request) {
            startRequest(request);
        }
        if (message instanceof HttpContent content && incomingRequest != null) {
            appendBody(content.content());
            if (message instanceof LastHttpContent && incomingRequest != null) {
                completeRequest();
            }
        }
    }

    private void startRequest(HttpRequest request) {
        if (request.headers().getAll(HttpHeaderNames.HOST).size() > 1) {
            reject(ClientResponse.BAD_REQUEST, "several-hosts");
            return;
        }
        incomingRequest = request;
        incomingBody = new ByteArrayOutputStream();
        CallerLimits limits = listener.limits();
        if (HttpUtil.getContentLength(request, 0L) > limits.maxBodyBytes()) {
            reject(ClientResponse.CONTENT_TOO_LARGE, "body-too-large");
            return;
        }
        if (HttpUtil.is100ContinueExpected(request)) {
            context.writeAndFlush(new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE));
        }
        if (timer != null) {
            timer.cancel(false);
        }
    }

    private void appendBody(ByteBuf content) {
        if (incomingBody.size() + content.readableBytes() > listener.limits().maxBodyBytes()) {
            reject(ClientResponse.CONTENT_TOO_LARGE, "body-too-large");
            return;
        }
        byte[] bytes = new byte[content.readableBytes()];
        content.getBytes(content.readerIndex(), bytes);
        incomingBody.writeBytes(bytes);
    }

    private void completeRequest() {
        ClientRequest request = new ClientRequest(
                incomingRequest.method().name(),
                incomingRequest.uri(),
                incomingRequest.headers(),
                incomingBody.toByteArray(),
                listener.nanoTime());
        boolean keepAlive = HttpUtil.isKeepAlive(incomingRequest);
        incomingRequest = null;
        incomingBody = null;
        if (!keepAlive) {
            inputEnded = true;
        }
        pipelined.add(request);
        pipelinedBytes += request.body().length;
        if (activeRequest == null) {
            serveWaiting();
        } else {
            updateReading();
        }
    }

    /**
     * Stops reading while many requests wait, so that the caller is slowed down by TCP flow control. The requests of the
     * last read are kept in any case.
     */
    private void updateReading() {
        context.channel()
                .config()
                .setAutoRead(pipelined.size() < MAX_PIPELINED && pipelinedBytes < MAX_PIPELINED_BYTES);
    }

    /** Serves waiting requests until one is not answered at once; iterative, because any number may be. */
    private void serveWaiting() {
        while (activeRequest == null && !closing && !pipelined.isEmpty()) {
            ClientRequest next = pipelined.poll();
            pipelinedBytes -= next.body().length;
            updateReading();
            serve(next);
        }
        if (activeRequest != null || closing) {
            return;
        }
        if (pendingRejection != null) {
            writeResponse(null, pendingRejection, true);
        } else if (incomingRequest == null) {
            startIdleTimer();
        }
    }

    private void serve(ClientRequest request) {
        activeRequest = request;
        starting = true;
        PendingCall started = listener.serve(request, response -> respond(request, response));
        starting = false;
        if (activeRequest == request) {
            activeCall = started;
        }
    }

    private void respond(ClientRequest request, ClientResponse response) {
        activeRequest = null;
        activeCall = null;
        inputEnded |= closeAfterResponse || listener.isDraining();
        closing = inputEnded && pipelined.isEmpty() && pendingRejection == null;
        writeResponse(request, response, closing);
        if (!closing && !starting) {
            serveWaiting();
        }
    }

    private void writeResponse(ClientRequest request, ClientResponse response, boolean close) {
        boolean noBody = request != null && request.method().equals("HEAD");
        FullHttpResponse message = new DefaultFullHttpResponse(
                HttpVersion.HTTP_1_1,
                HttpResponseStatus.valueOf(response.status()),
                noBody ? Unpooled.EMPTY_BUFFER : Unpooled.wrappedBuffer(response.body()));
        HopHeaders.addTo(message.headers(), response.headers());
        String idName = listener.names().requestId();
        String id = request == null ? null : request.headers().get(idName);
        if (id != null) {
            message.headers().set(idName, id);
        }
        if (response.retryAfterMillis() > 0) {
            message.headers().set(HttpHeaderNames.RETRY_AFTER, secondsWithMillis(response.retryAfterMillis()));
        }
        HttpUtil.setContentLength(message, response.body().length);
        if (close) {
            message.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        }
        unflushedResponses++;
        context.writeAndFlush(message).addListener(written -> responseFlushed(close));
    }

    /** Returns a time in seconds with three decimals. A format string would cost more than the rest of a refusal. */
    static String secondsWithMillis(long millis) {
        String decimals = Long.toString(MILLIS_PER_SECOND + millis % MILLIS_PER_SECOND);
        return millis / MILLIS_PER_SECOND + "." + decimals.substring(1);
    }

    /** Rejects the request being received, after the responses to the requests before it. */
    private void reject(int status, String reason) {
        inputEnded = true;
        incomingRequest = null;
        listener.logRejection(reason);
        ClientResponse rejection = ClientResponse.generated(status, reason, 0);
        if (activeRequest == null) {
            writeResponse(null, rejection, true);
        } else {
            pendingRejection = rejection;
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext failed, Throwable cause) {
        listener.log().debug("caller connection failed", "error", String.valueOf(cause));
        failed.close();
    }

    @Override
    public void channelInactive(ChannelHandlerContext inactive) {
        if (timer != null) {
            timer.cancel(false);
        }
        pipelined.clear();
        if (activeCall != null) {
            PendingCall abandoned = activeCall;
            activeCall = null;
            abandoned.cancel();
        }
        listener.connectionClosed(this);
    }
}
