package io.jaywick.cli.bench.record;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.random.RandomGenerator;
import java.util.random.RandomGeneratorFactory;

import io.jaywick.core.record.PeerRecordState;
import io.jaywick.core.record.RecorderIdentity;
import io.jaywick.core.snapshot.Party;
import io.jaywick.core.snapshot.Snapshot;
import io.jaywick.core.table.TableContent;

/** Simulates a fleet whose processes are killed, restarted and paused while they write the usage record. */
public final class FleetSimulation {

    private static final int NEIGHBOUR_COUNT = 8;
    private static final int MAX_PAUSED_INTERVALS = 12;
    private static final int MAX_DOWN_INTERVALS = 4;
    private static final long START_SPREAD_MILLIS = 1_000;

    private record RunningProcess(int server, SimulatedProcess process) {}

    private final FleetShape shape;
    private final FaultRates faults;
    private final RandomGenerator random;
    private final SimulationClock clock;
    private final FleetOutput output;
    private final List<RunningProcess> running = new ArrayList<>();
    private final Map<Integer, Integer> downIntervals = new HashMap<>();
    private Snapshot snapshot;

    /** @param startMillis time of the simulated clock at the start, in milliseconds since 1970 */
    public FleetSimulation(FleetShape shape, FaultRates faults, long seed, long startMillis, FleetOutput output) {
        this.shape = shape;
        this.faults = faults;
        this.random = RandomGeneratorFactory.of("L64X128MixRandom").create(seed);
        this.clock = new SimulationClock(startMillis);
        this.output = output;
        setShares(1, 0);
        for (int server = 0; server < shape.servers(); server++) {
            start(server);
        }
    }

    /**
     * Publishes a snapshot in which all parties have equal agreed shares, except that {@code percentagePoints} are
     * moved from the second party to the first.
     */
    public void setShares(long revision, int percentagePoints) {
        Map<String, Party> parties = new TreeMap<>();
        for (int i = 0; i < shape.parties(); i++) {
            int share = 100 / shape.parties() + (i == 0 ? percentagePoints : i == 1 ? -percentagePoints : 0);
            Set<String> home = RandomCalls.isRegionBound(i) ? Set.of(shape.regionOf(0)) : Set.of();
            parties.put("party-" + i, new Party("party-" + i, 1_000, 1_000, share, home, 1));
        }
        snapshot = new Snapshot(revision, new TableContent(Map.of()), Map.of(), Map.of(), Map.of(), List.of(), parties);
        running.forEach(each -> each.process().onSnapshot(snapshot));
    }

    /** Advances the fleet by one interval, applies faults and restarts the servers that are due. */
    public void runInterval() {
        clock.advance(shape.intervalMillis());
        for (RunningProcess each : List.copyOf(running)) {
            int calls = random.nextInt(2 * shape.callsPerInterval() + 1);
            if (random.nextDouble() < faults.kill()) {
                each.process().runInterval(random.nextInt(calls + 1));
                removeUntilRestart(each);
            } else if (each.process().runInterval(calls)) {
                each.process().writeLine();
                applyLifecycleFault(each);
            }
        }
        startServersDue();
    }

    /**
     * Kills every process of a data centre after a part of its calls in an interval. The servers restart within a
     * few intervals.
     */
    public void killDataCentre(String dataCentre) {
        for (RunningProcess each : List.copyOf(running)) {
            if (shape.dataCentreOf(each.server()).equals(dataCentre)) {
                each.process().runInterval(random.nextInt(shape.callsPerInterval() + 1));
                removeUntilRestart(each);
            }
        }
    }

    /** Shuts down all processes gracefully. */
    public void endGracefully() {
        running.forEach(each -> each.process().endGracefully());
        running.clear();
    }

    private void applyLifecycleFault(RunningProcess each) {
        if (random.nextDouble() < faults.restart()) {
            each.process().endGracefully();
            removeUntilRestart(each);
        } else if (random.nextDouble() < faults.pause()) {
            each.process().pause(1 + random.nextInt(MAX_PAUSED_INTERVALS));
        } else if (random.nextDouble() < faults.twin()) {
            start(each.server());
        }
    }

    private void removeUntilRestart(RunningProcess each) {
        running.remove(each);
        downIntervals.put(each.server(), 1 + random.nextInt(MAX_DOWN_INTERVALS));
    }

    private void startServersDue() {
        for (int server : List.copyOf(downIntervals.keySet())) {
            if (downIntervals.merge(server, -1, Integer::sum) <= 0) {
                downIntervals.remove(server);
                start(server);
            }
        }
    }

    private void start(int server) {
        long startMillis = clock.millis() - random.nextLong(START_SPREAD_MILLIS);
        RecorderIdentity identity = new RecorderIdentity(
                shape.serverName(server),
                shape.dataCentreOf(server),
                shape.regionOf(server),
                startMillis,
                random.nextLong());
        SimulatedProcess process = new SimulatedProcess(
                identity,
                clock,
                output,
                new RandomCalls(shape, server, random),
                random,
                () -> neighbourRecordStates(server));
        process.onSnapshot(snapshot);
        process.writeLine();
        running.add(new RunningProcess(server, process));
    }

    /**
     * Returns the record states that the next {@value #NEIGHBOUR_COUNT} servers report. When a server has more than
     * one process, its newest comes last.
     */
    private List<PeerRecordState> neighbourRecordStates(int server) {
        List<PeerRecordState> states = new ArrayList<>();
        for (RunningProcess each : running) {
            int distance = Math.floorMod(each.server() - server, shape.servers());
            if (distance > 0 && distance <= NEIGHBOUR_COUNT) {
                states.add(each.process().recordState());
            }
        }
        return states;
    }
}
