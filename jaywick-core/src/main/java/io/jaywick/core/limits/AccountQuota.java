package io.jaywick.core.limits;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;

import io.jaywick.core.message.TokenGrant;
import io.jaywick.core.message.TokenRequest;

/**
 * The quota of one account at a node that sends its calls. A call takes a token that the node holds, or waits for the
 * holder's answer together with the other calls of its account; one request is open at a time. Not thread-safe.
 */
final class AccountQuota {

    /** The node that an account quota belongs to, with its links. */
    interface Node {
        long nanoTime();

        /** Returns the hosts to ask, in order, without those that recently did not answer. */
        List<String> reachableHolders(String account);

        /**
         * Sends a request to a holder.
         *
         * @param answer gets null when there is no answer in time, and the grant also when it comes later
         */
        void request(String host, TokenRequest request, TokenBorrowing.Answer answer);

        void schedule(Runnable task, long delayMillis);

        /** Takes a token of the bucket that is used while no holder is reachable. */
        boolean tryTakeFallback(String account);

        void overQuota(String account);
    }

    /** Time for whose expected calls a node asks a reserve, a little less than the life of a reserve. */
    private static final double RESERVE_SECONDS = 1.5;

    /** A larger reserve saves few messages and may expire unused. */
    private static final double MAX_RESERVE = 16;

    private static final double DEMAND_MEAN_SECONDS = 10;

    /** Returned tokens are used for calls that come within this time; the others are sent back to the holder together. */
    private static final long RETURN_DELAY_MILLIS = 100;

    /** Callers that are refused while no holder is reachable should not return before it can be asked again. */
    private static final long UNREACHABLE_RETRY_MILLIS = 1_000;

    /** Retry time of a call that waited too long; holders answer within this time after an overload of the node. */
    private static final long LATE_RETRY_MILLIS = 250;

    private final String account;
    private final Node node;
    private final LocalTokens tokens = new LocalTokens();
    private final DecayingRate demand;
    private final Deque<Waiting> waiting = new ArrayDeque<>();
    private Ask ask;
    private int returned;
    private boolean scarce;
    private long deniedUntilNanos;
    private boolean denied;

    private record Waiting(QuotaCall call) {}

    /** Requests for the same calls to one holder after the other, until one answers. */
    private static final class Ask {
        private final Set<String> asked = new HashSet<>();
        private String host;
    }

    AccountQuota(String account, Node node) {
        this.account = account;
        this.node = node;
        this.demand = new DecayingRate(DEMAND_MEAN_SECONDS, node.nanoTime());
    }

    /** Asks for a token; the call waits for at most the given time. */
    void admit(QuotaCall call, long maxWaitMillis) {
        long now = node.nanoTime();
        demand.add(1, now);
        if (tryTake(now)) {
            call.admitted();
            return;
        }
        if (denied && deniedUntilNanos - now > 0) {
            refuse(call, TimeUnit.NANOSECONDS.toMillis(deniedUntilNanos - now) + 1);
            return;
        }
        Waiting added = new Waiting(call);
        waiting.add(added);
        if (ask == null) {
            startAsk();
        }
        if (isWaiting(added)) {
            node.schedule(() -> waitEnded(added), maxWaitMillis);
        }
    }

    /** Removes a call that no longer waits for its token. */
    void cancel(QuotaCall call) {
        waiting.removeIf(waitingCall -> waitingCall.call == call);
    }

    /** Returns the token of a call that was refused, and has not reached a target. */
    void giveBack() {
        if (!waiting.isEmpty()) {
            waiting.poll().call.admitted();
            return;
        }
        returned++;
        if (returned == 1) {
            node.schedule(this::sendReturned, RETURN_DELAY_MILLIS);
        }
    }

    /** Drops the tokens that were granted under a former limit. */
    void limitChanged() {
        tokens.clear();
        denied = false;
    }

    /** Admits the calls that wait, because the account has no limit any more. */
    void close() {
        while (!waiting.isEmpty()) {
            waiting.poll().call.admitted();
        }
    }

    private boolean tryTake(long now) {
        if (returned > 0) {
            returned--;
            return true;
        }
        return tokens.tryTakeOne(now);
    }

    private boolean isWaiting(Waiting call) {
        return waiting.stream().anyMatch(other -> other == call);
    }

    private void startAsk() {
        ask = new Ask();
        askNext(ask);
    }

    private void askNext(Ask current) {
        String host = node.reachableHolders(account).stream()
                .filter(candidate -> !current.asked.contains(candidate))
                .findFirst()
                .orElse(null);
        if (host == null) {
            ask = null;
            useFallback();
            return;
        }
        current.asked.add(host);
        current.host = host;
        long sentNanos = node.nanoTime();
        TokenRequest request = new TokenRequest(account, waiting.size(), reserveWanted(sentNanos), 0, false);
        node.request(host, request, grant -> answered(current, host, request, sentNanos, grant));
    }

    private double reserveWanted(long now) {
        return Math.min(MAX_RESERVE, Math.floor(RESERVE_SECONDS * demand.perSecond(now)));
    }

    /** Asks the next holder; an answer of this one that comes later still brings its tokens. */
    private void noAnswer(Ask current, String host) {
        if (ask != current || !host.equals(current.host)) {
            return;
        }
        if (waiting.isEmpty()) {
            ask = null;
        } else {
            askNext(current);
        }
    }

    private void answered(Ask asked, String host, TokenRequest request, long sentNanos, TokenGrant grant) {
        if (grant == null || !grant.holder()) {
            noAnswer(asked, host);
            return;
        }
        tokens.add(grant.tokens(), sentNanos + TimeUnit.MILLISECONDS.toNanos(grant.lifeMillis()));
        tokens.add(grant.reserve(), sentNanos + TimeUnit.MILLISECONDS.toNanos(grant.reserveLifeMillis()));
        long now = node.nanoTime();
        while (!waiting.isEmpty() && tokens.tryTakeOne(now)) {
            waiting.poll().call.admitted();
        }
        scarce = grant.reserve() < request.reserve();
        if (ask != asked) {
            return;
        }
        ask = null;
        if (grant.tokens() < request.tokens()) {
            denied = true;
            deniedUntilNanos = now + TimeUnit.MILLISECONDS.toNanos(grant.retryMillis());
            refuseAll(grant.retryMillis());
        } else {
            denied = false;
            if (!waiting.isEmpty()) {
                startAsk();
            }
        }
    }

    private void useFallback() {
        while (!waiting.isEmpty()) {
            QuotaCall call = waiting.poll().call;
            if (node.tryTakeFallback(account)) {
                call.admitted();
            } else {
                call.refused(UNREACHABLE_RETRY_MILLIS);
            }
        }
    }

    private void refuseAll(long retryMillis) {
        for (Waiting call : new ArrayList<>(waiting)) {
            if (waiting.remove(call)) {
                refuse(call.call, retryMillis);
            }
        }
    }

    private void refuse(QuotaCall call, long retryMillis) {
        node.overQuota(account);
        call.refused(retryMillis);
    }

    private void waitEnded(Waiting call) {
        if (!waiting.removeIf(other -> other == call)) {
            return;
        }
        if (node.tryTakeFallback(account)) {
            call.call.admitted();
        } else {
            call.call.refused(LATE_RETRY_MILLIS);
        }
    }

    /** Sends the returned tokens back; while the account is far below its limit nobody needs them. */
    private void sendReturned() {
        int count = returned;
        returned = 0;
        List<String> holders = node.reachableHolders(account);
        if (count > 0 && scarce && !holders.isEmpty()) {
            node.request(holders.get(0), new TokenRequest(account, 0, 0, count, false), grant -> {});
        }
    }
}
