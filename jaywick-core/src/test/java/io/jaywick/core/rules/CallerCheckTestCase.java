package io.jaywick.core.rules;

import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.OptionalInt;
import java.util.Random;
import java.util.Set;
import java.util.stream.Stream;

import io.jaywick.core.gate.RunningRequests;
import io.jaywick.core.rules.CallerDecision.Outcome;
import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.junit.jupiter.api.Assertions.assertThrows;

class CallerCheckTestCase {

    private static final int ROUNDS = 2_000;

    private final Random random = new Random(11);

    private Set<String> drawRegions() {
        Set<String> regions = new HashSet<>();
        for (String region : List.of("north", "south", "west")) {
            if (random.nextInt(3) == 0) {
                regions.add(region);
            }
        }
        return regions;
    }

    private ClientAccount drawAccount(String name) {
        OptionalInt priority = random.nextBoolean() ? OptionalInt.of(random.nextInt(4)) : OptionalInt.empty();
        return new ClientAccount(name, priority, drawRegions(), 0, 0);
    }

    /** Guards against terms that differ from a plain reading of the requirements, region by region. */
    @Test
    void agreesWithANaiveVersion() {
        for (int round = 0; round < ROUNDS; round++) {
            RouteRule route = new RouteRule(
                    "r",
                    "h",
                    "/",
                    true,
                    1,
                    1,
                    random.nextInt(4),
                    1,
                    drawRegions(),
                    List.of(new ServiceWeight("s", 1)),
                    random.nextInt(4) == 0);
            Map<String, ClientAccount> accountByKey =
                    random.nextInt(4) == 0 ? Map.of() : Map.of("k1", drawAccount("first"), "k2", drawAccount("second"));
            ClientAccounts.Builder accounts = new ClientAccounts.Builder();
            accountByKey.forEach((key, account) -> accounts.add(account, List.of(key)));
            RuleSet rules = new RuleSet(1, List.of(route), List.of(), CallerLimits.DEFAULTS, accounts.build());
            List<String> credentials = Stream.generate(
                            () -> List.of("k1", "k2", "none", "").get(random.nextInt(4)))
                    .limit(random.nextInt(3))
                    .toList();
            RunningRequests running = new RunningRequests();
            int parentPriority = random.nextInt(4);
            boolean isNested = random.nextInt(3) == 0;
            if (isNested) {
                running.register("a", new RunningRequests.RunningRequest("r", parentPriority, false));
            }

            boolean isOutdated = random.nextInt(4) == 0;
            CallerDecision decision = CallerCheck.check(rules, route, credentials, "a.1", running, isOutdated);

            boolean needsKey = !accountByKey.isEmpty() && !route.isPublic() && !isNested;
            ClientAccount account = needsKey && credentials.size() == 1 ? accountByKey.get(credentials.get(0)) : null;
            List<String> allowed = List.of("north", "south", "west", "unlisted").stream()
                    .filter(region -> isAllowed(route.homeRegions(), region)
                            && (account == null || isAllowed(account.homeRegions(), region)))
                    .toList();
            assertThat(decision.outcome().lacksKey(), is(needsKey && account == null));
            assertThat(decision.outcome() == Outcome.UNVERIFIED_KEY, is(account != null && isOutdated));
            assertThat(
                    decision.outcome() == Outcome.NO_COMMON_REGION,
                    is(account != null && !isOutdated && allowed.isEmpty()));
            if (decision.isAccepted()) {
                CallTerms terms = decision.terms();
                int own =
                        account == null ? route.priority() : account.priority().orElse(route.priority());
                assertThat(terms.account(), is(account));
                assertThat(terms.priority(), is(isNested ? Math.max(own, parentPriority) : own));
                assertThat(terms.hidesCallerHeaders(), is(!accountByKey.isEmpty()));
                for (String region : List.of("north", "south", "west", "unlisted")) {
                    assertThat(isAllowed(terms.homeRegions(), region), is(allowed.contains(region)));
                }
            }
        }
    }

    private static boolean isAllowed(Set<String> homeRegions, String region) {
        return homeRegions.isEmpty() || homeRegions.contains(region);
    }

    /** Guards against calls that are attributed to one of two accounts at random; one account may repeat a key. */
    @Test
    void keyBelongsToOneAccount() {
        ClientAccount first = drawAccount("first");
        ClientAccounts.Builder accounts = new ClientAccounts.Builder().add(first, List.of("k", "k"));
        assertThat(accounts.build().byKey("k"), is(first));
        assertThrows(IllegalArgumentException.class, () -> accounts.add(drawAccount("second"), List.of("k")));
        assertThrows(IllegalArgumentException.class, () -> accounts.add(drawAccount("first"), List.of("x")));
    }
}
