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

    /** Guards against an answer that is given to another request (I7). */
    @Test
    void everyCallerGetsItsOwnAnswer() {
        // No more at once than the cold targets bear, so that every call must be answered on any machine.
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

    /** Guards against crossed answers when more calls come than cold targets bear; refused ones must not have run. */
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
                // The read route is idempotent: a call that ran out of time says so and is no answer.
                assertThat(CallClient.outcome(answer), is("unknown deadline-passed"));
            }
        }
    }

    /** Guards against a stand-in target that stays down after a crash, which hid cold restarts from the benchmarks. */
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

    /** Guards against a party refused below its limit because the node's first grant is still on its way. */
    @Test
    void firstCallWaitsForAGrant() {
        AtomicInteger asked = new AtomicInteger();
        fleet.setQuota(new CallQuota() {
            @Override
            public boolean tryAcquire(Party party) {
                return asked.incrementAndGet() > 3;
            }

            @Override
            public boolean isAwaitingGrant(Party party) {
                return asked.get() <= 3;
            }
        });
        assertThat(CallClient.outcome(call("s1", "/read/x", "vet", "r1")), is("answered"));
        assertThat(asked.get(), is(4));
    }

    /** Guards against calls past the limit that wait, or run. */
    @Test
    void callBeyondTheLimitIsRefusedAtOnce() {
        AtomicInteger asked = new AtomicInteger();
        fleet.setQuota(party -> asked.incrementAndGet() == 0);
        assertThat(CallClient.outcome(call("s1", "/read/x", "vet", "r1")), is("not-run party-limit"));
        assertThat(asked.get(), is(1));
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

    /** Guards against a region-bound call that leaves a node outside its regions (I6). */
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
