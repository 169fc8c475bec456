import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A trial, not a case: one answer in fifty is the start of a head with status 200, cut within a header, and behind it a
 * second head whose status is none.
 */
final class MergedHeadTrial {

    private static final int REQUESTS = 1_500;
    private static final int SPOILT_ONE_IN = 50;
    private static final String[] SECOND_STATUS = {"0500", "20", "2000", "-1", "000", "500"};

    private MergedHeadTrial() {}

    public static void main(String[] args) {
        Deployment.runCase(args, MergedHeadTrial::run);
    }

    private static boolean run(Deployment deployment, boolean trouble) throws Exception {
        deployment.writeConfig(
                7,
                List.of(Deployment.route("r-browse", "/catalogue/", "safe", "1500ms", "500ms", "catalogue")),
                List.of("catalogue"));
        AtomicInteger answers = new AtomicInteger();
        Map<String, String> spoilt = new ConcurrentHashMap<>();
        AppServer server = deployment.addServer(0, "catalogue", "a");
        server.workMillis = 5;
        server.behaviour = (app, request, in, out, socket) -> {
            String id = request.header("Jaywick-Request-Id");
            app.run(request);
            int number = answers.incrementAndGet();
            if (!trouble || number % SPOILT_ONE_IN != 0) {
                app.answer(out, id, 400);
                return true;
            }
            String status = SECOND_STATUS[number / SPOILT_ONE_IN % SECOND_STATUS.length];
            spoilt.put(id, status);
            Http.write(
                    out,
                    "HTTP/1.1 200 OK\r\nServer: appHTTP/1.1 " + status + " Internal Server Error\r\nJaywick-Request-Id: " + id
                            + "\r\nJaywick-Server-Stamp: 3e1b.07.5a2." + id + "\r\nContent-Length: 5\r\n\r\nerror",
                    new byte[0]);
            return true;
        };
        deployment.startNode(0, "catalogue", "a", "north", "a = \"north\"\n");
        deployment.nodes.get(0).awaitReady(20_000);
        Thread.sleep(1_000);
        Map<String, Integer> outcomes = new TreeMap<>();
        Set<Integer> successes = ConcurrentHashMap.newKeySet();
        try (Client client = new Client(deployment, deployment.ip(0))) {
            for (int i = 0; i < REQUESTS; i++) {
                Client.Result result = client.call("GET", "/catalogue/item", new byte[0], 1_500, true);
                String status = spoilt.get(result.id());
                if (status != null) {
                    outcomes.merge("second status " + status + ": client got " + result.status(), 1, Integer::sum);
                    if (result.status() == 200) {
                        successes.add(i);
                    }
                }
            }
        }
        if (answers.get() < REQUESTS) {
            throw new IllegalStateException("not all requests reached the server");
        }
        String verdict = outcomes + "; MIXED " + (successes.isEmpty() ? "holds" : "is broken");
        deployment.log.line(verdict);
        System.out.println(verdict);
        return !successes.isEmpty();
    }
}
