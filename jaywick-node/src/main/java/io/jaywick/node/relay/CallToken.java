package io.jaywick.node.relay;

import java.util.function.LongConsumer;
import java.util.random.RandomGenerator;

import io.jaywick.core.limits.QuotaCall;
import io.jaywick.core.rules.ClientAccount;

/** The token that one call takes from the quota of its account; a call without an account needs none. */
final class CallToken implements QuotaCall {

    /** A call waits for a token for at most a quarter of its objective, within bounds. */
    private static final long WAIT_DIVISOR = 4;

    /** A holder in another region that has to borrow answers within this time. */
    private static final long MIN_WAIT_MILLIS = 100;

    private static final long MAX_WAIT_MILLIS = 300;

    /** Callers that return sooner would mostly be refused again, and each refusal costs as much as a request. */
    private static final long MIN_RETRY_MILLIS = 100;

    private final AccountQuotas quotas;
    private final ClientAccount account;
    private final Runnable onAdmitted;
    private final LongConsumer onRefused;
    private State state = State.NONE;

    private enum State {
        NONE,
        WAITING,
        HELD
    }

    /**
     * Creates a token that is not taken yet.
     *
     * @param account may be null
     * @param onRefused gets the milliseconds until tokens are expected
     */
    CallToken(AccountQuotas quotas, ClientAccount account, Runnable onAdmitted, LongConsumer onRefused) {
        this.quotas = quotas;
        this.account = account;
        this.onAdmitted = onAdmitted;
        this.onRefused = onRefused;
    }

    /** Takes the token; the call waits for it for at most the given time. */
    void take(long maxWaitMillis) {
        if (account == null || account.callsPerSecond() <= 0) {
            onAdmitted.run();
            return;
        }
        state = State.WAITING;
        quotas.admit(account.name(), maxWaitMillis, this);
    }

    @Override
    public void admitted() {
        state = State.HELD;
        onAdmitted.run();
    }

    @Override
    public void refused(long retryAfterMillis) {
        state = State.NONE;
        onRefused.accept(retryAfterMillis);
    }

    /**
     * Ends the use of the token.
     *
     * @param reachedTarget whether a target may have received the call; otherwise the token is returned
     */
    void callEnded(boolean reachedTarget) {
        if (state == State.WAITING) {
            quotas.cancel(account.name(), this);
        } else if (state == State.HELD && !reachedTarget) {
            quotas.giveBack(account.name());
        }
        state = State.NONE;
    }

    /** Returns how long a call with the given latency objective waits for its token. */
    static long maxWaitMillis(long objectiveMillis) {
        return Math.min(Math.max(objectiveMillis / WAIT_DIVISOR, MIN_WAIT_MILLIS), MAX_WAIT_MILLIS);
    }

    /** Returns the retry time of a refused call, with jitter: callers refused together would otherwise retry together. */
    static long retryAfterMillis(long expectedMillis, RandomGenerator random) {
        long millis = Math.max(MIN_RETRY_MILLIS, expectedMillis);
        return millis + random.nextLong(millis / 2 + 1);
    }
}
