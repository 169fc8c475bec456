package io.jaywick.core.retry;

import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import java.util.random.RandomGenerator;

/**
 * Admission control of executions whose calls to another service find no capacity there. An execution that fails because
 * a call of its own was refused has used a slot in vain and cannot be reported as not executed, so it is better refused
 * before it starts. For each service called and each priority of the executions, a share of the executions is admitted.
 * The share falls by a factor at most once in two intervals while too many calls are refused, and rises by a constant
 * otherwise.
 *
 * <p>Fewer executions do not help if targets shed at random whatever the load, or if other callers cause the load. The
 * share is therefore restored, and not reduced again for some seconds, unless the proportion of refused calls falls as
 * lack of capacity would explain. Calls that targets shed need clear evidence of that, because gates keep the load within
 * the capacity of their targets; calls that gates refuse are evidence themselves and need clear evidence against it. Not
 * thread-safe.
 */
public final class NestedCallAdmission {

    /** Longer than most executions, so that the calls of an interval follow from the share of the one before. */
    private static final long INTERVAL_MILLIS = 500;

    /** An interval with too few calls for a decision is extended up to this. */
    private static final long MAX_INTERVAL_MILLIS = 2_000;

    /** After this time without a call or an execution, what was counted before is ignored. */
    private static final long STALE_MILLIS = 2 * MAX_INTERVAL_MILLIS;

    /** With fewer calls, chance moves the proportion of refused ones by more than 0.11. */
    private static final int MIN_CALLS = 20;

    /** Enough for an increase, for a reduction at the end of an extended interval, and to undo one without effect. */
    private static final int MIN_CALLS_OF_ROUGH_DECISION = 8;

    /** Enough for an increase if none is refused or no reduction is possible. */
    private static final int MIN_CALLS_OF_INCREASE = 4;

    /** Proportion of refused calls that does not reduce the share; single refusals are part of a busy service. */
    private static final double ACCEPTABLE_REFUSED = 0.15;

    /** The same where most of them were shed by targets, which seldom shows lack of capacity. */
    private static final double ACCEPTABLE_SHED = 0.3;

    /** Greatest reduction in one step. */
    private static final double MIN_DECREASE_FACTOR = 0.5;

    /**
     * The first increase after a reduction. Each further one is greater by as much, so that the share stays near what the
     * capacity allows while it is short, and is back at 1 after 3 s in which calls find capacity.
     */
    private static final double INCREASE = 0.05;

    private static final double MAX_INCREASE = 0.2;

    /** At the lowest share a tenth of the executions still shows whether calls find capacity. */
    private static final double MIN_SHARE = 0.1;

    /**
     * A decrease of the proportion of refused calls that can be told from chance. Reductions are judged once lack of
     * capacity would explain one of this size, or once it would explain that no calls are refused any more and the share
     * is at most {@link #JUDGED_SHARE}.
     */
    private static final double JUDGED_DECREASE = 0.3;

    private static final double JUDGED_SHARE = 0.6;

    /** Part of the explained decrease that shows that capacity is what is missing: clear evidence against it. */
    private static final double MIN_EFFECT_IF_REFUSED = 0.15;

    /** Clear evidence for it. */
    private static final double MIN_EFFECT_IF_SHED = 0.6;

    /** Time without reductions after some that had no effect; it doubles with each further time. */
    private static final long INITIAL_HOLD_MILLIS = 6_000;

    private static final long MAX_HOLD_MILLIS = 24_000;

    /** A mean number of calls that decays towards 0 does not count as a call. */
    private static final double MIN_CALLS_PER_EXECUTION = 0.01;

    private static final double NANOS_PER_MILLI = 1_000_000;

    private final LongSupplier nanoTime;
    private final RandomGenerator random;
    private final Listener listener;
    private final Map<Key, State> states = new HashMap<>();

    /** How a call that was made for an execution ended. */
    public enum Outcome {
        /** A target answered it, whatever the status. */
        ANSWERED,
        /** Nodes refused it for lack of capacity. */
        REFUSED,
        /** Targets refused it. */
        SHED
    }

    /** Is told of each change of a share. */
    @FunctionalInterface
    public interface Listener {

        /**
         * A share has changed.
         *
         * @param priority of the executions; 0 is the highest
         * @param share admitted share of the executions, from 0 to 1
         * @param refusedCalls proportion of the calls that found no capacity in the last interval
         */
        void shareChanged(String service, int priority, double previousShare, double share, double refusedCalls);
    }

    private record Key(String service, int priority) {}

    private static final class State {
        private double share = 1;
        private long intervalStartNanos;
        private int calls;
        private int refused;
        private int shed;
        private int increases;
        private boolean settling;
        private boolean firstReduction;
        /** Proportion of refused calls when all executions were admitted. */
        private double refusedBefore;

        private boolean holding;
        private long holdUntilNanos;
        private long holdMillis = INITIAL_HOLD_MILLIS;

        private State(long nowNanos) {
            this.intervalStartNanos = nowNanos;
        }

        private boolean isHolding(long nowNanos) {
            holding = holding && nowNanos - holdUntilNanos < 0;
            return holding;
        }
    }

    public NestedCallAdmission(LongSupplier nanoTime, RandomGenerator random, Listener listener) {
        this.nanoTime = nanoTime;
        this.random = random;
        this.listener = listener;
    }

    /**
     * Counts a call that was made for an execution and has ended.
     *
     * @param priority of the execution
     */
    public void recordCall(String service, int priority, Outcome outcome) {
        long now = nanoTime.getAsLong();
        Key key = new Key(service, priority);
        State state = states.computeIfAbsent(key, absent -> new State(now));
        advance(key, state, now);
        state.calls++;
        state.refused += outcome == Outcome.REFUSED ? 1 : 0;
        state.shed += outcome == Outcome.SHED ? 1 : 0;
    }

    /**
     * Decides whether an execution may start.
     *
     * @param callsPerExecution mean number of calls that such an execution makes, by service
     */
    public boolean tryAdmit(Map<String, Double> callsPerExecution, int priority) {
        double share = share(callsPerExecution, priority);
        return share >= 1 || random.nextDouble() < share;
    }

    /**
     * Returns the admitted share of the executions that make the given calls. An execution that makes a call in one of
     * ten cases is refused a tenth as often as one that always makes it.
     */
    public double share(Map<String, Double> callsPerExecution, int priority) {
        double lowest = 1;
        for (Map.Entry<String, Double> entry : callsPerExecution.entrySet()) {
            double calls = entry.getValue();
            if (calls >= MIN_CALLS_PER_EXECUTION) {
                double share = share(new Key(entry.getKey(), priority));
                lowest = Math.min(lowest, 1 - Math.min(1, calls) * (1 - share));
            }
        }
        return lowest;
    }

    /** Returns the lowest share of the executions that call a service, over all priorities. */
    public double lowestShare(String service) {
        double lowest = 1;
        for (Key key : states.keySet()) {
            if (key.service.equals(service)) {
                lowest = Math.min(lowest, share(key));
            }
        }
        return lowest;
    }

    private double share(Key key) {
        State state = states.get(key);
        if (state == null) {
            return 1;
        }
        advance(key, state, nanoTime.getAsLong());
        return state.share;
    }

    /** Ends the interval if it is over, and decides on the share from its calls. */
    private void advance(Key key, State state, long now) {
        double elapsedMillis = (now - state.intervalStartNanos) / NANOS_PER_MILLI;
        if (elapsedMillis < INTERVAL_MILLIS) {
            return;
        }
        double previousShare = state.share;
        double refused = state.calls == 0 ? 0 : (double) (state.refused + state.shed) / state.calls;
        if (elapsedMillis >= STALE_MILLIS || state.calls == 0 && elapsedMillis >= MAX_INTERVAL_MILLIS) {
            // Nothing is known of the present any more, so that the share rises with time.
            state.settling = false;
            state.share = Math.min(1, state.share + MAX_INCREASE * elapsedMillis / INTERVAL_MILLIS);
        } else if (state.settling) {
            // Executions that were admitted before the reduction made the calls of this interval.
            state.settling = false;
            if (state.firstReduction && state.calls >= MIN_CALLS_OF_ROUGH_DECISION) {
                // The interval before may have begun before the overload.
                state.refusedBefore = Math.max(state.refusedBefore, refused);
            }
            state.firstReduction = false;
        } else if (state.calls >= minCalls(state, refused, now)) {
            decide(state, refused, now);
        } else if (elapsedMillis < MAX_INTERVAL_MILLIS) {
            return;
        } else if (state.calls >= MIN_CALLS_OF_ROUGH_DECISION && state.refused > state.shed) {
            decide(state, refused, now);
        } else {
            increase(state);
        }
        state.intervalStartNanos = now;
        state.calls = 0;
        state.refused = 0;
        state.shed = 0;
        if (state.share != previousShare) {
            listener.shareChanged(key.service, key.priority, previousShare, state.share, refused);
        }
    }

    /** Returns how many calls suffice for a decision before the interval is extended. */
    private static int minCalls(State state, double refused, long now) {
        if (state.isHolding(now) || refused == 0) {
            return MIN_CALLS_OF_INCREASE;
        }
        boolean isReducedForShed = state.share < 1 && state.shed > state.refused;
        return refused <= ACCEPTABLE_REFUSED || isReducedForShed ? MIN_CALLS_OF_ROUGH_DECISION : MIN_CALLS;
    }

    private static void decide(State state, double refused, long now) {
        boolean isShed = state.shed > state.refused;
        if (refused <= (isShed ? ACCEPTABLE_SHED : ACCEPTABLE_REFUSED)) {
            if (state.share < 1 && !state.isHolding(now)) {
                state.holdMillis = INITIAL_HOLD_MILLIS;
            }
            increase(state);
        } else if (state.isHolding(now)) {
            increase(state);
        } else if (state.share >= 1 || hasHelped(state, refused, isShed ? MIN_EFFECT_IF_SHED : MIN_EFFECT_IF_REFUSED)) {
            reduce(state, refused);
        } else {
            stopReducing(state, now);
            if (isShed) {
                state.share = 1;
            } else {
                // Nodes that are wrong about this one after the other would otherwise bring the whole load back.
                increase(state);
            }
        }
    }

    /** Whether reductions lowered the proportion of refused calls as lack of capacity would explain, or may still do so. */
    private static boolean hasHelped(State state, double refused, double minEffect) {
        double explained = Math.max(0, 1 - (1 - state.refusedBefore) / state.share);
        double explainedDecrease = state.refusedBefore - explained;
        boolean isJudged = explainedDecrease >= JUDGED_DECREASE || explained == 0 && state.share <= JUDGED_SHARE;
        return !isJudged || state.refusedBefore - refused >= minEffect * explainedDecrease;
    }

    private static void stopReducing(State state, long now) {
        state.holding = true;
        state.holdUntilNanos = now + TimeUnit.MILLISECONDS.toNanos(state.holdMillis);
        state.holdMillis = Math.min(MAX_HOLD_MILLIS, 2 * state.holdMillis);
    }

    private static void reduce(State state, double refused) {
        if (state.share <= MIN_SHARE) {
            // Only reductions from a higher share show whether they still have an effect.
            increase(state);
            return;
        }
        if (state.share >= 1) {
            state.refusedBefore = refused;
            state.firstReduction = true;
        }
        state.increases = 0;
        state.settling = true;
        state.share = Math.max(MIN_SHARE, state.share * Math.max(MIN_DECREASE_FACTOR, 1 - refused));
    }

    private static void increase(State state) {
        state.increases++;
        state.share = Math.min(1, state.share + Math.min(MAX_INCREASE, INCREASE * state.increases));
    }
}
