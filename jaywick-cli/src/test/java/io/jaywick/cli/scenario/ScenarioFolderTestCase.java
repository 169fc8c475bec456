package io.jaywick.cli.scenario;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.stream.Stream;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.jaywick.cli.CommandLineMain;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;

class ScenarioFolderTestCase {

    private static final Path FOLDER = Path.of("..", "scenarios");
    private static final long SEEDS = 3;

    @TempDir
    Path temporary;

    static List<Path> scenarios() throws IOException {
        try (Stream<Path> files = Files.walk(FOLDER)) {
            return files.filter(file -> file.toString().endsWith(".toml"))
                    .sorted()
                    .toList();
        }
    }

    /** Guards against a promise that no longer holds, and against a runner that no longer detects a violation. */
    @ParameterizedTest
    @MethodSource("scenarios")
    void scenarioGivesTheExpectedResult(Path file) throws IOException {
        Path expectedFile = Path.of(file.toString().replace(".toml", ".expected.json"));
        JsonNode expected = new ObjectMapper().readTree(expectedFile.toFile());
        Set<String> names = new TreeSet<>();
        expected.get("violated").forEach(name -> names.add(name.asText()));
        Scenario scenario = ScenarioFile.read(file);
        for (long seed = 1; seed <= SEEDS; seed++) {
            Set<String> violated = new TreeSet<>();
            ScenarioRunner.run(scenario, seed).violations().forEach(violation -> violated.add(violation.promise()));
            assertThat(file + " seed " + seed, violated, equalTo(names));
        }
    }

    /** Guards against a failing seed that does not reproduce the failure. */
    @Test
    void sameSeedGivesTheSameTrace() {
        String file = FOLDER.resolve("limits").resolve("owner-partition.toml").toString();
        String first = run(1, "scenario", file, "--seeds", "2");
        assertThat(run(1, "scenario", file, "--seeds", "2"), equalTo(first));
        assertThat(first, containsString("reproduce with"));
        assertThat(run(1, "scenario", file, "--seeds", "3"), is(not(equalTo(first))));
    }

    /** Guards against a misspelt key that is silently ignored. */
    @Test
    void unknownKeyEndsWithUsage() throws IOException {
        Path file = Files.writeString(temporary.resolve("a.toml"), "subsystem = \"limits\"\nseconds = 3\n");
        assertThat(run(2, "scenario", file.toString()), containsString("seconds"));
    }

    /** Guards against an unknown action that is silently ignored. */
    @Test
    void unknownActionEndsWithUsage() throws IOException {
        String text = "subsystem = \"limits\"\ndurationMillis = 10\n[fleet]\n[[events]]\natMillis = 1\n"
                + "action = \"explode\"\n[[expectations]]\npromise = \"limit-kept\"\n";
        Path file = Files.writeString(temporary.resolve("b.toml"), text);
        assertThat(run(2, "scenario", file.toString()), containsString("explode"));
    }

    private static String run(int status, String... args) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        PrintStream stream = new PrintStream(bytes, true, StandardCharsets.UTF_8);
        assertThat(CommandLineMain.run(args, stream, stream), equalTo(status));
        return bytes.toString(StandardCharsets.UTF_8);
    }
}
