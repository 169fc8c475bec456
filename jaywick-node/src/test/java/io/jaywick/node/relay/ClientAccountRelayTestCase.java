package io.jaywick.node.relay;

import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalInt;
import java.util.Set;
import java.util.concurrent.Semaphore;

import io.jaywick.core.rules.ClientAccount;
import io.jaywick.core.rules.ClientAccounts;
import io.jaywick.core.rules.RouteRule;
import io.jaywick.core.rules.RuleSet;
import io.jaywick.core.rules.ServiceRule;
import io.jaywick.core.rules.ServiceWeight;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.endsWith;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;
import static org.hamcrest.Matchers.nullValue;
import static org.hamcrest.Matchers.startsWith;

/** Client accounts between nodes with real sockets. */
class ClientAccountRelayTestCase {

    private static final long TIMEOUT_MILLIS = 10_000;

    private RelayFixture fixture;

    @BeforeEach
    void start() throws IOException {
        fixture = new RelayFixture();
        publish(accounts());
    }

    @AfterEach
    void stop() throws IOException {
        fixture.close();
    }

    private static RouteRule route(String name, Set<String> homeRegions, boolean isPublic) {
        List<ServiceWeight> services = List.of(new ServiceWeight("other-service", 1));
        return new RouteRule(
                name,
                "h.example",
                "/" + name + "/",
                false,
                TIMEOUT_MILLIS,
                TIMEOUT_MILLIS / 2,
                1,
                2,
                homeRegions,
                services,
                isPublic);
    }

    private void publish(ClientAccounts accounts) {
        fixture.publish(new RuleSet(
                1,
                List.of(
                        route("keyed", Set.of(), false),
                        route("home", Set.of("region"), false),
                        route("open", Set.of(), true)),
                List.of(new ServiceRule("other-service", "/health", 100, 3_000, 0)),
                RelayFixture.LIMITS,
                accounts));
    }

    private static ClientAccount account(String name, OptionalInt priority, String... homeRegions) {
        return new ClientAccount(name, priority, Set.of(homeRegions), 0, 0);
    }

    private static ClientAccounts accounts() {
        return new ClientAccounts.Builder()
                .add(account("first", OptionalInt.empty()), List.of("k1", "k1-new"))
                .add(account("urgent", OptionalInt.of(0)), List.of("k2"))
                .add(account("near", OptionalInt.empty(), "region", "far"), List.of("k3"))
                .add(account("distant", OptionalInt.empty(), "far"), List.of("k4"))
                .build();
    }

    private static String request(String path, String id, String... headers) {
        String head =
                "POST " + path + " HTTP/1.1\r\nHost: h.example\r\nContent-Length: 0\r\nRequest-Id: " + id + "\r\n";
        return head + String.join("", List.of(headers)) + "\r\n";
    }

    private String call(String path, String... headers) throws IOException {
        return fixture.exchange(request(path, "a", String.join("", headers) + "Connection: close\r\n"));
    }

    private FakeTarget.ReceivedRequest lastCall() {
        List<FakeTarget.ReceivedRequest> calls = fixture.target.calls();
        return calls.get(calls.size() - 1);
    }

    private void assertLastCallIsOf(String account) {
        assertThat(lastCall().header("Account"), is(account));
        String headers = lastCall().requestLineAndHeaders().toLowerCase();
        assertThat(headers, not(containsString("key:")));
        assertThat(headers, not(containsString("forged")));
    }

    /** Guards against a key that reaches a target, and against a caller that names another account than its own. */
    @Test
    void targetGetsTheAccountInPlaceOfTheKey() throws IOException {
        assertThat(call("/keyed/1", "key: k1\r\nACCOUNT: forged\r\nAccount: forged\r\n"), endsWith("ok"));
        assertLastCallIsOf("first");
        assertThat(call("/keyed/1", "Key: k2\r\nConnection: Account\r\n"), endsWith("ok"));
        assertLastCallIsOf("urgent");
        assertThat(fixture.accountOutcomes("accepted"), is(2.0));
    }

    /** Guards against calls without a valid key that run, or that are told to come back. */
    @Test
    void callWithoutValidKeyIsRefused() throws IOException {
        for (String headers : List.of("", "Key: none\r\n", "Key: \r\n", "Key: k1\r\nKey: k1\r\n", "Key: k1,k2\r\n")) {
            String response = call("/keyed/1", headers);
            assertThat(headers, response, startsWith("HTTP/1.1 401 "));
            assertThat(response, containsString("{\"error\":\""));
            assertThat(response.toLowerCase(), not(containsString("retry-after")));
        }
        assertThat(call("/none/1"), startsWith("HTTP/1.1 404 "));
        fixture.publish(RuleSet.EMPTY);
        assertThat(call("/keyed/1"), startsWith("HTTP/1.1 503 "));
        assertThat(fixture.target.calls(), hasSize(0));
        assertThat(fixture.accountOutcomes("several-keys"), is(1.0));
    }

    /** Guards against headers of a caller that claim an account on a route that needs none. */
    @Test
    void publicRouteNeedsNoKeyAndHasNoAccount() throws IOException {
        assertThat(call("/open/1", "Account: forged\r\nKey: forged\r\n"), endsWith("ok"));
        assertLastCallIsOf(null);
    }

    /** Guards against a deployment without accounts that changes the headers of its callers. */
    @Test
    void withoutAccountsTheHeadersAreForwarded() throws IOException {
        publish(ClientAccounts.NONE);
        assertThat(call("/keyed/1", "Account: a\r\nKey: k\r\n"), endsWith("ok"));
        assertThat(lastCall().header("Account"), is("a"));
        assertThat(lastCall().header("Key"), is("k"));
    }

    /** Guards against a removed key that stays in use as long as its connection. */
    @Test
    void removedKeyIsRefusedOnAnOpenConnection() throws IOException {
        try (Socket socket = fixture.connect()) {
            write(socket, request("/keyed/1", "a", "Key: k1\r\n"));
            StringBuilder first = new StringBuilder();
            while (!first.toString().endsWith("\r\n\r\nok")) {
                first.append((char) socket.getInputStream().read());
            }
            publish(new ClientAccounts.Builder()
                    .add(account("first", OptionalInt.empty()), List.of("k1-new"))
                    .build());
            write(socket, request("/keyed/1", "b", "Key: k1\r\n"));
            write(socket, request("/keyed/1", "c", "Key: k1-new\r\n", "Connection: close\r\n"));
            String further = new String(socket.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
            assertThat(further, startsWith("HTTP/1.1 401 "));
            assertThat(further, endsWith("ok"));
        }
    }

    private static void write(Socket socket, String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
    }

    /** Guards against calls of targets that fail for lack of a key, and against ids that only look like theirs. */
    @Test
    void callOfARunningRequestNeedsNoKey() throws IOException {
        List<String> nested = new ArrayList<>();
        fixture.target.script((request, out) -> respondAfterNestedCall(request, out, nested));
        assertThat(call("/keyed/1", "Key: k1\r\n"), endsWith("ok"));
        assertThat(nested.get(0), endsWith("ok"));
        FakeTarget.ReceivedRequest received = fixture.target.calls().get(1);
        assertThat(received.header("Request-Id"), is("a.1"));
        assertThat(received.header("Account"), nullValue());
        String late = RelayFixture.exchange(
                fixture.targetNode, request("/keyed/1", "a.2", "Account: first\r\nConnection: close\r\n"));
        assertThat(late, startsWith("HTTP/1.1 401 "));
    }

    private boolean respondAfterNestedCall(FakeTarget.ReceivedRequest request, OutputStream out, List<String> nested)
            throws IOException {
        if (request.header("Request-Id").equals("a")) {
            String call = request("/keyed/2", "a.1", "Account: forged\r\nConnection: close\r\n");
            nested.add(RelayFixture.exchange(fixture.targetNode, call));
        }
        return FakeTarget.write(out, FakeTarget.response(request, 200, "ok"));
    }

    /** Guards against the priority of the route for calls of an account that has its own. */
    @Test
    void callOfAnUrgentAccountIsServedFirst() throws IOException {
        Semaphore responses = new Semaphore(0);
        fixture.target.script((request, out) -> {
            responses.acquire();
            return FakeTarget.write(out, FakeTarget.response(request, 200, "ok"));
        });
        List<Socket> sockets = new ArrayList<>();
        try {
            for (int i = 0; i < RelayFixture.SLOTS; i++) {
                sockets.add(send(request("/keyed/1", "slot" + i, "Key: k1\r\n")));
            }
            awaitCalls(RelayFixture.SLOTS);
            sockets.add(send(request("/keyed/1", "first", "Key: k1\r\n")));
            awaitWaiting(1);
            sockets.add(send(request("/keyed/1", "urgent", "Key: k2\r\n")));
            awaitWaiting(2);
            responses.release();
            awaitCalls(RelayFixture.SLOTS + 1);
            assertThat(lastCall().header("Request-Id"), is("urgent"));
        } finally {
            responses.release(sockets.size());
            for (Socket socket : sockets) {
                socket.close();
            }
        }
    }

    private Socket send(String request) throws IOException {
        Socket socket = fixture.connect();
        write(socket, request);
        return socket;
    }

    private void awaitCalls(int count) {
        while (fixture.target.calls().size() < count) {
            Thread.onSpinWait();
        }
    }

    private void awaitWaiting(int count) {
        while (fixture.waitingCalls() < count) {
            Thread.onSpinWait();
        }
    }

    /** Guards against calls that run outside the home regions of their account, or anywhere if no region is common. */
    @Test
    void homeRegionsOfRouteAndAccountApply() throws IOException {
        assertThat(call("/home/1", "Key: k3\r\n"), endsWith("ok"));
        assertThat(call("/keyed/1", "Key: k3\r\n"), endsWith("ok"));
        assertThat(call("/keyed/1", "Key: k4\r\n"), containsString("{\"error\":\"no-instance\"}"));
        String noCommonRegion = call("/home/1", "Key: k4\r\n");
        assertThat(noCommonRegion, startsWith("HTTP/1.1 503 "));
        assertThat(noCommonRegion, containsString("{\"error\":\"no-common-region\"}"));
        assertThat(noCommonRegion.toLowerCase(), containsString("retry-after: 1."));
        assertThat(fixture.target.calls(), hasSize(2));
    }
}
