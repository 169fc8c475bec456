package io.jaywick.node.relay;

import java.nio.charset.StandardCharsets;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpRequestEncoder;

/**
 * Encodes requests to a target. The request target is written with one byte a character, as the decoder reads it, so
 * that bytes above 127 pass unchanged; the base class would encode them as UTF-8 a second time.
 */
final class TargetRequestEncoder extends HttpRequestEncoder {

    private static final int CRLF = ('\r' << 8) | '\n';

    @Override
    protected void encodeInitialLine(ByteBuf buffer, HttpRequest request) {
        ByteBufUtil.copy(request.method().asciiName(), buffer);
        buffer.writeByte(' ');
        buffer.writeCharSequence(request.uri(), StandardCharsets.ISO_8859_1);
        buffer.writeByte(' ');
        buffer.writeCharSequence(request.protocolVersion().text(), StandardCharsets.US_ASCII);
        buffer.writeShort(CRLF);
    }
}
