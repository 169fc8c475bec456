package io.jaywick.core.routing;

import java.util.List;
import java.util.function.Function;
import java.util.function.ToDoubleFunction;
import java.util.random.RandomGenerator;

/**
 * Smooth weighted round robin over the parts of one route. Every choice credits each service with its weight and
 * debits the chosen one with the sum, so that the number of choices of a part differs from its share by less than
 * the number of parts. Credits are kept when the weights change, so that the bound holds over changes as well.
 */
public final class SmoothWeightedRoundRobin<T> {

    /** Choices that a new cycle skips at most; more than a cycle of whole percents has. */
    private static final int MAX_INITIAL_SKIPS = 100;

    private final Function<T, String> name;
    private final ToDoubleFunction<T> weight;
    private List<T> items = List.of();
    private double[] credits = new double[0];
    private double weightSum;

    /** The random start keeps many nodes with few calls each from all beginning with the heaviest part. */
    public SmoothWeightedRoundRobin(
            List<T> items, Function<T, String> name, ToDoubleFunction<T> weight, RandomGenerator random) {
        this.name = name;
        this.weight = weight;
        updateItems(items);
        for (int skip = random.nextInt(MAX_INITIAL_SKIPS); skip > 0; skip--) {
            next();
        }
    }

    /** Chooses among the parts as they are now. */
    public synchronized T choose(List<T> current) {
        if (current.size() == 1) {
            return current.get(0);
        }
        if (current != items) {
            updateItems(current);
        }
        return items.get(next());
    }

    private int next() {
        int best = -1;
        for (int i = 0; i < credits.length; i++) {
            double itemWeight = weight.applyAsDouble(items.get(i));
            credits[i] += itemWeight;
            if (itemWeight > 0 && (best < 0 || credits[i] > credits[best])) {
                best = i;
            }
        }
        if (best < 0) {
            return 0;
        }
        credits[best] -= weightSum;
        return best;
    }

    private void updateItems(List<T> current) {
        double[] newCredits = new double[current.size()];
        double creditSum = 0;
        double newWeightSum = 0;
        int heaviest = 0;
        for (int i = 0; i < newCredits.length; i++) {
            double itemWeight = weight.applyAsDouble(current.get(i));
            newWeightSum += itemWeight;
            newCredits[i] = itemWeight == 0 ? 0 : creditOf(name.apply(current.get(i)));
            creditSum += newCredits[i];
            if (itemWeight > weight.applyAsDouble(current.get(heaviest))) {
                heaviest = i;
            }
        }
        // The credits always sum to zero; what removed parts leave over goes to the heaviest one.
        newCredits[heaviest] -= creditSum;
        items = current;
        credits = newCredits;
        weightSum = newWeightSum;
    }

    private double creditOf(String itemName) {
        for (int i = 0; i < credits.length; i++) {
            if (name.apply(items.get(i)).equals(itemName)) {
                return credits[i];
            }
        }
        return 0;
    }
}
