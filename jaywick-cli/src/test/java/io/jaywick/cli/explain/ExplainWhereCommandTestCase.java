package io.jaywick.cli.explain;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.util.List;
import java.util.Map;
import java.util.Set;

import io.jaywick.cli.CommandLineMain;
import io.jaywick.core.fleet.FleetView;
import io.jaywick.core.fleet.Instance;
import io.jaywick.core.gate.ColdStartLimit;
import io.jaywick.core.limits.QuotaBounds;
import io.jaywick.core.rules.CallerLimits;
import io.jaywick.core.rules.RouteRule;
import io.jaywick.core.rules.RuleSet;
import io.jaywick.core.rules.ServiceWeight;
import io.jaywick.node.relay.HeaderNames;
import io.jaywick.node.relay.NodeRuntime;
import io.jaywick.node.relay.Relay;
import io.jaywick.node.relay.RelaySettings;
import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;

class ExplainWhereCommandTestCase {

    private static final String HOST = "127.0.0.1";

    private final ByteArrayOutputStream out = new ByteArrayOutputStream();
    private final ByteArrayOutputStream err = new ByteArrayOutputStream();
    private NodeRuntime runtime;
    private Relay node;

    @BeforeEach
    void start() {
        runtime = NodeRuntime.start(System.getLogger("test"), true);
        RelaySettings settings = new RelaySettings(
                "n-1",
                HOST,
                "a1",
                "a",
                Map.of("a1", "a", "b1", "b"),
                "own",
                HOST + ":1",
                HOST + ":0",
                HOST + ":0",
                List.of(),
                HOST + ":0",
                "/ready",
                HOST + ":0",
                0.2,
                100,
                10_000,
                6_000,
                2_000,
                ColdStartLimit.NONE,
                Long.MAX_VALUE,
                QuotaBounds.DEFAULTS,
                true);
        HeaderNames names = new HeaderNames(
                "Id", "D", "St", "Ex", "No", "Ca", "In", "Co", List.of("Li"), List.of("Le"), "Cr", "Ac");
        node = new Relay(settings, names, runtime, new PrometheusMeterRegistry(PrometheusConfig.DEFAULT));
        RouteRule route = new RouteRule(
                "read",
                "h",
                "/read/",
                true,
                1_000,
                300,
                1,
                2,
                Set.of("a"),
                List.of(new ServiceWeight("books", 1)),
                false);
        node.updateView(new FleetView(
                new RuleSet(7, List.of(route), List.of(), CallerLimits.DEFAULTS),
                List.of(instance("i-1", "127.0.0.2", "a1"), instance("i-2", "127.0.0.3", "b1")),
                Set.of()));
    }

    private static Instance instance(String id, String host, String dataCentre) {
        return new Instance(id, "books", host + ":80", dataCentre, "v1", 4, false, 0, 1, 0, 0);
    }

    @AfterEach
    void stop() {
        node.close();
        runtime.loops().dispose();
    }

    private int explainWhere(String route, String... options) {
        String address = HOST + ":" + node.metricsAddress().getPort();
        String[] all = new String[5 + options.length];
        System.arraycopy(new String[] {"explain", "where", route, "--node", address}, 0, all, 0, 5);
        System.arraycopy(options, 0, all, 5, options.length);
        return CommandLineMain.run(all, new PrintStream(out), new PrintStream(err));
    }

    /** Guards against an operator who cannot see which instance gets a call, or why another one does not. */
    @Test
    void printsTheChoiceAndTheReasons() {
        assertThat(explainWhere("read"), is(0));
        assertThat(out.toString(), containsString("service books, weight 1.0: trial attempt at i-1"));
        assertThat(out.toString(), containsString("1 i-1 127.0.0.2:80, a1 (same-data-centre): score 0.0 ms"));
        assertThat(out.toString(), containsString("- i-2 127.0.0.3:80, b1 (other-region): left out, other-region"));
    }

    /** Guards against regions of an account that widen those of the route, or that count as any region. */
    @Test
    void regionsRestrictThoseOfTheRoute() {
        assertThat(explainWhere("read", "--regions", "b"), is(1));
        assertThat(out.toString(), containsString("allowed regions: none"));
        assertThat(out.toString(), containsString("refused at once"));
        assertThat(out.toString(), not(containsString("attempt at")));
        assertThat(explainWhere("read", "--regions", "a,b", "--json"), is(0));
        assertThat(out.toString(), containsString("\"allowedRegions\":[\"a\"]"));
    }

    /** Guards against a misspelt route that looks like one without instances. */
    @Test
    void unknownRouteIsAnError() {
        assertThat(explainWhere("raed"), is(2));
        assertThat(err.toString(), containsString("rules version 7 has no route raed"));
    }
}
