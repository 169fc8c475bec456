package io.jaywick.node.relay;

import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpResponseDecoder;

/** Decoder of a target's answers that knows whether the request was a HEAD, whose answer has no body. */
final class AnswerDecoder extends HttpResponseDecoder {

    private boolean bodiless;

    void expectBodiless(boolean expected) {
        bodiless = expected;
    }

    @Override
    protected boolean isContentAlwaysEmpty(HttpMessage message) {
        return bodiless || super.isContentAlwaysEmpty(message);
    }

    @Override
    protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
        throw new IllegalArgumentException("both a length and chunks");
    }
}
