package io.jaywick.cli.bench.record;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;

/** Carries lines to their collector and loses, repeats, damages and reorders some of them. */
public final class LineTransport implements Consumer<String> {

    private static final char FIRST_PRINTABLE = ' ';
    private static final int PRINTABLE = 95;

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
        hold(random.nextDouble() < faults.damaged() ? damage(line) : line);
        if (random.nextDouble() < faults.repeated()) {
            hold(line);
        }
    }

    /** Delivers the lines that are still held back. */
    public void flush() {
        while (!heldBack.isEmpty()) {
            collector.accept(takeRandom());
        }
    }

    private void hold(String line) {
        heldBack.add(line);
        if (heldBack.size() >= faults.reorderLines()) {
            collector.accept(takeRandom());
        }
    }

    private String takeRandom() {
        int index = random.nextInt(heldBack.size());
        String line = heldBack.get(index);
        heldBack.set(index, heldBack.get(heldBack.size() - 1));
        heldBack.remove(heldBack.size() - 1);
        return line;
    }

    private String damage(String line) {
        int at = random.nextInt(line.length());
        return switch (random.nextInt(4)) {
            case 0 -> line.substring(0, at);
            case 1 -> line.substring(at) + line;
            case 2 -> raiseADigit(line, at);
            default -> line.substring(0, at)
                    + (char) (FIRST_PRINTABLE + random.nextInt(PRINTABLE))
                    + line.substring(at);
        };
    }

    /** Changes a figure so that the line stays valid JSON. */
    private static String raiseADigit(String line, int from) {
        for (int i = from; i < line.length(); i++) {
            if (line.charAt(i) >= '0' && line.charAt(i) <= '8') {
                return line.substring(0, i) + (char) (line.charAt(i) + 1) + line.substring(i + 1);
            }
        }
        return line.substring(1);
    }
}
