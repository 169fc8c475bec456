package io.jaywick.standin.target;

import java.net.http.HttpResponse;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicInteger;

import io.jaywick.core.limits.CallQuota;
import io.jaywick.core.snapshot.Party;
import io.micrometer.tracing.Tracer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import reactor.core.scheduler.Schedulers;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

class CallPathTestCase {

    private static final long SEED = 7;

    private final CallClient caller = new CallClient();
    private CallFleet fleet;

    private static TableBuilder table() {
        return new TableBuilder()
                .dataCentre("a", "north", true)
                .dataCentre("b", "south", true)
                .service("books", 12, 4, 10_000)
                .server("s1", "a", "books")
                .server("s2", "a", "books")
                .server("s3", "b", "books")
                .route("read", "/read", true, Map.of("books", 100))
                .route("write", "/write", false, Map.of("books", 100))
                .party("vet", 50, 1)
                .party("clerk", 50, 1, "south");
    }

    @BeforeEach
    void start() {
        TargetBehaviour behaviour = new TargetBehaviour(12, 4, 1, 1, 3, 50);
        fleet = new CallFleet(
                table().build(1), behaviour, CallFleet.SETTINGS, Schedulers.parallel(), null, Tracer.NOOP, SEED);
    }

    @AfterEach
    void stop() {
        fleet.close();
    }

    private HttpResponse<String> call(String server, String path, String party, String id, String... headers) {
        return caller.send(fleet.node(server).egressUrl() + path, party, id, headers)
                .join();
    }

    /** Guards against an answer that is returned to a different request (I7). */
    @Test
    void everyCallerGetsItsOwnAnswer() {
        // No more concurrent calls than the cold targets accept, so that each call is answered however slow the
        // machine.
        for (int first = 0; first < 200; first += 4) {
            List<CompletableFuture<HttpResponse<String>>> answers = new ArrayList<>();
            for (int i = first; i < first + 4; i++) {
                answers.add(caller.send(fleet.node("s1").egressUrl() + "/read/x", "vet", "r" + i));
            }
            for (int i = 0; i < answers.size(); i++) {
                HttpResponse<String> answer = answers.get(i).join();
                String id = "r" + (first + i);
                assertThat(CallClient.outcome(answer), is("answered"));
                assertThat(answer.body().substring(3), is(id + " body-of-" + id));
            }
        }
    }

    /** Guards against mixed-up answers when calls exceed the capacity of cold targets; refused calls must not run. */
    @Test
    void concurrentCallersGetTheirOwnAnswerOrARefusal() {
        List<CompletableFuture<HttpResponse<String>>> answers = new ArrayList<>();
        for (int i = 0; i < 200; i++) {
            answers.add(caller.send(fleet.node("s1").egressUrl() + "/read/x", "vet", "r" + i));
        }
        for (int i = 0; i < answers.size(); i++) {
            HttpResponse<String> answer = answers.get(i).join();
            if (CallClient.outcome(answer).equals("answered")) {
                assertThat(answer.body().substring(3), is("r" + i + " body-of-r" + i));
            } else if (CallClient.outcome(answer).startsWith("not-run")) {
                for (CallFleet.Node node : fleet.nodes()) {
                    assertThat(node.target().model().runCount("r" + i), is(0));
                }
            } else {
                // The only other outcome of a call of this idempotent route is that its deadline has passed.
                assertThat(CallClient.outcome(answer), is("unknown deadline-passed"));
            }
        }
    }

    /** Guards against a stand-in target that stays down after a crash, so that benchmarks see no cold restarts. */
    @Test
    void crashedTargetComesBack() {
        fleet.node("s1").target().crash();
        fleet.node("s2").target().crash();
        String answered = "";
        for (int i = 0; i < 2_000 && !answered.equals("answered"); i++) {
            answered = CallClient.outcome(call("s1", "/read/x", "vet", "r" + i));
        }
        assertThat(answered, is("answered"));
    }

    /** Guards against a party refused below its limit because the node has not received its first grant yet. */
    @Test
    void firstCallWaitsForAGrant() {
        AtomicInteger acquisitions = new AtomicInteger();
        fleet.setQuota(new CallQuota() {
            @Override
            public boolean tryAcquire(Party party) {
                return acquisitions.incrementAndGet() > 3;
            }

            @Override
            public boolean isAwaitingGrant(Party party) {
                return acquisitions.get() <= 3;
            }
        });
        assertThat(CallClient.outcome(call("s1", "/read/x", "vet", "r1")), is("answered"));
        assertThat(acquisitions.get(), is(4));
    }

    /** Guards against calls beyond the limit that are queued or run. */
    @Test
    void callBeyondTheLimitIsRefusedAtOnce() {
        AtomicInteger acquisitions = new AtomicInteger();
        fleet.setQuota(party -> acquisitions.incrementAndGet() == 0);
        assertThat(CallClient.outcome(call("s1", "/read/x", "vet", "r1")), is("not-run party-limit"));
        assertThat(acquisitions.get(), is(1));
        for (CallFleet.Node node : fleet.nodes()) {
            assertThat(node.target().model().runCount("r1"), is(0));
        }
    }

    /** Guards against a call that runs although the usage record cannot count it (I14). */
    @Test
    void callIsRefusedWhenItCannotBeClaimed() {
        fleet.setUsageRecordFailing(true);
        assertThat(CallClient.outcome(call("s1", "/read/x", "vet", "r1")), is("not-run no-record"));
        for (CallFleet.Node node : fleet.nodes()) {
            assertThat(node.target().model().runCount("r1"), is(0));
        }
        fleet.setUsageRecordFailing(false);
        assertThat(CallClient.outcome(call("s1", "/read/x", "vet", "r2")), is("answered"));
    }

    /** Guards against a region-bound call that is sent on from a node outside its home regions (I6). */
    @Test
    void regionBoundCallIsRefusedOutsideItsRegions() {
        HttpResponse<String> refused = call("s1", "/read/x", "clerk", "r1");
        assertThat(CallClient.outcome(refused), is("not-run outside-home-regions"));
        assertThat(CallClient.outcome(call("s3", "/read/x", "clerk", "r2")), is("answered"));
        assertThat(fleet.node("s3").target().model().runCount("r2"), is(1));
        for (CallFleet.Node node : fleet.nodes()) {
            assertThat(node.target().model().runCount("r1"), is(0));
        }
    }
}
