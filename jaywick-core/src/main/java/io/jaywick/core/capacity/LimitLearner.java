package io.jaywick.core.capacity;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;

/**
 * Learns the concurrency limit of a target by short trials while it is saturated. The limit is one of a few steps
 * between the slots and a floor, each about three quarters of the one before. With the limit at a step, trials compare it
 * with the next lower one, rarely, and with the next higher one, every second or two. Not thread-safe.
 */
final class LimitLearner {

    private static final double NANOS_PER_MILLI = 1_000_000;

    private static final double STEP = 0.75;

    private static final int MIN_LIMIT = 2;

    /** The limit is at least the slots divided by this. */
    private static final int MAX_REDUCTION = 4;

    /** Length of a phase of a trial in average service times: most calls then run under one limit only. */
    private static final double PHASE_SERVICE_TIMES = 2.5;

    private static final long MIN_PHASE_NANOS = 150_000_000L;

    private static final long MAX_PHASE_NANOS = 800_000_000L;

    /** With longer phases a lowered target would be probed upwards less often than every two seconds. */
    private static final long MAX_LOWERED_PHASE_NANOS = 500_000_000L;

    /** Shorter upwards, because a probe that fails costs throughput. */
    private static final double UPWARD_PHASE_SERVICE_TIMES = 2;

    /** Phases from one downward trial to the next, so that a target with all its slots in use keeps nearly all. */
    private static final int DOWNWARD_INTERVAL_PHASES = 45;

    /** Time from the start of an upward trial to the next. */
    private static final long UPWARD_INTERVAL_NANOS = 2_000_000_000L;

    /** Downward trials ahead of their time that may follow one whose result is unclear. */
    private static final int MAX_FURTHER_TRIALS = 3;

    /** Upward trials before a downward one, which does not postpone the next upward one. */
    private static final int UPWARD_TRIALS = 3;

    /** Without a comparison in this time the limit is raised by a step. */
    private static final long MAX_UNPROVEN_NANOS = 4_000_000_000L;

    private final List<ThroughputEvidence> evidence = new ArrayList<>();
    private final List<Integer> steps = new ArrayList<>();
    private final List<PendingTrial> ending = new ArrayList<>();
    private int step;
    private PendingTrial trial;
    private boolean hasNextTrial;
    private long nextTrialNanos;
    private long changedNanos;
    private int upwardTrials;
    private long moves;
    private int furtherTrials;
    private boolean furtherTrialDue;

    /** A trial that compares a step with the next lower one. */
    private record PendingTrial(ConcurrencyTrial trial, int higherStep) {}

    LimitLearner(int slots) {
        setSlots(slots);
    }

    /** Discards what was learned if the number of slots has changed. */
    void setSlots(int slots) {
        if (!steps.isEmpty() && steps.get(0) == slots) {
            return;
        }
        steps.clear();
        evidence.clear();
        int floor = Math.max(MIN_LIMIT, (slots + MAX_REDUCTION - 1) / MAX_REDUCTION);
        steps.add(slots);
        for (int limit = nextLower(slots); limit >= floor; limit = nextLower(limit)) {
            steps.add(limit);
            evidence.add(new ThroughputEvidence());
        }
        discard();
    }

    private static int nextLower(int limit) {
        return Math.min(limit - 1, (int) Math.round(limit * STEP));
    }

    /** Returns to all slots without evidence. */
    void discard() {
        moves += step == 0 ? 0 : 1;
        step = 0;
        upwardTrials = 0;
        hasNextTrial = false;
        evidence.forEach(ThroughputEvidence::clear);
        abandonTrials();
    }

    /** Drops the trials that are under way, for example after a pause of the process. */
    void abandonTrials() {
        trial = null;
        ending.clear();
    }

    int limit() {
        return steps.get(step);
    }

    /** Returns the limit now, which differs from {@link #limit} while another one is probed. */
    int limitNow(long nowNanos) {
        return trial == null ? limit() : trial.trial.limit(nowNanos);
    }

    long moves() {
        return moves;
    }

    /** Returns the factor by which service times at the limit, or at the next step, exceed those a step below. */
    double inflationFactor(long nowNanos) {
        int pair = Math.min(Math.max(0, step - 1), evidence.size() - 1);
        return evidence.isEmpty() ? Double.NaN : evidence.get(pair).inflationFactor(nowNanos);
    }

    /** Adds a call that starts now to the trial under way; returns null when there is none. */
    ConcurrencyTrial.Sample start(String route, int running, double averageLogMillis, long nowNanos, double callNanos) {
        return trial == null || Double.isNaN(averageLogMillis)
                ? null
                : trial.trial.start(route, running, averageLogMillis, nowNanos, callNanos);
    }

    /** Records how many calls ran since the last observation. */
    void observe(long fromNanos, long toNanos, int running) {
        if (trial != null) {
            trial.trial.observe(fromNanos, toNanos, running);
        }
    }

    /**
     * Ends and starts trials and moves the limit.
     *
     * @param saturated whether calls wait while as many run as the limit allows
     * @param serviceMillis average service time of recent calls, NaN when unknown
     * @param callNanos total running time of all calls so far
     */
    void update(boolean saturated, double serviceMillis, long nowNanos, double callNanos) {
        if (trial != null && nowNanos - trial.trial.endNanos() >= 0) {
            if (trial.trial.isValid()) {
                ending.add(trial);
            }
            trial = null;
        }
        boolean decided = collectResults(nowNanos, callNanos);
        if (decided || step > 0) {
            moveLimit(nowNanos);
        }
        if (trial == null
                && saturated
                && !Double.isNaN(serviceMillis)
                && steps.size() > 1
                && (!hasNextTrial || furtherTrialDue || nowNanos - nextTrialNanos >= 0)) {
            startTrial(serviceMillis, nowNanos);
        }
    }

    private boolean collectResults(long nowNanos, double callNanos) {
        boolean found = false;
        for (Iterator<PendingTrial> pending = ending.iterator(); pending.hasNext(); ) {
            PendingTrial ended = pending.next();
            if (ended.trial.isComplete(nowNanos)) {
                pending.remove();
                TrialResult result = ended.trial.result(nowNanos, callNanos);
                if (result != null) {
                    ThroughputEvidence pair = evidence.get(ended.higherStep);
                    pair.add(result);
                    pair.expire(nowNanos);
                    found = true;
                    if (ended.higherStep == step
                            && furtherTrials < MAX_FURTHER_TRIALS
                            && pair.suggestsNoGain(nowNanos)) {
                        furtherTrials++;
                        furtherTrialDue = true;
                    }
                }
            }
        }
        return found;
    }

    private void moveLimit(long nowNanos) {
        if (step < evidence.size() && evidence.get(step).showsNoGain(nowNanos)) {
            move(step + 1, nowNanos);
        } else if (step > 0) {
            ThroughputEvidence pair = evidence.get(step - 1);
            boolean unproven =
                    !pair.isNewerThan(MAX_UNPROVEN_NANOS, nowNanos) && nowNanos - changedNanos > MAX_UNPROVEN_NANOS;
            if (unproven || pair.showsGain(nowNanos)) {
                pair.clear();
                move(step - 1, nowNanos);
            }
        }
    }

    private void move(int newStep, long nowNanos) {
        if (newStep > step) {
            evidence.get(step).markLowered(nowNanos);
        }
        step = newStep;
        moves++;
        furtherTrials = 0;
        furtherTrialDue = false;
        changedNanos = nowNanos;
        upwardTrials = 0;
        nextTrialNanos = nowNanos;
        trial = null;
    }

    private void startTrial(double serviceMillis, long nowNanos) {
        boolean canLower = step < evidence.size();
        boolean isDue = !hasNextTrial || nowNanos - nextTrialNanos >= 0;
        boolean upward = step > 0 && (isDue || !canLower);
        double serviceTimes = upward ? UPWARD_PHASE_SERVICE_TIMES : PHASE_SERVICE_TIMES;
        long maxPhaseNanos = step > 0 ? MAX_LOWERED_PHASE_NANOS : MAX_PHASE_NANOS;
        long phaseNanos = (long) (serviceTimes * serviceMillis * NANOS_PER_MILLI);
        phaseNanos = Math.max(MIN_PHASE_NANOS, Math.min(maxPhaseNanos, phaseNanos));
        int probeStep = upward ? step - 1 : step + 1;
        trial = new PendingTrial(
                new ConcurrencyTrial(limit(), steps.get(probeStep), nowNanos, phaseNanos), Math.min(step, probeStep));
        if (upward) {
            upwardTrials++;
            furtherTrialDue |= canLower && upwardTrials % UPWARD_TRIALS == 0;
            nextTrialNanos = nowNanos + UPWARD_INTERVAL_NANOS;
        } else {
            if (step == 0) {
                scheduleDownward(isDue, DOWNWARD_INTERVAL_PHASES * phaseNanos, nowNanos);
            }
            furtherTrialDue = false;
        }
        hasNextTrial = true;
    }

    /** A trial ahead of its time postpones the next one, so that all probes together take no larger part of the time. */
    private void scheduleDownward(boolean isDue, long intervalNanos, long nowNanos) {
        if (isDue) {
            furtherTrials = 0;
            nextTrialNanos = nowNanos + intervalNanos;
        } else {
            nextTrialNanos += intervalNanos;
        }
    }
}
