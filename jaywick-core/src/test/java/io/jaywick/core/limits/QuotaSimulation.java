package io.jaywick.core.limits;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.concurrent.TimeUnit;
import java.util.function.BiPredicate;
import java.util.function.Consumer;

import io.jaywick.core.message.TokenGrant;
import io.jaywick.core.message.TokenRequest;

/** Nodes in several data centres on virtual time, whose links lose and delay messages, and their callers. */
final class QuotaSimulation {

    static final long MAX_PROPAGATION_MILLIS = 1_600;

    private static final long MAX_WAIT_MILLIS = 100;
    private static final double NEAR_MILLIS = 1;
    private static final double FAR_MILLIS = 12;

    final Random random;
    final QuotaBounds bounds = QuotaBounds.DEFAULTS;
    final Map<String, Node> nodes = new LinkedHashMap<>();
    final Map<String, Account> accounts = new TreeMap<>();
    /** Whether a message between two hosts arrives, apart from random losses. */
    BiPredicate<String, String> connected = (from, to) -> true;

    /** Hosts that learn of no changes. */
    final Set<String> stale = new HashSet<>();

    double lossRatio;
    /** Ratio of the admitted calls that are then refused and return their tokens. */
    double refusedRatio;

    int messages;

    private final PriorityQueue<Event> events =
            new PriorityQueue<>(Comparator.comparingLong(Event::nanos).thenComparingLong(Event::number));
    private final Map<String, Set<String>> listed = new TreeMap<>();
    private long nowNanos = 1;
    private long eventNumber;

    private record Event(long nanos, long number, Runnable task) {}

    /** Calls of one account, with the times of those that were admitted. */
    static final class Account {
        QuotaLimit limit;
        final List<Long> admittedNanos = new ArrayList<>();
        int offered;
        int refused;

        double served() {
            return 1 - refused / (double) offered;
        }
    }

    /** One host, whose process may be restarted. */
    final class Node {
        final String host;
        final String dataCentre;
        QuotaNode quotas;
        private boolean started;

        Node(String host, String dataCentre) {
            this.host = host;
            this.dataCentre = dataCentre;
        }

        void start() {
            Process process = new Process(host);
            started = false;
            quotas = new QuotaNode(
                    new QuotaNode.Location(
                            host, dataCentre, Set.of(dataCentre), listed.keySet(), MAX_PROPAGATION_MILLIS),
                    bounds,
                    () -> nowNanos,
                    process,
                    QuotaListener.NONE);
            process.quotas = quotas;
            update();
        }

        void kill() {
            quotas = null;
        }

        void update() {
            if (quotas != null && !(started && stale.contains(host))) {
                started = true;
                Map<String, Set<String>> hosts = new HashMap<>();
                listed.forEach((name, members) -> hosts.put(name, Set.copyOf(members)));
                Map<String, QuotaLimit> limits = new HashMap<>();
                accounts.forEach((name, account) -> limits.put(name, account.limit));
                quotas.update(hosts, limits);
            }
        }

        void call(String name) {
            Account account = accounts.get(name);
            if (quotas == null) {
                return;
            }
            account.offered++;
            QuotaNode called = quotas;
            called.admit(name, MAX_WAIT_MILLIS, new QuotaCall() {
                @Override
                public void admitted() {
                    if (called != quotas) {
                        return;
                    }
                    if (random.nextDouble() < refusedRatio) {
                        in(random.nextInt(200), () -> called.giveBack(name));
                    } else {
                        account.admittedNanos.add(nowNanos);
                    }
                }

                @Override
                public void refused(long retryAfterMillis) {
                    account.refused++;
                }
            });
        }
    }

    /** The links and timers of one process; those of a killed one do nothing. */
    private final class Process implements QuotaTransport {
        private final String host;
        private QuotaNode quotas;

        Process(String host) {
            this.host = host;
        }

        private boolean isAlive() {
            return nodes.get(host).quotas == quotas;
        }

        @Override
        public void request(String to, TokenRequest request, Consumer<TokenGrant> onAnswer) {
            deliver(host, to, () -> {
                QuotaNode receiver = nodes.get(to).quotas;
                if (receiver == null) {
                    return;
                }
                receiver.handle(
                        request,
                        grant -> deliver(to, host, () -> {
                            if (isAlive()) {
                                onAnswer.accept(grant);
                            }
                        }));
            });
        }

        @Override
        public void schedule(Runnable task, long delayMillis) {
            in(delayMillis, () -> {
                if (isAlive()) {
                    task.run();
                }
            });
        }
    }

    QuotaSimulation(long seed, int nodesPerDataCentre, String... dataCentres) {
        random = new Random(seed);
        for (String dataCentre : dataCentres) {
            Set<String> hosts = new TreeSet<>();
            for (int i = 0; i < nodesPerDataCentre; i++) {
                String host = dataCentre + "-" + i;
                hosts.add(host);
                nodes.put(host, new Node(host, dataCentre));
            }
            listed.put(dataCentre, hosts);
        }
    }

    Account addAccount(String name, double callsPerSecond, double burstCalls) {
        Account account = new Account();
        account.limit = new QuotaLimit(callsPerSecond, burstCalls);
        accounts.put(name, account);
        return account;
    }

    void startAll() {
        nodes.values().forEach(Node::start);
    }

    private void deliver(String from, String to, Runnable receipt) {
        messages++;
        if (random.nextDouble() >= lossRatio && connected.test(from, to)) {
            boolean near = nodes.get(from).dataCentre.equals(nodes.get(to).dataCentre);
            double millis = (near ? NEAR_MILLIS : FAR_MILLIS) * (1 + 0.3 * random.nextDouble());
            at(nowNanos + Math.round(millis * 1e6), receipt);
        }
    }

    private void at(long nanos, Runnable task) {
        events.add(new Event(nanos, eventNumber++, task));
    }

    void in(long millis, Runnable task) {
        at(nowNanos + TimeUnit.MILLISECONDS.toNanos(millis), task);
    }

    /** Applies a change to what the nodes know; each learns of it within the propagation time. */
    void change(Runnable change) {
        change.run();
        nodes.values().forEach(node -> in(random.nextLong(MAX_PROPAGATION_MILLIS), node::update));
    }

    void unlist(String host) {
        change(() -> listed.get(nodes.get(host).dataCentre).remove(host));
    }

    void list(String host) {
        change(() -> listed.get(nodes.get(host).dataCentre).add(host));
    }

    /** Sends calls of an account for a time, at random times, from nodes chosen at random among the given ones. */
    void load(String account, double callsPerSecond, long millis, List<Node> callers) {
        long untilNanos = nowNanos + TimeUnit.MILLISECONDS.toNanos(millis);
        double atNanos = nowNanos;
        while (true) {
            atNanos += -Math.log(1 - random.nextDouble()) / callsPerSecond * 1e9;
            if (atNanos >= untilNanos) {
                return;
            }
            Node caller = callers.get(random.nextInt(callers.size()));
            at((long) atNanos, () -> caller.call(account));
        }
    }

    List<Node> all() {
        return List.copyOf(nodes.values());
    }

    List<Node> in(String dataCentre) {
        return nodes.values().stream()
                .filter(node -> node.dataCentre.equals(dataCentre))
                .toList();
    }

    void run(long millis) {
        long untilNanos = nowNanos + TimeUnit.MILLISECONDS.toNanos(millis);
        while (!events.isEmpty() && events.peek().nanos <= untilNanos) {
            Event next = events.poll();
            nowNanos = next.nanos;
            next.task.run();
        }
        nowNanos = untilNanos;
    }

    long nowNanos() {
        return nowNanos;
    }

    /** Most calls in any window that begins at or after a time, as a ratio of what the bound allows for a limit. */
    double largestUse(Account account, QuotaLimit limit, long fromNanos) {
        long windowNanos = TimeUnit.MILLISECONDS.toNanos(bounds.windowMillis());
        double allowed =
                (limit.callsPerSecond() * bounds.windowMillis() / 1_000 + limit.burstCalls()) * (1 + bounds.overshoot())
                        + bounds.slackCalls();
        List<Long> times = account.admittedNanos;
        int most = 0;
        int first = 0;
        for (int last = 0; last < times.size(); last++) {
            while (times.get(last) - times.get(first) > windowNanos || times.get(first) < fromNanos && first < last) {
                first++;
            }
            if (times.get(first) >= fromNanos) {
                most = Math.max(most, last - first + 1);
            }
        }
        return most / allowed;
    }
}
