package io.jaywick.core.table;

/** Size limits of the table. See docs/design.md, section 3. */
public final class TableLimits {

    /** Largest value that the configuration service holds. */
    public static final int MAX_VALUE_BYTES = 1_048_576;

    /** Longest row in UTF-8, without its line break and without quotes around whole fields. */
    public static final int MAX_ROW_BYTES = 4_096;

    /** Longest name; it bounds headers and metric labels. */
    public static final int MAX_NAME_CHARACTERS = 128;

    /** Problems listed per verdict. A value of 1 MB can hold half a million bad rows. */
    public static final int MAX_LISTED_PROBLEMS = 1_000;

    private TableLimits() {}
}
