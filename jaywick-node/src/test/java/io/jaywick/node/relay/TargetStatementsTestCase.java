package io.jaywick.node.relay;

import java.util.List;
import java.util.Random;
import java.util.concurrent.atomic.AtomicLong;

import io.jaywick.core.fleet.Instance;
import io.jaywick.core.gate.TargetGate;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

class TargetStatementsTestCase {

    private static final List<String> NO_LIMIT = List.of("Stamp", "s");

    private final AtomicLong nanos = new AtomicLong();
    private final TargetGate gate = new TargetGate(nanos::get);
    private final TargetStatements statements = new TargetStatements(
            new RelayContext(
                    null,
                    RelayFixture.NAMES,
                    null,
                    new NodeRuntime(
                            null, null, nanos::get, new Random(1), new RelayLog(System.getLogger("test"), nanos::get)),
                    new DrainDeadline()),
            gate);

    private static Instance instance(String id, long startMillis) {
        return new Instance(id, "service", "127.0.0.1:1", "dc", "v1", 4, false, 0, 0, startMillis, 0);
    }

    private static List<String> limit(String value) {
        return List.of("Stamp", "s", "limit", value);
    }

    @BeforeEach
    void list() {
        statements.instanceListed(instance("i-1", 1));
    }

    /** Guards against text of a target that fails the node or is taken for a limit. */
    @Test
    void invalidLimitsAreIgnored() {
        for (String value : List.of("NaN", "-1", "-0.5", "Infinity", "1e999", "", " ", "many", "15,4", "1 2")) {
            statements.observeResponse("i-1", limit(value), 1);
            assertThat(value, statements.callsPerSecond(), is(Double.NaN));
        }
        statements.observeResponse("i-1", limit("15.4"), 2);
        statements.observeResponse("i-1", limit("-1"), 3);
        assertThat(statements.callsPerSecond(), is(15.4));
    }

    /** Guards against limits of unusual form or size that fail the node. */
    @Test
    void validLimitsAreApplied() {
        for (String value : List.of("0", "0.01", " 7 ", "15.", "1e6", "179769313486231570000000000000000000000")) {
            statements.observeResponse("i-1", limit(value), 1);
            assertThat(value, statements.callsPerSecond(), is(Double.parseDouble(value)));
        }
    }

    /** Guards against an older response that is read late and ends a newer limit. */
    @Test
    void olderResponseIsIgnored() {
        statements.observeResponse("i-1", limit("5"), 20);
        statements.observeResponse("i-1", NO_LIMIT, 10);
        assertThat(statements.callsPerSecond(), is(5.0));
        statements.observeResponse("i-1", NO_LIMIT, 30);
        assertThat(statements.callsPerSecond(), is(Double.NaN));
    }

    /** Guards against a health response without the header that ends the limit. */
    @Test
    void healthResponseWithoutLimitChangesNothing() {
        statements.observeHealth("i-1", limit("5"), 1);
        statements.observeHealth("i-1", NO_LIMIT, 2);
        statements.observeHealth("i-2", limit("9"), 3);
        assertThat(statements.callsPerSecond(), is(5.0));
    }

    /** Guards against a statement that outlives its instance, or ends because the entry is listed again. */
    @Test
    void statementHoldsForOneStartOfTheInstance() {
        statements.observeResponse("i-1", limit("5"), 1);
        statements.instanceListed(instance("i-1", 1));
        assertThat(statements.callsPerSecond(), is(5.0));
        statements.instanceListed(instance("i-1", 2));
        assertThat(statements.callsPerSecond(), is(Double.NaN));
        statements.observeResponse("i-0", limit("5"), 2);
        assertThat(statements.callsPerSecond(), is(Double.NaN));
    }

    /** Guards against a limit from another node that replaces what the target itself stated. */
    @Test
    void passedOnLimitHoldsUntilTheFirstResponse() {
        statements.passedOn("");
        statements.passedOn("NaN");
        assertThat(statements.callsPerSecond(), is(Double.NaN));
        statements.passedOn("5");
        assertThat(statements.callsPerSecond(), is(5.0));
        statements.observeResponse("i-1", NO_LIMIT, 1);
        statements.passedOn("5");
        assertThat(statements.callsPerSecond(), is(Double.NaN));
    }
}
