package io.jaywick.node.proxy;

import java.util.concurrent.atomic.AtomicInteger;

import io.jaywick.core.admission.SuspectList;
import io.jaywick.core.retry.RetryPolicy;
import io.jaywick.core.routing.Router;

/** Accepts the calls of the local caller and forwards them to the nodes of the targets. */
public final class EgressServer implements AutoCloseable {

    static final long SUSPECT_MILLIS = SuspectList.EXPIRY_MILLIS;

    /** All callers share the connections that the table allows per server; a single node needs only a few of them. */
    private static final int MAX_CONNECTIONS_PER_NODE = 64;

    private final ProxyContext context;
    private final Router router;
    private final RetryPolicy retries = new RetryPolicy();
    private final SuspectList suspects;
    private final ActiveCalls activeCalls;
    private final CallMeters meters;
    private final UpstreamClient upstream;
    private final HttpListener listener;
    private final QuotaWait quotaWait;
    private final AtomicInteger inFlight = new AtomicInteger();
    private volatile boolean isClosing;

    EgressServer(ProxyContext context, SuspectList suspects, ActiveCalls activeCalls, String address) {
        this.context = context;
        this.suspects = suspects;
        this.activeCalls = activeCalls;
        this.router = new Router(
                context.location().dataCentre(), context.location().region(), context.random(), context.nanoTime());
        this.meters = new CallMeters("egress", context.meters());
        this.upstream = new UpstreamClient("egress-" + context.location().server(), MAX_CONNECTIONS_PER_NODE);
        this.quotaWait = new QuotaWait(context.quota(), context.timers());
        this.listener = new HttpListener(address, (request, response) -> {
            inFlight.incrementAndGet();
            return new EgressCall(this, request, response).run();
        });
    }

    QuotaWait quotaWait() {
        return quotaWait;
    }

    /** Returns the bound port. */
    public int port() {
        return listener.port();
    }

    /** Refuses new calls; calls in flight continue. */
    public void shutDown() {
        isClosing = true;
    }

    public int inFlight() {
        return inFlight.get();
    }

    @Override
    public void close() {
        isClosing = true;
        listener.close();
        upstream.close();
    }

    ProxyContext context() {
        return context;
    }

    Router router() {
        return router;
    }

    RetryPolicy retries() {
        return retries;
    }

    SuspectList suspects() {
        return suspects;
    }

    ActiveCalls activeCalls() {
        return activeCalls;
    }

    CallMeters meters() {
        return meters;
    }

    UpstreamClient upstream() {
        return upstream;
    }

    boolean isClosing() {
        return isClosing;
    }

    void onCallFinished() {
        inFlight.decrementAndGet();
    }
}
