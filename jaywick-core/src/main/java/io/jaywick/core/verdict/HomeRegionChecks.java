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
 * Checks that home regions leave a server for each service.
 *
 * <p>The state of a data centre does not count: an operator who takes one out of service must never be refused.
 * A party whose home regions have nothing in common with those of a route is excluded from that route on purpose, which
 * is accepted as long as one route remains. Where they overlap, each service of the route needs a server, because its
 * share of the party's calls would otherwise always be refused.
 *
 * <p>Regions are bits, because every party is checked against every route: with 8,000 of each, all with different home
 * regions, checks over sets of names ran for minutes.
 */
final class HomeRegionChecks {

    private final TableRows rows;
    private final ProblemList problems;
    private final Map<String, Integer> bits = new HashMap<>();
    private final BitSet anyRegion = new BitSet();
    /** Regions of the servers of each service. */
    private final Map<String, BitSet> served = new HashMap<>();
    /** The same within the home regions of the service; services without a row are absent. */
    private final Map<String, BitSet> servedAtHome = new HashMap<>();

    private HomeRegionChecks(TableRows rows, ProblemList problems) {
        this.rows = rows;
        this.problems = problems;
    }

    /**
     * Regions of a route.
     *
     * @param home its home regions
     * @param served home regions in which one of its services has a server
     */
    private record RouteUse(BitSet home, BitSet served) {}

    /** Checks a table whose data centres, servers and services could all be read. */
    static void check(TableRows rows, ProblemList problems) {
        HomeRegionChecks checks = new HomeRegionChecks(rows, problems);
        checks.index();
        checks.checkServices();
        checks.checkRoutes();
        checks.checkParties();
    }

    private void index() {
        Map<String, String> regions = new HashMap<>();
        for (SheetRow row : rows.rows(Sheet.DATA_CENTRES)) {
            regions.put(row.field("data_centre"), row.field("region"));
            bit(row.field("region"));
        }
        for (Sheet sheet : new Sheet[] {Sheet.SERVICES, Sheet.ROUTES, Sheet.PARTIES}) {
            for (SheetRow row : rows.rows(sheet)) {
                CanonicalRow.splitRegions(row.field("home_regions")).forEach(this::bit);
            }
        }
        anyRegion.set(0, bits.size());
        for (SheetRow row : rows.rows(Sheet.SERVERS)) {
            String region = regions.get(row.field("data_centre"));
            if (region != null) {
                served.computeIfAbsent(row.field("service"), service -> new BitSet())
                        .set(bit(region));
            }
        }
        for (SheetRow row : rows.rows(Sheet.SERVICES)) {
            BitSet atHome = home(row);
            atHome.and(served.getOrDefault(row.field("service"), new BitSet()));
            servedAtHome.put(row.field("service"), atHome);
        }
    }

    private int bit(String region) {
        return bits.computeIfAbsent(region, name -> bits.size());
    }

    private void checkServices() {
        for (SheetRow row : rows.rows(Sheet.SERVICES)) {
            if (!home(row).intersects(served.getOrDefault(row.field("service"), new BitSet()))) {
                add(
                        ProblemType.SERVICE_WITHOUT_SERVER,
                        row,
                        "service " + TableProblem.quoted(row.field("service")) + " has no server in its home regions");
            }
        }
    }

    private void checkRoutes() {
        for (SheetRow row : rows.rows(Sheet.ROUTES)) {
            BitSet atHome = servedAtHome.get(row.field("service"));
            if (!row.malformed() && atHome != null && !atHome.isEmpty() && !atHome.intersects(home(row))) {
                add(
                        ProblemType.ROUTE_WITHOUT_SERVER,
                        row,
                        "the home regions of the route and of service " + TableProblem.quoted(row.field("service"))
                                + " leave no server");
            }
        }
    }

    private void checkParties() {
        Map<RouteUse, SheetRow> uses = new LinkedHashMap<>();
        for (SheetRow route : rows.rows(Sheet.ROUTES)) {
            BitSet atHome = servedAtHome.get(route.field("service"));
            BitSet home = home(route);
            if (!route.malformed() && atHome != null && atHome.intersects(home)) {
                BitSet both = (BitSet) atHome.clone();
                both.and(home);
                uses.putIfAbsent(new RouteUse(home, both), route);
            }
        }
        for (SheetRow party : rows.rows(Sheet.PARTIES)) {
            if (!party.malformed()
                    && !uses.isEmpty()
                    && !CanonicalRow.splitRegions(party.field("home_regions")).isEmpty()) {
                checkParty(party, uses);
            }
        }
    }

    private void checkParty(SheetRow party, Map<RouteUse, SheetRow> uses) {
        BitSet home = home(party);
        boolean hasRoute = false;
        for (Map.Entry<RouteUse, SheetRow> use : uses.entrySet()) {
            if (!home.intersects(use.getKey().home())) {
                continue;
            }
            hasRoute = true;
            if (!home.intersects(use.getKey().served())) {
                SheetRow route = use.getValue();
                add(
                        ProblemType.PARTY_WITHOUT_SERVER,
                        party,
                        "the home regions of the party leave no server for service "
                                + TableProblem.quoted(route.field("service")) + " of route "
                                + TableProblem.quoted(route.field("route")));
                return;
            }
        }
        if (!hasRoute) {
            add(
                    ProblemType.PARTY_WITHOUT_SERVER,
                    party,
                    "the home regions of the party have nothing in common with those of any route");
        }
    }

    /** Home regions of a row; a row without any has all regions. */
    private BitSet home(SheetRow row) {
        List<String> regions = CanonicalRow.splitRegions(row.field("home_regions"));
        BitSet home = new BitSet();
        if (regions.isEmpty()) {
            home.or(anyRegion);
        }
        for (String region : regions) {
            home.set(bit(region));
        }
        return home;
    }

    private void add(ProblemType type, SheetRow row, String message) {
        problems.add(type, row.sheet(), row.number(), "home_regions", message);
    }
}
