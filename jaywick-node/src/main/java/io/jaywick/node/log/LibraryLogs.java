package io.jaywick.node.log;

import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.LogManager;
import java.util.logging.LogRecord;
import java.util.logging.Logger;

import io.netty.util.internal.logging.InternalLoggerFactory;
import io.netty.util.internal.logging.JdkLoggerFactory;
import reactor.util.Loggers;

/** Redirects the logs of Netty and Reactor to {@link System.Logger}, so that they are written as JSON lines too. */
public final class LibraryLogs {

    /** Lost connections are visible in the outcomes of calls and in metrics; a line for each would flood the log. */
    private static final Logger REACTOR_NETTY_LOGGER = Logger.getLogger("reactor.netty");

    private LibraryLogs() {}

    /** Must be called once, before a class of these libraries creates its logger. */
    public static void redirect() {
        InternalLoggerFactory.setDefaultFactory(JdkLoggerFactory.INSTANCE);
        Loggers.useJdkLoggers();
        LogManager.getLogManager().reset();
        Logger root = Logger.getLogger("");
        root.setLevel(Level.WARNING);
        root.addHandler(new SystemLoggerHandler());
        REACTOR_NETTY_LOGGER.setLevel(Level.SEVERE);
    }

    private static final class SystemLoggerHandler extends Handler {

        @Override
        public void publish(LogRecord entry) {
            if (!isLoggable(entry)) {
                return;
            }
            System.Logger.Level level = entry.getLevel().intValue() >= Level.SEVERE.intValue()
                    ? System.Logger.Level.ERROR
                    : System.Logger.Level.WARNING;
            System.getLogger(String.valueOf(entry.getLoggerName())).log(level, entry.getMessage(), entry.getThrown());
        }

        @Override
        public void flush() {
            // Lines are not buffered.
        }

        @Override
        public void close() {
            // Standard error stays open.
        }
    }
}
