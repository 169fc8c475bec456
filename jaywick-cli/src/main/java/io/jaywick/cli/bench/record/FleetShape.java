package io.jaywick.cli.bench.record;

/**
 * A simulated fleet.
 *
 * @param regions regions
 * @param dataCentres data centres, spread evenly over the regions
 * @param servers servers, spread evenly over the data centres
 * @param parties parties; every fifth has its home in the first region only
 * @param services services
 * @param callsPerInterval mean calls of one server in an interval
 * @param intervalMillis time between two lines of a process
 */
public record FleetShape(
        int regions,
        int dataCentres,
        int servers,
        int parties,
        int services,
        int callsPerInterval,
        long intervalMillis) {

    /** 18 servers in 6 data centres and 3 regions, as in the users' fleets. */
    public static final FleetShape SMALL = new FleetShape(3, 6, 18, 8, 3, 30, 10_000);

    String serverName(int server) {
        return "server-" + server;
    }

    String dataCentreOf(int server) {
        return "dc-" + server % dataCentres;
    }

    String regionOf(int server) {
        return "region-" + server % dataCentres % regions;
    }
}
