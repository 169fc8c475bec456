import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A trial, not a case: a truncated second answer to the request before stands in front of a failure, and a second answer
 * with status 200 behind it. The truncated one is cut within its body, so that its remainder is the failure.
 */
final class SwallowedAnswerTrial {

    private static final int REQUESTS = 1_500;
    private static final int SPOILT_ONE_IN = 50;
    private static final int MIN_SPOILT = 20;
    private static final String FORM_OF_COPY = "chunked copy cut in its last chunk line";
    private static final String FORM_OF_LENGTH = "copy with a length, missing as much as the failure has";
    private static final String FORM_WHOLE = "whole copy";

    private SwallowedAnswerTrial() {}

    public static void main(String[] args) {
        Deployment.runCase(args, SwallowedAnswerTrial::run);
    }

    private static String head(int status, String id) {
        return "HTTP/1.1 " + status + " Answer\r\nJaywick-Request-Id: " + id + "\r\nJaywick-Server-Stamp: 3e1b.07.5a2." + id
                + "\r\n";
    }

    private static String failure(String id) {
        return head(503, id) + "Jaywick-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n";
    }

    /** Returns a second answer to the request before, in one of three forms. */
    private static String copy(String form, String lastId, int failureLength) {
        if (form.equals(FORM_OF_COPY)) {
            return head(200, lastId) + "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r";
        }
        if (form.equals(FORM_OF_LENGTH)) {
            return head(200, lastId) + "Content-Length: " + (failureLength + 20) + "\r\n\r\n" + "x".repeat(20);
        }
        return head(200, lastId) + "Content-Length: 2\r\n\r\nok";
    }

    private static boolean run(Deployment deployment, boolean trouble) throws Exception {
        deployment.writeConfig(
                7,
                List.of(Deployment.route("r-browse", "/catalogue/", "safe", "1500ms", "500ms", "catalogue")),
                List.of("catalogue"));
        AtomicInteger answers = new AtomicInteger();
        Map<String, String> spoilt = new ConcurrentHashMap<>();
        Map<Object, String> lastIds = new ConcurrentHashMap<>();
        String[] forms = {FORM_OF_COPY, FORM_OF_LENGTH, FORM_WHOLE};
        AppServer server = deployment.addServer(0, "catalogue", "a");
        server.workMillis = 5;
        server.behaviour = (app, request, in, out, socket) -> {
            String id = request.header("Jaywick-Request-Id");
            String lastId = lastIds.put(socket, id);
            int number = answers.incrementAndGet();
            if (number % SPOILT_ONE_IN != 0 || lastId == null) {
                app.run(request);
                app.answer(out, id, 400);
                return true;
            }
            String form = forms[number / SPOILT_ONE_IN % forms.length];
            spoilt.put(id, form);
            String failure = failure(id);
            String copies = trouble
                    ? copy(form, lastId, failure.length()) + failure + head(200, id) + "Content-Length: 2\r\n\r\nok"
                    : failure;
            out.write(copies.getBytes(StandardCharsets.ISO_8859_1));
            out.flush();
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
                String form = spoilt.get(result.id());
                if (form != null) {
                    outcomes.merge("503 behind a " + form + ": client got " + result.status(), 1, Integer::sum);
                    if (result.status() == 200) {
                        successes.add(i);
                    }
                }
            }
        }
        if (spoilt.size() < MIN_SPOILT) {
            throw new IllegalStateException("only " + spoilt.size() + " answers of the server were failures");
        }
        String verdict = outcomes + "; MIXED " + (successes.isEmpty() ? "holds" : "is broken");
        deployment.log.line(verdict);
        System.out.println(verdict);
        return !successes.isEmpty();
    }
}
