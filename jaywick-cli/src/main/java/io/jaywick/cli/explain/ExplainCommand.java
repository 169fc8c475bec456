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

/** Leads from a request's id to its cause, from the logs of any number of nodes. */
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
        return "Tells one request's story from the logs of the nodes.";
    }

    @Override
    public Options options() {
        return new Options().addOption(null, "json", false, "print one JSON object");
    }

    @Override
    public int run(CommandLine line, PrintStream out, PrintStream err) throws JsonProcessingException {
        List<String> arguments = line.getArgList();
        if (arguments.size() < 2) {
            throw new UsageException("usage: jaywick explain " + usage());
        }
        List<Path> files = new ArrayList<>();
        for (String file : arguments.subList(1, arguments.size())) {
            files.add(Path.of(file));
        }
        LogLines logs = new LogLines(files);
        RequestStory story = RequestStory.read(arguments.get(0), logs);
        if (logs.damaged() > 0) {
            err.println(logs.damaged() + " lines could not be read");
        }
        if (story.events().isEmpty()) {
            err.println("no line names the request " + arguments.get(0));
            return NOT_FOUND;
        }
        if (line.hasOption("json")) {
            out.println(new ObjectMapper().writeValueAsString(json(story)));
        } else {
            print(story, out);
        }
        return 0;
    }

    private static Set<String> nodes(RequestStory story) {
        Set<String> nodes = new LinkedHashSet<>();
        for (LogLine event : story.events()) {
            nodes.add(event.node());
        }
        return nodes;
    }

    private static void print(RequestStory story, PrintStream out) {
        for (LogLine event : story.events()) {
            out.println(event.time() + " " + event.node() + " " + event.requestId() + " " + event.message() + " "
                    + event.fields());
        }
        Instant end = story.events().get(story.events().size() - 1).time();
        for (String node : nodes(story)) {
            out.println();
            out.println("what " + node + " had come to believe in the " + RequestStory.BELIEF_WINDOW.toSeconds()
                    + " s before:");
            for (LogLine belief : story.beliefs(node)) {
                double age = Duration.between(belief.time(), end).toMillis() / 1_000.0;
                out.println("  " + age + " s earlier: " + belief.message() + " " + belief.fields());
            }
        }
    }

    private static Map<String, Object> json(RequestStory story) {
        Map<String, Object> beliefs = new LinkedHashMap<>();
        for (String node : nodes(story)) {
            beliefs.put(node, objects(story.beliefs(node)));
        }
        return Map.of("events", objects(story.events()), "beliefs", beliefs);
    }

    private static List<Map<String, Object>> objects(List<LogLine> lines) {
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
