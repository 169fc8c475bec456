package review;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;

/** Writes one line for each event to a file; the first column is the time in milliseconds since the start. */
final class Recorder implements AutoCloseable {

    private final long startNanos = System.nanoTime();
    private final PrintWriter writer;

    Recorder(Path file) throws IOException {
        writer = new PrintWriter(Files.newBufferedWriter(file, StandardCharsets.UTF_8));
    }

    long millis() {
        return (System.nanoTime() - startNanos) / 1_000_000;
    }

    synchronized void add(String event, Object... namesAndValues) {
        StringBuilder line = new StringBuilder(String.format("%8d %s", millis(), event));
        for (int i = 0; i + 1 < namesAndValues.length; i += 2) {
            line.append(' ').append(namesAndValues[i]).append('=').append(namesAndValues[i + 1]);
        }
        writer.println(line);
        writer.flush();
    }

    @Override
    public void close() {
        writer.close();
    }
}
