package io.jaywick.cli.bench.record;

import java.util.List;
import java.util.random.RandomGenerator;

import io.jaywick.core.record.CallOutcome;
import io.jaywick.core.record.CallUsage;
import io.jaywick.core.record.DispatchUsage;

/** Random calls of one server. A few parties make most of the calls. */
final class RandomCalls {

    private static final List<String> REFUSALS = List.of("overloaded", "cold", "party-limit", "draining", "no-target");
    private static final List<String> LOSSES = List.of("connection-lost", "deadline-passed");
    private static final int PERCENT = 100;
    private static final int REFUSED_PERCENT = 4;
    private static final int UNKNOWN_PERCENT = 1;
    private static final int NESTED_PERCENT = 30;
    private static final int RETRIED_PERCENT = 3;
    private static final int REMOTE_PERCENT = 5;
    private static final int MOST_BYTES = 4_000;
    private static final int MOST_SLOT_MICROS = 20_000;
    private static final int REGION_BOUND_PERIOD = 5;

    private final FleetShape shape;
    private final int server;
    private final RandomGenerator random;

    RandomCalls(FleetShape shape, int server, RandomGenerator random) {
        this.shape = shape;
        this.server = server;
        this.random = random;
    }

    static boolean isRegionBound(int party) {
        return party % REGION_BOUND_PERIOD == REGION_BOUND_PERIOD - 1;
    }

    CallUsage nextCall() {
        int party = nextParty();
        boolean bound = isRegionBound(party);
        String region = shape.regionOf(server);
        boolean home = region.equals(shape.regionOf(0));
        String service = "service-" + random.nextInt(shape.services());
        int dice = random.nextInt(PERCENT);
        CallOutcome outcome = CallOutcome.ANSWERED;
        String reason = "";
        if (bound && !home) {
            outcome = CallOutcome.NOT_RUN;
            reason = "outside-home-regions";
        } else if (dice < REFUSED_PERCENT) {
            outcome = CallOutcome.NOT_RUN;
            reason = REFUSALS.get(random.nextInt(REFUSALS.size()));
        } else if (dice < REFUSED_PERCENT + UNKNOWN_PERCENT) {
            outcome = CallOutcome.UNKNOWN;
            reason = LOSSES.get(random.nextInt(LOSSES.size()));
        }
        boolean remote = !bound && shape.regions() > 1 && random.nextInt(PERCENT) < REMOTE_PERCENT;
        String served = remote ? "region-" + random.nextInt(shape.regions()) : region;
        boolean crosses = !served.equals(region);
        int requestBytes = random.nextInt(MOST_BYTES);
        int responseBytes = random.nextInt(MOST_BYTES);
        return new CallUsage(
                "party-" + party,
                service,
                "route-" + service,
                served,
                bound,
                home,
                random.nextInt(PERCENT) < RETRIED_PERCENT ? 2 : 1,
                random.nextInt(PERCENT) < NESTED_PERCENT ? 1 : 0,
                outcome,
                reason,
                requestBytes,
                responseBytes,
                crosses ? region + ">" + served : "",
                crosses ? requestBytes + responseBytes : 0);
    }

    DispatchUsage nextDispatch() {
        int party = nextParty();
        while (isRegionBound(party) && !shape.regionOf(server).equals(shape.regionOf(0))) {
            party = nextParty();
        }
        String service = "service-" + server % shape.services();
        int attempt = random.nextInt(PERCENT) < RETRIED_PERCENT ? 2 : 1;
        int depth = random.nextInt(PERCENT) < NESTED_PERCENT ? 1 : 0;
        return new DispatchUsage(
                "party-" + party, service, "route-" + service, attempt, depth, 1 + random.nextInt(MOST_SLOT_MICROS));
    }

    private int nextParty() {
        return Math.min(random.nextInt(shape.parties()), random.nextInt(shape.parties()));
    }
}
