package io.jaywick.node.proxy;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import io.jaywick.core.admission.SuspectList;
import io.jaywick.core.admission.SuspectPolicy;
import io.jaywick.core.message.SuspectEntry;
import reactor.core.Disposable;
import reactor.core.scheduler.Schedulers;

/** Egress and ingress of one node, with the state that they share. */
public final class ProxyServer implements AutoCloseable {

    private static final long DRAIN_POLL_INTERVAL_MILLIS = 10;
    /**
     * Minimum time for which new calls are refused before the ports close. Callers that have not received a refusal yet
     * continue to send, and a refusal states a reason, which a closed port does not.
     */
    private static final long MIN_DRAIN_MILLIS = 1_000;

    private static final long NANOS_PER_MILLI = 1_000_000;

    private final ProxyContext context;
    private final SuspectList suspects;
    private final EgressServer egress;
    private final IngressServer ingress;

    /** Listens on addresses HOST:PORT; port 0 selects any free port. */
    public ProxyServer(ProxyContext context, String egressAddress, String ingressAddress, String targetAddress) {
        this.context = context;
        this.suspects = new SuspectList(context.location().region(), SuspectPolicy.SERIALIZED, context.nanoTime());
        ActiveCalls activeCalls = new ActiveCalls();
        this.ingress = new IngressServer(context, suspects, activeCalls, ingressAddress, targetAddress);
        this.egress = new EgressServer(context, suspects, activeCalls, egressAddress);
    }

    public EgressServer egress() {
        return egress;
    }

    public IngressServer ingress() {
        return ingress;
    }

    /** Returns the suspects that a digest to a peer in the given region may contain. */
    public List<SuspectEntry> suspectsFor(String peerRegion, int max) {
        return suspects.entriesFor(peerRegion, max);
    }

    /** Merges a suspect received in the digest of a peer. */
    public void mergeSuspect(SuspectEntry entry) {
        suspects.merge(entry);
    }

    /**
     * Shuts down gracefully: refuses new calls, and closes the ports when the calls in flight have ended or
     * {@code drainMillis} have passed. The future completes then.
     */
    public CompletableFuture<Void> shutDown() {
        ingress.shutDown();
        egress.shutDown();
        CompletableFuture<Void> completion = new CompletableFuture<>();
        long startNanos = context.nanoTime().getAsLong();
        long drainNanos = context.settings().drainMillis() * NANOS_PER_MILLI;
        long minDrainNanos = Math.min(drainNanos, MIN_DRAIN_MILLIS * NANOS_PER_MILLI);
        Disposable poll = context.timers()
                .schedulePeriodically(
                        () -> {
                            long elapsedNanos = context.nanoTime().getAsLong() - startNanos;
                            boolean isIdle = ingress.inFlight() == 0 && egress.inFlight() == 0;
                            if (elapsedNanos >= drainNanos || isIdle && elapsedNanos >= minDrainNanos) {
                                completion.complete(null);
                            }
                        },
                        0,
                        DRAIN_POLL_INTERVAL_MILLIS,
                        TimeUnit.MILLISECONDS);
        // Closing blocks until the sockets are closed, which a timer thread must not do.
        return completion.whenCompleteAsync(
                (ignored, error) -> {
                    poll.dispose();
                    close();
                },
                Schedulers.boundedElastic()::schedule);
    }

    /** Closes immediately and aborts all calls in flight. */
    @Override
    public void close() {
        egress.close();
        ingress.close();
    }
}
