package io.jaywick.node.proxy;

import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicLong;

import io.jaywick.core.admission.Fingerprint;
import io.jaywick.core.membership.Member;
import io.jaywick.core.message.SuspectEntry;
import io.jaywick.core.record.CallOutcome;
import io.jaywick.core.record.CallUsage;
import io.jaywick.core.retry.AttemptResult;
import io.jaywick.core.routing.CallPlan;
import io.jaywick.core.routing.RefusalReason;
import io.jaywick.core.snapshot.HomeRegions;
import io.jaywick.core.snapshot.Server;
import io.jaywick.core.snapshot.Snapshot;
import io.micrometer.tracing.Span;
import io.netty.handler.codec.http.HttpHeaders;
import reactor.core.publisher.Mono;
import reactor.netty.ByteBufFlux;
import reactor.netty.http.client.HttpClientResponse;
import reactor.netty.http.server.HttpServerRequest;
import reactor.netty.http.server.HttpServerResponse;

/** One call from the local caller, with all its attempts. */
final class EgressCall {

    private static final long NANOS_PER_MILLI = 1_000_000;

    private final EgressServer server;
    private final ProxyContext context;
    private final HttpServerRequest request;
    private final HttpServerResponse response;
    private final HttpHeaders headers;
    private final String method;
    private final String callId;
    private final int depth;
    private final CallPlan plan;
    private final long startNanos;
    private final long deadlineNanos;
    private final ActiveCalls.ActiveCall parent;
    private final HopSpan span;
    private final AtomicBoolean finished = new AtomicBoolean();
    private final List<String> triedServers = new ArrayList<>(2);
    private Set<String> crashIds = Set.of();
    private String fingerprint;
    private RequestBody body;
    private int attempts;
    private boolean mayHaveExecuted;
    private String servingRegion;
    private String link = "";
    private long linkBytes;
    private CompletedAttempt lastAttempt;
    /** Last attempt that a target shed. Its response is passed on if no other target accepts the call. */
    private CompletedAttempt lastShedAttempt;

    private boolean isClaimed;

    EgressCall(EgressServer server, HttpServerRequest request, HttpServerResponse response) {
        this.server = server;
        this.context = server.context();
        this.request = request;
        this.response = response;
        this.headers = request.requestHeaders();
        this.method = request.method().name();
        this.startNanos = context.nanoTime().getAsLong();
        this.callId = CallHeaders.readOrCreateCallId(headers, context.clock().millis(), context.random());
        this.depth = CallHeaders.parseCount(headers, CallHeaders.DEPTH, 0, CallHeaders.MAX_DEPTH);
        this.parent = server.activeCalls().findParent(callId, depth);
        Snapshot snapshot = context.snapshots().get();
        this.plan = server.router()
                .plan(
                        snapshot,
                        request.uri(),
                        headers.get(CallHeaders.PARTY),
                        CallHeaders.readName(headers, CallHeaders.IDEMPOTENCY_KEY));
        this.deadlineNanos = startNanos + timeoutNanos();
        this.span = HopSpan.start(context.tracer(), "egress", Span.Kind.CLIENT, headers.get(CallHeaders.TRACE_PARENT));
        this.servingRegion = context.location().region();
    }

    Mono<Void> run() {
        isClaimed = UsageClaims.tryClaim(context.usage()::callStarted);
        RefusalReason refusal = isClaimed ? checkRefusal() : RefusalReason.NO_RECORD;
        Mono<CompletedAttempt> result;
        if (refusal == null) {
            result = startAttempts();
        } else if (refusal == RefusalReason.PARTY_LIMIT) {
            result = server.quotaWait()
                    .acquire(plan.party())
                    .flatMap(granted -> granted ? startAttempts() : Mono.just(CompletedAttempt.refused(refusal)));
        } else {
            result = Mono.just(CompletedAttempt.refused(refusal));
        }
        return result.flatMap(this::deliver).doFinally(signal -> finish());
    }

    private Mono<CompletedAttempt> startAttempts() {
        return RequestBody.receive(request).flatMap(requestBody -> {
            body = requestBody;
            server.retries().recordFirstAttempt(plan.service().name());
            return startAttempt();
        });
    }

    private RefusalReason checkRefusal() {
        if (server.isClosing()) {
            return RefusalReason.DRAINING;
        }
        if (plan.refusal() != null) {
            return plan.refusal();
        }
        if (remainingNanos() <= 0) {
            return RefusalReason.DEADLINE;
        }
        fingerprint =
                Fingerprint.of(plan.route().name(), plan.party().name(), plan.key() != null ? plan.key() : callId);
        if (server.suspects().isBlocked(fingerprint)) {
            return RefusalReason.SUSPECT;
        }
        return depth == 0 && !context.quota().tryAcquire(plan.party()) ? RefusalReason.PARTY_LIMIT : null;
    }

    /**
     * Returns the time until the deadline: the minimum of the timeout of the table, the timeout of the caller, and the
     * remaining time of the request for which this call is made.
     */
    private long timeoutNanos() {
        long millis = CallHeaders.parseMillis(headers, CallHeaders.DEADLINE_MILLIS, Long.MAX_VALUE);
        if (plan.service() != null) {
            millis = Math.min(millis, plan.timeoutMillis());
        }
        long nanos = Math.min(millis, Integer.MAX_VALUE) * NANOS_PER_MILLI;
        return parent == null ? nanos : Math.min(nanos, parent.deadlineNanos - startNanos);
    }

    private long remainingNanos() {
        return deadlineNanos - context.nanoTime().getAsLong();
    }

    private Mono<CompletedAttempt> startAttempt() {
        long remaining = remainingNanos();
        if (remaining <= 0) {
            return Mono.just(CompletedAttempt.refused(RefusalReason.DEADLINE));
        }
        Member member = server.router().choose(plan, context.members(), triedServers);
        Server target = member == null ? null : plan.snapshot().servers().get(member.server());
        if (target == null) {
            return Mono.just(lastAttempt != null ? lastAttempt : CompletedAttempt.refused(RefusalReason.NO_TARGET));
        }
        attempts++;
        servingRegion = target.dataCentre().region();
        boolean isCrossRegion = !servingRegion.equals(context.location().region());
        if (isCrossRegion) {
            link = context.location().region() + ">" + servingRegion;
        }
        AtomicBoolean sent = new AtomicBoolean();
        long sentNanos = context.nanoTime().getAsLong();
        server.router().recordAttemptStart(target);
        return server.upstream()
                .exchange(
                        member.ingressAddress(),
                        request.method(),
                        request.uri(),
                        this::fillHeaders,
                        body,
                        () -> sent.set(true),
                        (targetResponse, content) -> receiveResponse(targetResponse, content, target, sentNanos))
                .timeout(Duration.ofNanos(remaining), context.timers())
                .onErrorResume(error -> Mono.just(handleFailure(error, target, sent.get())))
                .doFinally(signal -> server.router().recordAttemptEnd(target))
                .flatMap(result -> retryOrComplete(result, target, isCrossRegion));
    }

    private void fillHeaders(HttpHeaders requestHeaders) {
        HttpForwarding.copyHeaders(headers, requestHeaders);
        requestHeaders.set(CallHeaders.PARTY, plan.party().name());
        requestHeaders.set(CallHeaders.CALL_ID, callId);
        requestHeaders.set(CallHeaders.DEADLINE_MILLIS, Math.max(1, remainingNanos() / NANOS_PER_MILLI));
        requestHeaders.set(CallHeaders.ATTEMPT, attempts);
        requestHeaders.set(CallHeaders.DEPTH, depth);
        requestHeaders.set(CallHeaders.HASH, plan.snapshot().hash());
        if (plan.key() != null) {
            requestHeaders.set(CallHeaders.IDEMPOTENCY_KEY, plan.key());
        }
        Set<String> knownCrashIds = server.suspects().crashIds(fingerprint);
        if (!knownCrashIds.isEmpty() || !crashIds.isEmpty()) {
            Set<String> allCrashIds = new LinkedHashSet<>(crashIds);
            allCrashIds.addAll(knownCrashIds);
            requestHeaders.set(CallHeaders.CRASHES, String.join(",", allCrashIds));
        }
        String traceParent = span.traceParent();
        if (traceParent != null) {
            requestHeaders.set(CallHeaders.TRACE_PARENT, traceParent);
        }
    }

    private Mono<CompletedAttempt> receiveResponse(
            HttpClientResponse targetResponse, ByteBufFlux content, Server target, long sentNanos) {
        HttpHeaders responseHeaders = targetResponse.responseHeaders();
        Load load = Load.parse(responseHeaders.get(CallHeaders.LOAD));
        if (load != null) {
            server.router().recordLoad(target, load.inFlight(), load.limit());
        }
        CallOutcome outcome = HttpForwarding.readOutcome(responseHeaders);
        boolean retriedBelow = responseHeaders.contains(CallHeaders.RETRIED);
        if (outcome == CallOutcome.NOT_RUN) {
            RefusalReason reason = RefusalReason.byHeaderValue(responseHeaders.get(CallHeaders.REASON));
            recordCrashIds(responseHeaders);
            return content.then(Mono.just(CompletedAttempt.refused(reason == null ? RefusalReason.NO_TARGET : reason)));
        }
        if (outcome == null || outcome == CallOutcome.UNKNOWN) {
            recordCrashIds(responseHeaders);
            String reason = responseHeaders.get(CallHeaders.REASON);
            CompletedAttempt unknown = CallHeaders.DEADLINE_PASSED.equals(reason)
                    ? CompletedAttempt.timedOut()
                    : CompletedAttempt.lost(
                            CallHeaders.ANSWER_CUT.equals(reason) ? reason : CallHeaders.CONNECTION_LOST, retriedBelow);
            return content.then(Mono.just(unknown));
        }
        boolean isShed = CallHeaders.SHED.equals(responseHeaders.get(CallHeaders.REASON));
        if (BufferedResponse.shouldBuffer(method, targetResponse)) {
            return BufferedResponse.receive(method, targetResponse, content).map(buffered -> {
                server.router()
                        .recordAnswer(plan.service(), target, context.nanoTime().getAsLong() - sentNanos);
                return CompletedAttempt.answered(buffered, isShed, retriedBelow);
            });
        }
        AtomicLong bytes = new AtomicLong();
        response.status(targetResponse.status());
        HttpForwarding.copyHeaders(responseHeaders, response.responseHeaders());
        response.header(CallHeaders.OUTCOME, CallOutcome.ANSWERED.headerValue());
        response.header(CallHeaders.CALL_ID, callId);
        return response.send(content.retain().doOnNext(part -> bytes.addAndGet(part.readableBytes())))
                .then()
                .then(Mono.fromSupplier(() -> {
                    server.router()
                            .recordAnswer(
                                    plan.service(), target, context.nanoTime().getAsLong() - sentNanos);
                    return CompletedAttempt.streamed(bytes.get());
                }));
    }

    /** Records the crashes at which the request was in flight, as reported by a node inside the home regions. */
    private void recordCrashIds(HttpHeaders responseHeaders) {
        List<String> ids = CallHeaders.readCrashIds(responseHeaders);
        if (!ids.isEmpty()) {
            crashIds = new LinkedHashSet<>(ids);
            server.suspects()
                    .merge(new SuspectEntry(
                            fingerprint, ids, List.copyOf(plan.homeRegions()), EgressServer.SUSPECT_MILLIS));
        }
    }

    private CompletedAttempt handleFailure(Throwable error, Server target, boolean sent) {
        if (error instanceof ConnectFailedException || !sent) {
            server.router().avoid(target);
            return error instanceof TimeoutException
                    ? CompletedAttempt.refused(RefusalReason.DEADLINE)
                    : CompletedAttempt.notSent();
        }
        server.router().recordFailure(plan.service(), target);
        if (error instanceof TimeoutException) {
            return CompletedAttempt.timedOut();
        }
        return CompletedAttempt.lost(
                error instanceof ResponseTruncatedException ? CallHeaders.ANSWER_CUT : CallHeaders.CONNECTION_LOST,
                false);
    }

    private Mono<CompletedAttempt> retryOrComplete(CompletedAttempt completed, Server target, boolean isCrossRegion) {
        if (isCrossRegion && completed.result() != AttemptResult.NOT_SENT) {
            linkBytes += requestBytes() + responseBytes(completed);
        }
        if (completed.refusal() == RefusalReason.DATA_CENTRE_OUT) {
            server.router().avoidDataCentre(plan.service(), target.dataCentre().name());
        } else if (completed.refusal() == RefusalReason.DRAINING) {
            server.router().avoid(target);
        }
        mayHaveExecuted |= !completed.result().provesNotRun();
        if (completed.result() == AttemptResult.SHED) {
            lastShedAttempt = completed;
        }
        lastAttempt = completed;
        triedServers.add(target.name());
        boolean shouldRetry = !completed.isDelivered()
                && !response.hasSentHeaders()
                && (body.isResendable() || completed.result() == AttemptResult.NOT_SENT)
                && server.retries()
                        .shouldRetry(
                                plan.service().name(),
                                plan.route().idempotent(),
                                attempts,
                                completed.result(),
                                completed.refusal(),
                                completed.retriedBelow(),
                                remainingNanos());
        return shouldRetry ? startAttempt() : Mono.just(completed);
    }

    private Mono<Void> deliver(CompletedAttempt last) {
        // A refusal does not prove that the call was not executed if an earlier attempt may have executed it.
        if (last.result().provesNotRun() && lastShedAttempt != null) {
            lastAttempt = lastShedAttempt;
        } else if (last.result().provesNotRun() && mayHaveExecuted) {
            lastAttempt = CompletedAttempt.lost(CallHeaders.CONNECTION_LOST, false);
        } else {
            lastAttempt = last;
        }
        if (parent != null && (lastAttempt.result() != AttemptResult.ANSWERED || lastAttempt.retriedBelow())) {
            parent.retriedBelow = true;
        }
        if (lastAttempt.isDelivered()) {
            return Mono.empty();
        }
        if (response.hasSentHeaders()) {
            // The response was truncated while it was passed on; only closing the connection signals this to the
            // caller.
            return Mono.error(new ResponseTruncatedException("response truncated after its headers were sent", null));
        }
        response.header(CallHeaders.OUTCOME, lastAttempt.outcome().headerValue());
        response.header(CallHeaders.CALL_ID, callId);
        if (!lastAttempt.reason().isEmpty()) {
            response.header(CallHeaders.REASON, lastAttempt.reason());
        }
        if (lastAttempt.retriedBelow() || lastAttempt.result() != AttemptResult.ANSWERED && attempts > 1) {
            response.header(CallHeaders.RETRIED, "1");
        }
        if (server.isClosing()) {
            response.keepAlive(false);
        }
        return lastAttempt.response() != null
                ? lastAttempt.response().send(response)
                : response.status(lastAttempt.status()).send();
    }

    private void finish() {
        if (!finished.compareAndSet(false, true)) {
            return;
        }
        CompletedAttempt last = lastAttempt != null
                ? lastAttempt
                : attempts == 0 ? CompletedAttempt.refused(RefusalReason.DEADLINE) : CompletedAttempt.timedOut();
        boolean isRegionBound = plan.isRegionBound();
        boolean isInHomeRegion = !isRegionBound
                || HomeRegions.allows(plan.homeRegions(), context.location().region());
        String service = plan.service() == null ? "" : plan.service().name();
        String serviceLabel = isInHomeRegion ? service : CallMeters.REGION_BOUND;
        span.tag("service", serviceLabel);
        span.tag("outcome", last.outcome().headerValue());
        if (!last.reason().isEmpty()) {
            span.tag("reason", last.reason());
        }
        span.end();
        long nanos = context.nanoTime().getAsLong() - startNanos;
        server.meters().recordCall(serviceLabel, last.outcome(), last.reason(), attempts, nanos);
        if (!isClaimed) {
            return;
        }
        context.usage()
                .callEnded(new CallUsage(
                        plan.party() == null ? "" : plan.party().name(),
                        service,
                        plan.route() == null ? "" : plan.route().name(),
                        attempts == 0 ? context.location().region() : servingRegion,
                        isRegionBound,
                        isInHomeRegion,
                        attempts,
                        depth,
                        last.outcome(),
                        last.reason(),
                        requestBytes(),
                        responseBytes(last),
                        link,
                        linkBytes));
        server.onCallFinished();
    }

    private long requestBytes() {
        if (body != null && body.isResendable()) {
            return body.bytes().length;
        }
        return body == null ? 0 : Math.max(0, HttpForwarding.bodyLength(headers));
    }

    private static long responseBytes(CompletedAttempt last) {
        return last.response() != null ? last.response().body().length : last.streamedBytes();
    }
}
