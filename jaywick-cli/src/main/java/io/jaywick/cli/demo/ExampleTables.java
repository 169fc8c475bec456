package io.jaywick.cli.demo;

import java.io.IOException;
import java.io.InputStream;
import java.util.LinkedHashMap;
import java.util.Map;

import io.jaywick.cli.UsageException;
import io.jaywick.core.table.Sheet;

/** Reads the tables of the directory {@code examples}, which the build packages as resources. */
final class ExampleTables {

    private ExampleTables() {}

    /**
     * Returns the bytes of each sheet of an example fleet by sheet name.
     *
     * @throws UsageException when a sheet is missing or cannot be read
     */
    static Map<String, byte[]> read(String fleet) {
        Map<String, byte[]> sheets = new LinkedHashMap<>();
        for (Sheet sheet : Sheet.values()) {
            String path = "/examples/" + fleet + "/" + sheet.sheetName() + ".csv";
            try (InputStream input = ExampleTables.class.getResourceAsStream(path)) {
                if (input == null) {
                    throw new UsageException("the program contains no resource " + path);
                }
                sheets.put(sheet.sheetName(), input.readAllBytes());
            } catch (IOException e) {
                throw new UsageException("cannot read resource " + path, e);
            }
        }
        return sheets;
    }
}
