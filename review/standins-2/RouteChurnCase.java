import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/** The operator adds and removes routes, version after version; clients send one request on each of them. */
final class RouteChurnCase {

    /** The largest count of routes that one change adds on the sites' sheets. */
    private static final int ROUTES = 1_680;

    private static final int MAX_VERSIONS = 36;
    private static final int CLIENTS = 6;

    /** Pause between two requests of a client; together the clients send at most about 1,800 requests a second. */
    private static final long PACE_NANOS = 3_300_000;

    private static final long TIMEOUT_MILLIS = 1_500;
    /** The site's bound. */
    private static final long CONFIG_APPLY_MILLIS = 3_000;

    /** Later than the rule's bound by this much, so that a request under way at the bound is not judged. */
    private static final long SLACK_MILLIS = 250;

    /** No version is written later than this after the first one; together with the rest it stays below 120 s. */
    private static final long MAX_MILLIS = 76_000;

    /** The clients give a version up after this time; at their pace they need about 1 s for it. */
    private static final long MAX_VERSION_MILLIS = 8_000;

    private static final long REST_MILLIS = 4_000;
    private static final int JUDGED_REQUESTS = 100;
    private static final long MAX_JUDGED_MILLIS = 6_000;

    /** Of the judged requests, as many must be refused with 404 for the rule to count as broken. */
    private static final int MIN_OUTDATED = 20;

    /** From the rule on timeouts: eight or more requests, and more than half of those without an answer at the timeout. */
    private static final int MIN_HELD = 8;

    private final Deployment deployment;
    private final boolean trouble;
    private long acknowledgedNanos;

    /** What became of judged requests. */
    private static final class Outcomes {
        private final AtomicInteger requests = new AtomicInteger();
        private final AtomicInteger served = new AtomicInteger();
        private final AtomicInteger outdated = new AtomicInteger();
        private final AtomicInteger unanswered = new AtomicInteger();
        private final AtomicInteger held = new AtomicInteger();

        boolean isBroken() {
            return outdated.get() >= MIN_OUTDATED || held.get() >= MIN_HELD && 2 * held.get() > unanswered.get();
        }

        @Override
        public String toString() {
            return requests + " requests: " + served + " with 200, " + outdated + " with 404, " + unanswered
                    + " without an answer at the route's timeout, " + held + " of them without one half a second later";
        }
    }

    private RouteChurnCase(Deployment deployment, boolean trouble) {
        this.deployment = deployment;
        this.trouble = trouble;
    }

    public static void main(String[] args) {
        Deployment.runCase(args, (deployment, trouble) -> new RouteChurnCase(deployment, trouble).run());
    }

    /** Without the disruption each version has the same routes. */
    private String prefix(int version, int route) {
        return "/" + (trouble ? "offer-" + version : "offer") + "-" + route + "/";
    }

    private void write(int version) {
        List<String> routes = new ArrayList<>();
        routes.add(Deployment.route("r-browse", "/catalogue/", "safe", TIMEOUT_MILLIS + "ms", "500ms", "catalogue"));
        for (int i = 0; i < ROUTES; i++) {
            String name = "r" + prefix(version, i).replace("/", "-") + "x";
            routes.add(Deployment.route(
                    name, prefix(version, i), "safe", TIMEOUT_MILLIS + "ms", "500ms", "catalogue"));
        }
        deployment.writeConfig(7 + version, routes, List.of("catalogue"));
        acknowledgedNanos = System.nanoTime();
        deployment.log.line("version " + version + " acknowledged, routes " + prefix(version, 0) + " to "
                + prefix(version, ROUTES - 1));
    }

    private static long millisSince(long nanos) {
        return (System.nanoTime() - nanos) / 1_000_000;
    }

    private Client.Result call(Client client, String path) {
        Client.Result result = client.call("GET", path, new byte[0], TIMEOUT_MILLIS, false);
        deployment.log.line(
                "request " + result.id() + " GET " + path + " ended after " + result.millis() + " ms: " + result.outcome());
        return result;
    }

    /** Returns whether the node uses the version before the rule's bound has passed. */
    private boolean awaitApplied(Client client, int version) throws InterruptedException {
        while (millisSince(acknowledgedNanos) <= CONFIG_APPLY_MILLIS + SLACK_MILLIS) {
            int status = call(client, prefix(version, ROUTES - 1) + "first").status();
            if (status != 404 && status != 0) {
                return true;
            }
            Thread.sleep(50);
        }
        return false;
    }

    private interface Work {
        void run(int client) throws InterruptedException;
    }

    private static void runClients(Work work) throws InterruptedException {
        List<Thread> threads = new ArrayList<>();
        for (int c = 0; c < CLIENTS; c++) {
            int number = c;
            Thread thread = new Thread(
                    () -> {
                        try {
                            work.run(number);
                        } catch (InterruptedException e) {
                            Thread.currentThread().interrupt();
                        }
                    },
                    "client");
            thread.start();
            threads.add(thread);
        }
        for (Thread thread : threads) {
            thread.join();
        }
    }

    /** Sends one request on each route; returns false if the clients gave up. */
    private boolean useRoutes(int version) throws InterruptedException {
        AtomicInteger served = new AtomicInteger();
        long start = System.nanoTime();
        runClients(number -> {
            try (Client client = new Client(deployment, deployment.ip(0))) {
                for (int i = number; i < ROUTES && millisSince(start) < MAX_VERSION_MILLIS; i += CLIENTS) {
                    served.addAndGet(call(client, prefix(version, i) + "item").status() == 200 ? 1 : 0);
                    long nextNanos = start + (i / CLIENTS + 1) * PACE_NANOS;
                    Thread.sleep(Math.max(0, (nextNanos - System.nanoTime()) / 1_000_000));
                }
            }
        });
        long millis = millisSince(start);
        deployment.log.line("version " + version + ": " + served + " of " + ROUTES + " routes served in " + millis + " ms");
        return millis < MAX_VERSION_MILLIS;
    }

    /** Judges requests to a machine that are sent later than the rule's bound after the acknowledgement. */
    private Outcomes judge(int machine, int version) throws InterruptedException {
        Outcomes outcomes = new Outcomes();
        long start = System.nanoTime();
        runClients(number -> {
            try (Client client = new Client(deployment, deployment.ip(machine))) {
                for (int i = number; i < JUDGED_REQUESTS && millisSince(start) < MAX_JUDGED_MILLIS; i += CLIENTS) {
                    Client.Result result = call(client, prefix(version, i) + "judged");
                    outcomes.requests.incrementAndGet();
                    outcomes.served.addAndGet(result.status() == 200 ? 1 : 0);
                    outcomes.outdated.addAndGet(result.status() == 404 ? 1 : 0);
                    outcomes.unanswered.addAndGet(result.millis() >= TIMEOUT_MILLIS ? 1 : 0);
                    outcomes.held.addAndGet(result.millis() >= TIMEOUT_MILLIS + 500 ? 1 : 0);
                }
            }
        });
        deployment.log.line("machine " + machine + ", version " + version + ": " + outcomes);
        return outcomes;
    }

    private boolean run() throws Exception {
        deployment.configApply = CONFIG_APPLY_MILLIS + "ms";
        deployment.stabilityWindow = "4000ms";
        write(0);
        for (int i = 0; i < 2; i++) {
            AppServer server = deployment.addServer(i, "catalogue", "a");
            server.workMillis = 1;
            server.answerBytes = 100;
        }
        for (int i = 0; i < 2; i++) {
            deployment.startNode(i, "catalogue", "a", "north", "a = \"north\"\n");
        }
        for (Deployment.NodeProcess node : deployment.nodes) {
            node.awaitReady(20_000);
        }
        Thread.sleep(1_000);
        int version = 0;
        long start = System.nanoTime();
        try (Client client = new Client(deployment, deployment.ip(0))) {
            boolean usable = useRoutes(0);
            while (usable && version < MAX_VERSIONS && millisSince(start) < MAX_MILLIS) {
                version++;
                write(version);
                usable = awaitApplied(client, version) && useRoutes(version);
            }
        }
        // No request and no change for some seconds, then one more change.
        Thread.sleep(REST_MILLIS);
        version++;
        write(version);
        Thread.sleep(CONFIG_APPLY_MILLIS + SLACK_MILLIS);
        Outcomes other = judge(1, version);
        Outcomes outcomes = judge(0, version);
        String verdict = (version + 1) + " versions with " + ROUTES + " routes each, then later than config-apply after "
                + "the last acknowledgement: machine 0, " + outcomes + "; machine 1, " + other + "; node 0 "
                + (deployment.nodes.get(0).process.isAlive() ? "runs" : "has ended") + "; CONFIG "
                + (outcomes.isBroken() ? "is broken" : "holds");
        deployment.log.line(verdict);
        System.out.println(verdict);
        return outcomes.isBroken();
    }
}
