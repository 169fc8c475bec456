import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** The platform's store, as PROTOCOL.md describes it: one revision counter, range reads, and watches that wait. */
final class Store {

    private static final int PAGE = 500;

    private record Item(String key, byte[] value, long revision, long created) {}

    private final TreeMap<String, Item> items = new TreeMap<>();
    private final List<Item> events = new ArrayList<>();
    private final Deployment.Record log;
    private long revision = 400;

    Store(String ip, int port, Deployment.Record log) throws IOException {
        this.log = log;
        ServerSocket listener = new ServerSocket(port, 200, InetAddress.getByName(ip));
        Thread acceptor = new Thread(() -> accept(listener), "store");
        acceptor.setDaemon(true);
        acceptor.start();
    }

    synchronized long put(String key, String value) {
        revision++;
        Item old = items.get(key);
        Item item = new Item(key, value.getBytes(StandardCharsets.UTF_8), revision, old == null ? revision : old.created());
        items.put(key, item);
        events.add(item);
        notifyAll();
        return revision;
    }

    synchronized void remove(String key) {
        revision++;
        items.remove(key);
        events.add(new Item(key, null, revision, 0));
        notifyAll();
    }

    private void accept(ServerSocket listener) {
        while (true) {
            try {
                Socket socket = listener.accept();
                Thread thread = new Thread(() -> serve(socket), "store-connection");
                thread.setDaemon(true);
                thread.start();
            } catch (IOException e) {
                return;
            }
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            socket.setTcpNoDelay(true);
            InputStream in = new BufferedInputStream(socket.getInputStream());
            OutputStream out = socket.getOutputStream();
            Http.Message request;
            while ((request = Http.read(in)) != null) {
                String target = request.startLine().split(" ")[1];
                int question = target.indexOf('?');
                Map<String, String> query = query(question < 0 ? "" : target.substring(question + 1));
                String path = question < 0 ? target : target.substring(0, question);
                String body = switch (path) {
                    case "/-/kv-range" -> range(query);
                    case "/-/kv-watch" -> watch(query);
                    default -> null;
                };
                byte[] bytes = (body == null ? "{}" : body).getBytes(StandardCharsets.UTF_8);
                Http.write(out, "HTTP/1.1 " + (body == null ? "404 Not Found" : "200 OK")
                        + "\r\nContent-Type: application/json\r\nContent-Length: " + bytes.length + "\r\n\r\n", bytes);
            }
        } catch (IOException | InterruptedException e) {
            // The node has closed the connection.
        }
    }

    private static Map<String, String> query(String text) {
        Map<String, String> query = new HashMap<>();
        for (String part : text.split("&")) {
            int equals = part.indexOf('=');
            if (equals > 0) {
                query.put(part.substring(0, equals), URLDecoder.decode(part.substring(equals + 1), StandardCharsets.UTF_8));
            }
        }
        return query;
    }

    private synchronized String range(Map<String, String> query) {
        StringBuilder page = new StringBuilder();
        int count = 0;
        boolean hasMore = false;
        String after = query.getOrDefault("after", "");
        for (Item item : items.tailMap(after, after.isEmpty()).values()) {
            if (!item.key().startsWith(query.getOrDefault("prefix", ""))) {
                continue;
            }
            if (count == PAGE) {
                hasMore = true;
                break;
            }
            page.append(count++ == 0 ? "" : ",").append(json(item));
        }
        return "{\"items\":[" + page + "],\"has-more\":" + hasMore + ",\"current-rev\":" + revision + "}";
    }

    private synchronized String watch(Map<String, String> query) throws InterruptedException {
        long after = Long.parseLong(query.get("after"));
        long end = System.nanoTime() + Long.parseLong(query.getOrDefault("wait-ms", "0")) * 1_000_000;
        while (true) {
            StringBuilder found = new StringBuilder();
            for (Item event : events) {
                if (event.revision() > after && event.key().startsWith(query.getOrDefault("prefix", ""))) {
                    found.append(found.length() == 0 ? "" : ",").append(json(event));
                }
            }
            long millis = (end - System.nanoTime()) / 1_000_000;
            if (found.length() > 0 || millis <= 0) {
                return "{\"events\":[" + found + "],\"current-rev\":" + revision + "}";
            }
            wait(millis);
        }
    }

    private static String json(Item item) {
        return item.value() == null
                ? "{\"key\":\"" + item.key() + "\",\"revision\":" + item.revision() + ",\"tombstone\":true}"
                : "{\"key\":\"" + item.key() + "\",\"value\":\"" + Base64.getEncoder().encodeToString(item.value())
                        + "\",\"revision\":" + item.revision() + ",\"created\":" + item.created() + ",\"lease\":0}";
    }
}
