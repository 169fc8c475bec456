package io.jaywick.core.table;

/** Types of problems for which a table is rejected. docs/operate-table.md describes how to fix each of them. */
public enum ProblemType {
    /** The packed value, or the table in canonical form, exceeds {@link TableLimits#MAX_VALUE_BYTES}. */
    VALUE_TOO_LARGE,
    /** The packed value is not a MessagePack map of text to text, or bytes follow it. */
    MALFORMED_VALUE,
    /** A sheet is missing. */
    MISSING_SHEET,
    /** A sheet has a name that the table format does not define. */
    UNKNOWN_SHEET,
    /** The packed value contains a sheet twice. */
    DUPLICATE_SHEET,
    /** The sheet is not UTF-8. */
    WRONG_ENCODING,
    /** The sheet starts with a byte-order mark. */
    BYTE_ORDER_MARK,
    /** The quotes of the sheet do not pair, or text follows a closing quote. */
    MALFORMED_CSV,
    /** A column is missing in the header. */
    MISSING_COLUMN,
    /** The header contains a column that the sheet does not define. */
    UNKNOWN_COLUMN,
    /** The header contains a column twice. */
    DUPLICATE_COLUMN,
    /** A row has more or fewer fields than the header. */
    WRONG_FIELD_COUNT,
    /** A row exceeds {@link TableLimits#MAX_ROW_BYTES}. */
    ROW_TOO_LONG,
    /** A field contains a line break. */
    LINE_BREAK,
    /** A field contains a control character. */
    CONTROL_CHARACTER,
    /** A field contains a double quote. */
    QUOTE_IN_FIELD,
    /** A key field is empty. */
    MISSING_KEY,
    /** Two rows have the same key. */
    DUPLICATE_KEY,
    /** A field other than a key is empty although a value is required. */
    MISSING_VALUE,
    /** A name contains characters that are not allowed in headers and metric labels, or is too long. */
    INVALID_NAME,
    /** A value is not one of the allowed keywords. */
    INVALID_VALUE,
    /** A value is not a whole number in plain decimal digits. */
    NOT_A_NUMBER,
    /** A number is negative. */
    NEGATIVE_NUMBER,
    /** A number is below or above the range of its column. */
    NUMBER_OUT_OF_RANGE,
    /** A number exceeds the range of a 64-bit integer. */
    NUMBER_OVERFLOW,
    /** A party's limit or window is zero or out of range. */
    LIMIT_OUT_OF_RANGE,
    /** A row refers to a data centre or service that is not defined. */
    UNKNOWN_REFERENCE,
    /** A home region has no data centre. */
    UNKNOWN_REGION,
    /** The weights of a route do not add up to 100. */
    WRONG_WEIGHT_SUM,
    /** The rows of one route differ in a column that belongs to the route. */
    ROUTE_ROWS_DIFFER,
    /** A path prefix does not start with a slash or contains characters that are not allowed in a request path. */
    INVALID_PATH_PREFIX,
    /** Two routes have the same path prefix. */
    DUPLICATE_PATH_PREFIX,
    /** A service has no server in its home regions. */
    SERVICE_WITHOUT_SERVER,
    /** A service of a route has no server in the home regions that route and service have in common. */
    ROUTE_WITHOUT_SERVER,
    /** The home regions of a party exclude all servers of a service that it may use, or all routes. */
    PARTY_WITHOUT_SERVER,
    /** The agreed shares of all parties add up to more than 100. */
    SHARES_OVER_100,
    /** The table has no row. */
    EMPTY_TABLE,
    /** The table has rows but no data centre. */
    NO_DATA_CENTRE,
    /** A row received from a peer is not in canonical form or is stored under the wrong key. */
    NOT_CANONICAL,
    /** Problems beyond {@link TableLimits#MAX_LISTED_PROBLEMS} are counted but not listed. */
    FURTHER_PROBLEMS
}
