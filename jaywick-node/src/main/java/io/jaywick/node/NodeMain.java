package io.jaywick.node;

import java.io.PrintStream;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.Random;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;

import io.jaywick.core.settings.NodeSettings;
import io.jaywick.node.log.JsonLoggerFinder;
import io.jaywick.node.log.LibraryLogs;
import io.jaywick.node.settings.SettingsException;
import io.jaywick.node.settings.SettingsReader;
import io.jaywick.node.settings.SocketAddressParser;
import io.jaywick.node.source.HttpConfigSource;
import io.jaywick.node.source.HttpInstanceList;
import io.jaywick.node.trace.SpanLogExporter;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;
import reactor.core.scheduler.Scheduler;
import reactor.core.scheduler.Schedulers;
import reactor.netty.resources.LoopResources;

/**
 * Entry point of {@code jaywick-node}. Usage lines go to standard output, logs and spans to standard error. The exit
 * status is 2 for an invalid command line or settings file. SIGTERM shuts the node down gracefully.
 */
public final class NodeMain {

    private static final Logger LOG = System.getLogger(NodeMain.class.getName());

    private static final int EXIT_USAGE = 2;
    private static final int LOOP_THREADS = 2;
    /** Time allowed for closing the node after the calls in flight have drained. */
    private static final long CLOSE_MARGIN_MILLIS = 5_000;

    private NodeMain() {}

    public static void main(String[] args) throws InterruptedException {
        LibraryLogs.redirect();
        int exitStatus = run(args, System.out, System.err);
        if (exitStatus != 0) {
            System.exit(exitStatus);
        }
        Thread.currentThread().join();
    }

    private static int run(String[] args, PrintStream out, PrintStream err) {
        Options options = new Options()
                .addOption(null, "settings", true, "settings file (TOML)")
                .addOption(null, "first-start", false, "no node of the fleet ran within the last grant period")
                .addOption(null, "help", false, "print this help");
        try {
            CommandLine commandLine =
                    DefaultParser.builder().setAllowPartialMatching(false).get().parse(options, args);
            if (commandLine.hasOption("help")) {
                out.println("usage: jaywick-node --settings FILE [--first-start]");
                System.exit(0);
            }
            if (!commandLine.hasOption("settings") || !commandLine.getArgList().isEmpty()) {
                throw new ParseException("usage: jaywick-node --settings FILE [--first-start]");
            }
            start(
                    SettingsReader.read(Path.of(commandLine.getOptionValue("settings"))),
                    commandLine.hasOption("first-start"),
                    out,
                    err);
            return 0;
        } catch (ParseException | SettingsException e) {
            err.println("jaywick-node: " + e.getMessage());
            return EXIT_USAGE;
        }
    }

    private static void start(NodeSettings settings, boolean firstStart, PrintStream out, PrintStream err) {
        JsonLoggerFinder.setNode(settings.node().server());
        Scheduler scheduler = Schedulers.newParallel("node", LOOP_THREADS);
        LoopResources loops = LoopResources.create("loop", LOOP_THREADS, true);
        InetSocketAddress platform = SocketAddressParser.parse(settings.source().address());
        HttpConfigSource source = new HttpConfigSource(platform, scheduler);
        HttpInstanceList instances = new HttpInstanceList(platform, scheduler);
        Node node = new Node(
                settings,
                new NodeEnvironment(
                        source,
                        instances,
                        out::println,
                        new SpanLogExporter(err::println),
                        snapshot -> LOG.log(
                                Level.INFO,
                                () -> "revision " + snapshot.revision() + " is active, hash "
                                        + snapshot.content().hash().prefix()),
                        link -> link,
                        scheduler,
                        loops,
                        new Random(),
                        System.currentTimeMillis(),
                        firstStart));
        Runtime.getRuntime().addShutdownHook(new Thread(() -> shutDown(node, settings), "shutdown"));
        node.start();
    }

    private static void shutDown(Node node, NodeSettings settings) {
        try {
            node.shutDown().get(settings.calls().drainMillis() + CLOSE_MARGIN_MILLIS, TimeUnit.MILLISECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } catch (ExecutionException | TimeoutException e) {
            LOG.log(Level.ERROR, "graceful shutdown failed or timed out, aborting calls in flight", e);
            node.close();
        }
    }
}
