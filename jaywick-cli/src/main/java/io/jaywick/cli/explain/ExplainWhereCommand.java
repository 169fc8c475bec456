package io.jaywick.cli.explain;

import java.io.IOException;
import java.io.PrintStream;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.jaywick.cli.Command;
import io.jaywick.cli.UsageException;
import io.jaywick.node.settings.SocketAddressParser;
import io.netty.handler.codec.http.QueryStringEncoder;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;
import reactor.core.publisher.Mono;
import reactor.netty.http.client.HttpClient;

/**
 * The command {@code explain where}. Asks a node on the users' platform where a call of a route would go now, and prints
 * each instance with the values by which it is ranked. No call is sent.
 */
public final class ExplainWhereCommand implements Command {

    private static final int NO_INSTANCE = 1;
    private static final int HTTP_OK = 200;
    private static final Duration TIMEOUT = Duration.ofSeconds(10);
    private static final ObjectMapper JSON = new ObjectMapper();

    @Override
    public String name() {
        return "explain where";
    }

    @Override
    public String usage() {
        return "ROUTE --node IP:PORT [--regions REGION,...] [--json]";
    }

    @Override
    public String summary() {
        return "Show where a call of a route would go now, as its node ranks the instances";
    }

    @Override
    public Options options() {
        return new Options()
                .addRequiredOption(null, "node", true, "metrics address of the caller's node as IP:PORT")
                .addOption(null, "regions", true, "regions that the call's account allows, in addition to the route's")
                .addOption(null, "json", false, "print the answer of the node");
    }

    @Override
    public int run(CommandLine line, PrintStream out, PrintStream err) throws IOException {
        List<String> arguments = line.getArgList();
        if (arguments.size() != 1) {
            throw new UsageException("usage: jaywick explain where " + usage());
        }
        String node = line.getOptionValue("node");
        InetSocketAddress address = SocketAddressParser.parse(node);
        if (address == null) {
            throw new UsageException("--node '" + node + "' is not IP:PORT");
        }
        JsonNode placement = get(address, arguments.get(0), line.getOptionValue("regions", ""));
        if (line.hasOption("json")) {
            out.println(JSON.writeValueAsString(placement));
        } else {
            print(placement, out);
        }
        for (JsonNode service : placement.path("services")) {
            if (service.has("first")) {
                return 0;
            }
        }
        return NO_INSTANCE;
    }

    private static JsonNode get(InetSocketAddress address, String route, String regions) throws IOException {
        QueryStringEncoder uri = new QueryStringEncoder("/explain");
        uri.addParam("route", route);
        uri.addParam("regions", regions);
        String body;
        try {
            body = HttpClient.create()
                    .remoteAddress(() -> address)
                    .get()
                    .uri(uri.toString())
                    .responseSingle((response, content) -> content.asString(StandardCharsets.UTF_8)
                            .defaultIfEmpty("")
                            .flatMap(text -> response.status().code() == HTTP_OK
                                    ? Mono.just(text)
                                    : Mono.error(new UsageException(
                                            address + " answered with status " + response.status() + ": " + text))))
                    .block(TIMEOUT);
        } catch (UsageException e) {
            throw e;
        } catch (RuntimeException e) {
            throw new UsageException("cannot read the placement from " + address + ": " + e.getMessage(), e);
        }
        return JSON.readTree(body);
    }

    private static void print(JsonNode placement, PrintStream out) {
        out.println("route " + text(placement, "route") + " at node " + text(placement, "node") + " (data centre "
                + text(placement, "dataCentre") + ", region " + text(placement, "region") + "), rules version "
                + text(placement, "rulesVersion"));
        List<String> regions = new ArrayList<>();
        placement.path("allowedRegions").forEach(region -> regions.add(region.asText()));
        String allowed = regions.isEmpty() ? "none" : String.join(", ", regions);
        out.println("allowed regions: " + (placement.path("anyRegion").asBoolean() ? "any" : allowed));
        for (JsonNode service : placement.path("services")) {
            out.println();
            out.println("service " + text(service, "service") + ", weight " + text(service, "weight") + ": "
                    + (service.has("first")
                            ? text(service, "purpose") + " attempt at " + text(service, "first")
                            : "refused at once"));
            for (JsonNode instance : service.path("instances")) {
                out.println("  " + describe(instance));
            }
        }
    }

    private static String describe(JsonNode instance) {
        boolean isExcluded = instance.has("excluded");
        StringBuilder text = new StringBuilder(isExcluded ? "-" : text(instance, "rank"));
        text.append(' ').append(text(instance, "instance")).append(' ').append(text(instance, "address"));
        text.append(", ").append(text(instance, "dataCentre"));
        text.append(" (").append(text(instance, "distance")).append(')');
        if (isExcluded) {
            return text.append(": left out, ")
                    .append(text(instance, "excluded"))
                    .toString();
        }
        text.append(": score ").append(text(instance, "scoreMillis"));
        text.append(" ms = ").append(text(instance, "reportedMillis")).append(" ms reported + ");
        text.append(text(instance, "inFlight")).append(" in flight, wait of the route ");
        text.append(text(instance, "waitMillis"))
                .append(" ms, ")
                .append(text(instance, "slots"))
                .append(" slots");
        appendMillis(text, instance, "coldMillis", "cold for ");
        appendMillis(text, instance, "avoidedMillis", "ranked last for ");
        appendMillis(text, instance, "regionBackoffMillis", "its region is in back-off for ");
        if (instance.path("superseded").asBoolean()) {
            text.append(", ranked last: superseded at its address");
        }
        return text.append(instance.path("trial").asBoolean() ? "" : ", last resort only")
                .toString();
    }

    private static void appendMillis(StringBuilder text, JsonNode instance, String field, String label) {
        if (instance.path(field).asLong() > 0) {
            text.append(", ").append(label).append(text(instance, field)).append(" ms");
        }
    }

    private static String text(JsonNode node, String field) {
        return node.path(field).asText();
    }
}
