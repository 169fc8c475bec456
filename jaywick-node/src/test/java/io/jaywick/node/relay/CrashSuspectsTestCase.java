package io.jaywick.node.relay;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static io.jaywick.node.relay.RelayFixture.request;
import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;
import static org.hamcrest.Matchers.startsWith;

/** A request that crashes each target that begins to run it, between nodes with real sockets. */
class CrashSuspectsTestCase {

    private static final long TIMEOUT_MILLIS = 10_000;

    private static final String POISON = "/safe/poison";

    /** Longer than the time within which simultaneous crashes count once. */
    private static final long BETWEEN_CRASHES_MILLIS = 2_500;

    private static final int MAX_CALLS = 20_000;

    private RelayFixture fixture;
    private int calls;

    @BeforeEach
    void start() throws IOException {
        fixture = new RelayFixture();
        for (FakeTarget target : targets()) {
            target.script((request, out) -> {
                if (request.requestLineAndHeaders().contains(POISON)) {
                    target.crash();
                    return false;
                }
                return FakeTarget.write(out, FakeTarget.response(request, 200, "ok"));
            });
        }
        fixture.publishBoth(TIMEOUT_MILLIS);
    }

    @AfterEach
    void stop() throws IOException {
        fixture.close();
    }

    private List<FakeTarget> targets() {
        return List.of(fixture.target, fixture.secondTarget);
    }

    private String call(String path) throws IOException {
        calls++;
        return fixture.exchange(request("GET", path, "id-" + calls, ""));
    }

    private long poisonsReceived() {
        return targets().stream()
                .flatMap(target -> target.calls().stream())
                .filter(received -> received.requestLineAndHeaders().contains(POISON))
                .count();
    }

    /**
     * Waits until the crashes are detected and known to both nodes, restarts the targets and calls until each of them
     * serves again. A node counts a crash when it learns of it: if the clock moved before, the next crash would seem to
     * happen at the same time.
     *
     * @param countedCrashes crashes without those at the same time as another one
     */
    private void recover(int detectedCrashes, int countedCrashes) throws IOException {
        for (int i = 0;
                fixture.detectedCrashes() < detectedCrashes || fixture.knownSuspectCrashes() < countedCrashes;
                i++) {
            assertThat("calls until the crash is detected", i, lessThan(MAX_CALLS));
            call("/safe/" + i);
        }
        fixture.advance(BETWEEN_CRASHES_MILLIS);
        for (FakeTarget target : targets()) {
            if (target.isCrashed()) {
                awaitServing(target);
            }
        }
    }

    private void awaitServing(FakeTarget target) throws IOException {
        target.restart();
        int before = target.calls().size();
        for (int i = 0; target.calls().size() == before; i++) {
            assertThat("calls until the target serves", i, lessThan(MAX_CALLS));
            call("/safe/" + i);
        }
    }

    /**
     * Guards against a request that is retried each time it comes and crashes a second target each time, with the
     * calls of others that run there (review case 3: 13 late retries, 3 allowed).
     */
    @Test
    void requestThatCrashesTargetsIsNeitherRetriedAgainNorServedForEver() throws IOException {
        assertThat(call(POISON), startsWith("HTTP/1.1 502 "));
        assertThat("first attempt and retry", poisonsReceived(), is(2L));
        recover(2, 1);

        assertThat(call(POISON), startsWith("HTTP/1.1 502 "));
        assertThat("a suspect is not retried", poisonsReceived(), is(3L));
        recover(3, 2);

        assertThat(call(POISON), startsWith("HTTP/1.1 502 "));
        assertThat("third crash at another time", poisonsReceived(), is(4L));
        recover(4, 3);

        String refused = call(POISON);
        assertThat(refused, startsWith("HTTP/1.1 503 "));
        assertThat(refused.toLowerCase(), containsString("retry-after: 1."));
        assertThat("blocked at every node", poisonsReceived(), is(4L));
        assertThat(call("/safe/other"), startsWith("HTTP/1.1 200 "));
    }

    /**
     * Guards against a suspect that is hedged, like a call that is only late, and crashes a second target: the test of
     * retries failed so on a busy machine.
     */
    @Test
    void suspectIsNotHedged() throws Exception {
        assertThat(call(POISON), startsWith("HTTP/1.1 502 "));
        recover(2, 1);
        CountDownLatch release = new CountDownLatch(1);
        for (FakeTarget target : targets()) {
            target.script((request, out) -> {
                if (request.requestLineAndHeaders().contains(POISON)) {
                    release.await(20, TimeUnit.SECONDS);
                    return false;
                }
                return FakeTarget.write(out, FakeTarget.response(request, 200, "ok"));
            });
        }
        long before = poisonsReceived();
        double refusedBefore = fixture.refusedAttempts("suspect");
        try (Socket socket = fixture.connect()) {
            socket.getOutputStream().write(request("GET", POISON, "late", "").getBytes(StandardCharsets.ISO_8859_1));
            // A hedge may be refused before the target has read the first attempt.
            for (int i = 0;
                    poisonsReceived() == before
                            || fixture.refusedAttempts("suspect") == refusedBefore && poisonsReceived() < before + 2;
                    i++) {
                assertThat("calls until the suspect is hedged", i, lessThan(MAX_CALLS));
                call("/safe/" + i);
            }
            assertThat("targets that run the suspect", poisonsReceived() - before, is(1L));
            release.countDown();
            assertThat(
                    new String(socket.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1),
                    startsWith("HTTP/1.1 502 "));
        }
        assertThat(poisonsReceived() - before, is(1L));
    }

    /** Guards against a reset of one connection that counts as a crash of its target and blocks a sound request. */
    @Test
    void lostConnectionsOfATargetThatStaysUpBlockNothing() throws IOException {
        for (FakeTarget target : targets()) {
            target.script((request, out) -> !request.requestLineAndHeaders().contains(POISON)
                    && FakeTarget.write(out, FakeTarget.response(request, 200, "ok")));
        }
        for (int i = 1; i <= 4; i++) {
            assertThat(call(POISON), startsWith("HTTP/1.1 502 "));
            assertThat(poisonsReceived(), is(2L * i));
            fixture.advance(BETWEEN_CRASHES_MILLIS);
        }
    }
}
