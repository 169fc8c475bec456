package io.jaywick.core.table;

/** Size limits of the table. See docs/design.md, section 3. */
public final class TableLimits {

    /** Maximum size of a value in the configuration service. */
    public static final int MAX_VALUE_BYTES = 1_048_576;

    /** Maximum length of a row in UTF-8, without its line break and without quotes around fields. */
    public static final int MAX_ROW_BYTES = 4_096;

    /** Maximum length of a name, which bounds headers and metric labels. */
    public static final int MAX_NAME_CHARACTERS = 128;

    /** Maximum number of problems listed for one table. A value of 1 MB can contain half a million invalid rows. */
    public static final int MAX_LISTED_PROBLEMS = 1_000;

    private TableLimits() {}
}
