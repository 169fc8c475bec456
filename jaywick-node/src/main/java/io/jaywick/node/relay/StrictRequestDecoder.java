package io.jaywick.node.relay;

import java.util.List;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequestDecoder;
import io.netty.handler.codec.http.LastHttpContent;

/**
 * Decodes requests and rejects one with both a content length and chunked encoding, whose end two parsers could find at
 * different positions (request smuggling).
 */
final class StrictRequestDecoder extends HttpRequestDecoder {

    private final int maxHeaderBytes;
    private boolean inRequest;

    /**
     * Creates a decoder.
     *
     * @param maxHeaderBytes the operator's limit on the request line, and on the header fields together
     */
    StrictRequestDecoder(int maxHeaderBytes) {
        super(new HttpDecoderConfig().setMaxInitialLineLength(maxHeaderBytes).setMaxHeaderSize(maxHeaderBytes));
        this.maxHeaderBytes = maxHeaderBytes;
    }

    int maxHeaderBytes() {
        return maxHeaderBytes;
    }

    /** Whether no part of a request is held, so that another decoder can take the place of this one. */
    boolean isBetweenRequests() {
        return !inRequest && actualReadableBytes() == 0;
    }

    @Override
    protected HttpMessage createMessage(String[] initialLine) throws Exception {
        inRequest = true;
        return super.createMessage(initialLine);
    }

    @Override
    protected void decode(ChannelHandlerContext context, ByteBuf buffer, List<Object> out) throws Exception {
        super.decode(context, buffer, out);
        if (!out.isEmpty() && out.get(out.size() - 1) instanceof LastHttpContent) {
            inRequest = false;
        }
    }

    @Override
    protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
        throw new IllegalArgumentException("request has both Content-Length and chunked Transfer-Encoding");
    }
}
