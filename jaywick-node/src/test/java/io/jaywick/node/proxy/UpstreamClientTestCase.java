package io.jaywick.node.proxy;

import java.io.IOException;
import java.time.Duration;
import java.util.List;
import java.util.function.UnaryOperator;

import io.jaywick.node.http.RawHttpServer;
import io.netty.handler.codec.http.HttpMethod;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import reactor.core.publisher.Mono;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;

/** Targets that send more than one response to a request. */
class UpstreamClientTestCase {

    private static final String SUCCESS = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
    private static final String FAILURE = "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 6\r\n\r\nfailed";

    /** No status, unlike 0, can be read as this value. */
    private static final int NO_RESPONSE = -1;

    private RawHttpServer target;
    private UpstreamClient client;

    @BeforeEach
    void start() {
        client = new UpstreamClient("test", 1);
    }

    @AfterEach
    void stop() throws IOException {
        client.close();
        target.close();
    }

    private void serve(UnaryOperator<String> responses) throws IOException {
        target = new RawHttpServer(responses);
    }

    /** Returns the status of the response, or {@link #NO_RESPONSE}. */
    private int status(String path) {
        return client.exchange(
                        "127.0.0.1:" + target.address().getPort(),
                        HttpMethod.GET,
                        path,
                        headers -> {},
                        new RequestBody(new byte[0], null),
                        () -> {},
                        (response, content) ->
                                content.then().thenReturn(response.status().code()))
                .onErrorResume(ProxyException.class, failure -> Mono.just(NO_RESPONSE))
                .block(Duration.ofSeconds(20));
    }

    /** Guards against a status that is read from the first bytes of a cut second response of the request before. */
    @Test
    void cutCopyAfterAResponseDoesNotChangeTheNextOne() throws IOException {
        serve(path -> path.equals("/a") ? SUCCESS + "HTTP/1.1 200 O" : FAILURE);
        assertThat(status("/a"), is(200));
        assertThat(status("/b"), not(is(200)));
    }

    /** Guards against a second response that is read as the response to the next request. */
    @Test
    void copyAfterAResponseIsNotReadAsTheNextOne() throws IOException {
        serve(path -> path.equals("/a") ? SUCCESS + SUCCESS : FAILURE);
        assertThat(status("/a"), is(200));
        assertThat(status("/b"), not(is(200)));
    }

    /** Guards against bytes after a response that are kept while the connection is idle. */
    @Test
    void bytesOnAnIdleConnectionCloseIt() throws Exception {
        serve(path -> path.equals("/a") ? SUCCESS : FAILURE);
        assertThat(status("/a"), is(200));
        RawHttpServer.Connection connection = target.takeConnection();
        connection.send("HTTP/1.1 200 O");
        assertThat(connection.awaitClose(), is(true));
        assertThat(status("/b"), is(500));
    }

    /** Guards against a status that is read from a cut second response that arrives after the next request was sent. */
    @Test
    void cutCopyBeforeAResponseDoesNotChangeIt() throws IOException {
        serve(path -> "HTTP/1.1 200 O" + FAILURE);
        assertThat(status("/a"), is(NO_RESPONSE));
    }

    /** Guards against a status outside 100 to 599, or with another number of digits, that is passed on to the caller. */
    @Test
    void invalidStatusIsNotPassedOn() throws IOException {
        serve(path -> SUCCESS.replace(" 200 ", " " + path.substring(1) + " "));
        for (String status : RawHttpServer.INVALID_STATUSES) {
            assertThat(status, status("/" + status), is(NO_RESPONSE));
        }
    }

    /** Guards against an interim response in the place of the final one, also of one that never follows. */
    @Test
    void interimResponseIsNotPassedOn() throws IOException {
        List<String> interims = List.of("100 Continue", "102 Processing", "103 Early Hints", "199 Other");
        serve(path -> {
            if (path.equals("/after")) {
                return FAILURE + "HTTP/1.1 103 Early Hints\r\n\r\n";
            }
            String interim = "HTTP/1.1 " + interims.get(Integer.parseInt(path.substring(2))) + "\r\n\r\n";
            return interim + (path.startsWith("/f") ? FAILURE : "HTTP/1.1 999 Unknown\r\nContent-Length: 0\r\n\r\n");
        });
        for (int i = 0; i < interims.size(); i++) {
            assertThat(interims.get(i) + " before a final one", status("/f" + i), is(500));
            assertThat(interims.get(i) + " without one", status("/n" + i), is(NO_RESPONSE));
        }
        assertThat("after the final one", status("/after"), is(500));
        assertThat("on a new connection", status("/f0"), is(500));
    }

    /** Guards against a switch of the protocol, which no request asks for: all further bytes are of another one. */
    @Test
    void switchOfTheProtocolIsNotPassedOn() throws IOException {
        serve(path -> "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\nConnection: Upgrade\r\n\r\n" + SUCCESS);
        assertThat(status("/a"), is(NO_RESPONSE));
    }

    /** Guards against a connection that is used again after a malformed response. */
    @Test
    void malformedResponseClosesTheConnection() throws Exception {
        serve(path -> path.equals("/a") ? "HTTP/1.1 200 O" + FAILURE : SUCCESS);
        assertThat(status("/a"), is(NO_RESPONSE));
        assertThat(target.takeConnection().awaitClose(), is(true));
        assertThat(status("/b"), is(200));
    }
}
