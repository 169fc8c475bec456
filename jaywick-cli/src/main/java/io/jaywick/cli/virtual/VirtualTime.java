package io.jaywick.cli.virtual;

import java.util.PriorityQueue;
import java.util.random.RandomGenerator;
import java.util.random.RandomGeneratorFactory;

/** Event queue in virtual time. Actions run in the order of their times; ties run in the order of scheduling. */
public final class VirtualTime {

    private final PriorityQueue<Event> events = new PriorityQueue<>();
    private final RandomGenerator random;
    private long nowNanos;
    private long sequence;

    public VirtualTime(long seed) {
        this.random = RandomGeneratorFactory.of("L64X128MixRandom").create(seed);
    }

    /** Returns the current virtual time. Processes read it only through their own clocks, which have an error. */
    public long nowNanos() {
        return nowNanos;
    }

    /** Returns the only source of randomness of a run, so that a run is reproducible from its seed. */
    public RandomGenerator random() {
        return random;
    }

    /** Schedules an action after a delay; a negative delay counts as 0. */
    public void schedule(long delayNanos, Runnable action) {
        events.add(new Event(nowNanos + Math.max(0, delayNanos), sequence++, action));
    }

    /** Runs all actions that are due up to and including the given time, then advances the time to it. */
    public void runUntil(long untilNanos) {
        while (!events.isEmpty() && events.peek().atNanos <= untilNanos) {
            Event event = events.poll();
            nowNanos = event.atNanos;
            event.action.run();
        }
        nowNanos = Math.max(nowNanos, untilNanos);
    }

    private record Event(long atNanos, long sequence, Runnable action) implements Comparable<Event> {

        @Override
        public int compareTo(Event other) {
            int byTime = Long.compare(atNanos, other.atNanos);
            return byTime != 0 ? byTime : Long.compare(sequence, other.sequence);
        }
    }
}
