package io.jaywick.core.routing;

import java.util.List;
import java.util.Random;

import io.jaywick.core.snapshot.DataCentre;
import io.jaywick.core.snapshot.Server;
import io.jaywick.core.snapshot.Service;
import io.jaywick.core.snapshot.WeightedService;

/** Naive reference: a random service by weight, targets by round robin, restricted to data centres in service. */
final class NaiveRouter {

    private final Random random;
    private int next;

    NaiveRouter(Random random) {
        this.random = random;
    }

    Service service(List<WeightedService> services) {
        int remaining = random.nextInt(100);
        for (WeightedService weighted : services) {
            remaining -= weighted.weightPercent();
            if (remaining < 0) {
                return weighted.service();
            }
        }
        throw new IllegalStateException("weights add up to less than 100");
    }

    Server target(Service service) {
        List<Server> in = service.servers().stream()
                .filter(server -> isIn(server.dataCentre()))
                .toList();
        return in.isEmpty() ? null : in.get(next++ % in.size());
    }

    private static boolean isIn(DataCentre dataCentre) {
        return dataCentre.inService();
    }
}
