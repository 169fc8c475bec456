package io.jaywick.node.relay;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;

import io.jaywick.core.message.ForwardCall;
import io.jaywick.node.http.StatusLines;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.concurrent.ScheduledFuture;

/**
 * One connection to the local target, with at most one call at a time. A response belongs to the call only if it echoes
 * its request id; other responses are dropped. Only complete responses count.
 */
final class TargetConnection extends SimpleChannelInboundHandler<HttpObject> {

    /** Longer responses are not held in memory, of which a node has about 100 MB; the call counts as lost. */
    private static final int MAX_RESPONSE_BYTES = 8 << 20;

    private static final int STATUS_MISDIRECTED = 421;
    private static final int STATUS_CLASS_SUCCESS = 2;
    private static final int STATUS_CLASS = 100;

    /**
     * Connections are closed this long before the target would close them, so that no call is sent on a closing one.
     */
    private static final long IDLE_MARGIN_MILLIS = 1_500;

    /** Bounds the memory of the request ids of a connection. */
    private static final int MAX_CALLS = 512;

    /** Idle time after which a connection is no longer used if the target states no keep-alive timeout. */
    private static final long DEFAULT_IDLE_TIMEOUT_MILLIS = 2_000;

    private static final long NANOS_PER_MILLI = 1_000_000;

    private final TargetPool pool;
    private final TargetResponseDecoder decoder;
    private final Set<String> sentRequestIds = new HashSet<>();
    private Channel channel;
    private Exchange exchange;
    private boolean reusable = true;
    private boolean responseMatches;
    private boolean connectionReset;
    private volatile boolean closedByNode;
    private boolean hasServedCall;
    private String lastRequestId = "";
    private long idleTimeoutMillis = DEFAULT_IDLE_TIMEOUT_MILLIS;
    private long idleSinceNanos;

    TargetConnection(TargetPool pool, TargetResponseDecoder decoder) {
        this.pool = pool;
        this.decoder = decoder;
    }

    /** A call with the part of its response that has arrived. */
    private static final class Exchange {
        final ForwardCall call;
        final TargetPool.ResultListener listener;
        final double idleMillisBefore;
        final long sentNanos;
        final ByteArrayOutputStream body = new ByteArrayOutputStream();
        HttpResponse response;
        long responseNanos;
        boolean unidentifiedFailure;
        CallResult result;
        ScheduledFuture<?> timeout;

        Exchange(ForwardCall call, TargetPool.ResultListener listener, double idleMillisBefore, long sentNanos) {
            this.call = call;
            this.listener = listener;
            this.idleMillisBefore = idleMillisBefore;
            this.sentNanos = sentNanos;
        }
    }

    @Override
    public void handlerAdded(ChannelHandlerContext context) {
        channel = context.channel();
        idleSinceNanos = pool.nanoTime();
    }

    boolean isUsable() {
        return channel.isActive()
                && reusable
                && exchange == null
                && sentRequestIds.size() < MAX_CALLS
                && idleMillisNow() < idleTimeoutMillis
                && pool.idleTimeoutEstimator().allowsReuse(idleMillisNow(), pool.nanoTime());
    }

    /**
     * Whether a call with the request id was sent before. A late second response to it could not be told from the
     * response to another call with that id; health checks have the empty id.
     */
    boolean hasSent(String requestId) {
        return sentRequestIds.contains(requestId);
    }

    private double idleMillisNow() {
        return (pool.nanoTime() - idleSinceNanos) / (double) NANOS_PER_MILLI;
    }

    void close() {
        closedByNode = true;
        channel.close();
    }

    /**
     * Sends a call.
     *
     * @param remainingMillis deadline sent to the target; the response is awaited for {@link
     *     TargetPool#RESPONSE_SLACK_MILLIS} longer
     */
    void send(ForwardCall call, long remainingMillis, TargetPool.ResultListener listener) {
        Exchange sent = new Exchange(call, listener, hasServedCall ? idleMillisNow() : 0, pool.nanoTime());
        exchange = sent;
        lastRequestId = call.requestId();
        sentRequestIds.add(call.requestId());
        responseMatches = false;
        decoder.startExchange("HEAD".equals(call.method()));
        sent.timeout = channel.eventLoop()
                .schedule(
                        () -> fail(sent, CallResult.timedOut()),
                        remainingMillis + TargetPool.RESPONSE_SLACK_MILLIS,
                        TimeUnit.MILLISECONDS);
        channel.writeAndFlush(toRequest(call, remainingMillis)).addListener(written -> {
            if (!written.isSuccess()) {
                fail(sent, CallResult.lost("write-failed"));
            }
        });
    }

    /** Abandons the call; the target drops it when its connection closes. */
    void cancel(ForwardCall call) {
        if (exchange != null && exchange.call == call) {
            endExchange();
            channel.close();
        }
    }

    private void endExchange() {
        exchange.timeout.cancel(false);
        pool.releaseBytes(exchange.body.size());
        exchange = null;
    }

    /** A health check has no request id, and neither has its response. */
    private static boolean isHealthCheck(ForwardCall call) {
        return call.requestId().isEmpty();
    }

    private HttpRequest toRequest(ForwardCall call, long remainingMillis) {
        ByteBuf body = Unpooled.wrappedBuffer(call.body());
        DefaultFullHttpRequest request =
                new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.valueOf(call.method()), call.uri(), body);
        HopHeaders.addTo(request.headers(), call.headers());
        if (!isHealthCheck(call)) {
            HeaderNames names = pool.names();
            request.headers().set(names.deadlineMillis(), remainingMillis);
            request.headers().set(names.expectedInstance(), call.instanceId());
        }
        if (call.body().length > 0 || !"GET".equals(call.method()) && !"HEAD".equals(call.method())) {
            HttpUtil.setContentLength(request, call.body().length);
        }
        return request;
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, HttpObject message) {
        if (exchange == null || exchange.result != null) {
            // Surplus; channelReadComplete closes the connection.
            return;
        }
        if (message.decoderResult().isFailure()) {
            rejectMalformed();
            return;
        }
        if (message instanceof HttpResponse response) {
            startResponse(response);
        }
        if (message instanceof HttpContent content && exchange != null && responseMatches) {
            appendBody(content.content());
            if (message instanceof LastHttpContent && exchange != null) {
                completeResponse();
            }
        }
    }

    private void rejectMalformed() {
        reusable = false;
        // Not a reset, from which the estimator would learn that idle connections are dropped.
        fail(exchange, CallResult.lost("malformed-answer"));
    }

    /** The decoder accepts any version. */
    private static boolean isOfHttp1(HttpResponse response) {
        return response.protocolVersion().majorVersion() == HttpVersion.HTTP_1_1.majorVersion();
    }

    private void startResponse(HttpResponse response) {
        // After a switch of the protocol, which no request asks for, the decoder would decode no further response.
        if (!isOfHttp1(response)
                || MergedHeads.isMerged(response, pool.names())
                || response.status().code() == HttpResponseStatus.SWITCHING_PROTOCOLS.code()) {
            rejectMalformed();
            return;
        }
        String id = response.headers().get(pool.names().requestId());
        boolean matches = isHealthCheck(exchange.call)
                ? id == null && !isSuccessOfACall(response)
                : exchange.call.requestId().equals(id);
        boolean isFinal = response.status().codeClass() != HttpStatusClass.INFORMATIONAL;
        responseMatches = matches && isFinal;
        if (responseMatches) {
            exchange.response = response;
            exchange.responseNanos = pool.nanoTime();
        } else if (isFinal) {
            pool.unmatchedResponses().recordResponse(exchange.call.requestId(), id, response);
            exchange.unidentifiedFailure |=
                    !isIdOfSentCall(id) && response.status().codeClass() != HttpStatusClass.SUCCESS;
            // A response to another request: its remainder or a further one could be taken for that of the next call.
            reusable = false;
            if (!decoder.endsBeforeClose(response)) {
                // All further bytes are its body, so the response to this call cannot arrive.
                rejectMalformed();
            }
        }
    }

    /** Only an id that was sent on this connection shows that a response is a second one; health checks have none. */
    private boolean isIdOfSentCall(String id) {
        return id != null && !id.isEmpty() && sentRequestIds.contains(id);
    }

    /** A success of a call has a stamp; one of a health check names the instance. */
    private boolean isSuccessOfACall(HttpResponse response) {
        return response.status().codeClass() == HttpStatusClass.SUCCESS
                && response.headers().contains(pool.names().answerStamp())
                && !response.headers().contains(pool.names().instanceId());
    }

    private void appendBody(ByteBuf content) {
        if (exchange.body.size() + content.readableBytes() > MAX_RESPONSE_BYTES
                || !pool.reserveBytes(content.readableBytes())) {
            failAsLost("answer-too-long");
            channel.close();
            return;
        }
        byte[] bytes = new byte[content.readableBytes()];
        content.getBytes(content.readerIndex(), bytes);
        exchange.body.writeBytes(bytes);
    }

    /**
     * Sets the result. It is delivered only after all received bytes are read, because a connection with surplus bytes
     * must not be reused.
     */
    private void completeResponse() {
        HttpResponse response = exchange.response;
        if (connectionReset || closedByNode) {
            // The end of a response without a length is the close of the connection, but only by the target.
            failAsLost(connectionReset ? "connection-reset" : "connection-closed");
            return;
        }
        if (!HttpUtil.isKeepAlive(response) || !decoder.endsBeforeClose(response)) {
            reusable = false;
        }
        readIdleTimeout(response.headers());
        hasServedCall = true;
        exchange.result = classify(response);
        decoder.endExchange();
    }

    private CallResult classify(HttpResponse response) {
        HttpHeaders headers = response.headers();
        int status = response.status().code();
        HeaderNames names = pool.names();
        if (isHealthCheck(exchange.call)) {
            return CallResult.answered(status, HopHeaders.copy(headers, Set.of()), exchange.body.toByteArray());
        }
        boolean isSuccess = status / STATUS_CLASS == STATUS_CLASS_SUCCESS;
        boolean isPromise = status == STATUS_MISDIRECTED || headers.contains(names.notExecuted());
        if (exchange.unidentifiedFailure && (isSuccess || isPromise)) {
            // The failure may be the response to this call, and this one a second one.
            return CallResult.lost("malformed-answer");
        }
        if (status == STATUS_MISDIRECTED) {
            pool.recordInstance(headers.get(names.instanceId()));
            return CallResult.shed(CallResult.ANOTHER_INSTANCE, List.of());
        }
        if (isPromise) {
            return CallResult.shed("target-shed", HopHeaders.copy(headers, Set.of()));
        }
        if (isSuccess && !headers.contains(names.answerStamp()) || headers.contains(HttpHeaderNames.CONTENT_ENCODING)) {
            return CallResult.lost("unsigned-answer");
        }
        return CallResult.answered(status, HopHeaders.copy(headers, Set.of()), exchange.body.toByteArray());
    }

    private void readIdleTimeout(HttpHeaders headers) {
        String value = headers.get("Keep-Alive");
        if (value == null) {
            return;
        }
        for (String part : value.split(",")) {
            String trimmed = part.trim();
            if (trimmed.startsWith("timeout=")) {
                try {
                    long millis = TimeUnit.SECONDS.toMillis(Long.parseLong(trimmed.substring("timeout=".length())));
                    idleTimeoutMillis = Math.max(millis - IDLE_MARGIN_MILLIS, millis / 4);
                } catch (NumberFormatException e) {
                    pool.log().debug("invalid keep-alive timeout of the local target", "value", trimmed);
                }
            }
        }
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext context) {
        if (decoder.isSurplusReceived() && reusable) {
            // The surplus, which may be incomplete, would be read as the start of the next response.
            pool.unmatchedResponses().recordSurplus(lastRequestId);
            reusable = false;
            if (exchange == null) {
                channel.close();
            }
        }
        deliver();
        context.fireChannelReadComplete();
    }

    private void deliver() {
        if (exchange == null || exchange.result == null) {
            return;
        }
        Exchange finished = exchange;
        endExchange();
        idleSinceNanos = pool.nanoTime();
        if (reusable) {
            pool.release(this);
        } else {
            channel.close();
        }
        finished.listener.ended(
                isCompletedByAnother(finished) ? CallResult.lost("malformed-answer") : finished.result,
                finished.responseNanos);
    }

    private boolean isCompletedByAnother(Exchange finished) {
        boolean isChunked = HttpUtil.isTransferEncodingChunked(finished.response);
        if (!isChunked && !decoder.isSurplusReceived()) {
            return false;
        }
        byte[] body = finished.body.toByteArray();
        return decoder.isSurplusReceived() && StatusLines.startsInBody(body, decoder.surplusStart())
                || isChunked && StatusLines.endsInChunkedResponse(body);
    }

    private void failAsLost(String reason) {
        if (exchange != null && exchange.result == null) {
            if (exchange.response == null) {
                double elapsedMillis = (pool.nanoTime() - exchange.sentNanos) / (double) NANOS_PER_MILLI;
                pool.idleTimeoutEstimator().recordReset(exchange.idleMillisBefore, elapsedMillis, pool.nanoTime());
            }
            fail(exchange, CallResult.lost(reason));
        }
    }

    private void fail(Exchange failed, CallResult result) {
        if (exchange != failed || failed.result != null) {
            return;
        }
        endExchange();
        channel.close();
        failed.listener.ended(result, pool.nanoTime());
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        connectionReset = cause instanceof IOException;
        reusable = false;
        failAsLost(connectionReset ? "connection-reset" : "connection-failed");
        context.close();
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        deliver();
        failAsLost("connection-closed");
        pool.connectionClosed(this);
    }
}
