package io.jaywick.core.verdict;

import java.math.BigDecimal;
import java.util.Arrays;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import java.util.stream.Stream;

import io.jaywick.core.table.Sheet;

/** Reference implementation of the validation rules over lists of fields, without indexes and shared code. */
final class NaiveVerdict {

    private final RandomTable table;
    private final Set<String> problems = new TreeSet<>();

    NaiveVerdict(RandomTable table) {
        this.table = table;
    }

    /** Returns the problems, each as type, sheet, row and column. */
    Set<String> problems() {
        if (Stream.of(Sheet.values()).allMatch(sheet -> table.rows(sheet).isEmpty())) {
            return Set.of("EMPTY_TABLE  0 ");
        }
        if (table.rows(Sheet.DATA_CENTRES).isEmpty()) {
            problems.add("NO_DATA_CENTRE data-centres 0 ");
        }
        for (Sheet sheet : Sheet.values()) {
            for (int i = 0; i < table.rows(sheet).size(); i++) {
                for (String column : sheet.columns()) {
                    checkField(sheet, i, column, get(sheet, i, column));
                }
                String key = key(sheet, i);
                if (IntStream.range(0, i).anyMatch(j -> key(sheet, j).equals(key))) {
                    add("DUPLICATE_KEY", sheet, i, sheet.columns().get(0));
                }
            }
        }
        checkRoutes();
        if (sum(Sheet.PARTIES, "agreed_share_percent", "") != null
                && sum(Sheet.PARTIES, "agreed_share_percent", "").compareTo(BigDecimal.valueOf(100)) > 0) {
            problems.add("SHARES_OVER_100 parties 0 agreed_share_percent");
        }
        if (!table.rows(Sheet.DATA_CENTRES).isEmpty()) {
            checkHomeRegions();
        }
        return problems;
    }

    private void checkField(Sheet sheet, int row, String column, String value) {
        boolean key = sheet.columns().indexOf(column) < sheet.keyColumns();
        boolean name = key || List.of("region", "data_centre", "service").contains(column);
        if (column.equals("home_regions")) {
            regions(value)
                    .filter(region -> !region.matches("[A-Za-z0-9][A-Za-z0-9._-]{0,127}"))
                    .forEach(region -> add("INVALID_NAME", sheet, row, column));
            regions(value)
                    .filter(region -> !table.rows(Sheet.DATA_CENTRES).isEmpty() && !hasRegion(region))
                    .forEach(region -> add("UNKNOWN_REGION", sheet, row, column));
        } else if (value.isEmpty()) {
            add(key ? "MISSING_KEY" : "MISSING_VALUE", sheet, row, column);
        } else if (name && !value.matches("[A-Za-z0-9][A-Za-z0-9._-]{0,127}")) {
            add("INVALID_NAME", sheet, row, column);
        } else if (column.equals("path_prefix") && !value.matches("/[\\p{Graph}&&[^?#\\\\]]*")) {
            add("INVALID_PATH_PREFIX", sheet, row, column);
        } else if (column.equals("state") && !value.matches("in|out")) {
            add("INVALID_VALUE", sheet, row, column);
        } else if (column.equals("idempotent") && !value.matches("true|false")) {
            add("INVALID_VALUE", sheet, row, column);
        } else if (!name && !List.of("path_prefix", "state", "idempotent").contains(column)) {
            checkNumber(sheet, row, column, value);
        }
        boolean reference = sheet == Sheet.SERVERS && column.equals("data_centre");
        if (reference
                && !value.isEmpty()
                && !table.rows(Sheet.DATA_CENTRES).isEmpty()
                && table.rows(Sheet.DATA_CENTRES).stream()
                        .noneMatch(r -> r.get(0).equals(value))) {
            add("UNKNOWN_REFERENCE", sheet, row, column);
        }
        if (sheet != Sheet.SERVICES
                && column.equals("service")
                && !value.isEmpty()
                && table.rows(Sheet.SERVICES).stream().noneMatch(r -> r.get(0).equals(value))) {
            add("UNKNOWN_REFERENCE", sheet, row, column);
        }
    }

    private void checkNumber(Sheet sheet, int row, String column, String value) {
        long max = column.endsWith("percent")
                ? 100
                : column.equals("limit_calls")
                        ? 1_000_000_000L
                        : column.equals("window_millis")
                                ? 86_400_000L
                                : column.equals("timeout_millis")
                                        ? 3_600_000L
                                        : column.equals("importance") ? 1_000_000L : 100_000L;
        long min = column.endsWith("percent") || column.equals("importance") ? 0 : 1;
        boolean limit = column.equals("limit_calls") || column.equals("window_millis");
        if (!value.matches("-?[1-9][0-9]*|0")) {
            add("NOT_A_NUMBER", sheet, row, column);
        } else if (value.startsWith("-")) {
            add("NEGATIVE_NUMBER", sheet, row, column);
        } else if (new BigDecimal(value).compareTo(new BigDecimal(Long.MAX_VALUE)) > 0) {
            add("NUMBER_OVERFLOW", sheet, row, column);
        } else if (Long.parseLong(value) < min || Long.parseLong(value) > max) {
            add(limit ? "LIMIT_OUT_OF_RANGE" : "NUMBER_OUT_OF_RANGE", sheet, row, column);
        }
        if (column.equals("cold_start_calls") && value.matches("[1-9][0-9]*")) {
            String slots = get(sheet, row, "slots_per_server");
            if (slots.matches("[1-9][0-9]*") && new BigDecimal(slots).compareTo(new BigDecimal(value)) < 0) {
                add("NUMBER_OUT_OF_RANGE", sheet, row, column);
            }
        }
    }

    private void checkRoutes() {
        int count = table.rows(Sheet.ROUTES).size();
        for (int i = 0; i < count; i++) {
            String route = get(Sheet.ROUTES, i, "route");
            int row = i;
            boolean last = IntStream.range(i + 1, count)
                    .noneMatch(j -> get(Sheet.ROUTES, j, "route").equals(route));
            BigDecimal sum = sum(Sheet.ROUTES, "weight_percent", route);
            if (last && sum != null && sum.compareTo(BigDecimal.valueOf(100)) != 0) {
                add("WRONG_WEIGHT_SUM", Sheet.ROUTES, i, "weight_percent");
            }
            int first = IntStream.range(0, count)
                    .filter(j -> get(Sheet.ROUTES, j, "route").equals(route))
                    .findFirst()
                    .orElseThrow();
            for (String column : List.of("path_prefix", "idempotent", "timeout_millis", "home_regions", "importance")) {
                String own = get(Sheet.ROUTES, i, column);
                String other = get(Sheet.ROUTES, first, column);
                boolean equal = column.equals("home_regions")
                        ? regions(own)
                                .collect(Collectors.toSet())
                                .equals(regions(other).collect(Collectors.toSet()))
                        : own.equals(other);
                if (!equal) {
                    add("ROUTE_ROWS_DIFFER", Sheet.ROUTES, i, column);
                }
            }
            String prefix = get(Sheet.ROUTES, i, "path_prefix");
            boolean taken = IntStream.range(0, row)
                    .filter(j -> !get(Sheet.ROUTES, j, "route").equals(route))
                    .filter(j -> IntStream.range(0, j)
                            .noneMatch(k -> get(Sheet.ROUTES, k, "route").equals(get(Sheet.ROUTES, j, "route"))))
                    .anyMatch(j -> get(Sheet.ROUTES, j, "path_prefix").equals(prefix));
            if (first == i && !prefix.isEmpty() && taken) {
                add("DUPLICATE_PATH_PREFIX", Sheet.ROUTES, i, "path_prefix");
            }
        }
    }

    private void checkHomeRegions() {
        for (int i = 0; i < table.rows(Sheet.SERVICES).size(); i++) {
            String service = get(Sheet.SERVICES, i, "service");
            if (!hasServer(service, get(Sheet.SERVICES, i, "home_regions"))) {
                add("SERVICE_WITHOUT_SERVER", Sheet.SERVICES, i, "home_regions");
            }
        }
        for (int i = 0; i < table.rows(Sheet.ROUTES).size(); i++) {
            if (hasServedService(i)
                    && !hasServer(
                            get(Sheet.ROUTES, i, "service"),
                            get(Sheet.ROUTES, i, "home_regions"),
                            homeOf(get(Sheet.ROUTES, i, "service")))) {
                add("ROUTE_WITHOUT_SERVER", Sheet.ROUTES, i, "home_regions");
            }
        }
        int[] validRoutes = IntStream.range(0, table.rows(Sheet.ROUTES).size())
                .filter(i -> hasServedService(i)
                        && hasServer(
                                get(Sheet.ROUTES, i, "service"),
                                get(Sheet.ROUTES, i, "home_regions"),
                                homeOf(get(Sheet.ROUTES, i, "service"))))
                .toArray();
        for (int i = 0; i < table.rows(Sheet.PARTIES).size(); i++) {
            String home = get(Sheet.PARTIES, i, "home_regions");
            int[] allowedRoutes = Arrays.stream(validRoutes)
                    .filter(j -> overlap(home, get(Sheet.ROUTES, j, "home_regions")))
                    .toArray();
            boolean unserved = Arrays.stream(allowedRoutes)
                    .anyMatch(j -> !hasServer(
                            get(Sheet.ROUTES, j, "service"),
                            home,
                            get(Sheet.ROUTES, j, "home_regions"),
                            homeOf(get(Sheet.ROUTES, j, "service"))));
            if (validRoutes.length > 0
                    && regions(home).findAny().isPresent()
                    && (allowedRoutes.length == 0 || unserved)) {
                add("PARTY_WITHOUT_SERVER", Sheet.PARTIES, i, "home_regions");
            }
        }
    }

    private boolean hasServedService(int route) {
        String service = get(Sheet.ROUTES, route, "service");
        return homeOf(service) != null && hasServer(service, homeOf(service));
    }

    private boolean hasServer(String service, String... homes) {
        return table.rows(Sheet.SERVERS).stream()
                .filter(server -> server.get(2).equals(service))
                .flatMap(server -> regionOf(server.get(1)).stream())
                .anyMatch(region -> Arrays.stream(homes)
                        .allMatch(home -> regions(home).findAny().isEmpty()
                                || regions(home).anyMatch(region::equals)));
    }

    private static boolean overlap(String one, String other) {
        return regions(one).findAny().isEmpty()
                || regions(other).findAny().isEmpty()
                || regions(one).anyMatch(region -> regions(other).anyMatch(region::equals));
    }

    /** Returns the region of the data centre, from the last row with its name; empty when there is none. */
    private List<String> regionOf(String dataCentre) {
        List<String> found = table.rows(Sheet.DATA_CENTRES).stream()
                .filter(row -> row.get(0).equals(dataCentre))
                .map(row -> row.get(1))
                .toList();
        return found.isEmpty() ? found : found.subList(found.size() - 1, found.size());
    }

    private String homeOf(String service) {
        return table.rows(Sheet.SERVICES).stream()
                .filter(row -> row.get(0).equals(service))
                .map(row -> row.get(1))
                .reduce((one, other) -> other)
                .orElse(null);
    }

    private boolean hasRegion(String region) {
        return table.rows(Sheet.DATA_CENTRES).stream()
                .anyMatch(row -> row.get(1).equals(region));
    }

    private BigDecimal sum(Sheet sheet, String column, String key) {
        List<String> values = IntStream.range(0, table.rows(sheet).size())
                .filter(i -> key.isEmpty() && sheet == Sheet.PARTIES
                        || get(sheet, i, "route").equals(key))
                .mapToObj(i -> get(sheet, i, column))
                .toList();
        return values.stream().allMatch(value -> value.matches("-?[1-9][0-9]*|0"))
                ? values.stream().map(BigDecimal::new).reduce(BigDecimal.ZERO, BigDecimal::add)
                : null;
    }

    private static Stream<String> regions(String home) {
        return Arrays.stream(home.split(" ")).filter(region -> !region.isEmpty());
    }

    private String get(Sheet sheet, int row, String column) {
        return table.rows(sheet).get(row).get(sheet.columns().indexOf(column));
    }

    private String key(Sheet sheet, int row) {
        return String.join(",", table.rows(sheet).get(row).subList(0, sheet.keyColumns()));
    }

    private void add(String type, Sheet sheet, int row, String column) {
        problems.add(type + " " + sheet.sheetName() + " " + (row + 2) + " " + column);
    }
}
