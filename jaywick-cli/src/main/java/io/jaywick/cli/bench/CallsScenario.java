package io.jaywick.cli.bench;

import java.util.LinkedHashMap;
import java.util.Map;

import io.jaywick.core.settings.CallsSettings;
import io.jaywick.core.snapshot.Snapshot;
import io.jaywick.standin.target.TableBuilder;
import io.jaywick.standin.target.TargetBehaviour;

/** Table, targets and timing of the benchmark, the same for both strategies. */
final class CallsScenario {

    static final String PARTY = "vet";
    static final String READ = "/read";
    static final String WRITE = "/write";
    static final String DEEP = "/deep";
    /**
     * Path of the last level of nested calls. It has a service of its own, because its targets answer all of them with
     * status 503.
     */
    static final String LEAF = "/leaf";
    /** The data centre that is taken out of service and put back. */
    static final String MOVED_DATA_CENTRE = "a2";

    static final int CATALOGUE_PERCENT = 70;
    static final int CALLS_PER_SECOND = 1_200;
    static final int WRITE_EVERY = 5;
    static final long WARM_UP_MILLIS = 2_000;
    static final long STEADY_MILLIS = 3_000;
    static final long OUT_OF_SERVICE_MILLIS = 2_500;
    static final long BACK_IN_SERVICE_MILLIS = 4_000;
    static final long CRASH_MILLIS = 1_500;
    /** An edit reaches the nodes at random times within this period. */
    static final long PROPAGATION_MILLIS = 1_000;

    static final int DEEP_LEVELS = 30;
    static final int DEEP_REQUESTS = 20;
    /** Three retries at each of 30 levels would make 4^30 calls, so the naive strategy is measured with 3 levels. */
    static final int NAIVE_DEEP_LEVELS = 3;

    static final int NAIVE_DEEP_REQUESTS = 4;

    static final TargetBehaviour BEHAVIOUR = new TargetBehaviour(12, 3, 20, 4, 2, 300);
    static final CallsSettings SETTINGS = new CallsSettings(2_000, 5_000, 64, 600_000, 100_000);

    private CallsScenario() {}

    static Snapshot table(long revision, boolean movedInService) {
        TableBuilder table = new TableBuilder()
                .dataCentre("a1", "a", true)
                .dataCentre(MOVED_DATA_CENTRE, "a", movedInService)
                .dataCentre("b1", "b", true)
                .service("catalogue", BEHAVIOUR.slots(), BEHAVIOUR.coldStartCalls(), 5_000)
                .service("records", BEHAVIOUR.slots(), BEHAVIOUR.coldStartCalls(), 5_000)
                .service("herdbook", BEHAVIOUR.slots(), BEHAVIOUR.coldStartCalls(), 5_000);
        for (String dataCentre : new String[] {"a1", MOVED_DATA_CENTRE, "b1"}) {
            table.server("records-" + dataCentre, dataCentre, "records");
            for (int i = 0; i < 2; i++) {
                table.server("catalogue-" + dataCentre + "-" + i, dataCentre, "catalogue");
                table.server("herdbook-" + dataCentre + "-" + i, dataCentre, "herdbook");
            }
        }
        Map<String, Integer> weights = new LinkedHashMap<>();
        weights.put("catalogue", CATALOGUE_PERCENT);
        weights.put("herdbook", 100 - CATALOGUE_PERCENT);
        return table.route("read", READ, true, weights)
                .route("write", WRITE, false, weights)
                .route("deep", DEEP, true, weights)
                .route("leaf", LEAF, true, Map.of("records", 100))
                .party(PARTY, 100, 1)
                .build(revision);
    }
}
