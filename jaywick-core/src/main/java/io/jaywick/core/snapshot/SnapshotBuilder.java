package io.jaywick.core.snapshot;

import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

import io.jaywick.core.table.CanonicalRow;
import io.jaywick.core.table.ProblemList;
import io.jaywick.core.table.Sheet;
import io.jaywick.core.table.SheetRow;
import io.jaywick.core.table.TableContent;
import io.jaywick.core.table.TableFormatException;
import io.jaywick.core.table.TableProblem;
import io.jaywick.core.table.TableRows;

/** Builds a snapshot from accepted canonical content; reads only the canonical rows. */
public final class SnapshotBuilder {

    private static final Comparator<Route> LONGEST_PREFIX_FIRST = Comparator.comparingInt(
                    (Route route) -> route.pathPrefix().length())
            .reversed()
            .thenComparing(Route::name);

    private final TableRows rows;
    private final Map<String, DataCentre> dataCentres = new TreeMap<>();
    private final Map<String, Server> servers = new TreeMap<>();
    private final Map<String, Service> services = new TreeMap<>();
    private final Map<String, Party> parties = new TreeMap<>();

    private SnapshotBuilder(TableRows rows) {
        this.rows = rows;
    }

    /**
     * Builds the snapshot of accepted content.
     *
     * @throws TableFormatException when a row is not in canonical form
     * @throws SnapshotException when the verdict would reject a value or a reference
     */
    public static Snapshot build(long revision, TableContent content) {
        ProblemList problems = new ProblemList();
        TableRows rows = TableRows.ofContent(content, problems);
        if (!problems.isEmpty()) {
            throw new TableFormatException(problems.toList());
        }
        return new SnapshotBuilder(rows).toSnapshot(revision, content);
    }

    private Snapshot toSnapshot(long revision, TableContent content) {
        for (SheetRow row : rows.rows(Sheet.DATA_CENTRES)) {
            String name = row.field("data_centre");
            dataCentres.put(
                    name,
                    new DataCentre(name, row.field("region"), row.field("state").equals("in")));
        }
        Map<String, List<Server>> serversOfService = new TreeMap<>();
        for (SheetRow row : rows.rows(Sheet.SERVERS)) {
            Server server =
                    new Server(row.field("server"), resolve(dataCentres, row, "data_centre"), row.field("service"));
            servers.put(server.name(), server);
            serversOfService
                    .computeIfAbsent(server.service(), service -> new ArrayList<>())
                    .add(server);
        }
        for (SheetRow row : rows.rows(Sheet.SERVICES)) {
            List<Server> serversOfThisService = serversOfService.getOrDefault(row.field("service"), List.of());
            services.put(row.field("service"), toService(row, List.copyOf(serversOfThisService)));
        }
        for (SheetRow row : rows.rows(Sheet.PARTIES)) {
            parties.put(row.field("party"), toParty(row));
        }
        return new Snapshot(
                revision,
                content,
                Collections.unmodifiableMap(dataCentres),
                Collections.unmodifiableMap(servers),
                Collections.unmodifiableMap(services),
                toRoutes(),
                Collections.unmodifiableMap(parties));
    }

    private List<Route> toRoutes() {
        Map<String, List<SheetRow>> rowsOfRoute = new LinkedHashMap<>();
        for (SheetRow row : rows.rows(Sheet.ROUTES)) {
            rowsOfRoute
                    .computeIfAbsent(row.field("route"), route -> new ArrayList<>())
                    .add(row);
        }
        List<Route> routes = new ArrayList<>();
        for (List<SheetRow> routeRows : rowsOfRoute.values()) {
            List<WeightedService> weighted = new ArrayList<>();
            for (SheetRow row : routeRows) {
                weighted.add(new WeightedService(resolve(services, row, "service"), intField(row, "weight_percent")));
            }
            SheetRow first = routeRows.get(0);
            routes.add(new Route(
                    first.field("route"),
                    first.field("path_prefix"),
                    List.copyOf(weighted),
                    first.field("idempotent").equals("true"),
                    longField(first, "timeout_millis"),
                    homeRegions(first),
                    intField(first, "importance")));
        }
        routes.sort(LONGEST_PREFIX_FIRST);
        return List.copyOf(routes);
    }

    private static Service toService(SheetRow row, List<Server> servers) {
        return new Service(
                row.field("service"),
                homeRegions(row),
                intField(row, "slots_per_server"),
                intField(row, "connections_per_server"),
                intField(row, "cold_start_calls"),
                longField(row, "timeout_millis"),
                servers);
    }

    private static Party toParty(SheetRow row) {
        return new Party(
                row.field("party"),
                intField(row, "limit_calls"),
                longField(row, "window_millis"),
                intField(row, "agreed_share_percent"),
                homeRegions(row),
                intField(row, "importance"));
    }

    private static <T> T resolve(Map<String, T> objects, SheetRow row, String column) {
        T object = objects.get(row.field(column));
        if (object == null) {
            throw new SnapshotException(describeField(row, column) + " is unknown");
        }
        return object;
    }

    private static Set<String> homeRegions(SheetRow row) {
        return Collections.unmodifiableSet(new TreeSet<>(CanonicalRow.splitRegions(row.field("home_regions"))));
    }

    private static int intField(SheetRow row, String column) {
        long value = longField(row, column);
        if (value != (int) value) {
            throw new SnapshotException(describeField(row, column) + " exceeds 32 bits");
        }
        return (int) value;
    }

    private static long longField(SheetRow row, String column) {
        try {
            return Long.parseLong(row.field(column));
        } catch (NumberFormatException e) {
            throw new SnapshotException(describeField(row, column) + " is not a number", e);
        }
    }

    private static String describeField(SheetRow row, String column) {
        return row.sheet().sheetName() + " row " + row.number() + ": " + column + " "
                + TableProblem.quoted(row.field(column));
    }
}
