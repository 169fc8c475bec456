package io.jaywick.node.settings;

import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.List;
import java.util.SplittableRandom;

import io.jaywick.core.settings.NodeSettings;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.allOf;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.not;
import static org.hamcrest.Matchers.startsWith;
import static org.junit.jupiter.api.Assertions.assertThrows;

class SettingsReaderTestCase {

    private static final String VALID_SETTINGS =
            """
            [node]
            server = "catalogue-selfoss"
            dataCentre = "selfoss"
            region = "sudurland"
            service = "catalogue"

            [target]
            address = "127.0.0.1:8080"

            [source]
            address = "[::1]:9000"
            region = "sudurland"
            readersPerRegion = 3

            [peers]
            seedAddresses = "127.0.0.1:7400 127.0.0.2:7400"
            """;

    /** Guards against defaults that differ from the schema and against values that do not reach their record. */
    @Example
    void readsValuesAndDefaults() {
        NodeSettings settings = parse(VALID_SETTINGS);
        assertThat(settings.node().server(), equalTo("catalogue-selfoss"));
        assertThat(settings.source().readersPerRegion(), equalTo(3));
        assertThat(settings.source().minIntervalMillis(), equalTo(4_000L));
        assertThat(settings.listen().peerAddress(), equalTo("127.0.0.1:7400"));
        assertThat(settings.peers().seedAddresses(), contains("127.0.0.1:7400", "127.0.0.2:7400"));
    }

    /** Guards against errors that are reported one at a time or without the key, the value and the allowed values. */
    @Example
    void reportsAllErrorsAtOnce() {
        List<String> errors = errors(VALID_SETTINGS
                .replace("service = \"catalogue\"", "service = \"\"\nrack = 4")
                .replace("readersPerRegion = 3", "readersPerRegion = 17")
                .replace("[::1]:9000", "example.org:80")
                .replace("[target]\naddress = \"127.0.0.1:8080\"", "[target]")
                .replace("127.0.0.2:7400", "127.0.0.2:74000")
                .concat("[calls]\nrampMillis = \"10000\"\nqueueCapacity = 1.5\n[extras]\nx = 1\n"));
        assertThat(errors, hasSize(9));
        assertThat(errors.get(0), allOf(startsWith("node.toml, key node.service: '\"\"' is not allowed")));
        assertThat(errors.get(1), containsString("key target.address: missing; required is a string IP:PORT"));
        assertThat(errors.get(2), containsString("key source.address: '\"example.org:80\"' is not allowed"));
        assertThat(errors.get(3), containsString("'17' is not allowed; allowed is a whole number from 1 to 16"));
        assertThat(errors.get(4), containsString("key peers.seedAddresses"));
        assertThat(errors.get(5), containsString("key calls.rampMillis: '\"10000\"' is not allowed"));
        assertThat(errors.get(6), containsString("key calls.queueCapacity: '1.5' is not allowed"));
        assertThat(errors.get(7), containsString("key node.'rack': unknown, with value '4'"));
        assertThat(errors.get(8), containsString("section 'extras': unknown; allowed are [calls, limits, listen"));
    }

    /** Guards against a syntax error, a repeated key or a wrong encoding that is reported without its file or line. */
    @Example
    void reportsLineOfSyntaxErrors() {
        assertThat(errors(VALID_SETTINGS + "[calls\n").get(0), startsWith("node.toml, line 17: not valid TOML"));
        assertThat(
                errors(VALID_SETTINGS + "neighbours = 1\nneighbours = 2\n").get(0), startsWith("node.toml, line 18"));
        SettingsException wrongEncoding = assertThrows(
                SettingsException.class, () -> SettingsReader.parse("node.toml", new byte[] {(byte) 0xFF, 'x'}));
        assertThat(wrongEncoding.errors().get(0), equalTo("node.toml: the file is not valid UTF-8"));
        assertThat(
                assertThrows(SettingsException.class, () -> SettingsReader.read(Path.of("absent.toml")))
                        .errors()
                        .get(0),
                startsWith("absent.toml: cannot be read"));
    }

    /** Guards against accepting numbers beyond 64 bits, and numbers, arrays or dates in place of other types. */
    @Example
    void rejectsValuesOfWrongTypeOrRange() {
        assertThat(errors(VALID_SETTINGS.replace("= 3", "= 99999999999999999999999")), hasSize(1));
        assertThat(errors("calls = 5\n" + VALID_SETTINGS), hasSize(1));
        assertThat(errors("[[calls]]\n[[calls]]\n" + VALID_SETTINGS), hasSize(1));
        assertThat(errors(VALID_SETTINGS.replace("= 3", "= 1979-05-27")), hasSize(1));
    }

    /** Guards against a file that exhausts the stack or the memory of the TOML parser. */
    @Example
    void rejectsDeepNestingAndLargeFiles() {
        assertThat(errors("a = " + "[".repeat(30_000)), hasSize(1));
        assertThat(errors("a = " + "{a = ".repeat(250)), hasSize(1));
        assertThat(errors("a" + ".a".repeat(30_000) + " = 1"), hasSize(1));
        assertThat(errors("#".repeat(65_537)), hasSize(1));
    }

    /** Guards against a damaged file that causes an exception other than {@link SettingsException}. */
    @Property(tries = 2_000, seed = "20260121", shrinking = ShrinkingMode.OFF)
    void damagedFileGivesSettingsOrTypedErrors(@ForAll long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        String alphabet = "\"'[]{}=.,#\n\r\t \\_-+:0129aeinxTZ\u0000\u00fc";
        StringBuilder text = new StringBuilder(random.nextInt(4) == 0 ? "" : VALID_SETTINGS);
        for (int i = random.nextInt(1, 12); i > 0; i--) {
            int at = random.nextInt(text.length() + 1);
            char c = alphabet.charAt(random.nextInt(alphabet.length()));
            if (at < text.length() && random.nextBoolean()) {
                text.setCharAt(at, c);
            } else {
                text.insert(at, String.valueOf(c).repeat(random.nextInt(1, 9)));
            }
        }
        try {
            parse(text.toString());
        } catch (SettingsException e) {
            assertThat("seed " + seed, e.errors(), not(empty()));
        }
    }

    private static NodeSettings parse(String text) {
        return SettingsReader.parse("node.toml", text.getBytes(StandardCharsets.UTF_8));
    }

    private static List<String> errors(String text) {
        return assertThrows(SettingsException.class, () -> parse(text)).errors();
    }
}
