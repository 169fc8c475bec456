package io.jaywick.cli.demo;

import java.io.IOException;
import java.io.InputStream;
import java.util.LinkedHashMap;
import java.util.Map;

import io.jaywick.cli.UsageException;
import io.jaywick.core.table.Sheet;

/** The tables of the directory {@code examples}, which the build packs into the program. */
final class ExampleTables {

    private ExampleTables() {}

    /** Bytes of each sheet by name. */
    static Map<String, byte[]> read(String fleet) {
        Map<String, byte[]> sheets = new LinkedHashMap<>();
        for (Sheet sheet : Sheet.values()) {
            String path = "/examples/" + fleet + "/" + sheet.sheetName() + ".csv";
            try (InputStream input = ExampleTables.class.getResourceAsStream(path)) {
                if (input == null) {
                    throw new UsageException("the program has no " + path);
                }
                sheets.put(sheet.sheetName(), input.readAllBytes());
            } catch (IOException e) {
                throw new UsageException("cannot read " + path, e);
            }
        }
        return sheets;
    }
}
