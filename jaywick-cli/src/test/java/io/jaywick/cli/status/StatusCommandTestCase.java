package io.jaywick.cli.status;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.concurrent.CompletableFuture;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.jaywick.cli.CommandResult;
import io.jaywick.core.table.ProblemType;
import io.jaywick.core.table.TableProblem;
import io.jaywick.node.admin.AdminServer;
import io.jaywick.node.admin.AdminViews;
import io.jaywick.node.admin.FleetStatus;
import io.jaywick.node.admin.NodeStatus;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.equalTo;

class StatusCommandTestCase {

    private static final InetSocketAddress FREE = new InetSocketAddress("127.0.0.1", 0);
    private static final NodeStatus STATUS = new NodeStatus(
            "catalogue-selfoss",
            7,
            "abc",
            new NodeStatus.Rejected(
                    8,
                    "def",
                    List.of(new TableProblem(ProblemType.WRONG_WEIGHT_SUM, "routes", 3, "weight_percent", "sum is 99")
                            .toLine())),
            new NodeStatus.SourceBehind(5, 7),
            1,
            17,
            123_456);

    private final AdminServer server = new AdminServer(
            FREE,
            new AdminViews(
                    () -> true,
                    () -> true,
                    () -> STATUS,
                    () -> CompletableFuture.completedFuture(
                            new FleetStatus(7, 17, 17, 18, List.of(new FleetStatus.FleetLaggard("bookings-hella", 6)))),
                    () -> "",
                    List::of));
    private final String node = "127.0.0.1:" + server.address().getPort();

    @AfterEach
    void close() {
        server.close();
    }

    /** Guards against renamed or missing keys in the status of a node. */
    @Test
    void printsTheStatusOfANode() throws Exception {
        CommandResult json = CommandResult.of("status", "--node", node, "--json");
        JsonNode status = new ObjectMapper().readTree(json.out());
        assertThat(json.status(), equalTo(0));
        assertThat(status.get("revision").asLong(), equalTo(7L));
        assertThat(status.at("/lastRejected/problems/0").asText(), containsString("[WRONG_WEIGHT_SUM]"));
        assertThat(status.at("/sourceBehind/sourceRevision").asLong(), equalTo(5L));
        assertThat(status.get("conflicts").asLong() + status.get("peers").asLong(), equalTo(18L));
        assertThat(status.get("uptimeMillis").asLong(), equalTo(123_456L));
        String text = CommandResult.of("status", "--node", node).out();
        assertThat(text, containsString("sourceBehind: source 5, active 7"));
        assertThat(text, containsString("routes.csv row 3, weight_percent: sum is 99 [WRONG_WEIGHT_SUM]"));
    }

    /** Guards against a fleet status that omits the servers on an older revision or those that do not report. */
    @Test
    void printsTheStatusOfTheFleet() {
        String text = CommandResult.of("status", "--node", node, "--fleet").out();
        assertThat(text, containsString("revision 7 is in force on 17 of 18"));
        assertThat(text, containsString("1 servers of the roster did not report recently"));
        assertThat(text, containsString("bookings-hella on revision 6"));
        assertThat(
                CommandResult.of("status", "--node", node, "--fleet", "--json").out(),
                containsString("\"inForce\":17"));
    }

    /** Guards against exit status 0 for a missing or malformed address, or for a node that cannot be reached. */
    @Test
    void exitsWithTwoWhenTheNodeCannotBeQueried() {
        assertThat(CommandResult.of("status").status(), equalTo(2));
        assertThat(CommandResult.of("status", "--node", "localhost:1").status(), equalTo(2));
        server.close();
        CommandResult result = CommandResult.of("status", "--node", node);
        assertThat(result.status(), equalTo(2));
        assertThat(result.err(), containsString("cannot read /status"));
    }

    /** Guards against a request that is never answered because the supplier of the status fails. */
    @Test
    void answersWithServerErrorWhenASupplierFails() {
        AdminViews failing = new AdminViews(
                () -> true,
                () -> true,
                () -> {
                    throw new IllegalStateException("no status");
                },
                () -> CompletableFuture.failedFuture(new IllegalStateException("no fleet")),
                () -> "",
                List::of);
        try (AdminServer broken = new AdminServer(FREE, failing)) {
            String address = "127.0.0.1:" + broken.address().getPort();
            assertThat(CommandResult.of("status", "--node", address).err(), containsString("answered with status 500"));
            assertThat(
                    CommandResult.of("status", "--node", address, "--fleet").err(),
                    containsString("answered with status 500"));
        }
    }
}
