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
    private static final int RANDOM_SKIPS = 100;

    private final Function<T, String> name;
    private final ToDoubleFunction<T> weight;
    private List<T> parts = List.of();
    private double[] credits = new double[0];
    private double sum;

    /** The random start keeps many nodes with few calls each from all beginning with the heaviest part. */
    public SmoothWeightedRoundRobin(
            List<T> parts, Function<T, String> name, ToDoubleFunction<T> weight, RandomGenerator random) {
        this.name = name;
        this.weight = weight;
        adopt(parts);
        for (int skip = random.nextInt(RANDOM_SKIPS); skip > 0; skip--) {
            next();
        }
    }

    /** Chooses among the parts as they are now. */
    public synchronized T choose(List<T> current) {
        if (current.size() == 1) {
            return current.get(0);
        }
        if (current != parts) {
            adopt(current);
        }
        return parts.get(next());
    }

    private int next() {
        int best = -1;
        for (int i = 0; i < credits.length; i++) {
            double share = weight.applyAsDouble(parts.get(i));
            credits[i] += share;
            if (share > 0 && (best < 0 || credits[i] > credits[best])) {
                best = i;
            }
        }
        if (best < 0) {
            return 0;
        }
        credits[best] -= sum;
        return best;
    }

    private void adopt(List<T> current) {
        double[] kept = new double[current.size()];
        double total = 0;
        double weights = 0;
        int heaviest = 0;
        for (int i = 0; i < kept.length; i++) {
            double share = weight.applyAsDouble(current.get(i));
            weights += share;
            kept[i] = share == 0 ? 0 : creditOf(name.apply(current.get(i)));
            total += kept[i];
            if (share > weight.applyAsDouble(current.get(heaviest))) {
                heaviest = i;
            }
        }
        // The credits always sum to zero; what removed parts leave over goes to the heaviest one.
        kept[heaviest] -= total;
        parts = current;
        credits = kept;
        sum = weights;
    }

    private double creditOf(String part) {
        for (int i = 0; i < credits.length; i++) {
            if (name.apply(parts.get(i)).equals(part)) {
                return credits[i];
            }
        }
        return 0;
    }
}
