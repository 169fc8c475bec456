package io.jaywick.core.routing;

import java.util.List;
import java.util.function.Function;
import java.util.function.ToDoubleFunction;
import java.util.random.RandomGenerator;

/**
 * Smooth weighted round robin over the items of one route. Every choice credits each item with its weight and debits
 * the chosen one with the sum of the weights, so that the number of choices of an item differs from its exact
 * proportion by less than the number of items. Credits are kept when the weights change, so that the bound holds across
 * changes as well.
 */
public final class SmoothWeightedRoundRobin<T> {

    /**
     * Exclusive upper bound of the choices that a new instance skips at random. A cycle of whole percentages has at
     * most 100 choices.
     */
    private static final int MAX_INITIAL_SKIPS = 100;

    private final Function<T, String> name;
    private final ToDoubleFunction<T> weight;
    private List<T> items = List.of();
    private double[] credits = new double[0];
    private double weightSum;

    /**
     * Starts at a random position of the cycle, because otherwise many nodes with few calls each would all begin with
     * the heaviest item.
     */
    public SmoothWeightedRoundRobin(
            List<T> items, Function<T, String> name, ToDoubleFunction<T> weight, RandomGenerator random) {
        this.name = name;
        this.weight = weight;
        updateItems(items);
        for (int skip = random.nextInt(MAX_INITIAL_SKIPS); skip > 0; skip--) {
            next();
        }
    }

    /** Chooses one of the given items, which may have changed since the last call. */
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
        // The credits always sum to zero; the credits of removed items go to the heaviest one.
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
