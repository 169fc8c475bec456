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

/** One call from the caller beside the node, with all its attempts. */
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
    private final AtomicBoolean ended = new AtomicBoolean();
    private final List<String> tried = new ArrayList<>(2);
    private Set<String> crashIds = Set.of();
    private String fingerprint;
    private RequestBody body;
    private int attempts;
    private boolean mayHaveRun;
    private String regionUsed;
    private String link = "";
    private long linkBytes;
    private CallEnd end;
    /** Last answer with which a target shed the call; better than nothing when no other target takes it. */
    private CallEnd shedEnd;

    private boolean claimed;

    EgressCall(EgressServer server, HttpServerRequest request, HttpServerResponse response) {
        this.server = server;
        this.context = server.context();
        this.request = request;
        this.response = response;
        this.headers = request.requestHeaders();
        this.method = request.method().name();
        this.startNanos = context.nanoTime().getAsLong();
        this.callId = CallHeaders.callId(headers, context.clock().millis(), context.random());
        this.depth = CallHeaders.count(headers, CallHeaders.DEPTH, 0, CallHeaders.MAX_DEPTH);
        this.parent = server.activeCalls().parent(callId, depth);
        Snapshot snapshot = context.snapshots().get();
        this.plan = server.router()
                .plan(
                        snapshot,
                        request.uri(),
                        headers.get(CallHeaders.PARTY),
                        CallHeaders.name(headers, CallHeaders.IDEMPOTENCY_KEY));
        this.deadlineNanos = startNanos + budgetNanos();
        this.span = HopSpan.start(context.tracer(), "egress", Span.Kind.CLIENT, headers.get(CallHeaders.TRACE_PARENT));
        this.regionUsed = context.location().region();
    }

    Mono<Void> run() {
        claimed = UsageClaims.tryClaim(context.usage()::callStarted);
        RefusalReason refusal = claimed ? refusal() : RefusalReason.NO_RECORD;
        Mono<CallEnd> result;
        if (refusal == null) {
            result = send();
        } else if (refusal == RefusalReason.PARTY_LIMIT) {
            result = server.quotaWait()
                    .acquire(plan.party())
                    .flatMap(granted -> granted ? send() : Mono.just(CallEnd.refused(refusal)));
        } else {
            result = Mono.just(CallEnd.refused(refusal));
        }
        return result.flatMap(this::deliver).doFinally(signal -> finish());
    }

    private Mono<CallEnd> send() {
        return RequestBody.of(request).flatMap(read -> {
            body = read;
            server.retries().recordFirstAttempt(plan.service().name());
            return attempt();
        });
    }

    private RefusalReason refusal() {
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

    /** The deadline is the least of the table's, the caller's and that of the request for which the call is made. */
    private long budgetNanos() {
        long millis = CallHeaders.millis(headers, CallHeaders.DEADLINE_MILLIS, Long.MAX_VALUE);
        if (plan.service() != null) {
            millis = Math.min(millis, plan.timeoutMillis());
        }
        long nanos = Math.min(millis, Integer.MAX_VALUE) * NANOS_PER_MILLI;
        return parent == null ? nanos : Math.min(nanos, parent.deadlineNanos - startNanos);
    }

    private long remainingNanos() {
        return deadlineNanos - context.nanoTime().getAsLong();
    }

    private Mono<CallEnd> attempt() {
        long remaining = remainingNanos();
        if (remaining <= 0) {
            return Mono.just(CallEnd.refused(RefusalReason.DEADLINE));
        }
        Member member = server.router().choose(plan, context.members(), tried);
        Server target = member == null ? null : plan.snapshot().servers().get(member.server());
        if (target == null) {
            return Mono.just(end != null ? end : CallEnd.refused(RefusalReason.NO_TARGET));
        }
        attempts++;
        regionUsed = target.dataCentre().region();
        boolean crossing = !regionUsed.equals(context.location().region());
        if (crossing) {
            link = context.location().region() + ">" + regionUsed;
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
                        (answer, content) -> receive(answer, content, target, sentNanos))
                .timeout(Duration.ofNanos(remaining), context.timers())
                .onErrorResume(error -> Mono.just(failed(error, target, sent.get())))
                .doFinally(signal -> server.router().recordAttemptEnd(target))
                .flatMap(result -> next(result, target, crossing));
    }

    private void fillHeaders(HttpHeaders out) {
        Relay.copy(headers, out);
        out.set(CallHeaders.PARTY, plan.party().name());
        out.set(CallHeaders.CALL_ID, callId);
        out.set(CallHeaders.DEADLINE_MILLIS, Math.max(1, remainingNanos() / NANOS_PER_MILLI));
        out.set(CallHeaders.ATTEMPT, attempts);
        out.set(CallHeaders.DEPTH, depth);
        out.set(CallHeaders.HASH, plan.snapshot().hash());
        if (plan.key() != null) {
            out.set(CallHeaders.IDEMPOTENCY_KEY, plan.key());
        }
        Set<String> known = server.suspects().crashIds(fingerprint);
        if (!known.isEmpty() || !crashIds.isEmpty()) {
            Set<String> all = new LinkedHashSet<>(crashIds);
            all.addAll(known);
            out.set(CallHeaders.CRASHES, String.join(",", all));
        }
        String traceParent = span.traceParent();
        if (traceParent != null) {
            out.set(CallHeaders.TRACE_PARENT, traceParent);
        }
    }

    private Mono<CallEnd> receive(HttpClientResponse answer, ByteBufFlux content, Server target, long sentNanos) {
        HttpHeaders received = answer.responseHeaders();
        Load load = Load.parse(received.get(CallHeaders.LOAD));
        if (load != null) {
            server.router().recordLoad(target, load.inFlight(), load.limit());
        }
        CallOutcome outcome = Relay.outcome(received);
        boolean retriedBelow = received.contains(CallHeaders.RETRIED);
        if (outcome == CallOutcome.NOT_RUN) {
            RefusalReason reason = RefusalReason.byHeaderValue(received.get(CallHeaders.REASON));
            noteCrashes(received);
            return content.then(Mono.just(CallEnd.refused(reason == null ? RefusalReason.NO_TARGET : reason)));
        }
        if (outcome == null || outcome == CallOutcome.UNKNOWN) {
            noteCrashes(received);
            String reason = received.get(CallHeaders.REASON);
            CallEnd unknown = CallHeaders.DEADLINE_PASSED.equals(reason)
                    ? CallEnd.timedOut()
                    : CallEnd.lost(
                            CallHeaders.ANSWER_CUT.equals(reason) ? reason : CallHeaders.CONNECTION_LOST, retriedBelow);
            return content.then(Mono.just(unknown));
        }
        boolean shed = CallHeaders.SHED.equals(received.get(CallHeaders.REASON));
        if (Answer.isHeld(method, answer)) {
            return Answer.receive(method, answer, content).map(whole -> {
                server.router()
                        .recordAnswer(plan.service(), target, context.nanoTime().getAsLong() - sentNanos);
                return CallEnd.answered(whole, shed, retriedBelow);
            });
        }
        AtomicLong bytes = new AtomicLong();
        response.status(answer.status());
        Relay.copy(received, response.responseHeaders());
        response.header(CallHeaders.OUTCOME, CallOutcome.ANSWERED.headerValue());
        response.header(CallHeaders.CALL_ID, callId);
        return response.send(content.retain().doOnNext(part -> bytes.addAndGet(part.readableBytes())))
                .then()
                .then(Mono.fromSupplier(() -> {
                    server.router()
                            .recordAnswer(
                                    plan.service(), target, context.nanoTime().getAsLong() - sentNanos);
                    return CallEnd.streamed(bytes.get());
                }));
    }

    /** A node inside the home regions says at which losses the request was in flight. */
    private void noteCrashes(HttpHeaders received) {
        List<String> ids = CallHeaders.crashIds(received);
        if (!ids.isEmpty()) {
            crashIds = new LinkedHashSet<>(ids);
            server.suspects()
                    .merge(new SuspectEntry(
                            fingerprint, ids, List.copyOf(plan.homeRegions()), EgressServer.SUSPECT_MILLIS));
        }
    }

    private CallEnd failed(Throwable error, Server target, boolean sent) {
        if (error instanceof ConnectFailedException || !sent) {
            server.router().avoid(target);
            return error instanceof TimeoutException ? CallEnd.refused(RefusalReason.DEADLINE) : CallEnd.notSent();
        }
        server.router().recordFailure(plan.service(), target);
        if (error instanceof TimeoutException) {
            return CallEnd.timedOut();
        }
        return CallEnd.lost(
                error instanceof AnswerCutException ? CallHeaders.ANSWER_CUT : CallHeaders.CONNECTION_LOST, false);
    }

    private Mono<CallEnd> next(CallEnd result, Server target, boolean crossing) {
        if (crossing && result.result() != AttemptResult.NOT_SENT) {
            linkBytes += requestBytes() + responseBytes(result);
        }
        if (result.refusal() == RefusalReason.DATA_CENTRE_OUT) {
            server.router().avoidDataCentre(plan.service(), target.dataCentre().name());
        } else if (result.refusal() == RefusalReason.DRAINING) {
            server.router().avoid(target);
        }
        mayHaveRun |= !result.result().provesNotRun();
        if (result.result() == AttemptResult.SHED) {
            shedEnd = result;
        }
        end = result;
        tried.add(target.name());
        boolean again = !result.delivered()
                && !response.hasSentHeaders()
                && (body.isResendable() || result.result() == AttemptResult.NOT_SENT)
                && server.retries()
                        .shouldRetry(
                                plan.service().name(),
                                plan.route().idempotent(),
                                attempts,
                                result.result(),
                                result.refusal(),
                                result.retriedBelow(),
                                remainingNanos());
        return again ? attempt() : Mono.just(result);
    }

    private Mono<Void> deliver(CallEnd last) {
        // A refusal after an attempt that may have run does not prove that the call did not run.
        if (last.result().provesNotRun() && shedEnd != null) {
            end = shedEnd;
        } else if (last.result().provesNotRun() && mayHaveRun) {
            end = CallEnd.lost(CallHeaders.CONNECTION_LOST, false);
        } else {
            end = last;
        }
        if (parent != null && (end.result() != AttemptResult.ANSWERED || end.retriedBelow())) {
            parent.retriedBelow = true;
        }
        if (end.delivered()) {
            return Mono.empty();
        }
        if (response.hasSentHeaders()) {
            // The answer was cut while it was passed on; only a closed connection tells the caller.
            return Mono.error(new AnswerCutException("answer cut after its headers were sent", null));
        }
        response.header(CallHeaders.OUTCOME, end.outcome().headerValue());
        response.header(CallHeaders.CALL_ID, callId);
        if (!end.reason().isEmpty()) {
            response.header(CallHeaders.REASON, end.reason());
        }
        if (end.retriedBelow() || end.result() != AttemptResult.ANSWERED && attempts > 1) {
            response.header(CallHeaders.RETRIED, "1");
        }
        if (server.isClosing()) {
            response.keepAlive(false);
        }
        return end.answer() != null
                ? end.answer().send(response)
                : response.status(end.status()).send();
    }

    private void finish() {
        if (!ended.compareAndSet(false, true)) {
            return;
        }
        CallEnd last = end != null ? end : attempts == 0 ? CallEnd.refused(RefusalReason.DEADLINE) : CallEnd.timedOut();
        boolean bound = plan.isRegionBound();
        boolean home = !bound
                || HomeRegions.allows(plan.homeRegions(), context.location().region());
        String service = plan.service() == null ? "" : plan.service().name();
        String label = home ? service : CallMeters.REGION_BOUND;
        span.tag("service", label);
        span.tag("outcome", last.outcome().headerValue());
        if (!last.reason().isEmpty()) {
            span.tag("reason", last.reason());
        }
        span.end();
        long nanos = context.nanoTime().getAsLong() - startNanos;
        server.meters().ended(label, last.outcome(), last.reason(), attempts, nanos);
        if (!claimed) {
            return;
        }
        context.usage()
                .callEnded(new CallUsage(
                        plan.party() == null ? "" : plan.party().name(),
                        service,
                        plan.route() == null ? "" : plan.route().name(),
                        attempts == 0 ? context.location().region() : regionUsed,
                        bound,
                        home,
                        attempts,
                        depth,
                        last.outcome(),
                        last.reason(),
                        requestBytes(),
                        responseBytes(last),
                        link,
                        linkBytes));
        server.ended();
    }

    private long requestBytes() {
        if (body != null && body.isResendable()) {
            return body.bytes().length;
        }
        return body == null ? 0 : Math.max(0, Relay.length(headers));
    }

    private static long responseBytes(CallEnd last) {
        return last.answer() != null ? last.answer().body().length : last.streamedBytes();
    }
}
