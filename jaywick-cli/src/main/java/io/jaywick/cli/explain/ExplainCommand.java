package io.jaywick.cli.explain;

import java.io.PrintStream;
import java.nio.file.Path;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.jaywick.cli.Command;
import io.jaywick.cli.UsageException;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;

/**
 * The command {@code explain}. Collects the log lines of one request from the logs of any number of nodes, together with
 * the lines that these nodes logged shortly before.
 */
public final class ExplainCommand implements Command {

    private static final int NOT_FOUND = 1;

    @Override
    public String name() {
        return "explain";
    }

    @Override
    public String usage() {
        return "ID FILE... [--json]";
    }

    @Override
    public String summary() {
        return "Show the log lines of one request, and what its nodes logged shortly before";
    }

    @Override
    public Options options() {
        return new Options().addOption(null, "json", false, "print one JSON object");
    }

    @Override
    public int run(CommandLine commandLine, PrintStream out, PrintStream err) throws JsonProcessingException {
        List<String> arguments = commandLine.getArgList();
        if (arguments.size() < 2) {
            throw new UsageException("usage: jaywick explain " + usage());
        }
        List<Path> files = new ArrayList<>();
        for (String file : arguments.subList(1, arguments.size())) {
            files.add(Path.of(file));
        }
        LogFileReader logReader = new LogFileReader(files);
        RequestTimeline timeline = RequestTimeline.read(arguments.get(0), logReader);
        if (logReader.damagedLineCount() > 0) {
            err.println(logReader.damagedLineCount() + " lines could not be read");
        }
        if (timeline.events().isEmpty()) {
            err.println("no log line has the request id " + arguments.get(0));
            return NOT_FOUND;
        }
        if (commandLine.hasOption("json")) {
            out.println(new ObjectMapper().writeValueAsString(toJson(timeline)));
        } else {
            print(timeline, out);
        }
        return 0;
    }

    private static Set<String> nodes(RequestTimeline timeline) {
        Set<String> nodes = new LinkedHashSet<>();
        for (LogLine event : timeline.events()) {
            nodes.add(event.node());
        }
        return nodes;
    }

    private static void print(RequestTimeline timeline, PrintStream out) {
        for (LogLine event : timeline.events()) {
            out.println(event.time() + " " + event.node() + " " + event.requestId() + " " + event.message() + " "
                    + event.fields());
        }
        Instant end = timeline.events().get(timeline.events().size() - 1).time();
        for (String node : nodes(timeline)) {
            out.println();
            out.println("logged by " + node + " in the " + RequestTimeline.CONTEXT_WINDOW.toSeconds()
                    + " s before its last line of the request:");
            for (LogLine contextLine : timeline.contextLines(node)) {
                double age = Duration.between(contextLine.time(), end).toMillis() / 1_000.0;
                out.println("  " + age + " s earlier: " + contextLine.message() + " " + contextLine.fields());
            }
        }
    }

    private static Map<String, Object> toJson(RequestTimeline timeline) {
        Map<String, Object> contextLinesByNode = new LinkedHashMap<>();
        for (String node : nodes(timeline)) {
            contextLinesByNode.put(node, toJsonObjects(timeline.contextLines(node)));
        }
        return Map.of("events", toJsonObjects(timeline.events()), "beliefs", contextLinesByNode);
    }

    private static List<Map<String, Object>> toJsonObjects(List<LogLine> lines) {
        List<Map<String, Object>> objects = new ArrayList<>();
        for (LogLine line : lines) {
            Map<String, Object> object = new LinkedHashMap<>();
            object.put("time", line.time().toString());
            object.put("node", line.node());
            if (line.requestId() != null) {
                object.put("requestId", line.requestId());
            }
            object.put("message", line.message());
            object.putAll(line.fields());
            objects.add(object);
        }
        return objects;
    }
}
