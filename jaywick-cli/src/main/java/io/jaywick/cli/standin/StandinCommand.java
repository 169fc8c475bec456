package io.jaywick.cli.standin;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

import io.jaywick.cli.Command;
import io.jaywick.cli.UsageException;
import io.jaywick.cli.check.TableDirectory;
import io.jaywick.core.settings.ListenSettings;
import io.jaywick.core.snapshot.Server;
import io.jaywick.core.snapshot.Snapshot;
import io.jaywick.core.snapshot.SnapshotBuilder;
import io.jaywick.core.table.PackedTable;
import io.jaywick.core.verdict.TableVerdict;
import io.jaywick.node.source.InstanceEntry;
import io.jaywick.node.source.InstanceState;
import io.jaywick.standin.instances.FakeInstanceList;
import io.jaywick.standin.source.FakeConfigService;
import io.jaywick.standin.source.PlatformServer;
import io.jaywick.standin.target.TargetBehaviour;
import io.jaywick.standin.target.TargetModel;
import io.jaywick.standin.target.TargetServer;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;
import reactor.core.publisher.Flux;
import reactor.core.scheduler.Scheduler;
import reactor.core.scheduler.Schedulers;

/**
 * Runs a configuration service, an instance list and one target per server on loopback for the table in a directory,
 * and writes a settings file for each node. Each change in the directory is published as the next revision, whether
 * nodes accept it or reject it.
 */
public final class StandinCommand implements Command {

    private static final Duration POLL_INTERVAL = Duration.ofMillis(200);
    private static final int PORTS_PER_NODE = 4;
    private static final int THREAD_COUNT = 4;
    private static final long SERVICE_MILLIS = 4;
    private static final int COLD_FACTOR = 3;
    private static final double FALL_OVER_FACTOR = 3.0;
    private static final long RESTART_MILLIS = 1_000;

    @Override
    public String name() {
        return "standin";
    }

    @Override
    public String usage() {
        return "DIRECTORY --settings DIRECTORY --seconds N [--base-port PORT] [--source-region REGION]";
    }

    @Override
    public String summary() {
        return "Simulates the platform on loopback, so that nodes can be tried as separate processes.";
    }

    @Override
    public Options options() {
        return new Options()
                .addRequiredOption(
                        null, "settings", true, "directory to which the settings file of each node is written")
                .addRequiredOption(null, "seconds", true, "seconds after which the command ends")
                .addOption(null, "base-port", true, "first port; each node gets four consecutive ones (default 17400)")
                .addOption(
                        null,
                        "source-region",
                        true,
                        "region of the configuration service (default: region of the first server)");
    }

    @Override
    public int run(CommandLine line, PrintStream out, PrintStream err) throws IOException {
        if (line.getArgs().length != 1) {
            throw new UsageException("expected one DIRECTORY");
        }
        Path directory = Path.of(line.getArgs()[0]);
        Duration duration = Duration.ofSeconds(parseIntOption(line, "seconds", 0));
        byte[] initialValue = PackedTable.pack(TableDirectory.read(directory));
        TableVerdict verdict = TableVerdict.ofPacked(initialValue);
        if (!verdict.accepted()) {
            throw new UsageException("the table is rejected; see 'jaywick check " + directory + "'");
        }
        Snapshot table = SnapshotBuilder.build(1, verdict.content());
        Scheduler scheduler = Schedulers.newParallel("standin", THREAD_COUNT, true);
        FakeConfigService source = new FakeConfigService(scheduler);
        FakeInstanceList instances = new FakeInstanceList(scheduler);
        source.publish(initialValue);
        List<TargetServer> targets = new ArrayList<>();
        try (PlatformServer platform = new PlatformServer(source, instances)) {
            String address = "127.0.0.1:" + platform.address().getPort();
            Path settings = Files.createDirectories(Path.of(line.getOptionValue("settings")));
            String region = line.getOptionValue(
                    "source-region",
                    table.servers().values().iterator().next().dataCentre().region());
            int port = parseIntOption(line, "base-port", 17_400);
            for (Server server : table.servers().values()) {
                TargetServer target = startTarget(server, table, scheduler);
                targets.add(target);
                ListenSettings listen = new ListenSettings(
                        loopbackAddress(port),
                        loopbackAddress(port + 1),
                        loopbackAddress(port + 2),
                        loopbackAddress(port + 3));
                Files.writeString(
                        settings.resolve(server.name() + ".toml"),
                        NodeSettingsFile.format(server, listen, target.address(), address, region));
                instances.put(instanceEntry(server, listen));
                port += PORTS_PER_NODE;
            }
            out.println("platform on " + address + ", " + targets.size() + " targets, settings in " + settings);
            publishChanges(directory, initialValue, source, out, duration);
            out.println("calls to the configuration service: " + source.callCount());
            for (TargetServer target : targets) {
                out.println(
                        "runs " + target.address() + " " + target.model().runs().size());
            }
        } finally {
            targets.forEach(TargetServer::close);
            scheduler.dispose();
        }
        return 0;
    }

    private static void publishChanges(
            Path directory, byte[] initialValue, FakeConfigService source, PrintStream out, Duration duration) {
        byte[][] lastPublished = {initialValue};
        Flux.interval(POLL_INTERVAL)
                .take(duration)
                .doOnNext(tick -> {
                    byte[] current = PackedTable.pack(TableDirectory.read(directory));
                    if (!Arrays.equals(current, lastPublished[0])) {
                        lastPublished[0] = current;
                        out.println("published revision " + source.publish(current));
                    }
                })
                .blockLast();
    }

    private static TargetServer startTarget(Server server, Snapshot table, Scheduler scheduler) {
        int slots = table.services().get(server.service()).slotsPerServer();
        int cold = table.services().get(server.service()).coldStartCalls();
        TargetBehaviour behaviour =
                new TargetBehaviour(slots, cold, SERVICE_MILLIS, COLD_FACTOR, FALL_OVER_FACTOR, RESTART_MILLIS);
        return new TargetServer(server.name(), new TargetModel(behaviour, System::nanoTime), scheduler, null);
    }

    private static InstanceEntry instanceEntry(Server server, ListenSettings listen) {
        return new InstanceEntry(
                server.name(),
                server.dataCentre().name(),
                server.dataCentre().region(),
                server.service(),
                listen.peerAddress(),
                listen.ingressAddress(),
                InstanceState.LIVE);
    }

    private static String loopbackAddress(int port) {
        return "127.0.0.1:" + port;
    }

    private static int parseIntOption(CommandLine line, String option, int defaultValue) {
        String value = line.getOptionValue(option, Integer.toString(defaultValue));
        if (!value.matches("[0-9]{1,5}")) {
            throw new UsageException("--" + option + " '" + value + "' is not a whole number from 0 to 99999");
        }
        return Integer.parseInt(value);
    }
}
