package io.jaywick.node.relay;

import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpResponseDecoder;

/** Decoder of a target's answers that knows whether the request was a HEAD, whose answer has no body. */
final class TargetResponseDecoder extends HttpResponseDecoder {

    private boolean noBodyExpected;

    void expectNoBody(boolean expected) {
        noBodyExpected = expected;
    }

    @Override
    protected boolean isContentAlwaysEmpty(HttpMessage message) {
        return noBodyExpected || super.isContentAlwaysEmpty(message);
    }

    @Override
    protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
        throw new IllegalArgumentException("both a length and chunks");
    }
}
