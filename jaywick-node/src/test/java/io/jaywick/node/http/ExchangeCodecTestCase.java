package io.jaywick.node.http;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;

class ExchangeCodecTestCase {

    private static final String SUCCESS = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
    private static final String CHUNKED =
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nTrailer: x\r\n\r\n";

    private final EmbeddedChannel channel = new EmbeddedChannel(new ExchangeCodec());

    @AfterEach
    void release() {
        channel.finishAndReleaseAll();
    }

    private void send(HttpMethod method) {
        channel.writeOutbound(new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, method, "/"));
    }

    /** Returns the statuses, bodies and ends that are decoded from bytes. */
    private List<String> receive(String bytes) {
        if (channel.isOpen()) {
            channel.writeInbound(Unpooled.copiedBuffer(bytes, StandardCharsets.ISO_8859_1));
        }
        List<String> decoded = new ArrayList<>();
        for (HttpObject message = channel.readInbound(); message != null; message = channel.readInbound()) {
            if (message instanceof HttpResponse response) {
                decoded.add(response.status().codeAsText().toString());
            }
            if (message instanceof HttpContent content && content.content().isReadable()) {
                decoded.add(content.content().toString(StandardCharsets.ISO_8859_1));
            }
            if (message instanceof LastHttpContent) {
                decoded.add("end");
            }
            ReferenceCountUtil.release(message);
        }
        return decoded;
    }

    /** Guards against connections that are closed although nothing follows the responses. */
    @Test
    void exchangesKeepTheConnection() {
        send(HttpMethod.GET);
        assertThat(receive(SUCCESS), contains("200", "ok", "end"));
        send(HttpMethod.HEAD);
        assertThat(receive("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n"), contains("200", "end"));
        send(HttpMethod.POST);
        assertThat(receive("HTTP/1.1 100 Continue\r\n\r\n" + CHUNKED), contains("100", "end", "200", "ok", "end"));
        send(HttpMethod.GET);
        assertThat(receive("HTTP/1.1 304 Not Modified\r\nETag: a\r\n\r\n"), contains("304", "end"));
        assertThat(channel.isOpen(), is(true));
    }

    /** Guards against a response with a status that callers cannot read. */
    @Test
    void responseWithAnInvalidStatusIsMalformed() {
        List<String> starts = new ArrayList<>(List.of("HTTP/1.1 101 "));
        RawHttpServer.INVALID_STATUSES.forEach(status -> starts.add("HTTP/1.1 " + status + " "));
        for (String start : starts) {
            EmbeddedChannel kept = new EmbeddedChannel(new ExchangeCodec());
            kept.writeOutbound(new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/"));
            kept.writeInbound(
                    Unpooled.copiedBuffer(SUCCESS.replace("HTTP/1.1 200 ", start), StandardCharsets.ISO_8859_1));
            HttpResponse response = kept.readInbound();
            assertThat(start, response.decoderResult().isFailure(), is(true));
            assertThat(start, kept.isOpen(), is(false));
            kept.finishAndReleaseAll();
        }
    }

    /** Guards against an interim response that the client takes for the final one. */
    @Test
    void interimResponsesAreDropped() {
        send(HttpMethod.GET);
        assertThat(receive("HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\nHTTP/1.1 102 Processing\r\n\r\n"), empty());
        assertThat(receive(SUCCESS), contains("200", "ok", "end"));
        assertThat(channel.isOpen(), is(true));
        send(HttpMethod.GET);
        assertThat(receive(SUCCESS + "HTTP/1.1 103 Early Hints\r\n\r\n"), contains("200", "ok", "end"));
        assertThat(channel.isOpen(), is(false));
    }

    /** Guards against a response without a length that lacks its end. */
    @Test
    void responseWithoutLengthEndsWithTheConnection() {
        send(HttpMethod.GET);
        assertThat(receive("HTTP/1.1 200 OK\r\n\r\nok"), contains("200", "ok"));
        channel.close();
        assertThat(receive(""), contains("end"));
    }

    /** Guards against a connection that is used again although the decoder holds bytes of another response. */
    @Test
    void bytesAfterAResponseCloseTheConnection() {
        for (String response : List.of(SUCCESS, CHUNKED)) {
            for (int length = 1; length <= SUCCESS.length(); length++) {
                EmbeddedChannel kept = new EmbeddedChannel(new ExchangeCodec());
                kept.writeOutbound(new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/"));
                kept.writeInbound(
                        Unpooled.copiedBuffer(response + SUCCESS.substring(0, length), StandardCharsets.ISO_8859_1));
                assertThat(kept.isOpen(), is(false));
                kept.finishAndReleaseAll();
            }
        }
    }

    /** Guards against the loss of a complete response because of the bytes after it. */
    @Test
    void responseBeforeSurplusBytesIsDelivered() {
        send(HttpMethod.GET);
        assertThat(receive(SUCCESS + SUCCESS), contains("200", "ok", "end"));
        assertThat(channel.isOpen(), is(false));
    }

    /** Guards against a response that is decoded while no request waits for one. */
    @Test
    void bytesOnAnIdleConnectionCloseIt() {
        send(HttpMethod.GET);
        receive(SUCCESS);
        assertThat(receive("H"), empty());
        assertThat(channel.isOpen(), is(false));
    }

    /** Guards against a status that is read from a cut second response that arrives after the next request was sent. */
    @Test
    void cutHeadDoesNotChangeTheStatusOfTheNextOne() {
        String head =
                "HTTP/1.1 200 OK\r\nDate: Sat, 05 Dec 2026 05:00:00 GMT\r\nA: b\r\n c\r\nContent-Length: 2\r\n\r\n";
        for (int length = 1; length < head.length(); length++) {
            EmbeddedChannel kept = new EmbeddedChannel(new ExchangeCodec());
            kept.writeOutbound(new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/"));
            kept.writeInbound(Unpooled.copiedBuffer(
                    head.substring(0, length) + "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 6\r\n\r\nfailed",
                    StandardCharsets.ISO_8859_1));
            HttpResponse response = kept.readInbound();
            boolean isMalformed = response.decoderResult().isFailure();
            assertThat("cut at " + length, isMalformed || response.status().code() == 500, is(true));
            assertThat("cut at " + length, kept.isOpen(), is(!isMalformed));
            kept.finishAndReleaseAll();
        }
    }
}
