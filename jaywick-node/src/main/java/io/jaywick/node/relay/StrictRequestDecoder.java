package io.jaywick.node.relay;

import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequestDecoder;

/**
 * Decodes requests and rejects one with both a content length and chunked encoding, whose end two parsers could find at
 * different positions (request smuggling).
 */
final class StrictRequestDecoder extends HttpRequestDecoder {

    /**
     * Creates a decoder.
     *
     * @param maxHeaderBytes the operator's limit on the request line, and on the header fields together
     */
    StrictRequestDecoder(int maxHeaderBytes) {
        super(new HttpDecoderConfig().setMaxInitialLineLength(maxHeaderBytes).setMaxHeaderSize(maxHeaderBytes));
    }

    @Override
    protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
        throw new IllegalArgumentException("request has both Content-Length and chunked Transfer-Encoding");
    }
}
