package io.jaywick.node.http;

import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.Map;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import reactor.netty.resources.LoopResources;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

class StatusServerTestCase {

    private final LoopResources loops = LoopResources.create("test", 1, true);
    private final HttpClient http =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
    private volatile int status = 503;
    private final StatusServer server = new StatusServer(
            loops.onServer(false).next(),
            new InetSocketAddress("127.0.0.1", 0),
            Map.of("/ready", () -> new StatusServer.Page(status, "text/plain", "page")));

    @AfterEach
    void stop() {
        server.close();
        loops.dispose();
    }

    private HttpResponse<String> send(String method, String path) throws Exception {
        URI uri = URI.create("http://127.0.0.1:" + server.address().getPort() + path);
        return http.send(
                HttpRequest.newBuilder(uri)
                        .method(method, HttpRequest.BodyPublishers.noBody())
                        .build(),
                HttpResponse.BodyHandlers.ofString());
    }

    /** Guards against a probe that sees the state of an earlier one. */
    @Test
    void eachRequestGetsThePageOfItsTime() throws Exception {
        assertThat(send("GET", "/ready").statusCode(), is(503));
        status = 200;
        HttpResponse<String> response = send("GET", "/ready?verbose=1");
        assertThat(response.statusCode(), is(200));
        assertThat(response.body(), is("page"));
    }

    /** Guards against a page under other paths or methods, which the server before this one did not serve either. */
    @Test
    void otherRequestsAreNotFound() throws Exception {
        assertThat(send("GET", "/ready/").statusCode(), is(404));
        assertThat(send("POST", "/ready").statusCode(), is(404));
    }
}
