package io.jaywick.core.verdict;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;

import io.jaywick.core.table.Sheet;

/** Random table of mostly valid rows in which some rows and values are changed. The same seed gives the same table. */
final class RandomTable {

    private static final List<String> VALUES = List.of(
            "",
            "0",
            "1",
            "5",
            "60",
            "100",
            "101",
            "-1",
            "-0",
            "-2147483548",
            "2147483647",
            "9223372036854775807",
            "9223372036854775808",
            "99999999999999999999999999",
            "007",
            "1.5",
            "in",
            "out",
            "maybe",
            "true",
            "false",
            "r0",
            "r1",
            "r2",
            "r0 r1",
            "r1  r0",
            "dc0",
            "dc1",
            "s0",
            "s1",
            "x y",
            "-x",
            "/",
            "/a",
            "/p0",
            "/p1",
            "a,b",
            "/a,b",
            "p0",
            "p1",
            "/ö");

    private final SplittableRandom random;
    private final Map<Sheet, List<List<String>>> rows = new EnumMap<>(Sheet.class);

    RandomTable(long seed) {
        random = new SplittableRandom(seed);
        for (Sheet sheet : Sheet.values()) {
            rows.put(sheet, new ArrayList<>());
        }
        int dataCentres = random.nextInt(1, 5);
        int services = random.nextInt(1, 4);
        for (int i = 0; i < dataCentres; i++) {
            add(Sheet.DATA_CENTRES, "dc" + i, "r" + i % 3, pick("in", "out"));
            for (int j = 0; j < services; j++) {
                add(Sheet.SERVERS, "n" + i + "-" + j, "dc" + i, "s" + j);
            }
        }
        for (int i = 0; i < services; i++) {
            add(Sheet.SERVICES, "s" + i, pick("", "", "r0"), "12", "110", pick("1", "2", "12"), "1000");
            String home = pick("", "", "r0");
            int weight = i + 1 < services ? random.nextInt(0, 101) : 100;
            add(Sheet.ROUTES, "p" + i, "s" + i, "/p" + i, "" + weight, "true", "900", home, "5");
            if (weight < 100) {
                add(Sheet.ROUTES, "p" + i, "s" + (i + 1), "/p" + i, "" + (100 - weight), "true", "900", home, "5");
            }
            add(Sheet.PARTIES, "c" + i, "100", "1000", pick("0", "20", "34"), pick("", "", "r0"), "3");
        }
        for (int changes = random.nextInt(4); changes > 0; changes--) {
            change(rows.get(Sheet.values()[random.nextInt(Sheet.values().length)]));
        }
    }

    List<List<String>> rows(Sheet sheet) {
        return rows.get(sheet);
    }

    Map<String, byte[]> sheets() {
        Map<String, byte[]> sheets = new TreeMap<>();
        for (Sheet sheet : Sheet.values()) {
            StringBuilder text = new StringBuilder(String.join(",", sheet.columns()));
            for (List<String> row : rows.get(sheet)) {
                text.append(pick("\n", "\r\n"));
                for (int i = 0; i < row.size(); i++) {
                    boolean quoted = row.get(i).contains(",") || random.nextInt(8) == 0;
                    text.append(i > 0 ? "," : "").append(quoted ? '"' + row.get(i) + '"' : row.get(i));
                }
            }
            sheets.put(sheet.sheetName(), text.append('\n').toString().getBytes(StandardCharsets.UTF_8));
        }
        return sheets;
    }

    private void change(List<List<String>> sheetRows) {
        int row = sheetRows.isEmpty() ? -1 : random.nextInt(sheetRows.size());
        switch (row < 0 ? -1 : random.nextInt(8)) {
            case -1:
                break;
            case 0:
                sheetRows.remove(row);
                break;
            case 1:
                sheetRows.add(sheetRows.get(row));
                break;
            default:
                List<String> fields = new ArrayList<>(sheetRows.get(row));
                fields.set(random.nextInt(fields.size()), VALUES.get(random.nextInt(VALUES.size())));
                sheetRows.set(row, fields);
                break;
        }
    }

    private void add(Sheet sheet, String... fields) {
        rows.get(sheet).add(Arrays.asList(fields));
    }

    private String pick(String... choices) {
        return choices[random.nextInt(choices.length)];
    }
}
