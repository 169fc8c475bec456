package io.jaywick.core.table;

import java.util.List;

import io.jaywick.core.JaywickException;

/** Thrown when bytes or rows are not a valid table. */
public final class TableFormatException extends JaywickException {

    private final transient List<TableProblem> problems;

    public TableFormatException(List<TableProblem> problems) {
        super(problems.get(0).toLine() + (problems.size() > 1 ? " and " + (problems.size() - 1) + " more" : ""));
        this.problems = List.copyOf(problems);
    }

    /** The problems found, at least one. */
    public List<TableProblem> problems() {
        return problems;
    }
}
