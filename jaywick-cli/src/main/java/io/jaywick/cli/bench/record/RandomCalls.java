package io.jaywick.cli.bench.record;

import java.util.List;
import java.util.random.RandomGenerator;

import io.jaywick.core.record.CallOutcome;
import io.jaywick.core.record.CallUsage;
import io.jaywick.core.record.DispatchUsage;

/** Generates random calls of one server. Parties with low numbers are drawn more often: a few make most calls. */
final class RandomCalls {

    private static final List<String> REFUSAL_REASONS =
            List.of("overloaded", "cold", "party-limit", "draining", "no-target");
    private static final List<String> UNKNOWN_OUTCOME_REASONS = List.of("connection-lost", "deadline-passed");
    private static final int PERCENT = 100;
    private static final int REFUSED_PERCENT = 4;
    private static final int UNKNOWN_PERCENT = 1;
    private static final int NESTED_PERCENT = 30;
    private static final int RETRIED_PERCENT = 3;
    private static final int REMOTE_PERCENT = 5;
    private static final int BODY_BYTES_BOUND = 4_000;
    private static final int MAX_SLOT_MICROS = 20_000;
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
        boolean regionBound = isRegionBound(party);
        String region = shape.regionOf(server);
        boolean homeRegion = region.equals(shape.regionOf(0));
        String service = "service-" + random.nextInt(shape.services());
        int outcomePercentile = random.nextInt(PERCENT);
        CallOutcome outcome = CallOutcome.ANSWERED;
        String reason = "";
        if (regionBound && !homeRegion) {
            outcome = CallOutcome.NOT_RUN;
            reason = "outside-home-regions";
        } else if (outcomePercentile < REFUSED_PERCENT) {
            outcome = CallOutcome.NOT_RUN;
            reason = REFUSAL_REASONS.get(random.nextInt(REFUSAL_REASONS.size()));
        } else if (outcomePercentile < REFUSED_PERCENT + UNKNOWN_PERCENT) {
            outcome = CallOutcome.UNKNOWN;
            reason = UNKNOWN_OUTCOME_REASONS.get(random.nextInt(UNKNOWN_OUTCOME_REASONS.size()));
        }
        boolean remote = !regionBound && shape.regions() > 1 && random.nextInt(PERCENT) < REMOTE_PERCENT;
        String servingRegion = remote ? "region-" + random.nextInt(shape.regions()) : region;
        boolean crossesRegions = !servingRegion.equals(region);
        int requestBytes = random.nextInt(BODY_BYTES_BOUND);
        int responseBytes = random.nextInt(BODY_BYTES_BOUND);
        return new CallUsage(
                "party-" + party,
                service,
                "route-" + service,
                servingRegion,
                regionBound,
                homeRegion,
                random.nextInt(PERCENT) < RETRIED_PERCENT ? 2 : 1,
                random.nextInt(PERCENT) < NESTED_PERCENT ? 1 : 0,
                outcome,
                reason,
                requestBytes,
                responseBytes,
                crossesRegions ? region + ">" + servingRegion : "",
                crossesRegions ? requestBytes + responseBytes : 0);
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
                "party-" + party, service, "route-" + service, attempt, depth, 1 + random.nextInt(MAX_SLOT_MICROS));
    }

    private int nextParty() {
        return Math.min(random.nextInt(shape.parties()), random.nextInt(shape.parties()));
    }
}
