package io.jaywick.node.source;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;

import reactor.core.scheduler.Scheduler;

/** Client of the configuration service. See docs/design.md, section 2, for the HTTP form. */
public final class HttpConfigSource implements ConfigSource, AutoCloseable {

    /** Header with the revision of a value. */
    public static final String REVISION_HEADER = "jaywick-revision";

    private static final String TABLE_URI = "/v1/table";
    private static final Duration READ_TIMEOUT = Duration.ofSeconds(5);
    /** The service ends a wait after 30 s; a request without a response for longer has failed. */
    private static final Duration WATCH_TIMEOUT = Duration.ofSeconds(35);

    private final SourceHttpClient client;

    /** Creates a client whose timeouts run on the given timer. */
    public HttpConfigSource(InetSocketAddress address, Scheduler timer) {
        this.client = new SourceHttpClient(address, timer);
    }

    @Override
    public CompletableFuture<SourceValue> read() {
        return client.get(TABLE_URI, READ_TIMEOUT)
                .map(HttpConfigSource::toValue)
                .toFuture();
    }

    @Override
    public CompletableFuture<SourceValue> watch(long afterRevision) {
        return client.get(TABLE_URI + "?after=" + afterRevision, WATCH_TIMEOUT)
                .map(HttpConfigSource::toValue)
                .toFuture();
    }

    private static SourceValue toValue(SourceHttpClient.Response response) {
        String revision = response.headers().get(REVISION_HEADER);
        if (revision == null || !revision.matches("[0-9]{1,18}")) {
            throw new SourceException(
                    SourceException.Kind.MALFORMED, "header " + REVISION_HEADER + " is missing or not a revision");
        }
        return new SourceValue(Long.parseLong(revision), response.body());
    }

    @Override
    public void close() {
        client.close();
    }
}
