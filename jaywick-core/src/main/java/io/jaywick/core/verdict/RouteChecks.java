package io.jaywick.core.verdict;

import java.math.BigInteger;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

import io.jaywick.core.table.ProblemList;
import io.jaywick.core.table.ProblemType;
import io.jaywick.core.table.Sheet;
import io.jaywick.core.table.SheetRow;
import io.jaywick.core.table.TableProblem;
import io.jaywick.core.table.TableRows;

/** Checks that the rows of each route agree, that path prefixes are unique and that agreed shares are at most 100. */
final class RouteChecks {

    private static final BigInteger TOTAL_PERCENT = BigInteger.valueOf(100);
    private static final Set<String> SERVICE_COLUMNS = Set.of("service", "weight_percent");

    private RouteChecks() {}

    static void check(TableRows rows, ProblemList problems) {
        Map<String, List<SheetRow>> routes = new LinkedHashMap<>();
        for (SheetRow row : rows.rows(Sheet.ROUTES)) {
            routes.computeIfAbsent(row.field("route"), route -> new ArrayList<>())
                    .add(row);
        }
        Map<String, SheetRow> prefixes = new HashMap<>();
        for (List<SheetRow> route : routes.values()) {
            if (route.stream().anyMatch(SheetRow::malformed)) {
                continue;
            }
            checkWeights(route, problems);
            checkEqualColumns(route, problems);
            checkPrefix(route.get(0), prefixes, problems);
        }
        checkShares(rows, problems);
    }

    /**
     * Returns the sum of a column, or null when a value is not a number. Unbounded integers are used because
     * overflowing weights could add up to exactly 100.
     */
    private static BigInteger sum(List<SheetRow> rows, String column) {
        BigInteger sum = BigInteger.ZERO;
        for (SheetRow row : rows) {
            BigInteger value = FieldRule.parse(row.field(column));
            if (value == null) {
                return null;
            }
            sum = sum.add(value);
        }
        return sum;
    }

    private static void checkWeights(List<SheetRow> route, ProblemList problems) {
        BigInteger sum = sum(route, "weight_percent");
        if (sum != null && !sum.equals(TOTAL_PERCENT)) {
            problems.add(
                    ProblemType.WRONG_WEIGHT_SUM,
                    Sheet.ROUTES,
                    route.get(route.size() - 1).number(),
                    "weight_percent",
                    "the weights of route " + TableProblem.quoted(route.get(0).field("route")) + " add up to "
                            + TableProblem.quoted(sum.toString()) + ", not to 100");
        }
    }

    private static void checkEqualColumns(List<SheetRow> route, ProblemList problems) {
        SheetRow first = route.get(0);
        for (SheetRow row : route) {
            for (String column : Sheet.ROUTES.columns()) {
                if (!SERVICE_COLUMNS.contains(column)
                        && !row.canonicalField(column).equals(first.canonicalField(column))) {
                    problems.add(
                            ProblemType.ROUTE_ROWS_DIFFER,
                            Sheet.ROUTES,
                            row.number(),
                            column,
                            TableProblem.quoted(row.field(column)) + " differs from "
                                    + TableProblem.quoted(first.field(column)) + " in row " + first.number()
                                    + " of the same route");
                }
            }
        }
    }

    private static void checkPrefix(SheetRow row, Map<String, SheetRow> prefixes, ProblemList problems) {
        String prefix = row.field("path_prefix");
        SheetRow earlier = prefix.isEmpty() ? null : prefixes.putIfAbsent(prefix, row);
        if (earlier != null) {
            problems.add(
                    ProblemType.DUPLICATE_PATH_PREFIX,
                    Sheet.ROUTES,
                    row.number(),
                    "path_prefix",
                    TableProblem.quoted(prefix) + " is already the prefix of route "
                            + TableProblem.quoted(earlier.field("route")) + " in row " + earlier.number());
        }
    }

    private static void checkShares(TableRows rows, ProblemList problems) {
        List<SheetRow> parties = rows.rows(Sheet.PARTIES);
        BigInteger sum = !rows.isComplete(Sheet.PARTIES) ? null : sum(parties, "agreed_share_percent");
        if (sum != null && sum.compareTo(TOTAL_PERCENT) > 0) {
            problems.add(
                    ProblemType.SHARES_OVER_100,
                    Sheet.PARTIES,
                    0,
                    "agreed_share_percent",
                    "the agreed shares add up to " + TableProblem.quoted(sum.toString()) + ", allowed are 100");
        }
    }
}
