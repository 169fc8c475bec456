package io.jaywick.node.proxy;

import java.time.Duration;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

import io.jaywick.core.admission.AdmissionController;
import io.jaywick.core.admission.CrashIdGenerator;
import io.jaywick.core.admission.SuspectList;
import io.jaywick.core.admission.SuspectSlot;
import io.jaywick.core.retry.IdempotencyKeyRegistry;
import io.jaywick.core.retry.KeyHomeHistory;
import io.jaywick.core.snapshot.Route;
import io.jaywick.core.snapshot.Service;
import io.jaywick.core.snapshot.Snapshot;
import io.jaywick.core.snapshot.WeightedService;
import io.netty.handler.codec.http.HttpMethod;
import reactor.core.Disposable;
import reactor.core.publisher.Mono;

/** Accepts the calls of other nodes for the local target and makes the final decision on the admission of each. */
public final class IngressServer implements AutoCloseable {

    /**
     * Path under which the target reports {@code serving} or {@code draining}, that is, whether it accepts new calls.
     */
    public static final String TARGET_STATE_PATH = "/jaywick/state";

    private static final String DRAINING = "draining";
    /** Maximum time until a passed deadline or an increase of the ramp takes effect on queued calls. */
    private static final long DISPATCH_INTERVAL_MILLIS = 20;
    /** A draining target must be detected well within 3 s. */
    private static final long STATE_POLL_INTERVAL_MILLIS = 500;
    /** Upper bound only; the number of admitted calls limits the loopback connections. */
    private static final int MAX_TARGET_CONNECTIONS = 1_024;

    private final ProxyContext context;
    private final SuspectList suspects;
    private final ActiveCalls activeCalls;
    private final String targetAddress;
    private final AdmissionController admission;
    private final IdempotencyKeyRegistry idempotencyKeys;
    private final KeyHomeHistory keyHomeHistory;
    private final SuspectSlot suspectSlot = new SuspectSlot();
    private final CrashIdGenerator crashIdGenerator;
    private final CallMeters meters;
    private final UpstreamClient upstream;
    private final HttpListener listener;
    private final AtomicInteger inFlight = new AtomicInteger();
    private final Disposable dispatchTimer;
    private final Disposable statePoll;
    private volatile Snapshot activeSnapshot;
    private volatile boolean isClosing;

    IngressServer(
            ProxyContext context, SuspectList suspects, ActiveCalls activeCalls, String address, String targetAddress) {
        this.context = context;
        this.suspects = suspects;
        this.activeCalls = activeCalls;
        this.targetAddress = targetAddress;
        String server = context.location().server();
        this.admission = new AdmissionController(
                server, context.settings().queueCapacity(), context.settings().rampMillis(), context.nanoTime());
        this.idempotencyKeys = new IdempotencyKeyRegistry(
                context.settings().keyWindowMillis(), context.settings().keyCapacity(), context.clock());
        this.keyHomeHistory = new KeyHomeHistory(server, context.settings().keyWindowMillis(), context.clock());
        this.crashIdGenerator = new CrashIdGenerator(
                server + "-" + Long.toHexString(context.random().nextLong()));
        this.meters = new CallMeters("ingress", context.meters());
        this.upstream = new UpstreamClient("ingress-" + server, MAX_TARGET_CONNECTIONS);
        this.listener = new HttpListener(address, (request, response) -> {
            inFlight.incrementAndGet();
            return new IngressCall(this, request, response).run();
        });
        this.dispatchTimer = context.timers()
                .schedulePeriodically(
                        this::dispatchQueued,
                        DISPATCH_INTERVAL_MILLIS,
                        DISPATCH_INTERVAL_MILLIS,
                        TimeUnit.MILLISECONDS);
        this.statePoll = context.timers()
                .schedulePeriodically(this::pollTargetState, 0, STATE_POLL_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
    }

    /** Returns the bound port. */
    public int port() {
        return listener.port();
    }

    /** Returns the admission control of the target, with its load, concurrency limit and state. */
    public AdmissionController admission() {
        return admission;
    }

    /** Refuses new and queued calls; calls at the target continue. */
    public void shutDown() {
        isClosing = true;
        admission.shutDown();
    }

    public int inFlight() {
        return inFlight.get();
    }

    @Override
    public void close() {
        shutDown();
        dispatchTimer.dispose();
        statePoll.dispose();
        listener.close();
        upstream.close();
    }

    static boolean hasService(Route route, Service service) {
        for (WeightedService weighted : route.services()) {
            if (weighted.service().name().equals(service.name())) {
                return true;
            }
        }
        return false;
    }

    /**
     * Activates and returns the current table, null before the first. Every call and the dispatch timer check for a new
     * table, so that no change depends on a listener.
     */
    Snapshot activateSnapshot() {
        Snapshot snapshot = context.snapshots().get();
        if (snapshot != null && snapshot != activeSnapshot) {
            admission.activate(snapshot);
            keyHomeHistory.activate(snapshot);
            activeSnapshot = snapshot;
        }
        return snapshot;
    }

    Load load() {
        return new Load(admission.inFlight() + admission.queued(), admission.slots(), admission.limit());
    }

    ProxyContext context() {
        return context;
    }

    SuspectList suspects() {
        return suspects;
    }

    SuspectSlot suspectSlot() {
        return suspectSlot;
    }

    CrashIdGenerator crashIdGenerator() {
        return crashIdGenerator;
    }

    ActiveCalls activeCalls() {
        return activeCalls;
    }

    IdempotencyKeyRegistry idempotencyKeys() {
        return idempotencyKeys;
    }

    KeyHomeHistory keyHomeHistory() {
        return keyHomeHistory;
    }

    CallMeters meters() {
        return meters;
    }

    UpstreamClient upstream() {
        return upstream;
    }

    String targetAddress() {
        return targetAddress;
    }

    boolean isClosing() {
        return isClosing;
    }

    void onCallFinished() {
        inFlight.decrementAndGet();
    }

    private void dispatchQueued() {
        activateSnapshot();
        if (admission.queued() > 0) {
            admission.dispatch();
        }
    }

    /**
     * Polls the state of the target. A failed poll leaves the last state unchanged, because the results of calls are a
     * better indication than a failed poll.
     */
    private void pollTargetState() {
        upstream.exchange(
                        targetAddress,
                        HttpMethod.GET,
                        TARGET_STATE_PATH,
                        headers -> {},
                        new RequestBody(new byte[0], null),
                        () -> {},
                        (response, content) -> response.status().code() == 200
                                ? content.aggregate().asString().defaultIfEmpty("")
                                : content.then(Mono.empty()))
                .timeout(Duration.ofMillis(STATE_POLL_INTERVAL_MILLIS), context.timers())
                .subscribe(state -> admission.setTargetDraining(state.trim().equals(DRAINING)), error -> {});
    }
}
