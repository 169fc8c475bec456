package io.jaywick.node.relay;

import io.jaywick.core.fleet.Instance;
import io.jaywick.core.rules.ClientAccount;
import io.jaywick.core.rules.RouteRule;

/** Log lines of one request of a local caller; see docs/OPERATIONS.md for their fields. */
final class OutboundCallLog {

    private final RelayLog log;
    private final String requestId;

    OutboundCallLog(RelayLog log, String requestId) {
        this.log = log;
        this.requestId = requestId;
    }

    /** What a call has done until its end, and the time that it had left. */
    record Progress(CallHistory history, long elapsedMillis, long remainingMillis) {}

    void callerRefused(RouteRule route, ClientAccount account, String reason) {
        log.refusalEvent(
                "caller refused",
                "requestId",
                requestId,
                "route",
                route.name(),
                "account",
                name(account),
                "reason",
                reason);
    }

    void hedged(RoutedCall call, Instance late, Instance chosen, long elapsedMillis) {
        log.callEvent(
                "call hedged",
                "requestId",
                requestId,
                "route",
                route(call),
                "lateInstance",
                late.id(),
                "instance",
                chosen.id(),
                "elapsedMillis",
                elapsedMillis);
    }

    void retried(String reason) {
        log.callEvent("call retried", "requestId", requestId, "reason", reason);
    }

    void callerDisconnected(RoutedCall call, ClientAccount account, CallHistory history, long elapsedMillis) {
        log.callEvent(
                "caller disconnected",
                "requestId",
                requestId,
                "route",
                route(call),
                "service",
                service(call),
                "account",
                name(account),
                "instances",
                history,
                "elapsedMillis",
                elapsedMillis);
    }

    /**
     * Logs a response of 500 or more.
     *
     * @param call null if no route was applied
     * @param account null if there is none
     */
    void failed(
            RoutedCall call, ClientAccount account, long rulesVersion, int status, String reason, Progress progress) {
        log.callEvent(
                "call failed",
                "requestId",
                requestId,
                "route",
                route(call),
                "service",
                service(call),
                "account",
                name(account),
                "rulesVersion",
                rulesVersion,
                "status",
                status,
                "reason",
                reason,
                "instances",
                progress.history(),
                "elapsedMillis",
                progress.elapsedMillis(),
                "remainingMillis",
                progress.remainingMillis());
    }

    private static String route(RoutedCall call) {
        return call == null ? "" : call.route().name();
    }

    private static String service(RoutedCall call) {
        return call == null ? "" : call.service();
    }

    private static String name(ClientAccount account) {
        return account == null ? "" : account.name();
    }
}
