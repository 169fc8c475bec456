package io.jaywick.cli.virtual;

import java.util.PriorityQueue;
import java.util.random.RandomGenerator;
import java.util.random.RandomGeneratorFactory;

/** Runs actions in the order of their virtual times; equal times run in the order of scheduling. */
public final class VirtualTime {

    private final PriorityQueue<Event> events = new PriorityQueue<>();
    private final RandomGenerator random;
    private long nowNanos;
    private long sequence;

    public VirtualTime(long seed) {
        this.random = RandomGeneratorFactory.of("L64X128MixRandom").create(seed);
    }

    /** True time, which no process can read exactly. */
    public long nowNanos() {
        return nowNanos;
    }

    /** The only source of randomness of a run, so that the seed reproduces it. */
    public RandomGenerator random() {
        return random;
    }

    /** Runs an action after a delay. */
    public void schedule(long delayNanos, Runnable action) {
        events.add(new Event(nowNanos + Math.max(0, delayNanos), sequence++, action));
    }

    /** Runs all actions up to and including an instant. */
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
