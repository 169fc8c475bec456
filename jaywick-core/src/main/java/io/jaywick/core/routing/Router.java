package io.jaywick.core.routing;

import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.LongSupplier;
import java.util.random.RandomGenerator;

import io.jaywick.core.membership.Member;
import io.jaywick.core.membership.MemberState;
import io.jaywick.core.membership.MembershipView;
import io.jaywick.core.snapshot.HomeRegions;
import io.jaywick.core.snapshot.Party;
import io.jaywick.core.snapshot.Route;
import io.jaywick.core.snapshot.Server;
import io.jaywick.core.snapshot.Service;
import io.jaywick.core.snapshot.Snapshot;
import io.jaywick.core.snapshot.WeightedService;

/**
 * Chooses the service and the target of each call at the node of the caller. Home regions and the state of the data
 * centres in the table exclude targets; observed and reported state only affects their order. Thread-safe.
 */
public final class Router {

    /**
     * Time for which a target that refused as draining, or could not be connected to, is used only as a last resort.
     */
    public static final long AVOID_MILLIS = 2_000;

    private static final long NANOS_PER_MILLI = 1_000_000;
    private static final double DEFAULT_LATENCY_NANOS = 1_000_000;
    /** Proximity tiers of candidates: 0 is the same data centre, 1 the same region, 2 any other region. */
    private static final int PROXIMITY_TIERS = 3;
    /**
     * Availability classes of candidates: 0 has free capacity, 1 is at capacity, 2 may be unavailable. A lower class is
     * preferred.
     */
    private static final int AVAILABILITY_CLASSES = 3;

    private final String dataCentre;
    private final String region;
    private final RandomGenerator random;
    private final LongSupplier nanoTime;
    private final Map<String, SmoothWeightedRoundRobin<WeightedService>> roundRobins = new ConcurrentHashMap<>();
    private final Map<String, TargetState> targetStates = new ConcurrentHashMap<>();
    private final Map<String, OutlierEjector> ejectors = new ConcurrentHashMap<>();
    private volatile Snapshot prunedFor;

    /** Creates the router of a node at the given location. The time is monotonic and the generator thread-safe. */
    public Router(String dataCentre, String region, RandomGenerator random, LongSupplier nanoTime) {
        this.dataCentre = dataCentre;
        this.region = region;
        this.random = random;
        this.nanoTime = nanoTime;
    }

    /**
     * Resolves route, party, home regions and service of a call. An idempotency key is used on non-idempotent routes
     * only.
     */
    public CallPlan plan(Snapshot snapshot, String path, String partyName, String idempotencyKey) {
        if (snapshot == null) {
            return CallPlan.refused(null, null, null, RefusalReason.NO_TABLE);
        }
        if (snapshot != prunedFor) {
            pruneState(snapshot);
        }
        Party party = partyName == null ? null : snapshot.parties().get(partyName);
        if (party == null) {
            return CallPlan.refused(snapshot, null, null, RefusalReason.UNKNOWN_PARTY);
        }
        Route route = snapshot.routeFor(path);
        if (route == null) {
            return CallPlan.refused(snapshot, null, party, RefusalReason.NO_ROUTE);
        }
        String key = route.idempotent() ? null : idempotencyKey;
        Service service = key == null
                ? roundRobinOf(route).choose(route.services()).service()
                : KeyHome.service(route, party.name(), key);
        Set<String> homeRegions =
                HomeRegions.intersection(route.homeRegions(), service.homeRegions(), party.homeRegions());
        RefusalReason refusal = HomeRegions.allows(homeRegions, region) ? null : RefusalReason.OUTSIDE_HOME_REGIONS;
        return new CallPlan(snapshot, route, service, party, homeRegions, key, refusal);
    }

    /**
     * Chooses a target for the next attempt, or returns null if none is eligible. The caller reports the attempt to
     * {@link #recordAttemptStart} and {@link #recordAttemptEnd}.
     *
     * @param tried servers that have refused or lost an attempt of this call; they are not chosen again
     */
    public Member choose(CallPlan plan, MembershipView members, Collection<String> tried) {
        if (plan.key() != null) {
            Server home = KeyHome.server(
                    plan.service(), plan.homeRegions(), plan.party().name(), plan.key());
            return home == null || tried.contains(home.name())
                    ? null
                    : members.member(home.name()).orElse(null);
        }
        List<Server> servers = plan.service().servers();
        Member[] candidates = new Member[servers.size()];
        byte[] ranks = new byte[candidates.length];
        int[] counts = new int[PROXIMITY_TIERS * AVAILABILITY_CLASSES];
        long nowNanos = nanoTime.getAsLong();
        for (int i = 0; i < candidates.length; i++) {
            Server server = servers.get(i);
            if (!server.dataCentre().inService()
                    || !HomeRegions.allows(
                            plan.homeRegions(), server.dataCentre().region())
                    || tried.contains(server.name())) {
                continue;
            }
            Optional<Member> member = members.member(server.name());
            if (member.isPresent()) {
                candidates[i] = member.get();
                ranks[i] = (byte) (availabilityClass(plan.service(), server, member.get(), nowNanos) * PROXIMITY_TIERS
                        + proximityTier(server));
                counts[ranks[i]]++;
            }
        }
        for (int rank = 0; rank < counts.length; rank++) {
            if (counts[rank] > 0) {
                return chooseLessLoaded(plan.service(), candidates, ranks, rank, counts[rank], nowNanos);
            }
        }
        return null;
    }

    /** Records that an attempt is being sent to the server. */
    public void recordAttemptStart(Server server) {
        state(server).recordAttemptStart();
    }

    /** Records that an attempt at the server has ended, with any result. */
    public void recordAttemptEnd(Server server) {
        state(server).recordAttemptEnd();
    }

    /** Records a complete answer of the server. */
    public void recordAnswer(Service service, Server server, long latencyNanos) {
        state(server).recordLatency(latencyNanos);
        ejector(service).recordSuccess(server.name());
    }

    /** Records the load that the server's node reported with an answer or a refusal. */
    public void recordLoad(Server server, int inFlight, int limit) {
        state(server).recordLoad(inFlight, limit, nanoTime.getAsLong());
    }

    /** Records that the connection was lost with an attempt in flight, or that no answer arrived in time. */
    public void recordFailure(Service service, Server server) {
        ejector(service).recordFailure(server.name(), service.servers().size(), nanoTime.getAsLong());
    }

    /**
     * Uses the server only as a last resort for {@link #AVOID_MILLIS}, because no connection to its node could be
     * established or the node refused a call as draining.
     */
    public void avoid(Server server) {
        state(server).avoidUntil(nanoTime.getAsLong() + AVOID_MILLIS * NANOS_PER_MILLI);
    }

    /**
     * Avoids all servers of a data centre after a node has refused a call because that data centre is out of service,
     * which the local table does not show yet.
     */
    public void avoidDataCentre(Service service, String dataCentreName) {
        for (Server server : service.servers()) {
            if (server.dataCentre().name().equals(dataCentreName)) {
                avoid(server);
            }
        }
    }

    private Member chooseLessLoaded(
            Service service, Member[] candidates, byte[] ranks, int rank, int count, long nowNanos) {
        int first = random.nextInt(count);
        int second = count == 1 ? first : random.nextInt(count - 1);
        if (count > 1 && second >= first) {
            second++;
        }
        int firstIndex = indexOf(candidates, ranks, rank, first);
        int secondIndex = indexOf(candidates, ranks, rank, second);
        TargetState a = state(service.servers().get(firstIndex));
        TargetState b = state(service.servers().get(secondIndex));
        double latencyA = a.latencyNanos() == 0 ? b.latencyNanos() : a.latencyNanos();
        double latencyB = b.latencyNanos() == 0 ? a.latencyNanos() : b.latencyNanos();
        double scoreA = a.score(service.coldStartCalls(), latencyA == 0 ? DEFAULT_LATENCY_NANOS : latencyA, nowNanos);
        double scoreB = b.score(service.coldStartCalls(), latencyB == 0 ? DEFAULT_LATENCY_NANOS : latencyB, nowNanos);
        return candidates[scoreB < scoreA ? secondIndex : firstIndex];
    }

    private static int indexOf(Member[] candidates, byte[] ranks, int rank, int position) {
        int remaining = position;
        for (int i = 0; i < candidates.length; i++) {
            if (candidates[i] != null && ranks[i] == rank && remaining-- == 0) {
                return i;
            }
        }
        throw new IllegalStateException("fewer candidates of the rank than counted");
    }

    private int availabilityClass(Service service, Server server, Member member, long nowNanos) {
        TargetState state = state(server);
        if (member.state() != MemberState.ALIVE
                || state.isAvoided(nowNanos)
                || ejector(service).isEjected(server.name(), nowNanos)) {
            return 2;
        }
        return state.hasCapacity(service.coldStartCalls(), nowNanos) ? 0 : 1;
    }

    private int proximityTier(Server server) {
        if (server.dataCentre().name().equals(dataCentre)) {
            return 0;
        }
        return server.dataCentre().region().equals(region) ? 1 : 2;
    }

    private SmoothWeightedRoundRobin<WeightedService> roundRobinOf(Route route) {
        SmoothWeightedRoundRobin<WeightedService> found = roundRobins.get(route.name());
        return found != null
                ? found
                : roundRobins.computeIfAbsent(
                        route.name(),
                        name -> new SmoothWeightedRoundRobin<>(
                                route.services(),
                                item -> item.service().name(),
                                WeightedService::weightPercent,
                                random));
    }

    private TargetState state(Server server) {
        TargetState found = targetStates.get(server.name());
        return found != null ? found : targetStates.computeIfAbsent(server.name(), name -> new TargetState(server));
    }

    private OutlierEjector ejector(Service service) {
        OutlierEjector found = ejectors.get(service.name());
        return found != null ? found : ejectors.computeIfAbsent(service.name(), name -> new OutlierEjector());
    }

    /**
     * Removes the state of servers, services and routes that are not in the table, which bounds the memory. A call in
     * flight to a removed server creates its state again, which does no harm.
     */
    private synchronized void pruneState(Snapshot snapshot) {
        if (snapshot == prunedFor) {
            return;
        }
        targetStates.keySet().retainAll(snapshot.servers().keySet());
        ejectors.keySet().retainAll(snapshot.services().keySet());
        Set<String> routes = new HashSet<>();
        for (Route route : snapshot.routes()) {
            routes.add(route.name());
        }
        roundRobins.keySet().retainAll(routes);
        prunedFor = snapshot;
    }
}
