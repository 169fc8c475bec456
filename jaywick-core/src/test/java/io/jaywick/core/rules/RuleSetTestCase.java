package io.jaywick.core.rules;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.Set;

import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.nullValue;

class RuleSetTestCase {

    private static RouteRule route(String host, String prefix) {
        return new RouteRule(
                host + prefix,
                host,
                prefix,
                true,
                1_000,
                200,
                1,
                2,
                Set.of(),
                List.of(new ServiceWeight("s", 1)),
                false);
    }

    private static RuleSet rules(RouteRule... routes) {
        return new RuleSet(1, List.of(routes), List.of(), CallerLimits.DEFAULTS);
    }

    /** Guards against a short prefix that takes precedence over a longer one. */
    @Test
    void matchesLongestPrefixOfHost() {
        RuleSet rules = rules(route("a.example", "/"), route("a.example", "/x/"), route("a.example", "/x/y/"));
        assertThat(rules.routeFor("a.example", "/x/y/z").prefix(), is("/x/y/"));
        assertThat(rules.routeFor("a.example", "/x/yy").prefix(), is("/x/"));
        assertThat(rules.routeFor("a.example", "/q").prefix(), is("/"));
    }

    /** Guards against a match with a route of another host, and against a match inside a path segment. */
    @Test
    void findsNoRouteForUnknownHostOrPath() {
        RuleSet rules = rules(route("a.example", "/x/"));
        assertThat(rules.routeFor("b.example", "/x/1"), nullValue());
        assertThat(rules.routeFor("a.example", "/x"), nullValue());
        assertThat(rules.routeFor(null, "/x/1"), nullValue());
    }

    /** Guards against a failed match because of a port, letter case, a query or a request target in absolute form. */
    @Test
    void normalisesHostAndRequestTarget() {
        RuleSet rules = rules(route("a.example", "/x/"));
        assertThat(rules.routeFor("A.Example:8080", "/x/1?to=/y/").prefix(), is("/x/"));
        assertThat(rules.routeFor("a.example", "http://a.example/x/1").prefix(), is("/x/"));
        assertThat(rules.routeFor("a.example", "/q?/x/"), nullValue());
    }

    /** Compares the lookup with a linear scan of all routes. */
    @Test
    void agreesWithLinearScan() {
        Random random = new Random(7);
        for (int round = 0; round < 500; round++) {
            List<RouteRule> routes = new ArrayList<>();
            for (int i = 0; i < 12; i++) {
                routes.add(route("h" + random.nextInt(2), path(random) + "/"));
            }
            RuleSet rules = rules(routes.toArray(new RouteRule[0]));
            String path = path(random) + (random.nextBoolean() ? "/" : "");
            RouteRule best = null;
            for (RouteRule route : routes) {
                if (route.host().equals("h0")
                        && path.startsWith(route.prefix())
                        && (best == null
                                || route.prefix().length() > best.prefix().length())) {
                    best = route;
                }
            }
            RouteRule found = rules.routeFor("h0", path);
            assertThat(found == null ? null : found.prefix(), is(best == null ? null : best.prefix()));
        }
    }

    private static String path(Random random) {
        StringBuilder path = new StringBuilder();
        for (int i = random.nextInt(3); i >= 0; i--) {
            path.append('/').append((char) ('a' + random.nextInt(2)));
        }
        return path.toString();
    }
}
