package io.jaywick.cli.bench.record;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;

/** Delivers lines to a collector and loses, repeats, damages and reorders some of them. */
public final class LineTransport implements Consumer<String> {

    private static final char FIRST_PRINTABLE = ' ';
    private static final int PRINTABLE_COUNT = 95;

    private final FaultRates faults;
    private final RandomGenerator random;
    private final Consumer<String> collector;
    private final List<String> heldBack = new ArrayList<>();

    public LineTransport(FaultRates faults, RandomGenerator random, Consumer<String> collector) {
        this.faults = faults;
        this.random = random;
        this.collector = collector;
    }

    @Override
    public void accept(String line) {
        if (random.nextDouble() < faults.lost()) {
            return;
        }
        holdBack(random.nextDouble() < faults.damaged() ? damage(line) : line);
        if (random.nextDouble() < faults.repeated()) {
            holdBack(line);
        }
    }

    /** Delivers the lines that are still held back, in random order. */
    public void flush() {
        while (!heldBack.isEmpty()) {
            collector.accept(removeRandom());
        }
    }

    private void holdBack(String line) {
        heldBack.add(line);
        if (heldBack.size() >= faults.reorderLines()) {
            collector.accept(removeRandom());
        }
    }

    private String removeRandom() {
        int index = random.nextInt(heldBack.size());
        String line = heldBack.get(index);
        heldBack.set(index, heldBack.get(heldBack.size() - 1));
        heldBack.remove(heldBack.size() - 1);
        return line;
    }

    private String damage(String line) {
        int position = random.nextInt(line.length());
        return switch (random.nextInt(4)) {
            case 0 -> line.substring(0, position);
            case 1 -> line.substring(position) + line;
            case 2 -> incrementDigit(line, position);
            default -> line.substring(0, position)
                    + (char) (FIRST_PRINTABLE + random.nextInt(PRINTABLE_COUNT))
                    + line.substring(position);
        };
    }

    /** Increments one digit, so that the damaged line can remain valid JSON with a wrong number. */
    private static String incrementDigit(String line, int start) {
        for (int i = start; i < line.length(); i++) {
            if (line.charAt(i) >= '0' && line.charAt(i) <= '8') {
                return line.substring(0, i) + (char) (line.charAt(i) + 1) + line.substring(i + 1);
            }
        }
        return line.substring(1);
    }
}
