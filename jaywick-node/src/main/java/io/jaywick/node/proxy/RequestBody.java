package io.jaywick.node.proxy;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import org.reactivestreams.Publisher;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.netty.NettyOutbound;
import reactor.netty.http.server.HttpServerRequest;

/**
 * Body of a request to be forwarded. A small body of known length is buffered so that it can be resent; any other body
 * is streamed and can be sent only once.
 *
 * @param bytes buffered body, or null if the body is streamed
 * @param stream streamed body, or null if the body is buffered
 */
record RequestBody(byte[] bytes, Flux<ByteBuf> stream) {

    static final int MAX_BUFFERED_BYTES = 64 * 1024;

    private static final RequestBody EMPTY = new RequestBody(new byte[0], null);

    static Mono<RequestBody> receive(HttpServerRequest request) {
        long length = bodyLength(request.requestHeaders());
        if (length == 0) {
            return Mono.just(EMPTY);
        }
        if (length > 0 && length <= MAX_BUFFERED_BYTES) {
            return request.receive().aggregate().asByteArray().map(bytes -> new RequestBody(bytes, null));
        }
        return Mono.just(streamed(request));
    }

    /** Returns a body that is passed on without being buffered. */
    static RequestBody streamed(HttpServerRequest request) {
        return bodyLength(request.requestHeaders()) == 0
                ? EMPTY
                : new RequestBody(null, request.receive().retain());
    }

    boolean isResendable() {
        return bytes != null;
    }

    Publisher<Void> send(NettyOutbound outbound) {
        if (bytes == null) {
            return outbound.send(stream);
        }
        return bytes.length == 0 ? outbound : outbound.send(Mono.just(Unpooled.wrappedBuffer(bytes)));
    }

    /** Returns the length, or -1 if it is not known in advance. */
    private static long bodyLength(HttpHeaders headers) {
        if (headers.contains(HttpHeaderNames.TRANSFER_ENCODING)) {
            return -1;
        }
        String value = headers.get(HttpHeaderNames.CONTENT_LENGTH);
        if (value == null) {
            return 0;
        }
        try {
            return Long.parseLong(value);
        } catch (NumberFormatException e) {
            return -1;
        }
    }
}
