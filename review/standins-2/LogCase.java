import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/** The reader of a node's standard output pauses, while the node logs refusals at its usual rate. */
final class LogCase {

    /** The same number all the time; their requests fill the servers, so that some are refused and logged. */
    private static final int CLIENTS = 36;

    private static final long TIMEOUT_MILLIS = 1500;
    private static final long DEADLINE_MILLIS = 3000;
    private static final long PAUSE_MILLIS = 20_000;

    private final Deployment deployment;
    private final AtomicInteger answered = new AtomicInteger();
    private final AtomicInteger unanswered = new AtomicInteger();
    private final AtomicInteger held = new AtomicInteger();
    private final AtomicInteger heldElsewhere = new AtomicInteger();
    private final List<Thread> clients = new ArrayList<>();
    private volatile boolean stop;

    private LogCase(Deployment deployment) {
        this.deployment = deployment;
    }

    public static void main(String[] args) {
        Deployment.runCase(args, (deployment, trouble) -> new LogCase(deployment).run(trouble));
    }

    private boolean run(boolean trouble) throws Exception {
        deployment.writeConfig(
                7,
                List.of(
                        Deployment.route("r-browse", "/catalogue/", "safe", TIMEOUT_MILLIS + "ms", "500ms", "catalogue"),
                        Deployment.route("r-hire", "/bookings/", "unsafe", TIMEOUT_MILLIS + "ms", "600ms", "bookings")),
                List.of("catalogue", "bookings"));
        String[] services = {"catalogue", "bookings", "catalogue", "bookings"};
        String[] zones = {"a", "a", "b", "b"};
        for (int i = 0; i < services.length; i++) {
            AppServer server = deployment.addServer(i, services[i], zones[i]);
            server.workMillis = 160;
            server.recordRuns = false;
        }
        for (int i = 0; i < services.length; i++) {
            deployment.startNode(i, services[i], zones[i], "north", "a = \"north\"\nb = \"north\"\n");
        }
        for (Deployment.NodeProcess node : deployment.nodes) {
            node.keepLog = false;
            node.awaitReady(20_000);
        }
        startClients(CLIENTS);
        Thread.sleep(8_000);
        if (held.get() > 0) {
            throw new IllegalStateException("requests were held before the pause");
        }
        answered.set(0);
        unanswered.set(0);
        Deployment.NodeProcess first = deployment.nodes.get(0);
        deployment.log.line("node 0 has written " + first.logBytes + " bytes to its log");
        if (trouble) {
            deployment.log.line("the reader of the log of node 0 pauses for " + PAUSE_MILLIS + " ms");
            first.readLog = false;
        }
        Thread.sleep(PAUSE_MILLIS);
        deployment.log.line("GET /-/ready of node 0: " + (first.isReady() ? "200" : "no 200 within a second"));
        first.readLog = true;
        deployment.log.line("the reader of the log reads; so far " + first.logBytes + " bytes");
        Thread.sleep(4_000);
        stop = true;
        for (Thread client : clients) {
            client.join(6_000);
        }
        boolean broken = held.get() >= 8 && 2 * held.get() > unanswered.get();
        String verdict = "node 0: " + answered + " answered, " + unanswered + " without an answer at the route's timeout, "
                + held + " of them without one half a second later; other nodes: " + heldElsewhere
                + " half a second after the timeout; CONFIG " + (broken ? "is broken" : "holds");
        deployment.log.line(verdict);
        System.out.println(verdict);
        return broken;
    }

    private void startClients(int countPerMachine) {
        for (int node = 0; node < deployment.nodes.size(); node++) {
            for (int c = 0; c < countPerMachine; c++) {
                int machine = node;
                Thread client = new Thread(() -> call(machine), "client");
                client.setDaemon(true);
                client.start();
                clients.add(client);
            }
        }
    }

    private void call(int machine) {
        try (Client client = new Client(deployment, deployment.ip(machine))) {
            while (!stop) {
                boolean safe = Math.random() < 0.7;
                Client.Result result = client.call(
                        safe ? "GET" : "POST",
                        safe ? "/catalogue/item" : "/bookings/hire",
                        new byte[0],
                        DEADLINE_MILLIS,
                        machine == 0);
                boolean isHeld = result.millis() >= TIMEOUT_MILLIS + 500;
                if (machine == 0) {
                    answered.addAndGet(result.isAnswered() ? 1 : 0);
                    unanswered.addAndGet(result.millis() >= TIMEOUT_MILLIS ? 1 : 0);
                    held.addAndGet(isHeld ? 1 : 0);
                } else {
                    heldElsewhere.addAndGet(isHeld ? 1 : 0);
                }
                Thread.sleep(100 + (long) (Math.random() * 200));
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
