package io.jaywick.node.relay;

import java.util.List;
import java.util.Set;

import io.jaywick.core.admission.CrashAttribution;
import io.jaywick.core.admission.Fingerprint;
import io.jaywick.core.admission.SuspectList;
import io.jaywick.core.message.ForwardCall;
import io.jaywick.core.rules.ClientAccount;
import io.jaywick.core.rules.RouteRule;
import io.jaywick.core.rules.RuleSet;
import io.jaywick.core.snapshot.HomeRegions;

/**
 * Recognizes the requests that crash the local target, from the calls that were in flight when it went down and from
 * the reports of the other nodes of its service. Runs on the event loop of the relay.
 */
final class CrashSuspects {

    private final RelayContext context;
    private final SuspectList suspects;
    private final SuspectReporter reporter;
    private final CrashAttribution attribution;

    CrashSuspects(RelayContext context, SuspectList suspects, SuspectReporter reporter) {
        this.context = context;
        this.suspects = suspects;
        this.reporter = reporter;
        String process = context.settings().host() + "-"
                + Long.toHexString(context.runtime().random().nextLong());
        this.attribution =
                new CrashAttribution(suspects, process, context.runtime().nanoTime());
    }

    /** Returns the milliseconds for which a request remains blocked, 0 for one that is not blocked. */
    long blockedMillis(ForwardCall call) {
        return suspects.isEmpty() ? 0 : suspects.blockedMillis(fingerprint(call));
    }

    /** Whether a call is a hedge of a request that was in flight at a crash; another target runs that request already. */
    boolean isHedgeOfSuspect(ForwardCall call) {
        return call.hedge()
                && !suspects.isEmpty()
                && !suspects.crashIds(fingerprint(call)).isEmpty();
    }

    /** Number of crashes of the local target at which calls were lost. */
    long crashCount() {
        return attribution.crashCount();
    }

    /**
     * Records the result of a call at the local target.
     *
     * @return the result for the sender of the call, which learns that it must not retry a suspect
     */
    CallResult callEnded(ForwardCall call, CallResult result) {
        if (result.outcome() == CallResult.Outcome.ANSWERED) {
            if (!suspects.isEmpty()) {
                reporter.clearAnswered(fingerprint(call));
            }
        } else if (result.isConnectionLost()) {
            String fingerprint = fingerprint(call);
            attribution.recordLostCall(fingerprint, homeRegions(call));
            if (!suspects.crashIds(fingerprint).isEmpty()) {
                return CallResult.lost(CallResult.SUSPECT_LOST);
            }
        }
        return result;
    }

    /** Records a response of the target to a request sent at the given monotonic time. */
    void targetResponded(long sentNanos) {
        attribution.recordResponse(sentNanos);
    }

    /** Records that the target is down or was restarted. */
    void targetCrashed() {
        List<String> suspected = attribution.recordCrash();
        if (suspected.isEmpty()) {
            return;
        }
        context.log()
                .info(
                        "local target crashed with calls in flight",
                        "suspects",
                        suspected,
                        "blocked",
                        suspected.stream().filter(suspects::isBlocked).toList());
        reporter.reportCrash(suspected);
    }

    private String fingerprint(ForwardCall call) {
        String caller = HopHeaders.find(call.headers(), context.names().callerService());
        return Fingerprint.ofRequest(call.method(), call.uri(), caller == null ? "" : caller, call.body());
    }

    private Set<String> homeRegions(ForwardCall call) {
        RuleSet rules = context.fleet().get().rules();
        RouteRule route = rules.routeFor(HopHeaders.find(call.headers(), "Host"), call.uri());
        if (route == null) {
            return Set.of();
        }
        String accountName = HopHeaders.find(call.headers(), context.names().account());
        ClientAccount account = accountName == null ? null : rules.account(accountName);
        Set<String> homeRegions =
                HomeRegions.intersection(route.homeRegions(), account == null ? Set.of() : account.homeRegions());
        // The rules may have changed while the call ran; the report then stays in this region.
        return homeRegions == null ? Set.of(context.settings().region()) : homeRegions;
    }
}
