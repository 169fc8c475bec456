package io.jaywick.core.table;

import java.util.ArrayList;
import java.util.List;

/**
 * Collects up to {@link TableLimits#MAX_LISTED_PROBLEMS} problems and only counts further ones, so that memory stays
 * bounded.
 */
public final class ProblemList {

    private final List<TableProblem> problems = new ArrayList<>();
    private int unlistedCount;

    public void add(ProblemType type, Sheet sheet, int row, String column, String message) {
        add(new TableProblem(type, sheet == null ? "" : sheet.sheetName(), row, column, message));
    }

    public void add(TableProblem problem) {
        if (problems.size() < TableLimits.MAX_LISTED_PROBLEMS) {
            problems.add(problem);
        } else {
            unlistedCount++;
        }
    }

    public boolean isEmpty() {
        return problems.isEmpty();
    }

    /**
     * Returns the listed problems, followed by one of type {@link ProblemType#FURTHER_PROBLEMS} when some are not
     * listed.
     */
    public List<TableProblem> toList() {
        List<TableProblem> result = new ArrayList<>(problems);
        if (unlistedCount > 0) {
            result.add(new TableProblem(
                    ProblemType.FURTHER_PROBLEMS, "", 0, "", unlistedCount + " further problems are not listed"));
        }
        return List.copyOf(result);
    }
}
