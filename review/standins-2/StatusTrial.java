import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicInteger;

/** A trial, not a case: a booking server fails part of the requests that it has run with 503, without stating that they were not executed. */
final class StatusTrial {

    private static final double FAILED_SHARE = 0.45;
    private static final int CLIENTS = 4;
    private static final int BOOKINGS = 20;
    private static final int RETRIES = 2;

    private StatusTrial() {}

    public static void main(String[] args) {
        Deployment.runCase(args, StatusTrial::run);
    }

    private static boolean run(Deployment deployment, boolean trouble) throws Exception {
        deployment.writeConfig(
                7,
                List.of(
                        Deployment.route("r-browse", "/catalogue/", "safe", "1500ms", "500ms", "catalogue"),
                        Deployment.route("r-hire", "/bookings/", "unsafe", "2000ms", "600ms", "bookings")),
                List.of("catalogue", "bookings"));
        Map<String, Integer> runs = new ConcurrentHashMap<>();
        for (int i = 0; i < 2; i++) {
            AppServer server = deployment.addServer(i, i == 0 ? "catalogue" : "bookings", i == 0 ? "a" : "b");
            server.workMillis = 60;
            server.behaviour = (app, request, in, out, socket) -> {
                String id = request.header("Jaywick-Request-Id");
                app.run(request);
                runs.merge(id, 1, Integer::sum);
                if (trouble && ThreadLocalRandom.current().nextDouble() < FAILED_SHARE) {
                    deployment.log.line("server answers " + id + ": 503 with its stamp, without Jaywick-Not-Executed");
                    Http.write(
                            out,
                            "HTTP/1.1 503 Service Unavailable\r\nJaywick-Request-Id: " + id
                                    + "\r\nJaywick-Server-Stamp: 3e1b.07.5a2." + id + "\r\nContent-Length: 0\r\n\r\n",
                            new byte[0]);
                } else {
                    app.answer(out, id, 400);
                }
                return true;
            };
        }
        for (int i = 0; i < 2; i++) {
            deployment.startNode(
                    i, i == 0 ? "catalogue" : "bookings", i == 0 ? "a" : "b", "north", "a = \"north\"\nb = \"north\"\n");
        }
        for (Deployment.NodeProcess node : deployment.nodes) {
            node.awaitReady(20_000);
        }
        Thread.sleep(2_000);
        AtomicInteger answered = new AtomicInteger();
        AtomicInteger refusedAndRun = new AtomicInteger();
        AtomicInteger ranAgain = new AtomicInteger();
        List<Thread> clients = new ArrayList<>();
        for (int c = 0; c < CLIENTS; c++) {
            Thread client = new Thread(() -> {
                try (Client connection = new Client(deployment, deployment.ip(0))) {
                    for (int i = 0; i < BOOKINGS; i++) {
                        int executions = 0;
                        for (int attempt = 0; attempt <= RETRIES; attempt++) {
                            Client.Result result =
                                    connection.call("POST", "/bookings/hire", new byte[300], 4_000, true);
                            boolean ran = runs.containsKey(result.id());
                            executions += ran ? 1 : 0;
                            answered.incrementAndGet();
                            if (result.status() != 503 && result.status() != 429) {
                                break;
                            }
                            refusedAndRun.addAndGet(ran ? 1 : 0);
                            Thread.sleep(200);
                        }
                        ranAgain.addAndGet(executions > 1 ? 1 : 0);
                        Thread.sleep(50);
                    }
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                }
            });
            client.setDaemon(true);
            client.start();
            clients.add(client);
        }
        for (Thread client : clients) {
            client.join(90_000);
        }
        boolean broken = refusedAndRun.get() > 0;
        String verdict = answered + " unsafe requests, " + refusedAndRun + " of them answered 503 although they had run; "
                + ranAgain + " of " + CLIENTS * BOOKINGS + " bookings ran more than once after the client's retry; REFUSED "
                + (broken ? "is broken" : "holds");
        deployment.log.line(verdict);
        System.out.println(verdict);
        return broken;
    }
}
