package io.jaywick.cli.check;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.jaywick.cli.CommandResult;
import io.jaywick.core.table.TableLimits;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsInAnyOrder;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.lessThan;

class CheckCommandTestCase {

    private static final Path BAD = Path.of("src", "test", "resources", "tables", "bad");

    static Stream<Path> badDirectories() throws IOException {
        return Files.list(BAD).sorted();
    }

    /** Guards against a defect that is missed, reported at a wrong location, or followed by consequential problems. */
    @ParameterizedTest
    @MethodSource("badDirectories")
    void reportsExactlyTheExpectedProblems(Path directory) throws IOException {
        CommandResult result = CommandResult.of("check", directory.toString(), "--json");
        assertThat(result.status(), equalTo(1));
        List<String> problems = new ArrayList<>();
        for (JsonNode problem : new ObjectMapper().readTree(result.out()).get("problems")) {
            problems.add(problem.get("type").asText() + " " + orDash(problem.get("sheet")) + " " + problem.get("row")
                    + " " + orDash(problem.get("column")));
        }
        List<String> expected = Files.readAllLines(directory.resolve("expected.txt"));
        assertThat(problems, containsInAnyOrder(expected.toArray(String[]::new)));
    }

    /** Guards against an example fleet that is rejected, or whose size differs from the requirements. */
    @ParameterizedTest
    @ValueSource(strings = {"tarfur", "magnolia"})
    void acceptsTheExampleFleets(String fleet) throws IOException {
        CommandResult result = CommandResult.of("check", "../examples/" + fleet, "--json");
        assertThat(result.out(), result.status(), equalTo(0));
        JsonNode rows = new ObjectMapper().readTree(result.out()).get("rows");
        assertThat(rows.get("data-centres").asInt(), equalTo(6));
        assertThat(rows.get("servers").asInt(), equalTo(18));
        assertThat(rows.get("services").asInt(), equalTo(3));
    }

    /** Guards against a missing directory that is reported as a rejected table. */
    @Test
    void exitsWithTwoForMissingDirectory(@TempDir Path directory) {
        CommandResult result =
                CommandResult.of("check", directory.resolve("absent").toString());
        assertThat(result.status(), equalTo(2));
        assertThat(result.err(), containsString("is not a directory"));
        assertThat(CommandResult.of("check").status(), equalTo(2));
    }

    /** Guards against an unreadable sheet that is treated as missing; here a directory has the name of the sheet. */
    @Test
    void exitsWithTwoForUnreadableSheet(@TempDir Path directory) throws IOException {
        Files.createDirectory(directory.resolve("servers.csv"));
        assertThat(CommandResult.of("check", directory.toString()).status(), equalTo(2));
    }

    /** Guards against a packed table that exceeds the value size limit of the configuration service. */
    @Test
    void rejectsValueOverOneMegabyte(@TempDir Path directory) throws IOException {
        assertThat(
                CommandResult.of("generate", "--seed", "1", "--out", directory.toString())
                        .status(),
                equalTo(0));
        StringBuilder rows = new StringBuilder(Files.readString(directory.resolve("parties.csv")));
        for (int i = 0; rows.length() <= TableLimits.MAX_VALUE_BYTES; i++) {
            rows.append("extra-").append(i).append(",1,1000,0,,1\n");
        }
        Files.writeString(directory.resolve("parties.csv"), rows);
        Path out = directory.resolve("packed");
        CommandResult result = CommandResult.of("pack", directory.toString(), "--out", out.toString());
        assertThat(result.status(), equalTo(1));
        assertThat(result.out(), containsString("VALUE_TOO_LARGE"));
        assertThat("a rejected table is not written", Files.exists(out), equalTo(false));
    }

    /** Guards against generated tables that differ between runs, are rejected, or exceed the size limit. */
    @Test
    void generatesTheSameTableOfTheDesignSize(@TempDir Path directory) throws IOException {
        for (String run : List.of("a", "b")) {
            String tables = directory.resolve(run).toString();
            assertThat(
                    CommandResult.of("generate", "--seed", "7", "--out", tables).status(), equalTo(0));
            String packed = directory.resolve(run + ".packed").toString();
            assertThat(CommandResult.of("pack", tables, "--out", packed).status(), equalTo(0));
        }
        assertThat(Files.mismatch(directory.resolve("a.packed"), directory.resolve("b.packed")), equalTo(-1L));
        assertThat(Files.size(directory.resolve("a.packed")), lessThan((long) TableLimits.MAX_VALUE_BYTES));
        assertThat(Files.readAllLines(directory.resolve("a/servers.csv")), hasSize(3_701));
        assertThat(Files.readAllLines(directory.resolve("a/services.csv")), hasSize(611));
    }

    private static String orDash(JsonNode text) {
        return text.asText().isEmpty() ? "-" : text.asText();
    }
}
