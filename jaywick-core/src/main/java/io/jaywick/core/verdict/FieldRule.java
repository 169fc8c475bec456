package io.jaywick.core.verdict;

import java.math.BigInteger;
import java.util.List;
import java.util.function.BiConsumer;
import java.util.regex.Pattern;

import io.jaywick.core.table.CanonicalRow;
import io.jaywick.core.table.ProblemType;
import io.jaywick.core.table.TableLimits;
import io.jaywick.core.table.TableProblem;

/** Validation rule of one field. */
@FunctionalInterface
interface FieldRule {

    Pattern NAME = Pattern.compile("[A-Za-z0-9][A-Za-z0-9._-]*");
    Pattern NUMBER = Pattern.compile("0|-?[1-9][0-9]*");
    Pattern PATH_PREFIX = Pattern.compile("/[!-~&&[^?#\"\\\\]]*");
    BigInteger LONG_MAX = BigInteger.valueOf(Long.MAX_VALUE);

    /** Checks a value and passes the type and message of each problem to the consumer. */
    void check(String value, BiConsumer<ProblemType, String> problems);

    /**
     * Returns the rule of a key or reference: ASCII letters, digits, dots, underscores and hyphens, which are valid in
     * headers and metric labels.
     */
    static FieldRule name(ProblemType emptyProblem) {
        return (value, problems) -> {
            if (value.isEmpty()) {
                problems.accept(emptyProblem, "the field is empty");
            } else if (value.length() > TableLimits.MAX_NAME_CHARACTERS
                    || !NAME.matcher(value).matches()) {
                problems.accept(
                        ProblemType.INVALID_NAME,
                        TableProblem.quoted(value) + " is not a name: allowed are 1 to "
                                + TableLimits.MAX_NAME_CHARACTERS
                                + " ASCII letters, digits, '.', '_' and '-', starting with a letter or digit");
            }
        };
    }

    /** Returns the rule of a whole number from min to max, both inclusive, in plain decimal digits. */
    static FieldRule number(long min, long max, ProblemType rangeProblem) {
        return (value, problems) -> {
            if (value.isEmpty()) {
                problems.accept(ProblemType.MISSING_VALUE, "the field is empty");
                return;
            }
            BigInteger number = parse(value);
            String quoted = TableProblem.quoted(value);
            String range = "; allowed are " + min + " to " + max;
            if (number == null) {
                problems.accept(
                        ProblemType.NOT_A_NUMBER, quoted + " is not a whole number in plain decimal digits" + range);
            } else if (number.signum() < 0) {
                problems.accept(ProblemType.NEGATIVE_NUMBER, quoted + " is negative" + range);
            } else if (number.compareTo(LONG_MAX) > 0) {
                problems.accept(ProblemType.NUMBER_OVERFLOW, quoted + " exceeds 64 bits" + range);
            } else if (number.longValueExact() < min || number.longValueExact() > max) {
                problems.accept(rangeProblem, quoted + " is out of range" + range);
            }
        };
    }

    /** Returns the rule of a field that must be one of the given words. */
    static FieldRule oneOf(List<String> words) {
        return (value, problems) -> {
            if (value.isEmpty()) {
                problems.accept(ProblemType.MISSING_VALUE, "the field is empty");
            } else if (!words.contains(value)) {
                problems.accept(
                        ProblemType.INVALID_VALUE,
                        TableProblem.quoted(value) + " is not allowed; allowed are " + words);
            }
        };
    }

    /** Returns the rule of a path prefix, which must be possible in a request path. */
    static FieldRule pathPrefix() {
        return (value, problems) -> {
            if (value.isEmpty()) {
                problems.accept(ProblemType.MISSING_VALUE, "the field is empty");
            } else if (!PATH_PREFIX.matcher(value).matches()) {
                problems.accept(
                        ProblemType.INVALID_PATH_PREFIX,
                        TableProblem.quoted(value) + " is not a path prefix: it starts with '/' and has printable ASCII"
                                + " characters other than space, '?', '#' and '\\'");
            }
        };
    }

    /** Returns the rule of a list of region names separated by spaces; the list may be empty. */
    static FieldRule regions() {
        FieldRule name = name(ProblemType.INVALID_NAME);
        return (value, problems) -> {
            for (String region : CanonicalRow.splitRegions(value)) {
                name.check(region, problems);
            }
        };
    }

    /** Returns the number, or null when the text is not a whole number in plain decimal digits. */
    static BigInteger parse(String value) {
        return NUMBER.matcher(value).matches() ? new BigInteger(value) : null;
    }
}
