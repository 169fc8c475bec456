package io.jaywick.cli.report;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.TreeSet;

import com.fasterxml.jackson.databind.MappingIterator;
import com.fasterxml.jackson.dataformat.csv.CsvMapper;
import com.fasterxml.jackson.dataformat.csv.CsvSchema;
import io.jaywick.cli.UsageException;

/**
 * Content of a table directory that a report uses: agreed shares, for hours without a reported one, and the roster.
 *
 * @param agreedPercents agreed share in percent by party
 * @param servers names of the roster
 */
record TableDirectory(Map<String, Integer> agreedPercents, TreeSet<String> servers) {

    static final TableDirectory NONE = new TableDirectory(Map.of(), new TreeSet<>());

    static TableDirectory read(Path directory) {
        Map<String, Integer> percents = new TreeMap<>();
        for (Map<String, String> row : rows(directory.resolve("parties.csv"))) {
            String percent = row.get("agreed_share_percent");
            try {
                percents.put(row.get("party"), Integer.parseInt(percent));
            } catch (NumberFormatException e) {
                throw new UsageException(directory + ": agreed_share_percent is '" + percent + "'", e);
            }
        }
        TreeSet<String> servers = new TreeSet<>();
        for (Map<String, String> row : rows(directory.resolve("servers.csv"))) {
            servers.add(row.get("server"));
        }
        return new TableDirectory(percents, servers);
    }

    private static List<Map<String, String>> rows(Path file) {
        List<Map<String, String>> rows = new ArrayList<>();
        try (MappingIterator<Map<String, String>> iterator = new CsvMapper()
                .readerForMapOf(String.class)
                .with(CsvSchema.emptySchema().withHeader())
                .readValues(Files.readString(file))) {
            while (iterator.hasNext()) {
                rows.add(iterator.next());
            }
        } catch (IOException e) {
            throw new UsageException("cannot read " + file + ": " + e.getMessage(), e);
        }
        return rows;
    }
}
