package io.jaywick.core.verdict;

import java.util.BitSet;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import io.jaywick.core.table.CanonicalRow;
import io.jaywick.core.table.ProblemList;
import io.jaywick.core.table.ProblemType;
import io.jaywick.core.table.Sheet;
import io.jaywick.core.table.SheetRow;
import io.jaywick.core.table.TableProblem;
import io.jaywick.core.table.TableRows;

/**
 * Checks that each service has a server in the regions that home regions allow.
 *
 * <p>The state of a data centre is ignored, so that a table that takes a data centre out of service is always accepted.
 * A party whose home regions do not overlap those of a route is excluded from that route intentionally, which is
 * accepted as long as one route remains. If they overlap, each service of the route needs a server in the common
 * regions, because its share of the party's calls would otherwise always be refused.
 *
 * <p>Regions are represented as bits, because every party is checked against every route: with 8,000 of each, all with
 * different home regions, checks over sets of names take minutes.
 */
final class HomeRegionChecks {

    private final TableRows rows;
    private final ProblemList problems;
    private final Map<String, Integer> regionIndexes = new HashMap<>();
    private final BitSet allRegions = new BitSet();
    /** Regions with a server, by service. */
    private final Map<String, BitSet> serverRegions = new HashMap<>();
    /** Home regions of a service that have one of its servers, by service; undefined services are absent. */
    private final Map<String, BitSet> homeServerRegions = new HashMap<>();

    private HomeRegionChecks(TableRows rows, ProblemList problems) {
        this.rows = rows;
        this.problems = problems;
    }

    /**
     * Regions of one service of a route.
     *
     * @param home home regions of the route
     * @param served those in which the service has a server that its own home regions allow
     */
    private record RouteRegions(BitSet home, BitSet served) {}

    /** Checks a table whose sheets of data centres, servers and services are complete. */
    static void check(TableRows rows, ProblemList problems) {
        HomeRegionChecks checks = new HomeRegionChecks(rows, problems);
        checks.buildIndex();
        checks.checkServices();
        checks.checkRoutes();
        checks.checkParties();
    }

    private void buildIndex() {
        Map<String, String> regions = new HashMap<>();
        for (SheetRow row : rows.rows(Sheet.DATA_CENTRES)) {
            regions.put(row.field("data_centre"), row.field("region"));
            regionIndex(row.field("region"));
        }
        for (Sheet sheet : new Sheet[] {Sheet.SERVICES, Sheet.ROUTES, Sheet.PARTIES}) {
            for (SheetRow row : rows.rows(sheet)) {
                CanonicalRow.splitRegions(row.field("home_regions")).forEach(this::regionIndex);
            }
        }
        allRegions.set(0, regionIndexes.size());
        for (SheetRow row : rows.rows(Sheet.SERVERS)) {
            String region = regions.get(row.field("data_centre"));
            if (region != null) {
                serverRegions
                        .computeIfAbsent(row.field("service"), service -> new BitSet())
                        .set(regionIndex(region));
            }
        }
        for (SheetRow row : rows.rows(Sheet.SERVICES)) {
            BitSet homeWithServer = homeRegions(row);
            homeWithServer.and(serverRegions.getOrDefault(row.field("service"), new BitSet()));
            homeServerRegions.put(row.field("service"), homeWithServer);
        }
    }

    private int regionIndex(String region) {
        return regionIndexes.computeIfAbsent(region, name -> regionIndexes.size());
    }

    private void checkServices() {
        for (SheetRow row : rows.rows(Sheet.SERVICES)) {
            if (!homeRegions(row).intersects(serverRegions.getOrDefault(row.field("service"), new BitSet()))) {
                addProblem(
                        ProblemType.SERVICE_WITHOUT_SERVER,
                        row,
                        "service " + TableProblem.quoted(row.field("service")) + " has no server in its home regions");
            }
        }
    }

    private void checkRoutes() {
        for (SheetRow row : rows.rows(Sheet.ROUTES)) {
            BitSet serviceRegions = homeServerRegions.get(row.field("service"));
            if (!row.malformed()
                    && serviceRegions != null
                    && !serviceRegions.isEmpty()
                    && !serviceRegions.intersects(homeRegions(row))) {
                addProblem(
                        ProblemType.ROUTE_WITHOUT_SERVER,
                        row,
                        "the home regions of the route and of service " + TableProblem.quoted(row.field("service"))
                                + " leave no server");
            }
        }
    }

    private void checkParties() {
        Map<RouteRegions, SheetRow> routes = new LinkedHashMap<>();
        for (SheetRow route : rows.rows(Sheet.ROUTES)) {
            BitSet serviceRegions = homeServerRegions.get(route.field("service"));
            BitSet routeRegions = homeRegions(route);
            if (!route.malformed() && serviceRegions != null && serviceRegions.intersects(routeRegions)) {
                BitSet servedRegions = (BitSet) serviceRegions.clone();
                servedRegions.and(routeRegions);
                routes.putIfAbsent(new RouteRegions(routeRegions, servedRegions), route);
            }
        }
        for (SheetRow party : rows.rows(Sheet.PARTIES)) {
            if (!party.malformed()
                    && !routes.isEmpty()
                    && !CanonicalRow.splitRegions(party.field("home_regions")).isEmpty()) {
                checkParty(party, routes);
            }
        }
    }

    private void checkParty(SheetRow party, Map<RouteRegions, SheetRow> routes) {
        BitSet home = homeRegions(party);
        boolean hasRoute = false;
        for (Map.Entry<RouteRegions, SheetRow> entry : routes.entrySet()) {
            if (!home.intersects(entry.getKey().home())) {
                continue;
            }
            hasRoute = true;
            if (!home.intersects(entry.getKey().served())) {
                SheetRow route = entry.getValue();
                addProblem(
                        ProblemType.PARTY_WITHOUT_SERVER,
                        party,
                        "the home regions of the party leave no server for service "
                                + TableProblem.quoted(route.field("service")) + " of route "
                                + TableProblem.quoted(route.field("route")));
                return;
            }
        }
        if (!hasRoute) {
            addProblem(
                    ProblemType.PARTY_WITHOUT_SERVER,
                    party,
                    "the home regions of the party have nothing in common with those of any route");
        }
    }

    /** Returns the home regions of a row, or all regions when the row has none. */
    private BitSet homeRegions(SheetRow row) {
        List<String> regions = CanonicalRow.splitRegions(row.field("home_regions"));
        BitSet home = new BitSet();
        if (regions.isEmpty()) {
            home.or(allRegions);
        }
        for (String region : regions) {
            home.set(regionIndex(region));
        }
        return home;
    }

    private void addProblem(ProblemType type, SheetRow row, String message) {
        problems.add(type, row.sheet(), row.number(), "home_regions", message);
    }
}
