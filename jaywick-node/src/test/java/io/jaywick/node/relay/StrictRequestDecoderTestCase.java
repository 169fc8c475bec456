package io.jaywick.node.relay;

import java.nio.charset.StandardCharsets;

import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.HttpRequest;
import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

class StrictRequestDecoderTestCase {

    private static final int MAX_HEADER_BYTES = 16_384;

    private static boolean isAccepted(int uriCharacters) {
        EmbeddedChannel channel = new EmbeddedChannel(new StrictRequestDecoder(MAX_HEADER_BYTES));
        String request = "GET /" + "x".repeat(uriCharacters - 1) + " HTTP/1.1\r\nHost: h.example\r\n\r\n";
        channel.writeInbound(Unpooled.copiedBuffer(request, StandardCharsets.ISO_8859_1));
        HttpRequest decoded = channel.readInbound();
        return decoded.decoderResult().isSuccess();
    }

    /** Guards against a limit of the node's own that rejects requests within the operator's limit. */
    @Test
    void requestLineWithinTheOperatorsLimitIsAccepted() {
        assertThat(isAccepted(12_000), is(true));
        assertThat(isAccepted(MAX_HEADER_BYTES), is(false));
    }
}
