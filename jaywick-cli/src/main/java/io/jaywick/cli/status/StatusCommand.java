package io.jaywick.cli.status;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Map;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.jaywick.cli.Command;
import io.jaywick.cli.UsageException;
import io.jaywick.node.settings.SocketAddressParser;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;
import reactor.core.publisher.Mono;
import reactor.netty.http.client.HttpClient;

/** Reads the status of a node, or the node's view of the fleet, from its admin port and prints it. */
public final class StatusCommand implements Command {

    private static final Duration TIMEOUT = Duration.ofSeconds(10);
    private static final int BODY_LIMIT_BYTES = 4_194_304;
    private static final int HTTP_OK = 200;
    private static final ObjectMapper JSON = new ObjectMapper();

    @Override
    public String name() {
        return "status";
    }

    @Override
    public String usage() {
        return "--node IP:PORT [--fleet] [--json]";
    }

    @Override
    public String summary() {
        return "Prints the status of a node, or of the fleet as a node sees it.";
    }

    @Override
    public Options options() {
        return new Options()
                .addRequiredOption(null, "node", true, "admin address of the node as IP:PORT")
                .addOption(null, "fleet", false, "print the node's view of the fleet")
                .addOption(null, "json", false, "print the status as JSON");
    }

    @Override
    public int run(CommandLine line, PrintStream out, PrintStream err) throws IOException {
        String node = line.getOptionValue("node");
        InetSocketAddress address = SocketAddressParser.parse(node);
        if (address == null) {
            throw new UsageException("--node '" + node + "' is not IP:PORT");
        }
        JsonNode status = get(address, line.hasOption("fleet") ? "/fleet" : "/status");
        if (line.hasOption("json")) {
            out.println(JSON.writeValueAsString(status));
        } else if (line.hasOption("fleet")) {
            printFleet(status, out);
        } else {
            printNode(status, out);
        }
        return 0;
    }

    private static JsonNode get(InetSocketAddress address, String path) {
        try {
            byte[] body = HttpClient.create()
                    .remoteAddress(() -> address)
                    .get()
                    .uri(path)
                    .response((response, content) -> {
                        int code = response.status().code();
                        return code == HTTP_OK
                                ? content.asByteArray().collect(ByteArrayOutputStream::new, StatusCommand::appendChunk)
                                : Mono.error(new UsageException(address + path + " answered with status " + code));
                    })
                    .single()
                    .map(ByteArrayOutputStream::toByteArray)
                    .block(TIMEOUT);
            return JSON.readTree(body);
        } catch (UsageException e) {
            throw e;
        } catch (IOException | RuntimeException e) {
            throw new UsageException("cannot read " + path + " of " + address + ": " + e.getMessage(), e);
        }
    }

    private static void appendChunk(ByteArrayOutputStream bytes, byte[] chunk) {
        if (bytes.size() + chunk.length > BODY_LIMIT_BYTES) {
            throw new UsageException("the response body exceeds " + BODY_LIMIT_BYTES + " bytes");
        }
        bytes.writeBytes(chunk);
    }

    private static void printNode(JsonNode status, PrintStream out) {
        for (Map.Entry<String, JsonNode> field : status.properties()) {
            if (field.getValue().isValueNode()) {
                out.println(field.getKey() + ": "
                        + (field.getValue().isNull() ? "-" : field.getValue().asText()));
            }
        }
        JsonNode behind = status.path("sourceBehind");
        if (behind.isObject()) {
            out.println("sourceBehind: source " + behind.path("sourceRevision") + ", active "
                    + behind.path("activeRevision"));
        }
        JsonNode rejected = status.path("lastRejected");
        if (rejected.isObject()) {
            out.println("lastRejected: revision " + rejected.path("revision"));
            for (JsonNode problem : rejected.path("problems")) {
                out.println("  " + problem.asText());
            }
        }
    }

    private static void printFleet(JsonNode fleet, PrintStream out) {
        out.println("revision " + fleet.path("revision") + " is in force on " + fleet.path("inForce") + " of "
                + fleet.path("total"));
        for (JsonNode laggard : fleet.path("laggards")) {
            out.println("  " + laggard.path("server").asText() + " on revision " + laggard.path("revision"));
        }
        int unreported = fleet.path("total").asInt() - fleet.path("known").asInt();
        if (unreported > 0) {
            out.println("  " + unreported + " servers of the roster did not report recently");
        }
    }
}
