package io.jaywick.core.verdict;

import java.util.HashSet;
import java.util.Set;

import io.jaywick.core.table.CanonicalRow;
import io.jaywick.core.table.ProblemList;
import io.jaywick.core.table.ProblemType;
import io.jaywick.core.table.Sheet;
import io.jaywick.core.table.SheetRow;
import io.jaywick.core.table.TableProblem;
import io.jaywick.core.table.TableRows;

/**
 * Checks that each name that a row refers to is defined. References to an unreadable sheet and to an empty sheet of
 * data centres are not checked, because the sheet itself is already reported as one problem.
 */
final class ReferenceChecks {

    private ReferenceChecks() {}

    static void check(TableRows rows, ProblemList problems) {
        if (!rows.rows(Sheet.DATA_CENTRES).isEmpty()) {
            checkColumn(rows, Sheet.SERVERS, "data_centre", Sheet.DATA_CENTRES, problems);
            checkRegions(rows, problems);
        }
        if (rows.has(Sheet.SERVICES)) {
            checkColumn(rows, Sheet.SERVERS, "service", Sheet.SERVICES, problems);
            checkColumn(rows, Sheet.ROUTES, "service", Sheet.SERVICES, problems);
        }
    }

    private static void checkColumn(
            TableRows rows, Sheet sheet, String column, Sheet referencedSheet, ProblemList problems) {
        Set<String> names =
                columnValues(rows, referencedSheet, referencedSheet.columns().get(0));
        for (SheetRow row : rows.rows(sheet)) {
            String name = row.field(column);
            if (!row.malformed() && !name.isEmpty() && !names.contains(name)) {
                problems.add(
                        ProblemType.UNKNOWN_REFERENCE,
                        sheet,
                        row.number(),
                        column,
                        TableProblem.quoted(name) + " has no row in " + referencedSheet.sheetName() + ".csv");
            }
        }
    }

    private static void checkRegions(TableRows rows, ProblemList problems) {
        Set<String> known = columnValues(rows, Sheet.DATA_CENTRES, "region");
        for (Sheet sheet : new Sheet[] {Sheet.SERVICES, Sheet.ROUTES, Sheet.PARTIES}) {
            for (SheetRow row : rows.rows(sheet)) {
                if (row.malformed()) {
                    continue;
                }
                for (String region : CanonicalRow.splitRegions(row.field("home_regions"))) {
                    if (!known.contains(region)) {
                        problems.add(
                                ProblemType.UNKNOWN_REGION,
                                sheet,
                                row.number(),
                                "home_regions",
                                "no data centre is in region " + TableProblem.quoted(region));
                    }
                }
            }
        }
    }

    private static Set<String> columnValues(TableRows rows, Sheet sheet, String column) {
        Set<String> values = new HashSet<>();
        for (SheetRow row : rows.rows(sheet)) {
            values.add(row.field(column));
        }
        return values;
    }
}
