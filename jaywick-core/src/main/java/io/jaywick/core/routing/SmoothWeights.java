package io.jaywick.core.routing;

import java.util.List;
import java.util.random.RandomGenerator;

import io.jaywick.core.snapshot.Service;
import io.jaywick.core.snapshot.WeightedService;

/**
 * Smooth weighted round robin over the services of one route. Every choice credits each service with its weight and
 * debits the chosen one with the sum, so that the number of choices of a service differs from its share by less than
 * the number of services. Credits are kept when the weights change, so that the bound holds over changes as well.
 */
final class SmoothWeights {

    private static final int SUM = 100;

    private List<WeightedService> services = List.of();
    private int[] credits = new int[0];

    /** The random start keeps many nodes with few calls each from all beginning with the heaviest service. */
    SmoothWeights(List<WeightedService> services, RandomGenerator random) {
        adopt(services);
        for (int skip = random.nextInt(SUM); skip > 0; skip--) {
            next();
        }
    }

    synchronized Service choose(List<WeightedService> current) {
        if (current.size() == 1) {
            return current.get(0).service();
        }
        if (current != services) {
            adopt(current);
        }
        return services.get(next()).service();
    }

    private int next() {
        int best = -1;
        for (int i = 0; i < credits.length; i++) {
            int weight = services.get(i).weightPercent();
            credits[i] += weight;
            if (weight > 0 && (best < 0 || credits[i] > credits[best])) {
                best = i;
            }
        }
        credits[best] -= SUM;
        return best;
    }

    private void adopt(List<WeightedService> current) {
        int[] kept = new int[current.size()];
        int sum = 0;
        int heaviest = 0;
        for (int i = 0; i < kept.length; i++) {
            kept[i] = current.get(i).weightPercent() == 0
                    ? 0
                    : creditOf(current.get(i).service().name());
            sum += kept[i];
            if (current.get(i).weightPercent() > current.get(heaviest).weightPercent()) {
                heaviest = i;
            }
        }
        // The credits always sum to zero; what removed services leave over goes to the heaviest one.
        kept[heaviest] -= sum;
        services = current;
        credits = kept;
    }

    private int creditOf(String service) {
        for (int i = 0; i < credits.length; i++) {
            if (services.get(i).service().name().equals(service)) {
                return credits[i];
            }
        }
        return 0;
    }
}
