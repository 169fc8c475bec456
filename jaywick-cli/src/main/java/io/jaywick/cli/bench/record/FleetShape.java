package io.jaywick.cli.bench.record;

/**
 * Size and load of a simulated fleet.
 *
 * @param regions number of regions
 * @param dataCentres number of data centres, spread evenly over the regions
 * @param servers number of servers, spread evenly over the data centres
 * @param parties number of parties; every fifth has the first region as its only home region
 * @param services number of services
 * @param callsPerInterval mean number of calls that one server makes in an interval
 * @param intervalMillis time between two regular record lines of a process
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
