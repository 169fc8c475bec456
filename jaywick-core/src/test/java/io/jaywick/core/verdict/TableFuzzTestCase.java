package io.jaywick.core.verdict;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.EnumMap;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.stream.Collectors;

import io.jaywick.core.JaywickException;
import io.jaywick.core.snapshot.SnapshotBuilder;
import io.jaywick.core.table.PackedTable;
import io.jaywick.core.table.ProblemType;
import io.jaywick.core.table.Sheet;
import io.jaywick.core.table.TableContent;
import io.jaywick.core.table.TableLimits;
import io.jaywick.core.table.TableRows;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.not;

class TableFuzzTestCase {

    private static final String ALPHABET = "ab/,,,\"\"\n\r \t\0#-019\u00fc\u2028\ud800";

    /** Guards against a sheet that causes an exception. Its bytes are random or text of characters with a CSV meaning. */
    @Property(tries = 2_000, seed = "20260111", shrinking = ShrinkingMode.OFF)
    void validatesAnySheet(@ForAll long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        Map<String, byte[]> sheets = SampleTable.sheets();
        for (Sheet sheet : Sheet.values()) {
            byte[] tail = bytes(random);
            byte[] head = random.nextBoolean() ? sheets.get(sheet.sheetName()) : new byte[0];
            byte[] both = Arrays.copyOf(head, head.length + tail.length);
            System.arraycopy(tail, 0, both, head.length, tail.length);
            sheets.put(sheet.sheetName(), both);
        }
        TableVerdict verdict = TableVerdict.ofSheets(sheets);
        assertThat(
                "seed " + seed, verdict.accepted(), equalTo(verdict.problems().isEmpty()));
        assertThat(TableVerdict.ofPacked(PackedTable.pack(sheets)).problems(), equalTo(verdict.problems()));
    }

    /** Guards against a damaged value that causes an exception or is accepted although no snapshot can be built from it. */
    @Property(tries = 3_000, seed = "20260112", shrinking = ShrinkingMode.OFF)
    void validatesAnyDamagedValue(@ForAll long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        byte[] packed = PackedTable.pack(SampleTable.sheets());
        for (int i = random.nextInt(1, 6); i > 0; i--) {
            packed[random.nextInt(random.nextBoolean() ? packed.length : 20)] = (byte) random.nextInt(256);
        }
        if (random.nextInt(4) == 0) {
            packed = Arrays.copyOf(packed, random.nextInt(packed.length + 5));
        }
        TableVerdict verdict = TableVerdict.ofPacked(packed);
        if (verdict.accepted()) {
            SnapshotBuilder.build(1, verdict.content());
        }
    }

    /** Guards against canonical bytes or rows of a peer that cause an exception other than {@link JaywickException}. */
    @Property(tries = 2_000, seed = "20260113", shrinking = ShrinkingMode.OFF)
    void readsAnyCanonicalContent(@ForAll long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        byte[] canonical = TableVerdict.ofSheets(SampleTable.sheets()).content().canonicalBytes();
        for (int i = random.nextInt(1, 4); i > 0; i--) {
            canonical[random.nextInt(canonical.length)] = (byte) ALPHABET.charAt(random.nextInt(ALPHABET.length()));
        }
        Map<Sheet, Map<String, String>> rows = new EnumMap<>(Sheet.class);
        rows.put(Sheet.values()[random.nextInt(5)], Map.of("a", new String(bytes(random), StandardCharsets.UTF_8)));
        assertThat(TableVerdict.ofContent(new TableContent(rows)).problems(), not(empty()));
        try {
            TableContent content = TableRows.parseCanonicalBytes(canonical);
            assertThat(content.canonicalBytes(), equalTo(canonical));
            TableVerdict.ofContent(content);
            SnapshotBuilder.build(1, content);
        } catch (JaywickException e) {
            assertThat(e.getMessage(), not(equalTo("")));
        }
    }

    /** Guards against lengths in the headers of the value that are allocated before they are checked. */
    @Example
    void rejectsLengthsBeyondValue() {
        byte[][] values = {
            {(byte) 0xDF, 0x7F, -1, -1, -1},
            {(byte) 0xDF, -1, -1, -1, -1},
            {(byte) 0x81, (byte) 0xDB, 0x7F, -1, -1, -1},
            {(byte) 0x81, (byte) 0xA1, 'a', (byte) 0xDB, 0x7F, -1, -1, -1, 'x'},
            {(byte) 0x81, (byte) 0xA1, 'a', (byte) 0xDB, -1, -1, -1, -1, 'x'},
            {(byte) 0x81, (byte) 0xA1, 'a', (byte) 0xC4, 1, 'x'},
            {(byte) 0x80, 0},
            {},
        };
        for (byte[] value : values) {
            assertThat(TableVerdict.ofPacked(value).problems().get(0).type(), equalTo(ProblemType.MALFORMED_VALUE));
        }
        byte[] large = new byte[TableLimits.MAX_VALUE_BYTES + 1];
        assertThat(TableVerdict.ofPacked(large).problems().get(0).type(), equalTo(ProblemType.VALUE_TOO_LARGE));
    }

    /** Guards against a value with a duplicate sheet, of which different readers could use different copies. */
    @Example
    void rejectsDuplicateSheet() {
        byte[] packed = PackedTable.pack(SampleTable.with("servezs", SampleTable.SERVERS));
        String text = new String(packed, StandardCharsets.ISO_8859_1).replace("servezs", "servers");
        TableVerdict verdict = TableVerdict.ofPacked(text.getBytes(StandardCharsets.ISO_8859_1));
        assertThat(verdict.problems(), hasSize(1));
        assertThat(verdict.problems().get(0).type(), equalTo(ProblemType.DUPLICATE_SHEET));
    }

    /** Guards against half a million problems or region sets in memory for one value of 1 MB. */
    @Example
    void limitsListedProblems() {
        TableVerdict verdict = TableVerdict.ofSheets(SampleTable.with("parties", "a\n".repeat(500_000)));
        assertThat(verdict.problems(), not(empty()));
        String parties = SampleTable.PARTIES + ",,,,,\n".repeat(150_000);
        verdict = TableVerdict.ofSheets(SampleTable.with("parties", parties));
        assertThat(verdict.problems(), hasSize(TableLimits.MAX_LISTED_PROBLEMS + 1));
        assertThat(
                verdict.problems().get(TableLimits.MAX_LISTED_PROBLEMS).type(), equalTo(ProblemType.FURTHER_PROBLEMS));
        assertThat(
                TableVerdict.ofSheets(SampleTable.with("parties", SampleTable.PARTIES + ",".repeat(900_000)))
                        .problems(),
                hasSize(1));
    }

    /** Guards against checks of every party against every route that take minutes for a value of less than 1 MB. */
    @Example
    void validatesThousandsOfDistinctHomeRegions() {
        StringBuilder dataCentres = new StringBuilder("data_centre,region,state\n");
        StringBuilder servers = new StringBuilder("server,data_centre,service\n");
        for (int i = 0; i < 16; i++) {
            dataCentres.append("d" + i + ",r" + i + ",in\n");
            servers.append("n" + i + ",d" + i + ",catalog\n");
        }
        StringBuilder routes =
                new StringBuilder(SampleTable.ROUTES.lines().findFirst().orElseThrow() + "\n");
        StringBuilder parties =
                new StringBuilder(SampleTable.PARTIES.lines().findFirst().orElseThrow() + "\n");
        for (int i = 1; i < 8_000; i++) {
            StringBuilder home = new StringBuilder("r0 r1 r2");
            for (int bit = 0; bit < 13; bit++) {
                home.append((i >> bit & 1) == 1 ? " r" + (bit + 3) : "");
            }
            routes.append("q" + i + ",/q" + i + ",catalog,100,true,1," + home + ",1\n");
            parties.append("p" + i + ",1,1,0," + home + ",1\n");
        }
        Map<String, byte[]> sheets = SampleTable.with("data-centres", dataCentres.toString());
        SampleTable.put(sheets, "servers", servers.toString());
        SampleTable.put(
                sheets, "services", SampleTable.SERVICES.lines().limit(2).collect(Collectors.joining("\n")));
        SampleTable.put(sheets, "routes", routes.toString());
        SampleTable.put(sheets, "parties", parties.toString());
        assertThat(TableVerdict.ofSheets(sheets).problems(), empty());
    }

    private static byte[] bytes(SplittableRandom random) {
        byte[] bytes = new byte[random.nextInt(200)];
        if (random.nextBoolean()) {
            random.nextBytes(bytes);
            return bytes;
        }
        StringBuilder text = new StringBuilder();
        for (int i = 0; i < bytes.length; i++) {
            text.append(ALPHABET.charAt(random.nextInt(ALPHABET.length())));
        }
        return text.toString().getBytes(StandardCharsets.UTF_8);
    }
}
