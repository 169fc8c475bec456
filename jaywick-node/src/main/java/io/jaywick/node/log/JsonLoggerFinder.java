package io.jaywick.node.log;

import java.time.InstantSource;

/**
 * Makes the runtime's {@link System.Logger} write JSON lines on standard error. The system property
 * {@code jaywick.log.level} sets the least level, by default INFO.
 */
public final class JsonLoggerFinder extends System.LoggerFinder {

    private static final String LEVEL_PROPERTY = "jaywick.log.level";

    private static volatile String node;

    private final System.Logger.Level threshold = threshold(System.getProperty(LEVEL_PROPERTY));

    /** Called by the service loader. */
    public JsonLoggerFinder() {}

    /** Sets the server name that later lines of this process carry. */
    public static void setNode(String server) {
        node = server;
    }

    static String node() {
        return node;
    }

    @Override
    public System.Logger getLogger(String name, Module module) {
        return new JsonLogger(name, threshold, InstantSource.system(), line -> System.err.println(line));
    }

    private static System.Logger.Level threshold(String name) {
        for (System.Logger.Level level : System.Logger.Level.values()) {
            if (level.getName().equalsIgnoreCase(name)) {
                return level;
            }
        }
        return System.Logger.Level.INFO;
    }
}
