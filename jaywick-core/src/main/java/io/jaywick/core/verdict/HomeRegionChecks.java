package io.jaywick.core.verdict;

import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import io.jaywick.core.snapshot.HomeRegions;
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
 */
final class HomeRegionChecks {

    private final TableRows rows;
    private final ProblemList problems;
    private final Map<String, Set<String>> regionsOfService = new HashMap<>();
    private final Map<String, Set<String>> homeOfServices = new HashMap<>();

    private HomeRegionChecks(TableRows rows, ProblemList problems) {
        this.rows = rows;
        this.problems = problems;
    }

    /** Checks a table whose sheets could all be read and whose references are known. */
    static void check(TableRows rows, ProblemList problems) {
        HomeRegionChecks checks = new HomeRegionChecks(rows, problems);
        checks.index();
        checks.checkServices();
        checks.checkRoutes();
        checks.checkParties();
    }

    private void index() {
        Map<String, String> regions = new HashMap<>();
        for (SheetRow row : rows.of(Sheet.DATA_CENTRES)) {
            regions.put(row.field("data_centre"), row.field("region"));
        }
        for (SheetRow row : rows.of(Sheet.SERVICES)) {
            homeOfServices.put(row.field("service"), home(row));
        }
        for (SheetRow row : rows.of(Sheet.SERVERS)) {
            String region = regions.get(row.field("data_centre"));
            if (region != null) {
                regionsOfService
                        .computeIfAbsent(row.field("service"), service -> new LinkedHashSet<>())
                        .add(region);
            }
        }
    }

    private void checkServices() {
        for (SheetRow row : rows.of(Sheet.SERVICES)) {
            if (!hasServer(row.field("service"), home(row))) {
                add(
                        ProblemType.SERVICE_WITHOUT_SERVER,
                        row,
                        "service " + TableProblem.shown(row.field("service")) + " has no server in its home regions");
            }
        }
    }

    private void checkRoutes() {
        for (SheetRow row : rows.of(Sheet.ROUTES)) {
            String service = row.field("service");
            Set<String> home = homeOfServices.get(service);
            if (!row.broken()
                    && home != null
                    && hasServer(service, home)
                    && !hasServer(service, HomeRegions.intersection(home(row), home))) {
                add(
                        ProblemType.ROUTE_WITHOUT_SERVER,
                        row,
                        "the home regions of the route and of service " + TableProblem.shown(service)
                                + " leave no server");
            }
        }
    }

    private void checkParties() {
        // Parties and routes share few sets of home regions, so each distinct pair is judged once.
        Map<List<Object>, SheetRow> uses = new LinkedHashMap<>();
        for (SheetRow route : rows.of(Sheet.ROUTES)) {
            String service = route.field("service");
            Set<String> homeOfService = homeOfServices.get(service);
            if (!route.broken()
                    && homeOfService != null
                    && hasServer(service, HomeRegions.intersection(home(route), homeOfService))) {
                uses.putIfAbsent(List.of(home(route), service), route);
            }
        }
        Map<Set<String>, String> messages = new HashMap<>();
        for (SheetRow party : rows.of(Sheet.PARTIES)) {
            String message = party.broken() || home(party).isEmpty() || uses.isEmpty()
                    ? ""
                    : messages.computeIfAbsent(home(party), home -> messageFor(home, uses.values()));
            if (!message.isEmpty()) {
                add(ProblemType.PARTY_WITHOUT_SERVER, party, message);
            }
        }
    }

    private String messageFor(Set<String> home, Collection<SheetRow> routes) {
        boolean hasRoute = false;
        for (SheetRow route : routes) {
            Set<String> allowed = HomeRegions.intersection(home, home(route));
            if (allowed == null) {
                continue;
            }
            hasRoute = true;
            String service = route.field("service");
            if (!hasServer(service, HomeRegions.intersection(allowed, homeOfServices.get(service)))) {
                return "the home regions of the party leave no server for service " + TableProblem.shown(service)
                        + " of route " + TableProblem.shown(route.field("route"));
            }
        }
        return hasRoute ? "" : "the home regions of the party have nothing in common with those of any route";
    }

    private boolean hasServer(String service, Set<String> home) {
        if (home == null) {
            return false;
        }
        for (String region : regionsOfService.getOrDefault(service, Set.of())) {
            if (HomeRegions.allows(home, region)) {
                return true;
            }
        }
        return false;
    }

    private static Set<String> home(SheetRow row) {
        return new LinkedHashSet<>(CanonicalRow.regions(row.field("home_regions")));
    }

    private void add(ProblemType type, SheetRow row, String message) {
        problems.add(type, row.sheet(), row.number(), "home_regions", message);
    }
}
