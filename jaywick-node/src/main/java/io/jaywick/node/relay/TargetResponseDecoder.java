package io.jaywick.node.relay;

import java.nio.charset.StandardCharsets;
import java.util.List;

import io.jaywick.node.http.StatusLines;
import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.handler.codec.http.HttpUtil;

/**
 * Decodes responses of a target; the response to a HEAD request has no body, whatever its headers say. Detects bytes
 * outside an exchange, which would otherwise stay in the decoder and become part of the next response.
 */
final class TargetResponseDecoder extends HttpResponseDecoder {

    /** Longer than the part of a status line that can be recognized. */
    private static final int MAX_SURPLUS_START = 16;

    private boolean noBodyExpected;
    private boolean responseExpected;
    private boolean surplusReceived;
    private String surplusStart = "";

    /**
     * Starts an exchange.
     *
     * @param noBody whether the response has no body
     */
    void startExchange(boolean noBody) {
        noBodyExpected = noBody;
        responseExpected = true;
    }

    /** Ends an exchange; all further bytes are surplus. */
    void endExchange() {
        responseExpected = false;
    }

    /** Returns whether bytes were received after the response of an exchange and before the next exchange. */
    boolean isSurplusReceived() {
        return surplusReceived;
    }

    /** Returns the first bytes after the response, one byte a character. */
    String surplusStart() {
        return surplusStart;
    }

    /** Returns whether the end of a response is known without the close of the connection. */
    boolean endsBeforeClose(HttpResponse response) {
        return HttpUtil.isContentLengthSet(response)
                || HttpUtil.isTransferEncodingChunked(response)
                || isContentAlwaysEmpty(response);
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) throws Exception {
        if (message instanceof ByteBuf bytes) {
            detectSurplus(bytes);
        }
        super.channelRead(context, message);
    }

    @Override
    protected void decode(ChannelHandlerContext context, ByteBuf buffer, List<Object> decoded) throws Exception {
        // The messages of an earlier call of this method have been handled, so this is known at the end of a response.
        detectSurplus(buffer);
        super.decode(context, buffer, decoded);
    }

    @Override
    protected HttpMessage createMessage(String[] initialLine) {
        StatusLines.checkStatus(initialLine[1]);
        return super.createMessage(initialLine);
    }

    private void detectSurplus(ByteBuf bytes) {
        if (!responseExpected && !surplusReceived && bytes.isReadable()) {
            surplusReceived = true;
            surplusStart = bytes.toString(
                    bytes.readerIndex(),
                    Math.min(bytes.readableBytes(), MAX_SURPLUS_START),
                    StandardCharsets.ISO_8859_1);
        }
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
