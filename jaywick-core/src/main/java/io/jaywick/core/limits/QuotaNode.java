package io.jaywick.core.limits;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.LongSupplier;

import io.jaywick.core.message.TokenGrant;
import io.jaywick.core.message.TokenRequest;

/**
 * The quotas of all client accounts at one node, which takes tokens for the calls of its callers and holds the quotas
 * of some accounts for its data centre. Does no I/O. Not thread-safe.
 */
public final class QuotaNode {

    /** A holder in the same data centre answers within 10 ms, or 35 to 60 ms if it has to borrow. */
    private static final long NEAR_TIMEOUT_MILLIS = 50;

    /** A round trip between regions takes 24 ms; the holder there may have to borrow as well. */
    private static final long FAR_TIMEOUT_MILLIS = 120;

    /** A holder that lends answers at once. */
    private static final long LENDER_TIMEOUT_MILLIS = 60;

    /** Time for which a node may still learn of rules that the others have known for long. */
    private static final long SETTLING_MILLIS = 10_000;

    private final Location location;
    private final QuotaBounds bounds;
    private final LongSupplier nanoTime;
    private final QuotaTransport transport;
    private final HolderRequests requests;
    private final QuotaListener listener;
    private final DataCentrePresence presence;
    private final FallbackBuckets fallbacks;
    private final AccountNode accountNode = new AccountNode();
    private final Map<String, AccountQuota> quotas = new HashMap<>();
    /** Accounts that had a limit a short time ago, and may still use tokens when they get one again. */
    private final Map<String, Long> unlimitedNanos = new HashMap<>();

    private final Map<String, AccountHolder> held = new HashMap<>();
    private final Map<String, List<String>> orderedHolders = new HashMap<>();
    private Map<String, QuotaLimit> limits = Map.of();
    private TokenHolders holders = new TokenHolders(Map.of());
    private long startNanos;
    private boolean started;

    /**
     * Place of the node.
     *
     * @param dataCentresOfRegion data centres in the node's region
     * @param dataCentres all data centres of the settings
     * @param maxPropagationMillis time within which a change of the view is known to every node that is in touch
     */
    public record Location(
            String host,
            String dataCentre,
            Set<String> dataCentresOfRegion,
            Collection<String> dataCentres,
            long maxPropagationMillis) {}

    public QuotaNode(
            Location location,
            QuotaBounds bounds,
            LongSupplier nanoTime,
            QuotaTransport transport,
            QuotaListener listener) {
        this.location = location;
        this.bounds = bounds;
        this.nanoTime = nanoTime;
        this.transport = transport;
        this.listener = listener;
        this.requests = new HolderRequests(nanoTime, transport, listener);
        this.fallbacks = new FallbackBuckets(location.host(), bounds);
        this.presence = new DataCentrePresence(location.dataCentres(), nanoTime.getAsLong());
    }

    /**
     * Applies a view of the fleet whose rules are loaded.
     *
     * @param newLimits limits by account; accounts without a limit are left out
     */
    public void update(Map<String, Set<String>> hostsByDataCentre, Map<String, QuotaLimit> newLimits) {
        long now = nanoTime.getAsLong();
        if (!started) {
            started = true;
            startNanos = now;
        }
        int formerDataCentres = presence.dataCentres();
        presence.observe(hostsByDataCentre, now);
        boolean sameHosts = holders.isOf(hostsByDataCentre);
        if (sameHosts && newLimits.equals(limits) && formerDataCentres == presence.dataCentres()) {
            return;
        }
        if (!sameHosts) {
            holders = new TokenHolders(hostsByDataCentre);
            orderedHolders.clear();
        }
        Map<String, QuotaLimit> formerLimits = limits;
        limits = Map.copyOf(newLimits);
        applyLimits(formerLimits, now);
        applyHolders(formerLimits, now);
        fallbacks.update(hostsByDataCentre, presence.nodes(), limits, now);
    }

    private void applyLimits(Map<String, QuotaLimit> former, long now) {
        unlimitedNanos.values().removeIf(since -> now - since >= TimeUnit.MILLISECONDS.toNanos(SETTLING_MILLIS));
        for (String account : Set.copyOf(former.keySet())) {
            QuotaLimit limit = limits.get(account);
            if (limit == null) {
                unlimitedNanos.put(account, now);
                AccountQuota unlimited = quotas.remove(account);
                if (unlimited != null) {
                    unlimited.close();
                }
            } else if (!limit.equals(former.get(account)) && quotas.containsKey(account)) {
                quotas.get(account).limitChanged();
            }
        }
    }

    private void applyHolders(Map<String, QuotaLimit> former, long now) {
        for (String account : Set.copyOf(held.keySet())) {
            if (!limits.containsKey(account) || !isHolder(account)) {
                held.remove(account).close();
            }
        }
        limits.forEach((account, limit) -> {
            if (!isHolder(account)) {
                return;
            }
            AccountHolder holder = held.get(account);
            if (holder == null) {
                holder = newHolder(
                        account, limit, former.containsKey(account) || unlimitedNanos.containsKey(account), now);
                held.put(account, holder);
            } else {
                holder.resize(limit, presence.dataCentres());
            }
            List<String> others = orderedHolders(account).stream()
                    .filter(host -> !host.equals(location.host()))
                    .toList();
            holder.setLenders(others);
        });
    }

    /**
     * Creates the state of an account that this node holds from now on. It starts without tokens, unless the account
     * had no limit before: a former holder, or an earlier process of this node, may have granted tokens.
     */
    private AccountHolder newHolder(String account, QuotaLimit limit, boolean hadLimit, long now) {
        boolean starting = now - startNanos < TimeUnit.MILLISECONDS.toNanos(SETTLING_MILLIS);
        AccountHolder holder = new AccountHolder(
                account,
                bounds,
                limit,
                presence.dataCentres(),
                starting ? bounds.grantLifeMillis() : location.maxPropagationMillis() + bounds.grantLifeMillis(),
                nanoTime,
                new Lenders(account));
        if (!starting && !hadLimit) {
            holder.fill();
        }
        return holder;
    }

    private boolean isHolder(String account) {
        return location.host().equals(holders.holderIn(location.dataCentre(), account));
    }

    private List<String> orderedHolders(String account) {
        return orderedHolders.computeIfAbsent(
                account, name -> holders.inOrder(name, location.dataCentre(), location.dataCentresOfRegion()));
    }

    /**
     * Asks for a token for a call.
     *
     * @param maxWaitMillis time for which the call may wait for a holder's answer
     */
    public void admit(String account, long maxWaitMillis, QuotaCall call) {
        if (!limits.containsKey(account)) {
            call.admitted();
            return;
        }
        quotas.computeIfAbsent(account, name -> new AccountQuota(name, accountNode))
                .admit(call, maxWaitMillis);
    }

    /** Removes a call that waits for its token. */
    public void cancel(String account, QuotaCall call) {
        AccountQuota quota = quotas.get(account);
        if (quota != null) {
            quota.cancel(call);
        }
    }

    /** Returns the token of a call that was admitted and then refused without having reached a target. */
    public void giveBack(String account) {
        AccountQuota quota = quotas.get(account);
        if (quota != null) {
            quota.giveBack();
        }
    }

    /** Answers a request of another node. */
    public void handle(TokenRequest request, Consumer<TokenGrant> reply) {
        AccountHolder holder = held.get(request.account());
        if (holder == null) {
            reply.accept(AccountHolder.notHolder(request.account()));
        } else if (request.lend()) {
            reply.accept(holder.lend(request.tokens()));
        } else {
            holder.request(request, reply);
        }
    }

    /** Number of accounts whose quota this node holds for its data centre. */
    public int heldAccounts() {
        return held.size();
    }

    /** The holders of an account in other data centres. */
    private final class Lenders implements TokenBorrowing.Lenders {

        private final String account;

        Lenders(String account) {
            this.account = account;
        }

        @Override
        public List<String> reachable(List<String> hosts) {
            return requests.reachable(hosts, account, FAR_TIMEOUT_MILLIS);
        }

        @Override
        public void request(String host, TokenRequest request, TokenBorrowing.Answer answer) {
            requests.send(host, request, answer, LENDER_TIMEOUT_MILLIS);
        }
    }

    /** What the quotas of single accounts use of the node. */
    private final class AccountNode implements AccountQuota.Node {

        @Override
        public long nanoTime() {
            return nanoTime.getAsLong();
        }

        @Override
        public List<String> reachableHolders(String account) {
            return requests.reachable(QuotaNode.this.orderedHolders(account), account, FAR_TIMEOUT_MILLIS);
        }

        @Override
        public void request(String host, TokenRequest request, TokenBorrowing.Answer answer) {
            if (host.equals(location.host())) {
                // The tokens of a holder need no reserve, which nobody else could use.
                TokenRequest own =
                        new TokenRequest(request.account(), request.tokens(), 0, request.returned(), request.lend());
                handle(own, answer::accept);
                return;
            }
            boolean near = host.equals(holders.holderIn(location.dataCentre(), request.account()));
            requests.send(host, request, answer, near ? NEAR_TIMEOUT_MILLIS : FAR_TIMEOUT_MILLIS);
        }

        @Override
        public void schedule(Runnable task, long delayMillis) {
            transport.schedule(task, delayMillis);
        }

        @Override
        public boolean tryTakeFallback(String account) {
            boolean admitted = fallbacks.tryTake(account, nanoTime.getAsLong());
            listener.noHolder(account, admitted);
            return admitted;
        }

        @Override
        public void overQuota(String account) {
            listener.overQuota(account);
        }
    }
}
