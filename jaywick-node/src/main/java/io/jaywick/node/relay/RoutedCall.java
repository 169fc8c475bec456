package io.jaywick.node.relay;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Set;

import io.jaywick.core.message.ForwardCall;
import io.jaywick.core.placement.AttemptPlan;
import io.jaywick.core.placement.AttemptPurpose;
import io.jaywick.core.rules.CallTerms;
import io.jaywick.core.rules.ClientAccount;
import io.jaywick.core.rules.RouteRule;

/**
 * A request with its route and the values that follow from it.
 *
 * @param terms terms on which the call was accepted from its caller
 * @param headers forwarded headers, alternating names and values
 * @param deadlineNanos monotonic time at which the caller stops waiting
 */
record RoutedCall(
        ClientRequest request,
        String requestId,
        RouteRule route,
        String service,
        CallTerms terms,
        List<String> headers,
        long deadlineNanos) {

    /** Fraction of the remaining time within which an instance must expect to respond to a hedge. */
    private static final double HEDGE_OBJECTIVE_RATIO = 0.7;

    private static final long NANOS_PER_MILLI = 1_000_000;

    /** Applies a route: chooses the service, and uses the earlier of the caller's deadline and the route's timeout. */
    static RoutedCall of(
            OutboundCalls calls, ClientRequest request, String requestId, RouteRule route, CallTerms terms) {
        HeaderNames names = calls.context().names();
        return new RoutedCall(
                request,
                requestId,
                route,
                calls.chooseService(route),
                terms,
                forwardedHeaders(request, names, calls.context().settings().service(), terms),
                deadlineNanos(request, route, names));
    }

    /** Returns the client account to which the call is attributed, or null. */
    ClientAccount account() {
        return terms.account();
    }

    /** Returns the earlier of the caller's deadline and the route's timeout, as a monotonic time. */
    static long deadlineNanos(ClientRequest request, RouteRule route, HeaderNames names) {
        long allowedMillis =
                Math.min(request.headerMillis(names.deadlineMillis(), route.timeoutMillis()), route.timeoutMillis());
        return request.receivedNanos() + allowedMillis * NANOS_PER_MILLI;
    }

    private static List<String> forwardedHeaders(
            ClientRequest request, HeaderNames names, String callerService, CallTerms terms) {
        Set<String> excluded = new HashSet<>(Set.of(
                names.callerService().toLowerCase(Locale.ROOT),
                names.expectedInstance().toLowerCase(Locale.ROOT),
                names.deadlineMillis().toLowerCase(Locale.ROOT)));
        if (terms.hidesCallerHeaders()) {
            excluded.add(names.credential().toLowerCase(Locale.ROOT));
            excluded.add(names.account().toLowerCase(Locale.ROOT));
        }
        List<String> forwarded = new ArrayList<>(HopHeaders.copy(request.headers(), excluded));
        forwarded.add(names.callerService());
        forwarded.add(callerService);
        if (terms.account() != null) {
            forwarded.add(names.account());
            forwarded.add(terms.account().name());
        }
        return forwarded;
    }

    /**
     * Returns the message that sends the call to an instance.
     *
     * @param foreign whether the instance is in another region
     * @param repeated whether the call was sent to another target before, or is made for a repeated execution
     * @param remainingMillis time within which the instance must respond
     * @param rateLimit calls per second that the instance last named, or empty
     */
    ForwardCall toMessage(
            AttemptPlan.Choice choice,
            String callId,
            boolean foreign,
            boolean repeated,
            long nowNanos,
            long remainingMillis,
            String rateLimit) {
        AttemptPurpose purpose = choice.purpose();
        long elapsedMillis = (nowNanos - request.receivedNanos()) / NANOS_PER_MILLI;
        return new ForwardCall(
                callId,
                requestId,
                request.method(),
                request.uri(),
                headers,
                request.body(),
                service,
                choice.instance().id(),
                route.name(),
                route.idempotent(),
                terms.priority(),
                purpose == AttemptPurpose.HEDGE
                        ? Math.round(HEDGE_OBJECTIVE_RATIO * remainingMillis)
                        : route.objectiveMillis() - elapsedMillis,
                remainingMillis,
                purpose != AttemptPurpose.LAST_RESORT,
                purpose == AttemptPurpose.HEDGE,
                foreign,
                repeated,
                rateLimit);
    }
}
