package io.jaywick.node.relay;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.CompletableFuture;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.jaywick.core.fleet.FleetView;
import io.jaywick.core.placement.InstanceSelector;
import io.jaywick.core.placement.PlacementExplanation;
import io.jaywick.core.rules.RouteRule;
import io.jaywick.core.rules.ServiceWeight;
import io.netty.handler.codec.http.QueryStringDecoder;
import org.reactivestreams.Publisher;
import reactor.core.publisher.Mono;
import reactor.netty.http.server.HttpServerRequest;
import reactor.netty.http.server.HttpServerResponse;

/**
 * Answers {@code GET /explain?route=NAME&regions=R,R} with the instances to which a call of a route would go now, as one
 * JSON object. The regions, which may be left out, restrict the call in addition to the home regions of the route. Sends
 * no call and changes no state.
 */
final class PlacementHandler {

    static final String PATH = "/explain";

    private static final int OK = 200;
    private static final int BAD_REQUEST = 400;
    private static final int NOT_FOUND = 404;
    private static final int INTERNAL_ERROR = 500;

    private final RelayContext context;
    private final InstanceSelector selector;

    PlacementHandler(RelayContext context, InstanceSelector selector) {
        this.context = context;
        this.selector = selector;
    }

    private record Reply(int status, Map<String, Object> body) {

        static Reply error(int status, String message) {
            return new Reply(status, Map.of("error", message));
        }
    }

    Publisher<Void> handle(HttpServerRequest request, HttpServerResponse response) {
        Map<String, List<String>> parameters = new QueryStringDecoder(request.uri()).parameters();
        return Mono.fromFuture(CompletableFuture.supplyAsync(
                        () -> explain(parameters), context.runtime().loop()))
                .onErrorResume(failure -> {
                    context.log().warning("placement not explained", "reason", String.valueOf(failure));
                    return Mono.just(Reply.error(INTERNAL_ERROR, String.valueOf(failure)));
                })
                .flatMap(reply -> response.status(reply.status())
                        .header("Content-Type", "application/json")
                        .sendByteArray(Mono.just(toBytes(reply.body())))
                        .then());
    }

    private static byte[] toBytes(Map<String, Object> body) {
        try {
            // Created for each request: it is not needed by a node that is never asked.
            return new ObjectMapper().writeValueAsBytes(body);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("placement cannot be written as JSON", e);
        }
    }

    private Reply explain(Map<String, List<String>> parameters) {
        FleetView view = context.fleet().get();
        String name = String.join("", parameters.getOrDefault("route", List.of()));
        if (name.isEmpty()) {
            return Reply.error(BAD_REQUEST, "the parameter route is missing");
        }
        RouteRule route = view.rules().routeNamed(name);
        if (route == null) {
            return Reply.error(NOT_FOUND, "rules version " + view.rules().version() + " has no route " + name);
        }
        Set<String> regions = new HashSet<>();
        for (String value : parameters.getOrDefault("regions", List.of())) {
            regions.addAll(List.of(value.split(",")));
        }
        regions.remove("");
        Set<String> allowed = allowedRegions(route.homeRegions(), regions);
        List<Map<String, Object>> services = new ArrayList<>();
        for (ServiceWeight weight : route.services()) {
            services.add(explainService(view, route, weight, allowed));
        }
        RelaySettings settings = context.settings();
        Map<String, Object> body = new LinkedHashMap<>();
        body.put("node", settings.name());
        body.put("dataCentre", settings.dataCentre());
        body.put("region", settings.region());
        body.put("rulesVersion", view.rules().version());
        body.put("route", name);
        body.put("anyRegion", allowed.isEmpty() && regions.isEmpty());
        body.put("allowedRegions", allowed);
        body.put("objectiveMillis", route.objectiveMillis());
        body.put("timeoutMillis", route.timeoutMillis());
        body.put("services", services);
        return new Reply(OK, body);
    }

    /** Returns the regions that both sets allow, in order; an empty set allows all of the other one. */
    private static Set<String> allowedRegions(Set<String> homeRegions, Set<String> regions) {
        Set<String> allowed = new TreeSet<>(homeRegions.isEmpty() ? regions : homeRegions);
        if (!regions.isEmpty()) {
            allowed.retainAll(regions);
        }
        return allowed;
    }

    private Map<String, Object> explainService(
            FleetView view, RouteRule route, ServiceWeight weight, Set<String> allowed) {
        // An empty set would mean any region; no region has this name.
        Set<String> homeRegions = allowed.isEmpty() && !route.homeRegions().isEmpty() ? Set.of("") : allowed;
        PlacementExplanation explanation = PlacementExplanation.of(
                selector,
                view,
                weight.service(),
                route.name(),
                homeRegions,
                route.objectiveMillis(),
                route.timeoutMillis());
        Map<String, Object> service = new LinkedHashMap<>();
        service.put("service", weight.service());
        service.put("weight", weight.weight());
        if (explanation.first() != null) {
            service.put("first", explanation.first().instance().id());
            service.put("purpose", label(explanation.first().purpose()));
        }
        service.put(
                "instances", explanation.instances().stream().map(this::toMap).toList());
        return service;
    }

    private Map<String, Object> toMap(PlacementExplanation.Row row) {
        Map<String, Object> fields = new LinkedHashMap<>();
        fields.put("rank", row.rank());
        fields.put("instance", row.instance().id());
        fields.put("address", row.instance().address());
        fields.put("dataCentre", row.instance().dataCentre());
        fields.put("distance", label(row.distance()));
        fields.put("slots", row.instance().slots());
        fields.put("coldMillis", row.instance().coldMillis(context.nanoTime()));
        fields.put("scoreMillis", rounded(row.scoreMillis()));
        fields.put("expectedMillis", rounded(row.expectedMillis()));
        fields.put("serviceMillis", rounded(row.serviceMillis()));
        fields.put("concurrencyLimit", rounded(row.concurrencyLimit()));
        fields.put("reportedMillis", rounded(row.reportedMillis()));
        fields.put("inFlight", row.inFlight());
        fields.put("waitMillis", rounded(row.waitMillis()));
        fields.put("avoidedMillis", row.avoidedMillis());
        fields.put("superseded", row.superseded());
        fields.put("regionBackoffMillis", row.regionBackoffMillis());
        fields.put("trial", row.isTrialCandidate());
        if (row.exclusion() != null) {
            fields.put("excluded", label(row.exclusion()));
        }
        return fields;
    }

    private static double rounded(double millis) {
        return Math.round(millis * 10) / 10.0;
    }

    private static String label(Enum<?> value) {
        return value.name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
}
