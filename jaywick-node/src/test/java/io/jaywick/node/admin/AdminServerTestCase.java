package io.jaywick.node.admin;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.concurrent.CompletableFuture;

import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import reactor.netty.http.client.HttpClient;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.equalTo;

class AdminServerTestCase {

    private final PrometheusMeterRegistry registry = new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);
    private volatile boolean ready;
    private final AdminServer server = new AdminServer(
            new InetSocketAddress("127.0.0.1", 0),
            new AdminViews(
                    () -> true,
                    () -> ready,
                    () -> new NodeStatus("a", 0, "", null, null, 0, 0, 1),
                    () -> CompletableFuture.completedFuture(new FleetStatus(0, 0, 0, 0, List.of())),
                    registry::scrape,
                    () -> List.of("{\"a\":1}", "{\"b\":2}")));
    private final String node = "127.0.0.1:" + server.address().getPort();

    @AfterEach
    void close() {
        server.close();
    }

    /** Guards against an admin port that accepts writes or reports readiness wrongly. */
    @Test
    void servesReadinessMetricsAndRecord() {
        registry.counter("jaywick.edits").increment();
        assertThat(get("/health"), equalTo("200 {\"healthy\":true}"));
        assertThat(get("/ready"), equalTo("503 {\"ready\":false}"));
        ready = true;
        assertThat(get("/ready"), equalTo("200 {\"ready\":true}"));
        assertThat(get("/metrics"), containsString("jaywick_edits_total 1.0"));
        assertThat(get("/record"), equalTo("200 {\"a\":1}\n{\"b\":2}\n"));
        assertThat(get("/other"), containsString("404"));
        Integer status = HttpClient.create()
                .post()
                .uri("http://" + node + "/status")
                .response()
                .map(response -> response.status().code())
                .block();
        assertThat(status, equalTo(405));
    }

    private String get(String path) {
        return HttpClient.create()
                .get()
                .uri("http://" + node + path)
                .responseSingle((response, body) -> body.asString()
                        .defaultIfEmpty("")
                        .map(text -> response.status().code() + " " + text))
                .block();
    }
}
