package io.jaywick.core.retry;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.closeTo;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

/** Nodes beside targets whose executions each make two calls to a service with a given capacity. */
class NestedCallAdmissionTestCase {

    private static final int NODES = 8;
    private static final int CALLS_PER_EXECUTION = 2;
    private static final int SLICE_MILLIS = 50;
    private static final Map<String, Double> CALLS = Map.of("called", (double) CALLS_PER_EXECUTION);

    private final AtomicLong nanos = new AtomicLong();
    private final Random random = new Random(7);
    private final List<NestedCallAdmission> nodes = new ArrayList<>();
    private int capacityPerSecond = Integer.MAX_VALUE;
    private double shedAtRandom;
    private double takenByOthers;
    private double capacityTokens;
    private boolean admissionControl = true;

    /** What happened to the executions in a period. */
    private static final class Counts {
        private int arrived;
        private int admitted;
        private int succeeded;

        double admittedShare() {
            return (double) admitted / arrived;
        }

        /** Executions that ran in vain. */
        int failed() {
            return admitted - succeeded;
        }
    }

    NestedCallAdmissionTestCase() {
        for (int i = 0; i < NODES; i++) {
            nodes.add(new NestedCallAdmission(nanos::get, random, (service, priority, before, share, refused) -> {}));
        }
    }

    private NestedCallAdmission.Outcome call() {
        if (random.nextDouble() < shedAtRandom) {
            return NestedCallAdmission.Outcome.SHED;
        }
        if (capacityTokens < 1 || random.nextDouble() < takenByOthers) {
            return NestedCallAdmission.Outcome.REFUSED;
        }
        capacityTokens--;
        return NestedCallAdmission.Outcome.ANSWERED;
    }

    private boolean execute(NestedCallAdmission node) {
        for (int i = 0; i < CALLS_PER_EXECUTION; i++) {
            NestedCallAdmission.Outcome outcome = call();
            node.recordCall("called", 1, outcome);
            if (outcome != NestedCallAdmission.Outcome.ANSWERED) {
                return false;
            }
        }
        return true;
    }

    private Counts run(int seconds, int executionsPerSecond) {
        Counts counts = new Counts();
        for (int slice = 0; slice < seconds * 1_000 / SLICE_MILLIS; slice++) {
            nanos.addAndGet(TimeUnit.MILLISECONDS.toNanos(SLICE_MILLIS));
            double perSlice = (double) capacityPerSecond * SLICE_MILLIS / 1_000;
            capacityTokens = Math.min(2 * perSlice, capacityTokens + perSlice);
            int arrivals = (int) ((double) executionsPerSecond * SLICE_MILLIS / 1_000 + random.nextDouble());
            for (int i = 0; i < arrivals; i++) {
                NestedCallAdmission node = nodes.get(random.nextInt(NODES));
                counts.arrived++;
                if (!admissionControl || node.tryAdmit(CALLS, 1)) {
                    counts.admitted++;
                    counts.succeeded += execute(node) ? 1 : 0;
                }
            }
        }
        return counts;
    }

    private double meanShare() {
        return nodes.stream()
                .mapToDouble(node -> node.lowestShare("called"))
                .average()
                .orElseThrow();
    }

    /**
     * Guards against executions that run in vain while accounts send several times their usual load (hot accounts): on a
     * heavy day 4,242 of 41,800 requests ended so.
     */
    @Test
    void fewExecutionsRunInVainWhenTheServiceCalledIsShort() {
        admissionControl = false;
        Counts all = burst();
        admissionControl = true;
        Counts admitted = burst();
        assertThat(admitted.failed(), is(lessThan(all.failed() / 2)));
        assertThat(admitted.succeeded, is(greaterThan(all.succeeded * 9 / 10)));
    }

    private Counts burst() {
        capacityPerSecond = Integer.MAX_VALUE;
        run(10, 150);
        capacityPerSecond = 300;
        return run(20, 400);
    }

    /**
     * Guards against requests that are lost because targets of the service called shed 55 of 100 calls for 8 s whatever
     * the load (srv_grey): fewer executions do not help their calls.
     */
    @Test
    void executionsAreAdmittedWhenRefusalsDoNotDependOnTheLoad() {
        run(5, 150);
        shedAtRandom = 0.55;
        Counts shedding = run(8, 150);
        assertThat(shedding.admittedShare(), is(greaterThan(0.8)));
        shedAtRandom = 0;
        run(3, 150);
        assertThat(run(5, 150).admittedShare(), is(1.0));
    }

    /**
     * Guards against requests that are lost because other callers fill the service called (hot accounts at a shared
     * service): the state must not stay at its floor.
     */
    @Test
    void mostExecutionsAreAdmittedWhenOthersCauseTheLoad() {
        run(5, 150);
        takenByOthers = 0.5;
        assertThat(run(30, 150).admittedShare(), is(greaterThan(0.6)));
    }

    /** Guards against executions refused although their calls find room (quiet days): single refusals are usual. */
    @Test
    void nothingIsRefusedWhileCallsFindRoom() {
        takenByOthers = 0.02;
        assertThat(run(60, 150).admittedShare(), is(closeTo(1, 0.005)));
    }

    /** Guards against a state that outlives its cause, also when executions no longer arrive to show that it has ended. */
    @Test
    void allExecutionsAreAdmittedSoonAfterTheBurst() {
        capacityPerSecond = 100;
        run(10, 400);
        assertThat(meanShare(), is(lessThan(0.5)));
        capacityPerSecond = Integer.MAX_VALUE;
        run(6, 150);
        assertThat(meanShare(), is(1.0));
        capacityPerSecond = 100;
        run(10, 400);
        nanos.addAndGet(TimeUnit.SECONDS.toNanos(5));
        assertThat("after a time without calls", meanShare(), is(1.0));
    }

    /** Guards against urgent requests that are refused because the calls of less urgent ones find no capacity. */
    @Test
    void otherServicesAndPrioritiesAreNotAffected() {
        capacityPerSecond = 100;
        run(10, 400);
        NestedCallAdmission node = nodes.get(0);
        assertThat(node.share(CALLS, 1), is(lessThan(1.0)));
        assertThat(node.share(CALLS, 0), is(1.0));
        assertThat(node.share(Map.of("other", 2.0), 1), is(1.0));
        assertThat(node.share(Map.of(), 1), is(1.0));
    }

    /** Guards against a route that is refused as often as others although it seldom calls the service that is short. */
    @Test
    void executionsThatSeldomCallAreSeldomRefused() {
        capacityPerSecond = 100;
        run(10, 400);
        NestedCallAdmission node = nodes.get(0);
        double share = node.share(CALLS, 1);
        assertThat(node.share(Map.of("called", 0.1), 1), is(closeTo(1 - 0.1 * (1 - share), 0.001)));
    }
}
