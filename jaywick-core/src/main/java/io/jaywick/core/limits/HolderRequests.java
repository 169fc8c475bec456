package io.jaywick.core.limits;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

import io.jaywick.core.message.TokenGrant;
import io.jaywick.core.message.TokenRequest;

/**
 * Requests of one node to holders. A holder that did not answer in time is left out until it answers a probe, so that no
 * second call waits for it. Not thread-safe.
 */
final class HolderRequests {

    /** Time before the first probe of a holder that did not answer; it doubles with each one without an answer. */
    private static final long MIN_AVOID_MILLIS = 500;

    /** A holder that is back is used again after this time at the latest, if there are calls. */
    private static final long MAX_AVOID_MILLIS = 2_000;

    private final LongSupplier nanoTime;
    private final QuotaTransport transport;
    private final QuotaListener listener;
    private final Map<String, Avoidance> avoidances = new HashMap<>();

    private record Avoidance(long millis, long probeNanos) {}

    HolderRequests(LongSupplier nanoTime, QuotaTransport transport, QuotaListener listener) {
        this.nanoTime = nanoTime;
        this.transport = transport;
        this.listener = listener;
    }

    /** Returns those of the hosts that are not left out, and probes the others from time to time. */
    List<String> reachable(List<String> hosts, String account, long timeoutMillis) {
        if (avoidances.isEmpty()) {
            return hosts;
        }
        long now = nanoTime.getAsLong();
        List<String> reachable = new ArrayList<>();
        for (String host : hosts) {
            Avoidance avoidance = avoidances.get(host);
            if (avoidance == null) {
                reachable.add(host);
            } else if (avoidance.probeNanos - now <= 0) {
                avoid(host, avoidance.millis);
                send(host, new TokenRequest(account, 0, 0, 0, false), grant -> {}, timeoutMillis);
            }
        }
        return reachable;
    }

    /**
     * Sends a request.
     *
     * @param answer gets null when there is no answer in time; a grant that comes later is passed on as well, unless it
     *     is of a holder that lends
     */
    void send(String host, TokenRequest request, TokenBorrowing.Answer answer, long timeoutMillis) {
        listener.requestSent(request.lend());
        Pending pending = new Pending(host, answer, !request.lend());
        transport.request(host, request, pending::answered);
        if (!pending.done) {
            transport.schedule(pending::timedOut, timeoutMillis);
        }
    }

    private void avoid(String host, long millis) {
        long probeNanos = nanoTime.getAsLong() + TimeUnit.MILLISECONDS.toNanos(millis);
        avoidances.put(host, new Avoidance(millis, probeNanos));
    }

    private final class Pending {
        private final String host;
        private final TokenBorrowing.Answer answer;
        private final boolean acceptsLate;
        private boolean done;

        Pending(String host, TokenBorrowing.Answer answer, boolean acceptsLate) {
            this.host = host;
            this.answer = answer;
            this.acceptsLate = acceptsLate;
        }

        void answered(TokenGrant grant) {
            if (grant != null) {
                avoidances.remove(host);
            }
            if (done && (grant == null || !acceptsLate)) {
                return;
            }
            done = true;
            if (grant == null) {
                failed();
            }
            answer.accept(grant);
        }

        void timedOut() {
            if (!done) {
                done = true;
                failed();
                answer.accept(null);
            }
        }

        private void failed() {
            Avoidance former = avoidances.get(host);
            avoid(host, former == null ? MIN_AVOID_MILLIS : Math.min(MAX_AVOID_MILLIS, 2 * former.millis));
            listener.holderUnreachable(host);
        }
    }
}
