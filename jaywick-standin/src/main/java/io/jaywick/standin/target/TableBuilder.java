package io.jaywick.standin.target;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

import io.jaywick.core.snapshot.DataCentre;
import io.jaywick.core.snapshot.Party;
import io.jaywick.core.snapshot.Route;
import io.jaywick.core.snapshot.Server;
import io.jaywick.core.snapshot.Service;
import io.jaywick.core.snapshot.Snapshot;
import io.jaywick.core.snapshot.WeightedService;
import io.jaywick.core.table.Sheet;
import io.jaywick.core.table.TableContent;

/** Builds snapshots of the table without parsing sheets, for tests and benchmarks of calls. */
public final class TableBuilder {

    private record ServiceRow(
            String name, Set<String> homeRegions, int slots, int coldStartCalls, long timeoutMillis) {}

    private record RouteRow(
            String name, String prefix, boolean idempotent, Set<String> homeRegions, Map<String, Integer> weights) {}

    private final Map<String, DataCentre> dataCentres = new LinkedHashMap<>();
    private final Map<String, String[]> servers = new LinkedHashMap<>();
    private final Map<String, ServiceRow> services = new LinkedHashMap<>();
    private final Map<String, RouteRow> routes = new LinkedHashMap<>();
    private final Map<String, Party> parties = new LinkedHashMap<>();

    public TableBuilder dataCentre(String name, String region, boolean inService) {
        dataCentres.put(name, new DataCentre(name, region, inService));
        return this;
    }

    /** Puts a data centre into or out of service. */
    public TableBuilder setInService(String name, boolean inService) {
        return dataCentre(name, dataCentres.get(name).region(), inService);
    }

    public TableBuilder service(String name, int slots, int coldStartCalls, long timeoutMillis, String... homeRegions) {
        services.put(name, new ServiceRow(name, Set.of(homeRegions), slots, coldStartCalls, timeoutMillis));
        return this;
    }

    public TableBuilder server(String name, String dataCentre, String service) {
        servers.put(name, new String[] {dataCentre, service});
        return this;
    }

    /** Adds a route for the paths with a prefix. The weights map services to percentages. */
    public TableBuilder route(
            String name, String prefix, boolean idempotent, Map<String, Integer> weights, String... homeRegions) {
        routes.put(name, new RouteRow(name, prefix, idempotent, Set.of(homeRegions), weights));
        return this;
    }

    public TableBuilder party(String name, int agreedSharePercent, int importance, String... homeRegions) {
        parties.put(
                name, new Party(name, Integer.MAX_VALUE, 1_000, agreedSharePercent, Set.of(homeRegions), importance));
        return this;
    }

    public Snapshot build(long revision) {
        Map<String, Server> builtServers = new LinkedHashMap<>();
        Map<String, List<Server>> byService = new LinkedHashMap<>();
        servers.forEach((name, row) -> {
            Server server = new Server(name, dataCentres.get(row[0]), row[1]);
            builtServers.put(name, server);
            byService.computeIfAbsent(row[1], service -> new ArrayList<>()).add(server);
        });
        Map<String, Service> builtServices = new LinkedHashMap<>();
        for (ServiceRow row : services.values()) {
            List<Server> serviceServers = new ArrayList<>(byService.getOrDefault(row.name(), List.of()));
            serviceServers.sort(Comparator.comparing(Server::name));
            builtServices.put(
                    row.name(),
                    new Service(
                            row.name(),
                            row.homeRegions(),
                            row.slots(),
                            Integer.MAX_VALUE,
                            row.coldStartCalls(),
                            row.timeoutMillis(),
                            List.copyOf(serviceServers)));
        }
        List<Route> builtRoutes = new ArrayList<>();
        for (RouteRow row : routes.values()) {
            List<WeightedService> weighted = new ArrayList<>();
            row.weights().forEach((service, weight) -> {
                weighted.add(new WeightedService(builtServices.get(service), weight));
            });
            builtRoutes.add(new Route(
                    row.name(),
                    row.prefix(),
                    List.copyOf(weighted),
                    row.idempotent(),
                    Integer.MAX_VALUE,
                    row.homeRegions(),
                    0));
        }
        builtRoutes.sort(
                Comparator.comparingInt((Route route) -> -route.pathPrefix().length())
                        .thenComparing(Route::name));
        TableContent content = new TableContent(
                Map.<Sheet, Map<String, String>>of(Sheet.DATA_CENTRES, Map.of("revision", Long.toString(revision))));
        return new Snapshot(
                revision,
                content,
                Map.copyOf(dataCentres),
                Map.copyOf(builtServers),
                Map.copyOf(builtServices),
                List.copyOf(builtRoutes),
                Map.copyOf(parties));
    }
}
