package io.jaywick.core.routing;

import java.util.List;
import java.util.Set;

import com.dynatrace.hash4j.hashing.Hasher64;
import com.dynatrace.hash4j.hashing.Hashing;
import io.jaywick.core.snapshot.HomeRegions;
import io.jaywick.core.snapshot.Route;
import io.jaywick.core.snapshot.Server;
import io.jaywick.core.snapshot.Service;
import io.jaywick.core.snapshot.WeightedService;

/**
 * Determines the home server of an idempotency key: weighted rendezvous hashing over the services of the route, then
 * rendezvous hashing over the servers of the roster whose data centre is in service and inside the home regions. The
 * result depends on the table alone, so that every node and every retry gets the same one for the same table.
 */
public final class KeyHome {

    private static final Hasher64 HASHER = Hashing.komihash5_0();
    private static final double UNIT_INTERVAL_SCALE = 0x1.0p-53;

    private KeyHome() {}

    /** Returns the service of a key. Among several services, those with weight 0 get no keys. */
    public static Service service(Route route, String party, String key) {
        List<WeightedService> services = route.services();
        if (services.size() == 1) {
            return services.get(0).service();
        }
        Service best = null;
        double bestScore = -1;
        for (WeightedService weighted : services) {
            if (weighted.weightPercent() == 0) {
                continue;
            }
            double unit = ((hash(party, key, weighted.service().name()) >>> 11) + 0.5) * UNIT_INTERVAL_SCALE;
            double score = -weighted.weightPercent() / Math.log(unit);
            if (score > bestScore) {
                bestScore = score;
                best = weighted.service();
            }
        }
        return best;
    }

    /** Returns the server of a key, or null if no server is eligible. */
    public static Server server(Service service, Set<String> homeRegions, String party, String key) {
        Server best = null;
        long bestHash = 0;
        for (Server server : service.servers()) {
            if (!server.dataCentre().inService()
                    || !HomeRegions.allows(homeRegions, server.dataCentre().region())) {
                continue;
            }
            long hash = hash(party, key, server.name());
            if (best == null || Long.compareUnsigned(hash, bestHash) > 0) {
                best = server;
                bestHash = hash;
            }
        }
        return best;
    }

    private static long hash(String party, String key, String name) {
        return HASHER.hashStream()
                .putString(party)
                .putString(key)
                .putString(name)
                .getAsLong();
    }
}
