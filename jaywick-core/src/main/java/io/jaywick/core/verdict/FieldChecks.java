package io.jaywick.core.verdict;

import java.math.BigInteger;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import io.jaywick.core.table.ProblemList;
import io.jaywick.core.table.ProblemType;
import io.jaywick.core.table.Sheet;
import io.jaywick.core.table.SheetRow;
import io.jaywick.core.table.TableProblem;
import io.jaywick.core.table.TableRows;

/** Checks every field against the rule of its column, and the keys of each sheet for duplicates. */
final class FieldChecks {

    private static final long COUNT_MAX = 100_000;
    private static final long TIMEOUT_MAX_MILLIS = 3_600_000;
    private static final long WINDOW_MAX_MILLIS = 86_400_000;
    private static final long LIMIT_MAX_CALLS = 1_000_000_000;
    private static final long IMPORTANCE_MAX = 1_000_000;
    private static final long PERCENT_MAX = 100;

    private static final FieldRule KEY = FieldRule.name(ProblemType.MISSING_KEY);
    private static final FieldRule REFERENCE = FieldRule.name(ProblemType.MISSING_VALUE);
    private static final FieldRule COUNT = FieldRule.number(1, COUNT_MAX, ProblemType.NUMBER_OUT_OF_RANGE);
    private static final FieldRule TIMEOUT = FieldRule.number(1, TIMEOUT_MAX_MILLIS, ProblemType.NUMBER_OUT_OF_RANGE);
    private static final FieldRule IMPORTANCE = FieldRule.number(0, IMPORTANCE_MAX, ProblemType.NUMBER_OUT_OF_RANGE);
    private static final FieldRule PERCENT = FieldRule.number(0, PERCENT_MAX, ProblemType.NUMBER_OUT_OF_RANGE);

    /** Rules in canonical column order. */
    private static final Map<Sheet, List<FieldRule>> RULES = Map.of(
            Sheet.DATA_CENTRES,
            List.of(KEY, REFERENCE, FieldRule.oneOf(List.of("in", "out"))),
            Sheet.SERVERS,
            List.of(KEY, REFERENCE, REFERENCE),
            Sheet.SERVICES,
            List.of(KEY, FieldRule.regions(), COUNT, COUNT, COUNT, TIMEOUT),
            Sheet.ROUTES,
            List.of(
                    KEY,
                    KEY,
                    FieldRule.pathPrefix(),
                    PERCENT,
                    FieldRule.oneOf(List.of("true", "false")),
                    TIMEOUT,
                    FieldRule.regions(),
                    IMPORTANCE),
            Sheet.PARTIES,
            List.of(
                    KEY,
                    FieldRule.number(1, LIMIT_MAX_CALLS, ProblemType.LIMIT_OUT_OF_RANGE),
                    FieldRule.number(1, WINDOW_MAX_MILLIS, ProblemType.LIMIT_OUT_OF_RANGE),
                    PERCENT,
                    FieldRule.regions(),
                    IMPORTANCE));

    private FieldChecks() {}

    static void check(TableRows rows, ProblemList problems) {
        for (Sheet sheet : rows.sheets()) {
            Map<String, Integer> rowNumbers = new HashMap<>();
            for (SheetRow row : rows.rows(sheet)) {
                if (!row.malformed()) {
                    checkFields(row, problems);
                    checkKey(row, rowNumbers, problems);
                }
            }
        }
        for (SheetRow row : rows.rows(Sheet.SERVICES)) {
            checkColdStart(row, problems);
        }
    }

    private static void checkFields(SheetRow row, ProblemList problems) {
        List<FieldRule> rules = RULES.get(row.sheet());
        for (int i = 0; i < rules.size(); i++) {
            String column = row.sheet().columns().get(i);
            rules.get(i)
                    .check(
                            row.fields().get(i),
                            (type, message) -> problems.add(type, row.sheet(), row.number(), column, message));
        }
    }

    private static void checkKey(SheetRow row, Map<String, Integer> rowNumbers, ProblemList problems) {
        Integer earlier = rowNumbers.putIfAbsent(row.key(), row.number());
        if (earlier != null) {
            problems.add(
                    ProblemType.DUPLICATE_KEY,
                    row.sheet(),
                    row.number(),
                    row.sheet().columns().get(0),
                    "key " + TableProblem.quoted(row.key()) + " is already in row " + earlier);
        }
    }

    /**
     * Checks that the cold-start limit does not exceed the slots: the concurrency limit of an instance rises from the
     * cold-start limit up to the number of slots.
     */
    private static void checkColdStart(SheetRow row, ProblemList problems) {
        BigInteger coldStartLimit = FieldRule.parse(row.field("cold_start_calls"));
        BigInteger slots = FieldRule.parse(row.field("slots_per_server"));
        if (!row.malformed()
                && coldStartLimit != null
                && slots != null
                && slots.signum() > 0
                && coldStartLimit.compareTo(slots) > 0) {
            problems.add(
                    ProblemType.NUMBER_OUT_OF_RANGE,
                    row.sheet(),
                    row.number(),
                    "cold_start_calls",
                    TableProblem.quoted(row.field("cold_start_calls")) + " exceeds slots_per_server "
                            + TableProblem.quoted(row.field("slots_per_server")));
        }
    }
}
