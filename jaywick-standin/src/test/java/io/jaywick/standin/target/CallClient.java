package io.jaywick.standin.target;

import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;

/** HTTP caller of the tests. It uses the client of the JDK, which shares no code with the proxy's client. */
final class CallClient {

    private static final Duration TIMEOUT = Duration.ofSeconds(30);

    private final HttpClient client =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();

    CompletableFuture<HttpResponse<String>> send(String url, String party, String id, String... headers) {
        HttpRequest.Builder request = HttpRequest.newBuilder(URI.create(url))
                .timeout(TIMEOUT)
                .header("jaywick-party", party)
                .header(TargetServer.REQUEST_ID_HEADER, id)
                .POST(HttpRequest.BodyPublishers.ofString("body-of-" + id));
        if (headers.length > 0) {
            request.headers(headers);
        }
        return client.sendAsync(request.build(), HttpResponse.BodyHandlers.ofString());
    }

    static String header(HttpResponse<?> response, String name) {
        return response.headers().firstValue(name).orElse("");
    }

    static String outcome(HttpResponse<?> response) {
        return (header(response, "jaywick-outcome") + " " + header(response, "jaywick-reason")).trim();
    }
}
