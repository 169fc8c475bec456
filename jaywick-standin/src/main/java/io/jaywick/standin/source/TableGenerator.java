package io.jaywick.standin.source;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;

import io.jaywick.core.table.Sheet;

/**
 * Generates a valid table of a given size. The same seed and shape give the same table.
 *
 * <p>About one service in ten and the routes to it are bound to one region. The number of servers per service is
 * skewed: a few services have dozens of servers, most have few.
 */
public final class TableGenerator {

    private static final int BOUND_SERVICE_ONE_IN = 10;
    private static final int SPLIT_ROUTE_ONE_IN = 12;
    private static final int IDEMPOTENT_PERCENT = 70;
    private static final int MAX_PERCENT = 100;

    private final TableShape shape;
    private final SplittableRandom random;
    private final List<String> regions = new ArrayList<>();
    private final List<List<String>> dataCentres = new ArrayList<>();
    /** Index of the region to which each service is bound, or -1. */
    private final int[] boundRegions;

    public TableGenerator(long seed, TableShape shape) {
        this.shape = shape;
        this.random = new SplittableRandom(seed);
        this.boundRegions = new int[shape.services()];
    }

    /** Returns the sheets as CSV in UTF-8, keyed by name. Must be called only once. */
    public Map<String, byte[]> sheets() {
        StringBuilder dataCentreRows = new StringBuilder();
        for (int i = 0; i < shape.dataCentresPerRegion().size(); i++) {
            regions.add("region-" + (i + 1));
            List<String> names = new ArrayList<>();
            for (int j = 0; j < shape.dataCentresPerRegion().get(i); j++) {
                names.add("dc-" + (i + 1) + "-" + (j + 1));
                appendRow(dataCentreRows, names.get(j), regions.get(i), "in");
            }
            dataCentres.add(names);
        }
        for (int i = 0; i < shape.services(); i++) {
            boundRegions[i] = random.nextInt(BOUND_SERVICE_ONE_IN) == 0 ? random.nextInt(regions.size()) : -1;
        }
        Map<String, byte[]> sheets = new LinkedHashMap<>();
        putSheet(sheets, Sheet.DATA_CENTRES, dataCentreRows);
        putSheet(sheets, Sheet.SERVERS, servers());
        putSheet(sheets, Sheet.SERVICES, services());
        putSheet(sheets, Sheet.ROUTES, routes());
        putSheet(sheets, Sheet.PARTIES, parties());
        return sheets;
    }

    private StringBuilder servers() {
        int[] counts = new int[shape.services()];
        int remaining = shape.servers();
        for (int i = 0; i < counts.length; i++) {
            counts[i] = regions.size();
            remaining -= counts[i];
        }
        for (; remaining > 0; remaining--) {
            // Squaring a uniform number favours services with low numbers.
            double position = random.nextDouble();
            counts[(int) (position * position * counts.length)]++;
        }
        StringBuilder rows = new StringBuilder();
        for (int i = 0; i < counts.length; i++) {
            int offset = random.nextInt(shape.services());
            for (int j = 0; j < counts[i]; j++) {
                int region = boundRegions[i] >= 0 ? boundRegions[i] : j % regions.size();
                List<String> names = dataCentres.get(region);
                appendRow(
                        rows,
                        serviceName(i) + "-" + (j + 1),
                        names.get((offset + j / regions.size()) % names.size()),
                        serviceName(i));
            }
        }
        return rows;
    }

    private StringBuilder services() {
        StringBuilder rows = new StringBuilder();
        for (int i = 0; i < shape.services(); i++) {
            appendRow(
                    rows,
                    serviceName(i),
                    homeRegion(i),
                    12,
                    110 + random.nextInt(3) * 10,
                    2,
                    500 + random.nextInt(6) * 500);
        }
        return rows;
    }

    private StringBuilder routes() {
        StringBuilder rows = new StringBuilder();
        for (int i = 0; i < shape.services(); i++) {
            String route = "route-" + serviceName(i);
            String path = "/" + serviceName(i).replace('-', '/');
            boolean idempotent = random.nextInt(MAX_PERCENT) < IDEMPOTENT_PERCENT;
            int timeout = 500 + random.nextInt(6) * 500;
            int importance = random.nextInt(MAX_PERCENT);
            int other = (i + 1) % shape.services();
            int weight = MAX_PERCENT;
            if (other != i && boundRegions[other] == boundRegions[i] && random.nextInt(SPLIT_ROUTE_ONE_IN) == 0) {
                weight = 50 + random.nextInt(50);
                appendRow(
                        rows,
                        route,
                        path,
                        serviceName(other),
                        MAX_PERCENT - weight,
                        idempotent,
                        timeout,
                        homeRegion(i),
                        importance);
            }
            appendRow(rows, route, path, serviceName(i), weight, idempotent, timeout, homeRegion(i), importance);
        }
        return rows;
    }

    private StringBuilder parties() {
        StringBuilder rows = new StringBuilder();
        int agreedShare = MAX_PERCENT / Math.max(1, shape.parties());
        for (int i = 0; i < shape.parties(); i++) {
            String home = random.nextInt(4) == 0 ? regions.get(random.nextInt(regions.size())) : "";
            int limit = 100 * (1 + random.nextInt(100));
            appendRow(
                    rows,
                    String.format("party-%03d", i + 1),
                    limit,
                    1_000,
                    agreedShare,
                    home,
                    random.nextInt(MAX_PERCENT));
        }
        return rows;
    }

    private String homeRegion(int service) {
        return boundRegions[service] < 0 ? "" : regions.get(boundRegions[service]);
    }

    private static String serviceName(int number) {
        return String.format("svc-%03d", number + 1);
    }

    private static void appendRow(StringBuilder rows, Object... fields) {
        for (int i = 0; i < fields.length; i++) {
            rows.append(i > 0 ? "," : "").append(fields[i]);
        }
        rows.append('\n');
    }

    private static void putSheet(Map<String, byte[]> sheets, Sheet sheet, StringBuilder rows) {
        // The columns of routes are written in the order of docs/design.md.
        String header = sheet == Sheet.ROUTES
                ? "route,path_prefix,service,weight_percent,idempotent,timeout_millis,home_regions,importance"
                : String.join(",", sheet.columns());
        sheets.put(sheet.sheetName(), (header + "\n" + rows).getBytes(StandardCharsets.UTF_8));
    }
}
