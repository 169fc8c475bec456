package review;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
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

/** Stand-in of the platform's metadata store: reads, watches and a full history. It is always up. */
final class Store implements AutoCloseable {

    private record Item(String key, byte[] value, long revision, long created) {}

    private final ServerSocket listener;
    private final TreeMap<String, Item> items = new TreeMap<>();
    private final List<Item> history = new ArrayList<>();
    private long revision = 100;

    Store(String host, int port) throws IOException {
        listener = new ServerSocket(port, 256, InetAddress.getByName(host));
        daemon(this::accept, "store");
    }

    static void daemon(Runnable task, String name) {
        Thread thread = new Thread(task, name);
        thread.setDaemon(true);
        thread.start();
    }

    synchronized void put(String key, String json) {
        revision++;
        Item known = items.get(key);
        Item item = new Item(
                key, json.getBytes(StandardCharsets.UTF_8), revision, known == null ? revision : known.created);
        items.put(key, item);
        history.add(item);
        notifyAll();
    }

    synchronized void remove(List<String> keys) {
        for (String key : keys) {
            revision++;
            items.remove(key);
            history.add(new Item(key, null, revision, 0));
        }
        notifyAll();
    }

    private void accept() {
        while (!listener.isClosed()) {
            try {
                Socket socket = listener.accept();
                socket.setTcpNoDelay(true);
                daemon(() -> serve(socket), "store connection");
            } catch (IOException e) {
                return;
            }
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            InputStream in = new BufferedInputStream(socket.getInputStream());
            for (HttpMessage request = HttpMessage.read(in); request != null; request = HttpMessage.read(in)) {
                byte[] body = answer(request.target()).getBytes(StandardCharsets.UTF_8);
                String head = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: " + body.length
                        + "\r\n\r\n";
                byte[] bytes = new byte[head.length() + body.length];
                System.arraycopy(head.getBytes(StandardCharsets.US_ASCII), 0, bytes, 0, head.length());
                System.arraycopy(body, 0, bytes, head.length(), body.length);
                socket.getOutputStream().write(bytes);
            }
        } catch (IOException | InterruptedException e) {
            // The caller is gone.
        }
    }

    private synchronized String answer(String target) throws InterruptedException {
        Map<String, String> query = new HashMap<>();
        int mark = target.indexOf('?');
        if (mark >= 0) {
            for (String part : target.substring(mark + 1).split("&")) {
                int equals = part.indexOf('=');
                query.put(
                        part.substring(0, equals),
                        URLDecoder.decode(part.substring(equals + 1), StandardCharsets.UTF_8));
            }
        }
        String prefix = query.getOrDefault("prefix", "");
        List<String> rows = new ArrayList<>();
        if (target.startsWith("/-/kv-watch")) {
            long after = Long.parseLong(query.get("after"));
            long endNanos = System.nanoTime() + Long.parseLong(query.get("wait-ms")) * 1_000_000;
            while (rows.isEmpty()) {
                for (Item item : history) {
                    if (item.revision > after && item.key.startsWith(prefix)) {
                        rows.add(json(item));
                    }
                }
                long leftMillis = (endNanos - System.nanoTime()) / 1_000_000;
                if (rows.isEmpty() && leftMillis <= 0) {
                    break;
                }
                if (rows.isEmpty()) {
                    wait(leftMillis);
                }
            }
            return "{\"events\":[" + String.join(",", rows) + "],\"current-rev\":" + revision + "}";
        }
        for (Item item : items.tailMap(query.getOrDefault("after", ""), false).values()) {
            if (item.key.startsWith(prefix)) {
                rows.add(json(item));
            }
        }
        return "{\"items\":[" + String.join(",", rows) + "],\"has-more\":false,\"current-rev\":" + revision + "}";
    }

    private static String json(Item item) {
        String start = "{\"key\":\"" + item.key + "\",\"revision\":" + item.revision;
        return item.value == null
                ? start + ",\"tombstone\":true}"
                : start + ",\"value\":\"" + Base64.getEncoder().encodeToString(item.value) + "\",\"created\":"
                        + item.created + ",\"lease\":0}";
    }

    @Override
    public void close() throws IOException {
        listener.close();
    }
}
