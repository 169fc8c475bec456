package io.jaywick.node.proxy;

import io.netty.handler.codec.http.HttpHeaders;
import reactor.core.publisher.Mono;
import reactor.netty.ByteBufFlux;
import reactor.netty.http.client.HttpClientResponse;
import reactor.netty.http.server.HttpServerResponse;

/** A complete HTTP response, buffered in memory. */
record BufferedResponse(int status, HttpHeaders headers, byte[] body) {

    private static final byte[] NO_BODY = new byte[0];

    /**
     * Returns whether a response is buffered completely before a byte of it is passed on. A response that is longer or
     * of unknown length is streamed.
     */
    static boolean shouldBuffer(String method, HttpClientResponse response) {
        int status = response.status().code();
        long length = HttpForwarding.bodyLength(response.responseHeaders());
        return HttpForwarding.hasNoBody(method, status) || length >= 0 && length <= RequestBody.MAX_BUFFERED_BYTES;
    }

    static Mono<BufferedResponse> receive(String method, HttpClientResponse response, ByteBufFlux content) {
        int status = response.status().code();
        HttpHeaders headers = response.responseHeaders();
        if (HttpForwarding.hasNoBody(method, status)) {
            return content.then(Mono.fromSupplier(() -> new BufferedResponse(status, headers, NO_BODY)));
        }
        return content.aggregate()
                .asByteArray()
                .defaultIfEmpty(NO_BODY)
                .map(body -> new BufferedResponse(status, headers, body));
    }

    /** Sends the status, the forwarded headers and the body. */
    Mono<Void> send(HttpServerResponse response) {
        response.status(status);
        HttpForwarding.copyHeaders(headers, response.responseHeaders());
        return body.length == 0
                ? response.send()
                : response.sendByteArray(Mono.just(body)).then();
    }
}
