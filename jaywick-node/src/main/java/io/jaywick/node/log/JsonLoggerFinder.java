package io.jaywick.node.log;

import java.io.PrintStream;
import java.time.InstantSource;

/**
 * Provides the {@link System.Logger} instances of the runtime, which write JSON lines to standard error or to another
 * stream. The system property {@code jaywick.log.level} sets the minimum level, INFO by default.
 */
public final class JsonLoggerFinder extends System.LoggerFinder {

    private static final String LEVEL_PROPERTY = "jaywick.log.level";

    private static volatile String node;
    private static volatile PrintStream output = System.err;

    private final System.Logger.Level parseThreshold = parseThreshold(System.getProperty(LEVEL_PROPERTY));

    /** Called by the service loader. */
    public JsonLoggerFinder() {}

    /** Sets the server name that subsequent lines of this process contain. */
    public static void setNode(String server) {
        node = server;
    }

    /** Sets the stream for subsequent lines, standard error by default. */
    public static void setOutput(PrintStream stream) {
        output = stream;
    }

    static String node() {
        return node;
    }

    @Override
    public System.Logger getLogger(String name, Module module) {
        return new JsonLogger(name, parseThreshold, InstantSource.system(), line -> output.println(line));
    }

    private static System.Logger.Level parseThreshold(String name) {
        for (System.Logger.Level level : System.Logger.Level.values()) {
            if (level.getName().equalsIgnoreCase(name)) {
                return level;
            }
        }
        return System.Logger.Level.INFO;
    }
}
