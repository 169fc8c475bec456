package io.jaywick.core.verdict;

import java.math.BigInteger;
import java.util.List;
import java.util.function.BiConsumer;
import java.util.regex.Pattern;

import io.jaywick.core.table.CanonicalRow;
import io.jaywick.core.table.ProblemType;
import io.jaywick.core.table.TableLimits;
import io.jaywick.core.table.TableProblem;

/** Checks one field and passes each problem on as type and message. */
@FunctionalInterface
interface FieldRule {

    Pattern NAME = Pattern.compile("[A-Za-z0-9][A-Za-z0-9._-]*");
    Pattern NUMBER = Pattern.compile("0|-?[1-9][0-9]*");
    Pattern PATH_PREFIX = Pattern.compile("/[!-~&&[^?#\"\\\\]]*");
    BigInteger LONG_MAX = BigInteger.valueOf(Long.MAX_VALUE);

    void check(String value, BiConsumer<ProblemType, String> problems);

    /** A key or reference: letters, digits, dots, underscores and hyphens, so that headers and labels can carry it. */
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

    /** A whole number from min to max in plain decimal digits. */
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

    /** One of the given words. */
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

    /** A path prefix as it can occur in a request. */
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

    /** Names of regions separated by spaces, or nothing. */
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
