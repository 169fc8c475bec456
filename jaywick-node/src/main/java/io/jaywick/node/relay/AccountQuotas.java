package io.jaywick.node.relay;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

import io.jaywick.core.fleet.FleetView;
import io.jaywick.core.fleet.Instance;
import io.jaywick.core.limits.QuotaCall;
import io.jaywick.core.limits.QuotaLimit;
import io.jaywick.core.limits.QuotaListener;
import io.jaywick.core.limits.QuotaNode;
import io.jaywick.core.limits.QuotaTransport;
import io.jaywick.core.message.Message;
import io.jaywick.core.message.PeerLink;
import io.jaywick.core.message.TokenGrant;
import io.jaywick.core.message.TokenRequest;
import io.jaywick.core.rules.ClientAccount;
import io.jaywick.node.peer.MessageHandlers;
import io.micrometer.core.instrument.MeterRegistry;

/**
 * Connects the quotas of the client accounts with the links to other nodes and the event loop. Runs on the event loop
 * of the relay.
 */
final class AccountQuotas {

    /** Interval between two log lines about one account or host; more would tell nothing new. */
    private static final long LOG_INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(10);

    private final RelayContext context;
    private final PeerLink link;
    private final QuotaNode quotas;

    AccountQuotas(RelayContext context, PeerLink link, MeterRegistry registry) {
        RelaySettings settings = context.settings();
        this.context = context;
        this.link = link;
        Set<String> ofRegion = new HashSet<>();
        settings.regionByDataCentre().forEach((dataCentre, region) -> {
            if (region.equals(settings.region())) {
                ofRegion.add(dataCentre);
            }
        });
        QuotaNode.Location location = new QuotaNode.Location(
                settings.host(),
                settings.dataCentre(),
                ofRegion,
                Set.copyOf(settings.regionByDataCentre().keySet()),
                settings.maxPropagationMillis());
        this.quotas = new QuotaNode(
                location,
                settings.quotaBounds(),
                context.runtime().nanoTime(),
                new PeerTransport(),
                new MetersAndLog(registry));
        registry.gauge("jaywick.quota.held", quotas, QuotaNode::heldAccounts);
    }

    /** Registers the handler of requests for tokens. */
    void register(MessageHandlers handlers) {
        handlers.register(TokenRequest.class, message -> handle((TokenRequest) message));
    }

    private CompletableFuture<Message> handle(TokenRequest request) {
        CompletableFuture<Message> reply = new CompletableFuture<>();
        quotas.handle(request, reply::complete);
        return reply;
    }

    /** Applies the nodes of a new view, and the limits of its rules. */
    void viewChanged(Iterable<ClientAccount> accounts) {
        FleetView view = context.fleet().get();
        if (!view.rules().isLoaded()) {
            return;
        }
        Map<String, QuotaLimit> limits = new HashMap<>();
        for (ClientAccount account : accounts) {
            if (account.callsPerSecond() > 0) {
                limits.put(account.name(), new QuotaLimit(account.callsPerSecond(), account.burstCalls()));
            }
        }
        quotas.update(limits.isEmpty() ? Map.of() : hostsByDataCentre(view), limits);
    }

    private static Map<String, Set<String>> hostsByDataCentre(FleetView view) {
        Map<String, Set<String>> hosts = new HashMap<>();
        for (Instance instance : view.instances()) {
            hosts.computeIfAbsent(instance.dataCentre(), dataCentre -> new HashSet<>())
                    .add(instance.host());
        }
        return hosts;
    }

    /**
     * Asks for a token for a call of an account.
     *
     * @param maxWaitMillis time for which the call may wait for a holder's answer
     * @param call may be called before this method returns
     */
    void admit(String account, long maxWaitMillis, QuotaCall call) {
        quotas.admit(account, maxWaitMillis, call);
    }

    /** Removes a call that waits for its token. */
    void cancel(String account, QuotaCall call) {
        quotas.cancel(account, call);
    }

    /** Returns the token of a call that was refused without having reached a target. */
    void giveBack(String account) {
        quotas.giveBack(account);
    }

    private final class PeerTransport implements QuotaTransport {

        @Override
        public void request(String host, TokenRequest request, Consumer<TokenGrant> onAnswer) {
            link.request(host + ":" + context.settings().peerPort(), request)
                    .whenComplete(
                            (reply, failure) -> onAnswer.accept(reply instanceof TokenGrant grant ? grant : null));
        }

        @Override
        public void schedule(Runnable task, long delayMillis) {
            context.runtime().loop().schedule(task, delayMillis, TimeUnit.MILLISECONDS);
        }
    }

    /** Metrics without a label for each account, and log lines with the account, at most one in an interval. */
    private final class MetersAndLog implements QuotaListener {

        private final MeterRegistry registry;
        private final Map<String, Long> loggedNanos = new HashMap<>();

        MetersAndLog(MeterRegistry registry) {
            this.registry = registry;
        }

        @Override
        public void overQuota(String account) {
            registry.counter("jaywick.quota.refused", "reason", "over-quota").increment();
            if (isLogDue("account " + account)) {
                context.log().info("client account over its limit", "account", account);
            }
        }

        @Override
        public void requestSent(boolean lend) {
            registry.counter("jaywick.quota.requests", "kind", lend ? "borrow" : "tokens")
                    .increment();
        }

        @Override
        public void holderUnreachable(String host) {
            registry.counter("jaywick.quota.unanswered").increment();
            if (isLogDue("host " + host)) {
                context.log().info("quota holder did not answer in time", "host", host);
            }
        }

        @Override
        public void noHolder(String account, boolean admitted) {
            if (admitted) {
                registry.counter("jaywick.quota.fallback").increment();
            } else {
                registry.counter("jaywick.quota.refused", "reason", "no-holder").increment();
            }
            if (isLogDue("no holder " + account)) {
                context.log().info("no quota holder answered for a call", "account", account, "admitted", admitted);
            }
        }

        private boolean isLogDue(String event) {
            long now = context.nanoTime();
            Long last = loggedNanos.get(event);
            if (last != null && now - last < LOG_INTERVAL_NANOS) {
                return false;
            }
            loggedNanos.put(event, now);
            return true;
        }
    }
}
