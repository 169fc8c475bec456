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

/** One call for the target beside the node. */
final class IngressCall {

    private static final long NANOS_PER_MILLI = 1_000_000;
    /**
     * A waiting nested call holds the slots of all calls above it. Without a bound, deep calls that wait for each other
     * hold all slots until their deadlines.
     */
    private static final long NESTED_WAIT_NANOS = 100 * NANOS_PER_MILLI;

    private static final int NEW = 0;
    private static final int HOLDS_SLOT = 1;
    private static final int DONE = 2;

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
    private final AtomicInteger slot = new AtomicInteger(NEW);
    private final AtomicBoolean inLane = new AtomicBoolean();
    private Party party;
    private Route route;
    private Service service;
    private Set<String> homeRegions = Set.of();
    private String fingerprint;
    private QueuedCall waiter;
    private ActiveCalls.ActiveCall active;
    private boolean keyRecorded;
    private volatile boolean dispatched;
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
        this.callId = CallHeaders.callId(headers, context.clock().millis(), context.random());
        this.depth = CallHeaders.count(headers, CallHeaders.DEPTH, 0, CallHeaders.MAX_DEPTH);
        this.key = CallHeaders.name(headers, CallHeaders.IDEMPOTENCY_KEY);
        this.snapshot = server.adoptSnapshot();
        RefusalReason unresolved = resolve();
        this.deadlineNanos = startNanos + budgetNanos();
        this.span = HopSpan.start(context.tracer(), "ingress", Span.Kind.SERVER, headers.get(CallHeaders.TRACE_PARENT));
        this.refusal = unresolved != null ? unresolved : refusal();
    }

    private final RefusalReason refusal;

    Mono<Void> run() {
        Mono<Void> whole = refusal != null ? refuse(refusal) : admitted().then(Mono.defer(this::dispatch));
        return whole.onErrorResume(RefusedException.class, refused -> refuse(refused.reason()))
                .doFinally(signal -> finish());
    }

    private RefusalReason resolve() {
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
        if (route == null || service == null || !IngressServer.serves(route, service)) {
            return RefusalReason.NO_ROUTE;
        }
        homeRegions = HomeRegions.intersection(route.homeRegions(), service.homeRegions(), party.homeRegions());
        return HomeRegions.allows(homeRegions, context.location().region()) ? null : RefusalReason.OUTSIDE_HOME_REGIONS;
    }

    private RefusalReason refusal() {
        RefusalReason closed = server.admission().closedReason();
        if (closed != null) {
            return closed;
        }
        if (remainingNanos() <= 0) {
            return RefusalReason.DEADLINE;
        }
        boolean keyed = isKeyed();
        fingerprint = Fingerprint.of(route.name(), party.name(), keyed ? key : callId);
        List<String> crashIds = CallHeaders.crashIds(headers);
        if (!crashIds.isEmpty()) {
            server.suspects()
                    .merge(new SuspectEntry(
                            fingerprint, crashIds, List.copyOf(homeRegions), EgressServer.SUSPECT_MILLIS));
        }
        if (server.suspects().isBlocked(fingerprint)) {
            return RefusalReason.SUSPECT;
        }
        if (!keyed) {
            return null;
        }
        if (!context.location().server().equals(KeyHomeHistory.homeOf(snapshot, request.uri(), party.name(), key))) {
            // The caller's table differs; only the key's home by this table knows whether the key was used.
            return RefusalReason.NO_TARGET;
        }
        return server.keys().isNew(party.name(), key, elsewhereUntilMillis()) ? null : RefusalReason.DUPLICATE_KEY;
    }

    private boolean isKeyed() {
        return key != null && !route.idempotent();
    }

    private long elsewhereUntilMillis() {
        return server.placements().otherHomeUntilMillis(request.uri(), party.name(), key);
    }

    private long budgetNanos() {
        long millis = CallHeaders.millis(headers, CallHeaders.DEADLINE_MILLIS, Long.MAX_VALUE);
        if (service != null) {
            millis = Math.min(millis, service.timeoutMillis());
        }
        return Math.min(millis, Integer.MAX_VALUE) * NANOS_PER_MILLI;
    }

    private long remainingNanos() {
        return deadlineNanos - context.nanoTime().getAsLong();
    }

    private Mono<Void> admitted() {
        return Mono.create(sink -> {
            waiter = new CallWaiter(sink);
            if (server.suspects().crashIds(fingerprint).isEmpty()) {
                server.admission().submit(waiter);
                return;
            }
            boolean entered = server.lane().acquire(() -> {
                inLane.set(true);
                if (slot.get() == DONE) {
                    leaveLane();
                } else {
                    server.admission().submit(waiter);
                }
            });
            if (!entered) {
                sink.error(new RefusedException(RefusalReason.OVERLOADED));
            }
        });
    }

    private Mono<Void> dispatch() {
        if (isKeyed() && !server.keys().tryRecord(party.name(), key, elsewhereUntilMillis())) {
            return refuse(RefusalReason.DUPLICATE_KEY);
        }
        keyRecorded = isKeyed();
        if (!UsageClaims.tryClaim(context.usage()::dispatchStarted)) {
            if (keyRecorded) {
                server.keys().forget(party.name(), key);
            }
            return refuse(RefusalReason.NO_RECORD);
        }
        long remaining = remainingNanos();
        active = new ActiveCalls.ActiveCall(deadlineNanos);
        server.activeCalls().add(callId, depth + 1, active);
        dispatchNanos = context.nanoTime().getAsLong();
        dispatched = true;
        AtomicBoolean sent = new AtomicBoolean();
        return server.upstream()
                .exchange(
                        server.targetAddress(),
                        request.method(),
                        request.uri(),
                        this::fillHeaders,
                        RequestBody.streamed(request),
                        () -> sent.set(true),
                        this::receive)
                .timeout(Duration.ofNanos(Math.max(1, remaining)), context.timers())
                .onErrorResume(error -> Mono.just(failed(error, sent.get())))
                .flatMap(this::deliver);
    }

    private void fillHeaders(HttpHeaders out) {
        Relay.copy(headers, out);
        out.set(CallHeaders.CALL_ID, callId);
        out.set(CallHeaders.DEADLINE_MILLIS, Math.max(1, remainingNanos() / NANOS_PER_MILLI));
        out.set(CallHeaders.DEPTH, depth + 1);
        String traceParent = span.traceParent();
        if (traceParent != null) {
            out.set(CallHeaders.TRACE_PARENT, traceParent);
        }
    }

    private Mono<CallEnd> receive(HttpClientResponse answer, ByteBufFlux content) {
        int status = answer.status().code();
        // A target that passes on the failure of a nested call is not overloaded itself.
        boolean shed = status == Relay.STATUS_UNAVAILABLE && !active.retriedBelow;
        if (Answer.isHeld(method, answer)) {
            return Answer.receive(method, answer, content).map(whole -> {
                wholeAnswer(status, shed);
                return CallEnd.answered(whole, shed, active.retriedBelow && status >= 500);
            });
        }
        if (Relay.length(answer.responseHeaders()) == -2) {
            return Mono.error(new AnswerCutException("the answer has neither a length nor chunks", null));
        }
        outcome = CallOutcome.ANSWERED;
        reason = "";
        response.status(answer.status());
        Relay.copy(answer.responseHeaders(), response.responseHeaders());
        response.header(CallHeaders.OUTCOME, outcome.headerValue());
        response.header(CallHeaders.LOAD, server.load().headerValue());
        return response.send(content.retain()).then().then(Mono.fromSupplier(() -> {
            wholeAnswer(status, shed);
            return CallEnd.streamed(0);
        }));
    }

    private void wholeAnswer(int status, boolean shed) {
        if (shed) {
            server.admission().recordTargetRefusal();
        } else if (status < 500) {
            server.admission().recordAnswer(route.name(), dispatchNanos);
        }
        if (!server.suspects().crashIds(fingerprint).isEmpty()) {
            server.suspects().clear(fingerprint);
        }
    }

    private CallEnd failed(Throwable error, boolean sent) {
        if (error instanceof ConnectFailedException || !sent) {
            if (keyRecorded) {
                server.keys().forget(party.name(), key);
            }
            if (error instanceof TimeoutException) {
                return CallEnd.refused(RefusalReason.DEADLINE);
            }
            server.admission().recordTargetLoss();
            return CallEnd.refused(RefusalReason.NO_TARGET);
        }
        if (error instanceof TimeoutException) {
            return CallEnd.timedOut();
        }
        server.admission().recordTargetLoss();
        String crashId =
                server.episodes().crashId(dispatchNanos, context.nanoTime().getAsLong());
        server.suspects().recordCrash(fingerprint, crashId, homeRegions);
        return CallEnd.lost(
                error instanceof AnswerCutException ? CallHeaders.ANSWER_CUT : CallHeaders.CONNECTION_LOST,
                active.retriedBelow);
    }

    private Mono<Void> deliver(CallEnd end) {
        outcome = end.outcome();
        reason = end.reason();
        // The slot is free as soon as the target is done, however slowly the caller reads.
        release();
        if (end.delivered()) {
            return Mono.empty();
        }
        if (response.hasSentHeaders()) {
            return Mono.error(new AnswerCutException("answer cut after its headers were sent", null));
        }
        addHeaders();
        if (end.retriedBelow()) {
            response.header(CallHeaders.RETRIED, "1");
        }
        if (outcome == CallOutcome.UNKNOWN) {
            addCrashes();
        }
        return end.answer() != null
                ? end.answer().send(response)
                : response.status(end.status()).send();
    }

    private Mono<Void> refuse(RefusalReason why) {
        outcome = CallOutcome.NOT_RUN;
        reason = why.headerValue();
        release();
        addHeaders();
        if (why == RefusalReason.SUSPECT) {
            addCrashes();
        }
        response.status(Relay.STATUS_UNAVAILABLE);
        if (!request.requestHeaders().contains("content-length", "0", true)
                && (headers.contains("content-length") || headers.contains("transfer-encoding"))) {
            // Reads the body away, so that the connection can be used for the next request.
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

    private void addCrashes() {
        Set<String> ids = new LinkedHashSet<>(server.suspects().crashIds(fingerprint));
        if (!ids.isEmpty()) {
            response.header(CallHeaders.CRASHES, String.join(",", ids));
        }
    }

    /** Gives the slot back once, and tells the usage. Safe to call at any time and from any thread. */
    private void release() {
        int before = slot.getAndSet(DONE);
        if (before == DONE) {
            return;
        }
        if (dispatched) {
            server.activeCalls().remove(callId, depth + 1, active);
            long micros = (context.nanoTime().getAsLong() - dispatchNanos) / 1_000;
            context.usage()
                    .dispatchEnded(new DispatchUsage(
                            party.name(),
                            service.name(),
                            route.name(),
                            CallHeaders.count(headers, CallHeaders.ATTEMPT, 1, CallHeaders.MAX_DEPTH),
                            depth,
                            micros));
        }
        leaveLane();
        if (before == HOLDS_SLOT) {
            server.admission().release();
        } else if (waiter != null) {
            server.admission().cancel(waiter);
        }
    }

    private void leaveLane() {
        if (inLane.compareAndSet(true, false)) {
            server.lane().release();
        }
    }

    private void finish() {
        release();
        boolean home = HomeRegions.allows(homeRegions, context.location().region());
        String label = home ? service == null ? "" : service.name() : CallMeters.REGION_BOUND;
        span.tag("service", label);
        span.tag("outcome", outcome.headerValue());
        span.end();
        long nanos = context.nanoTime().getAsLong() - startNanos;
        server.meters().ended(label, outcome, reason, dispatched ? 1 : 0, nanos);
        server.ended();
    }

    private final class CallWaiter extends QueuedCall {
        private final MonoSink<Void> sink;

        CallWaiter(MonoSink<Void> sink) {
            super(
                    party.name(),
                    party.agreedSharePercent(),
                    route.importance(),
                    party.importance(),
                    depth == 0 ? deadlineNanos : Math.min(deadlineNanos, startNanos + NESTED_WAIT_NANOS));
            this.sink = sink;
        }

        @Override
        protected void onAdmitted() {
            if (slot.compareAndSet(NEW, HOLDS_SLOT)) {
                sink.success();
            } else {
                server.admission().release();
            }
        }

        @Override
        protected void onRefused(RefusalReason why) {
            boolean waitedTooLong = why == RefusalReason.DEADLINE && remainingNanos() > 0;
            sink.error(new RefusedException(waitedTooLong ? RefusalReason.OVERLOADED : why));
        }
    }
}
