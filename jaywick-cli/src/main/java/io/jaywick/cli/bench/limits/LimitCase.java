package io.jaywick.cli.bench.limits;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;

/** Demand and faults that the benchmark applies to every strategy. */
public enum LimitCase {
    /** Equal demand at all servers, without faults. */
    QUIET("quiet") {
        @Override
        void plan(LimitFleet fleet) {
            fleet.servers()
                    .forEach(server -> fleet.setDemand(
                            server, TOTAL_CALLS_PER_SECOND / fleet.servers().size()));
        }
    },
    /**
     * All demand is at one server and moves to a random server every 40 s; messages are lost, delayed and delivered
     * twice.
     */
    SKEWED("skewed") {
        @Override
        void plan(LimitFleet fleet) {
            fleet.network().setFaults(LOSS_RATIO, DUPLICATE_RATIO, MAX_DELAY_MILLIS);
            for (int second = 0; second < RUN_SECONDS; second += MOVE_INTERVAL_SECONDS) {
                scheduleAt(fleet, second, () -> {
                    fleet.stopDemand();
                    fleet.setDemand(randomServer(fleet), TOTAL_CALLS_PER_SECOND);
                });
            }
        }
    },
    /** A partition separates one region from the others, with demand at one server on each side. */
    PARTITIONED("partitioned") {
        @Override
        void plan(LimitFleet fleet) {
            fleet.network().setFaults(LOSS_RATIO, DUPLICATE_RATIO, MAX_DELAY_MILLIS);
            List<String> cutOff = fleet.serversIn("region-2");
            fleet.setDemand(cutOff.get(0), TOTAL_CALLS_PER_SECOND);
            fleet.setDemand(fleet.serversIn("region-1").get(0), TOTAL_CALLS_PER_SECOND);
            scheduleAt(fleet, 30, () -> fleet.cut(cutOff, 1));
            scheduleAt(fleet, 130, fleet::heal);
        }
    },
    /** Every 5 s a random server restarts, with or without demand. */
    RESTARTS("restarts") {
        @Override
        void plan(LimitFleet fleet) {
            addDemandAtTwoServers(fleet);
            for (int second = 30; second < RUN_SECONDS; second += 5) {
                scheduleAt(fleet, second, () -> fleet.restart(randomServer(fleet)));
            }
        }
    },
    /** Servers pause between actions or between two clock readings of an action, mostly 20 ms to 2 s, at most 40 s. */
    PAUSES("pauses") {
        @Override
        void plan(LimitFleet fleet) {
            addDemandAtTwoServers(fleet);
            RandomGenerator random = fleet.time().random();
            for (int second = 30; second < RUN_SECONDS; second += 2) {
                scheduleAt(fleet, second, () -> {
                    long millis = random.nextInt(4) == 0 ? random.nextLong(40_000) : random.nextLong(20, 2_000);
                    if (random.nextBoolean()) {
                        fleet.pause(randomServer(fleet), millis);
                    } else {
                        fleet.stall(randomServer(fleet), random.nextInt(3), millis);
                    }
                });
            }
        }
    },
    /** Edits change the limit and the window while calls are admitted. */
    EDIT("edit") {
        @Override
        void plan(LimitFleet fleet) {
            addDemandAtTwoServers(fleet);
            scheduleAt(fleet, 40, () -> fleet.publishLimit(500, 2_000));
            scheduleAt(fleet, 70, () -> fleet.publishLimit(1_000, 2_000));
            scheduleAt(fleet, 100, () -> fleet.publishLimit(1_000, 4_000));
            scheduleAt(fleet, 140, () -> fleet.publishLimit(1_000, 2_000));
        }
    },
    /** All faults combined: restarts, pauses, partitions, edits of limit, window and roster, a wrong instance list. */
    MIXED("mixed") {
        @Override
        void plan(LimitFleet fleet) {
            PAUSES.plan(fleet);
            RandomGenerator random = fleet.time().random();
            for (int second = 20; second < RUN_SECONDS; second += 7) {
                scheduleAt(fleet, second, () -> mixedFault(fleet, random));
            }
        }
    };

    static final int RUN_SECONDS = 180;
    static final int WARM_UP_SECONDS = 20;

    private static final double TOTAL_CALLS_PER_SECOND = 750;
    private static final int MOVE_INTERVAL_SECONDS = 40;
    private static final double LOSS_RATIO = 0.05;
    private static final double DUPLICATE_RATIO = 0.05;
    private static final long MAX_DELAY_MILLIS = 15_000;

    private final String key;

    LimitCase(String key) {
        this.key = key;
    }

    /** Returns the name of the case in results. */
    public String key() {
        return key;
    }

    /** Sets the demand and schedules the faults of the run. */
    abstract void plan(LimitFleet fleet);

    private static void addDemandAtTwoServers(LimitFleet fleet) {
        fleet.network().setFaults(LOSS_RATIO, DUPLICATE_RATIO, MAX_DELAY_MILLIS);
        List<String> servers = new ArrayList<>(fleet.servers());
        fleet.setDemand(servers.get(0), TOTAL_CALLS_PER_SECOND / 2);
        fleet.setDemand(servers.get(servers.size() - 1), TOTAL_CALLS_PER_SECOND / 2);
    }

    private static void mixedFault(LimitFleet fleet, RandomGenerator random) {
        switch (random.nextInt(8)) {
            case 0 -> fleet.restart(randomServer(fleet));
            case 1 -> {
                List<String> side = new ArrayList<>(fleet.servers());
                side.removeIf(server -> random.nextBoolean());
                fleet.cut(side, random.nextInt(1, 3));
            }
            case 2, 3 -> fleet.heal();
            case 4 -> fleet.publishLimit(random.nextInt(1, 2_000), random.nextLong(500, 4_000));
            case 5 -> fleet.removeFromRoster(randomServer(fleet));
            case 6 -> fleet.addToRoster(randomServer(fleet), "dc-" + random.nextInt(1, 7));
            default -> fleet.setInstanceListFaulty(random.nextBoolean());
        }
        fleet.setDemand(randomServer(fleet), random.nextInt(2) * TOTAL_CALLS_PER_SECOND);
    }

    private static String randomServer(LimitFleet fleet) {
        List<String> servers = new ArrayList<>(fleet.servers());
        return servers.get(fleet.time().random().nextInt(servers.size()));
    }

    private static void scheduleAt(LimitFleet fleet, int second, Runnable action) {
        fleet.time().schedule(TimeUnit.SECONDS.toNanos(second), action);
    }
}
