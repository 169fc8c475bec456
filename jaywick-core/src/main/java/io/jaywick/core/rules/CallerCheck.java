package io.jaywick.core.rules;

import java.util.List;
import java.util.Set;

import io.jaywick.core.gate.RunningRequests;
import io.jaywick.core.rules.CallerDecision.Outcome;
import io.jaywick.core.snapshot.HomeRegions;

/** Decides by the keys of client accounts whether a call is accepted, and on which terms. */
public final class CallerCheck {

    private CallerCheck() {}

    /**
     * Checks the caller of one call. While the rules contain accounts, a call needs a key, unless its route is public or
     * it is made for a request that runs at the local target.
     *
     * @param credentials values of all headers that name a key
     * @param running requests that run at the local target
     * @param isOutdated whether the rules are too old to know which keys were removed
     */
    public static CallerDecision check(
            RuleSet rules,
            RouteRule route,
            List<String> credentials,
            String requestId,
            RunningRequests running,
            boolean isOutdated) {
        if (!rules.hasAccounts() || route.isPublic() || running.parentOf(requestId) != null) {
            int priority = running.priorityOf(requestId, route.priority());
            return CallerDecision.accepted(new CallTerms(null, priority, route.homeRegions(), rules.hasAccounts()));
        }
        if (credentials.size() > 1) {
            return CallerDecision.refused(Outcome.SEVERAL_KEYS, null);
        }
        String key = credentials.isEmpty() ? "" : credentials.get(0);
        if (key.isEmpty()) {
            return CallerDecision.refused(Outcome.NO_KEY, null);
        }
        ClientAccount account = rules.accountOf(key);
        if (account == null) {
            return CallerDecision.refused(Outcome.UNKNOWN_KEY, null);
        }
        if (isOutdated) {
            return CallerDecision.refused(Outcome.UNVERIFIED_KEY, account);
        }
        Set<String> homeRegions = HomeRegions.intersection(route.homeRegions(), account.homeRegions());
        if (homeRegions == null) {
            return CallerDecision.refused(Outcome.NO_COMMON_REGION, account);
        }
        int priority = account.priority().orElse(route.priority());
        return CallerDecision.accepted(new CallTerms(account, priority, homeRegions, true));
    }
}
