package io.jaywick.node.relay;

import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpResponseDecoder;

/** Decodes responses of a target; the response to a HEAD request has no body, whatever its headers say. */
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
        throw new IllegalArgumentException("response has both Content-Length and chunked Transfer-Encoding");
    }
}
