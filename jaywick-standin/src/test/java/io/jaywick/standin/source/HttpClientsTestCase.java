package io.jaywick.standin.source;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;

import io.jaywick.core.table.TableLimits;
import io.jaywick.node.source.HttpConfigSource;
import io.jaywick.node.source.HttpInstanceList;
import io.jaywick.node.source.InstanceEntry;
import io.jaywick.node.source.InstanceState;
import io.jaywick.node.source.SourceException;
import io.jaywick.node.source.SourceValue;
import io.jaywick.standin.instances.FakeInstanceList;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import reactor.core.publisher.Mono;
import reactor.netty.DisposableServer;
import reactor.netty.http.server.HttpServer;
import reactor.test.scheduler.VirtualTimeScheduler;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.equalTo;
import static org.junit.jupiter.api.Assertions.assertThrows;

class HttpClientsTestCase {

    private final VirtualTimeScheduler time = VirtualTimeScheduler.create();
    private final FakeConfigService service = new FakeConfigService(time);
    private final FakeInstanceList instances = new FakeInstanceList(time);
    private final PlatformServer server = new PlatformServer(service, instances);
    private final HttpConfigSource source = new HttpConfigSource(server.address(), time);
    private final HttpInstanceList list = new HttpInstanceList(server.address(), time);

    @AfterEach
    void close() {
        source.close();
        list.close();
        server.close();
    }

    /** Guards against a value of the maximum size that is altered or rejected in transport. */
    @Test
    void readsTheLargestValue() {
        byte[] content = new byte[TableLimits.MAX_VALUE_BYTES];
        content[7] = 7;
        service.publish(content);
        SourceValue value = source.read().join();
        assertThat(value.revision(), equalTo(1L));
        assertThat(value.content(), equalTo(content));
    }

    /** Guards against a watch that returns at once, or costs more than one call. */
    @Test
    void watchCompletesAtTheNextRevision() {
        CompletableFuture<SourceValue> value = source.watch(0);
        while (service.pendingWatchCount() == 0) {
            Thread.onSpinWait();
        }
        service.publish(new byte[] {5});
        assertThat(value.join().content(), equalTo(new byte[] {5}));
        assertThat(service.callCount(), equalTo(1L));
    }

    /** Guards against a response 304 that is treated as a value or an error. */
    @Test
    void watchCompletesWithNullAfterThirtySeconds() {
        CompletableFuture<SourceValue> value = source.watch(0);
        while (service.pendingWatchCount() == 0) {
            Thread.onSpinWait();
        }
        time.advanceTimeBy(Duration.ofSeconds(30));
        assertThat(value.join(), equalTo(null));
    }

    /** Guards against a cancelled watch that stays pending at the service. */
    @Test
    void cancellingEndsTheWatchAtTheService() {
        CompletableFuture<SourceValue> value = source.watch(0);
        while (service.pendingWatchCount() == 0) {
            Thread.onSpinWait();
        }
        value.cancel(true);
        while (service.pendingWatchCount() > 0) {
            Thread.onSpinWait();
        }
    }

    /** Guards against a call without its own time-out, which would hang on a service that accepts and never answers. */
    @Test
    void readFailsAfterItsTimeLimit() {
        DisposableServer unresponsive = HttpServer.create()
                .host("127.0.0.1")
                .port(0)
                .handle((request, response) -> Mono.never())
                .bindNow();
        try (HttpConfigSource client = new HttpConfigSource((InetSocketAddress) unresponsive.address(), time)) {
            CompletableFuture<SourceValue> value = client.read();
            time.advanceTimeBy(Duration.ofSeconds(5));
            assertThat(kindOf(value), equalTo(SourceException.Kind.TIMEOUT));
        } finally {
            unresponsive.disposeNow();
        }
    }

    /** Guards against failures without the right kind: refused, too large, without revision, not JSON, unreachable. */
    @Test
    void failuresAreTyped() {
        service.setOutage(true);
        assertThat(kindOf(source.read()), equalTo(SourceException.Kind.REFUSED));
        DisposableServer faulty = HttpServer.create()
                .host("127.0.0.1")
                .port(0)
                .route(routes -> routes.get(
                                "/v1/table",
                                (request, response) -> response.sendByteArray(Mono.just(
                                        new byte
                                                [request.uri().contains("after")
                                                        ? TableLimits.MAX_VALUE_BYTES + 1
                                                        : 3])))
                        .get("/v1/instances", (request, response) -> response.sendString(Mono.just("[{]"))))
                .bindNow();
        InetSocketAddress address = (InetSocketAddress) faulty.address();
        try (HttpConfigSource client = new HttpConfigSource(address, time);
                HttpInstanceList faultyList = new HttpInstanceList(address, time)) {
            assertThat(kindOf(client.watch(1)), equalTo(SourceException.Kind.TOO_LARGE));
            assertThat(kindOf(client.read()), equalTo(SourceException.Kind.MALFORMED));
            assertThat(kindOf(faultyList.list()), equalTo(SourceException.Kind.MALFORMED));
        }
        faulty.disposeNow();
        // A new client has no open connection to the closed server.
        try (HttpConfigSource client = new HttpConfigSource(address, time)) {
            assertThat(kindOf(client.read()), equalTo(SourceException.Kind.UNREACHABLE));
        }
    }

    /** Guards against one unusable entry that makes the client drop the valid ones. */
    @Test
    void listsValidInstancesAndSkipsUnusableOnes() {
        InstanceEntry good = new InstanceEntry(
                "a", "selfoss", "sudurland", "catalogue", "127.0.0.1:1", "127.0.0.1:2", InstanceState.LEAVING);
        instances.put(good);
        instances.putFaulty(new InstanceEntry(
                "b", "selfoss", "sudurland", "catalogue", "example.org:1", "127.0.0.1:2", InstanceState.LIVE));
        assertThat(list.list().join(), contains(good));
        instances.setOutage(true);
        assertThat(kindOf(list.list()), equalTo(SourceException.Kind.REFUSED));
    }

    private static SourceException.Kind kindOf(CompletableFuture<?> future) {
        Throwable cause = assertThrows(CompletionException.class, future::join).getCause();
        return ((SourceException) cause).kind();
    }
}
