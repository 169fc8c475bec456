package io.jaywick.core.table;

import java.util.Arrays;
import java.util.List;

/** Sheets of the table with their columns, in canonical order. See docs/design.md, section 3. */
public enum Sheet {
    DATA_CENTRES("data-centres", 1, "data_centre", "region", "state"),
    SERVERS("servers", 1, "server", "data_centre", "service"),
    SERVICES(
            "services",
            1,
            "service",
            "home_regions",
            "slots_per_server",
            "connections_per_server",
            "cold_start_calls",
            "timeout_millis"),
    ROUTES(
            "routes",
            2,
            "route",
            "service",
            "path_prefix",
            "weight_percent",
            "idempotent",
            "timeout_millis",
            "home_regions",
            "importance"),
    PARTIES(
            "parties",
            1,
            "party",
            "limit_calls",
            "window_millis",
            "agreed_share_percent",
            "home_regions",
            "importance");

    private final String sheetName;
    private final int keyColumns;
    private final List<String> columns;

    Sheet(String sheetName, int keyColumns, String... columns) {
        this.sheetName = sheetName;
        this.keyColumns = keyColumns;
        this.columns = List.of(columns);
    }

    /** Name of the sheet in the packed value and, with the suffix {@code .csv}, of its file. */
    public String sheetName() {
        return sheetName;
    }

    /** Number of leading columns that form the key of a row. */
    public int keyColumns() {
        return keyColumns;
    }

    /** Column names in canonical order; a file may contain them in any order. */
    public List<String> columns() {
        return columns;
    }

    /** Names of all sheets in canonical order. */
    public static List<String> names() {
        return Arrays.stream(values()).map(Sheet::sheetName).toList();
    }

    /** Returns the sheet with this name, or null. */
    public static Sheet byName(String name) {
        for (Sheet sheet : values()) {
            if (sheet.sheetName.equals(name)) {
                return sheet;
            }
        }
        return null;
    }
}
