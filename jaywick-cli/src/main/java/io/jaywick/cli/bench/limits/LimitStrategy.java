package io.jaywick.cli.bench.limits;

import java.util.List;
import java.util.Optional;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import java.util.function.UnaryOperator;
import java.util.random.RandomGenerator;

import io.jaywick.core.limits.FleetRevisions;
import io.jaywick.core.limits.LimiterOptions;
import io.jaywick.core.limits.PartyLimiter;
import io.jaywick.core.message.PeerLink;

/** Strategies to enforce party limits that the benchmark compares. */
public enum LimitStrategy {
    /** Each server of the roster may use an equal share of the limit, without messages. */
    FIXED("fixed") {
        @Override
        LimiterCore create(Environment environment) {
            return new FixedShareCore(environment.options.server(), environment.clock);
        }
    },
    /** One owner, the first live member by rendezvous hash, leases calls to the others. */
    OWNER("owner") {
        @Override
        LimiterCore create(Environment environment) {
            return new OwnerLeaseCore(environment);
        }
    },
    /** Holders of base allocations lend quota for a limited period. */
    ESCROW("escrow") {
        @Override
        LimiterCore create(Environment environment) {
            return new EscrowCore(new PartyLimiter(
                    environment.options,
                    environment.link,
                    server -> Optional.ofNullable(environment.addresses.apply(server)),
                    environment.revisions,
                    environment.clock,
                    environment.random));
        }
    };

    private final String key;

    LimitStrategy(String key) {
        this.key = key;
    }

    /** Returns the name of the strategy in results and scenario files. */
    public String key() {
        return key;
    }

    abstract LimiterCore create(Environment environment);

    /**
     * What a node provides to its limiter core.
     *
     * @param liveMembers servers that are alive in the node's view, itself included
     * @param addresses returns the peer address of a server, or null if the instance list has none
     */
    record Environment(
            LimiterOptions options,
            PeerLink link,
            Supplier<List<String>> liveMembers,
            UnaryOperator<String> addresses,
            FleetRevisions revisions,
            LongSupplier clock,
            RandomGenerator random) {}
}
