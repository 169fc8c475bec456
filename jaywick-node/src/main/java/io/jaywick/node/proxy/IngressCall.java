package io.jaywick.node.proxy;

import java.time.Duration;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

import io.jaywick.core.admission.Fingerprint;
import io.jaywick.core.admission.QueuedCall;
import io.jaywick.core.message.SuspectEntry;
import io.jaywick.core.record.CallOutcome;
import io.jaywick.core.record.DispatchUsage;
import io.jaywick.core.retry.KeyHomeHistory;
import io.jaywick.core.routing.RefusalReason;
import io.jaywick.core.snapshot.HomeRegions;
import io.jaywick.core.snapshot.Party;
import io.jaywick.core.snapshot.Route;
import io.jaywick.core.snapshot.Server;
import io.jaywick.core.snapshot.Service;
import io.jaywick.core.snapshot.Snapshot;
import io.micrometer.tracing.Span;
import io.netty.handler.codec.http.HttpHeaders;
import reactor.core.publisher.Mono;
import reactor.core.publisher.MonoSink;
import reactor.netty.ByteBufFlux;
import reactor.netty.http.client.HttpClientResponse;
import reactor.netty.http.server.HttpServerRequest;
import reactor.netty.http.server.HttpServerResponse;

/** One call to the local target. */
final class IngressCall {

    private static final long NANOS_PER_MILLI = 1_000_000;
    /**
     * Limits how long a nested call waits for a slot. A waiting nested call keeps the slots of all its parent calls
     * occupied. Without a limit, deeply nested calls that wait for each other hold all slots until their deadlines.
     */
    private static final long MAX_NESTED_WAIT_NANOS = 100 * NANOS_PER_MILLI;

    private static final int NEW = 0;
    private static final int HOLDS_SLOT = 1;
    private static final int RELEASED = 2;

    private final IngressServer server;
    private final ProxyContext context;
    private final HttpServerRequest request;
    private final HttpServerResponse response;
    private final HttpHeaders headers;
    private final String method;
    private final String callId;
    private final int depth;
    private final String key;
    private final long startNanos;
    private final long deadlineNanos;
    private final Snapshot snapshot;
    private final HopSpan span;
    private final AtomicInteger slotState = new AtomicInteger(NEW);
    private final AtomicBoolean holdsSuspectSlot = new AtomicBoolean();
    private Party party;
    private Route route;
    private Service service;
    private Set<String> homeRegions = Set.of();
    private String fingerprint;
    private QueuedCall queuedCall;
    private ActiveCalls.ActiveCall activeCall;
    private boolean isKeyRecorded;
    private volatile boolean isDispatched;
    private volatile long dispatchNanos;
    private CallOutcome outcome = CallOutcome.UNKNOWN;
    private String reason = CallHeaders.CONNECTION_LOST;

    IngressCall(IngressServer server, HttpServerRequest request, HttpServerResponse response) {
        this.server = server;
        this.context = server.context();
        this.request = request;
        this.response = response;
        this.headers = request.requestHeaders();
        this.method = request.method().name();
        this.startNanos = context.nanoTime().getAsLong();
        this.callId = CallHeaders.readOrCreateCallId(headers, context.clock().millis(), context.random());
        this.depth = CallHeaders.parseCount(headers, CallHeaders.DEPTH, 0, CallHeaders.MAX_DEPTH);
        this.key = CallHeaders.readName(headers, CallHeaders.IDEMPOTENCY_KEY);
        this.snapshot = server.activateSnapshot();
        RefusalReason unresolved = resolveRoute();
        this.deadlineNanos = startNanos + timeoutNanos();
        this.span = HopSpan.start(context.tracer(), "ingress", Span.Kind.SERVER, headers.get(CallHeaders.TRACE_PARENT));
        this.refusal = unresolved != null ? unresolved : checkRefusal();
    }

    private final RefusalReason refusal;

    Mono<Void> run() {
        Mono<Void> completion =
                refusal != null ? refuse(refusal) : awaitAdmission().then(Mono.defer(this::dispatch));
        return completion
                .onErrorResume(RefusedException.class, refused -> refuse(refused.reason()))
                .doFinally(signal -> finish());
    }

    private RefusalReason resolveRoute() {
        if (snapshot == null) {
            return RefusalReason.NO_TABLE;
        }
        String name = headers.get(CallHeaders.PARTY);
        party = name == null ? null : snapshot.parties().get(name);
        if (party == null) {
            return RefusalReason.UNKNOWN_PARTY;
        }
        Server self = snapshot.servers().get(context.location().server());
        service = self == null ? null : snapshot.services().get(self.service());
        route = snapshot.routeFor(request.uri());
        if (route == null || service == null || !IngressServer.hasService(route, service)) {
            return RefusalReason.NO_ROUTE;
        }
        homeRegions = HomeRegions.intersection(route.homeRegions(), service.homeRegions(), party.homeRegions());
        return HomeRegions.allows(homeRegions, context.location().region()) ? null : RefusalReason.OUTSIDE_HOME_REGIONS;
    }

    private RefusalReason checkRefusal() {
        RefusalReason closedReason = server.admission().closedReason();
        if (closedReason != null) {
            return closedReason;
        }
        if (remainingNanos() <= 0) {
            return RefusalReason.DEADLINE;
        }
        boolean isKeyed = isKeyed();
        fingerprint = Fingerprint.of(route.name(), party.name(), isKeyed ? key : callId);
        List<String> crashIds = CallHeaders.readCrashIds(headers);
        if (!crashIds.isEmpty()) {
            server.suspects()
                    .merge(new SuspectEntry(
                            fingerprint, crashIds, List.copyOf(homeRegions), EgressServer.SUSPECT_MILLIS));
        }
        if (server.suspects().isBlocked(fingerprint)) {
            return RefusalReason.SUSPECT;
        }
        if (!isKeyed) {
            return null;
        }
        if (!context.location().server().equals(KeyHomeHistory.homeOf(snapshot, request.uri(), party.name(), key))) {
            // The caller has a different table. Only the key's home under the table of this node knows whether the key
            // has been used.
            return RefusalReason.NO_TARGET;
        }
        return server.idempotencyKeys().isNew(party.name(), key, otherHomeUntilMillis())
                ? null
                : RefusalReason.DUPLICATE_KEY;
    }

    private boolean isKeyed() {
        return key != null && !route.idempotent();
    }

    private long otherHomeUntilMillis() {
        return server.keyHomeHistory().otherHomeUntilMillis(request.uri(), party.name(), key);
    }

    private long timeoutNanos() {
        long millis = CallHeaders.parseMillis(headers, CallHeaders.DEADLINE_MILLIS, Long.MAX_VALUE);
        if (service != null) {
            millis = Math.min(millis, service.timeoutMillis());
        }
        return Math.min(millis, Integer.MAX_VALUE) * NANOS_PER_MILLI;
    }

    private long remainingNanos() {
        return deadlineNanos - context.nanoTime().getAsLong();
    }

    private Mono<Void> awaitAdmission() {
        return Mono.create(sink -> {
            queuedCall = new QueuedIngressCall(sink);
            if (server.suspects().crashIds(fingerprint).isEmpty()) {
                server.admission().submit(queuedCall);
                return;
            }
            boolean isAccepted = server.suspectSlot().acquire(() -> {
                holdsSuspectSlot.set(true);
                if (slotState.get() == RELEASED) {
                    releaseSuspectSlot();
                } else {
                    server.admission().submit(queuedCall);
                }
            });
            if (!isAccepted) {
                sink.error(new RefusedException(RefusalReason.OVERLOADED));
            }
        });
    }

    private Mono<Void> dispatch() {
        if (isKeyed() && !server.idempotencyKeys().tryRecord(party.name(), key, otherHomeUntilMillis())) {
            return refuse(RefusalReason.DUPLICATE_KEY);
        }
        isKeyRecorded = isKeyed();
        if (!UsageClaims.tryClaim(context.usage()::dispatchStarted)) {
            if (isKeyRecorded) {
                server.idempotencyKeys().forget(party.name(), key);
            }
            return refuse(RefusalReason.NO_RECORD);
        }
        long remaining = remainingNanos();
        activeCall = new ActiveCalls.ActiveCall(deadlineNanos);
        server.activeCalls().add(callId, depth + 1, activeCall);
        dispatchNanos = context.nanoTime().getAsLong();
        isDispatched = true;
        AtomicBoolean sent = new AtomicBoolean();
        return server.upstream()
                .exchange(
                        server.targetAddress(),
                        request.method(),
                        request.uri(),
                        this::fillHeaders,
                        RequestBody.streamed(request),
                        () -> sent.set(true),
                        this::receiveResponse)
                .timeout(Duration.ofNanos(Math.max(1, remaining)), context.timers())
                .onErrorResume(error -> Mono.just(handleFailure(error, sent.get())))
                .flatMap(this::deliver);
    }

    private void fillHeaders(HttpHeaders requestHeaders) {
        HttpForwarding.copyHeaders(headers, requestHeaders);
        requestHeaders.set(CallHeaders.CALL_ID, callId);
        requestHeaders.set(CallHeaders.DEADLINE_MILLIS, Math.max(1, remainingNanos() / NANOS_PER_MILLI));
        requestHeaders.set(CallHeaders.DEPTH, depth + 1);
        String traceParent = span.traceParent();
        if (traceParent != null) {
            requestHeaders.set(CallHeaders.TRACE_PARENT, traceParent);
        }
    }

    private Mono<CompletedAttempt> receiveResponse(HttpClientResponse targetResponse, ByteBufFlux content) {
        int status = targetResponse.status().code();
        // A target that passes on the failure of a nested call is not itself overloaded.
        boolean isShed = status == HttpForwarding.STATUS_UNAVAILABLE && !activeCall.retriedBelow;
        if (BufferedResponse.shouldBuffer(method, targetResponse)) {
            return BufferedResponse.receive(method, targetResponse, content).map(buffered -> {
                onResponseComplete(status, isShed);
                return CompletedAttempt.answered(buffered, isShed, activeCall.retriedBelow && status >= 500);
            });
        }
        if (HttpForwarding.bodyLength(targetResponse.responseHeaders()) == -2) {
            return Mono.error(
                    new ResponseTruncatedException("response has neither a content length nor chunked encoding", null));
        }
        outcome = CallOutcome.ANSWERED;
        reason = "";
        response.status(targetResponse.status());
        HttpForwarding.copyHeaders(targetResponse.responseHeaders(), response.responseHeaders());
        response.header(CallHeaders.OUTCOME, outcome.headerValue());
        response.header(CallHeaders.LOAD, server.load().headerValue());
        return response.send(content.retain()).then().then(Mono.fromSupplier(() -> {
            onResponseComplete(status, isShed);
            return CompletedAttempt.streamed(0);
        }));
    }

    private void onResponseComplete(int status, boolean isShed) {
        if (isShed) {
            server.admission().recordTargetRefusal();
        } else if (status < 500) {
            server.admission().recordAnswer(route.name(), dispatchNanos);
        }
        if (!server.suspects().crashIds(fingerprint).isEmpty()) {
            server.suspects().clear(fingerprint);
        }
    }

    private CompletedAttempt handleFailure(Throwable error, boolean sent) {
        if (error instanceof ConnectFailedException || !sent) {
            if (isKeyRecorded) {
                server.idempotencyKeys().forget(party.name(), key);
            }
            if (error instanceof TimeoutException) {
                return CompletedAttempt.refused(RefusalReason.DEADLINE);
            }
            server.admission().recordTargetLoss();
            return CompletedAttempt.refused(RefusalReason.NO_TARGET);
        }
        if (error instanceof TimeoutException) {
            return CompletedAttempt.timedOut();
        }
        server.admission().recordTargetLoss();
        String crashId = server.crashIdGenerator()
                .crashId(dispatchNanos, context.nanoTime().getAsLong());
        server.suspects().recordCrash(fingerprint, crashId, homeRegions);
        return CompletedAttempt.lost(
                error instanceof ResponseTruncatedException ? CallHeaders.ANSWER_CUT : CallHeaders.CONNECTION_LOST,
                activeCall.retriedBelow);
    }

    private Mono<Void> deliver(CompletedAttempt completed) {
        outcome = completed.outcome();
        reason = completed.reason();
        // The slot is released as soon as the target has finished, so that a slow caller does not occupy it.
        release();
        if (completed.isDelivered()) {
            return Mono.empty();
        }
        if (response.hasSentHeaders()) {
            return Mono.error(new ResponseTruncatedException("response truncated after its headers were sent", null));
        }
        addHeaders();
        if (completed.retriedBelow()) {
            response.header(CallHeaders.RETRIED, "1");
        }
        if (outcome == CallOutcome.UNKNOWN) {
            addCrashIds();
        }
        return completed.response() != null
                ? completed.response().send(response)
                : response.status(completed.status()).send();
    }

    private Mono<Void> refuse(RefusalReason refusalReason) {
        outcome = CallOutcome.NOT_RUN;
        reason = refusalReason.headerValue();
        release();
        addHeaders();
        if (refusalReason == RefusalReason.SUSPECT) {
            addCrashIds();
        }
        response.status(HttpForwarding.STATUS_UNAVAILABLE);
        if (!request.requestHeaders().contains("content-length", "0", true)
                && (headers.contains("content-length") || headers.contains("transfer-encoding"))) {
            // Drains the request body so that the connection can be reused for the next request.
            return request.receive().then().onErrorComplete().then(response.send());
        }
        return response.send();
    }

    private void addHeaders() {
        response.header(CallHeaders.OUTCOME, outcome.headerValue());
        response.header(CallHeaders.LOAD, server.load().headerValue());
        if (!reason.isEmpty()) {
            response.header(CallHeaders.REASON, reason);
        }
        if (server.isClosing()) {
            response.keepAlive(false);
        }
    }

    private void addCrashIds() {
        Set<String> ids = new LinkedHashSet<>(server.suspects().crashIds(fingerprint));
        if (!ids.isEmpty()) {
            response.header(CallHeaders.CRASHES, String.join(",", ids));
        }
    }

    /**
     * Releases the slot or cancels the wait for it, and reports the end of the dispatch, at most once. Can be called at
     * any time and from any thread.
     */
    private void release() {
        int previousState = slotState.getAndSet(RELEASED);
        if (previousState == RELEASED) {
            return;
        }
        if (isDispatched) {
            server.activeCalls().remove(callId, depth + 1, activeCall);
            long micros = (context.nanoTime().getAsLong() - dispatchNanos) / 1_000;
            context.usage()
                    .dispatchEnded(new DispatchUsage(
                            party.name(),
                            service.name(),
                            route.name(),
                            CallHeaders.parseCount(headers, CallHeaders.ATTEMPT, 1, CallHeaders.MAX_DEPTH),
                            depth,
                            micros));
        }
        releaseSuspectSlot();
        if (previousState == HOLDS_SLOT) {
            server.admission().release();
        } else if (queuedCall != null) {
            server.admission().cancel(queuedCall);
        }
    }

    private void releaseSuspectSlot() {
        if (holdsSuspectSlot.compareAndSet(true, false)) {
            server.suspectSlot().release();
        }
    }

    private void finish() {
        release();
        boolean isInHomeRegion =
                HomeRegions.allows(homeRegions, context.location().region());
        String serviceLabel = isInHomeRegion ? service == null ? "" : service.name() : CallMeters.REGION_BOUND;
        span.tag("service", serviceLabel);
        span.tag("outcome", outcome.headerValue());
        span.end();
        long nanos = context.nanoTime().getAsLong() - startNanos;
        server.meters().recordCall(serviceLabel, outcome, reason, isDispatched ? 1 : 0, nanos);
        server.onCallFinished();
    }

    private final class QueuedIngressCall extends QueuedCall {
        private final MonoSink<Void> sink;

        QueuedIngressCall(MonoSink<Void> sink) {
            super(
                    party.name(),
                    party.agreedSharePercent(),
                    route.importance(),
                    party.importance(),
                    depth == 0 ? deadlineNanos : Math.min(deadlineNanos, startNanos + MAX_NESTED_WAIT_NANOS));
            this.sink = sink;
        }

        @Override
        protected void onAdmitted() {
            if (slotState.compareAndSet(NEW, HOLDS_SLOT)) {
                sink.success();
            } else {
                server.admission().release();
            }
        }

        @Override
        protected void onRefused(RefusalReason refusalReason) {
            boolean exceededNestedWait = refusalReason == RefusalReason.DEADLINE && remainingNanos() > 0;
            sink.error(new RefusedException(exceededNestedWait ? RefusalReason.OVERLOADED : refusalReason));
        }
    }
}
