package io.jaywick.cli.report;

import java.time.DateTimeException;
import java.time.Instant;
import java.time.YearMonth;
import java.time.ZoneOffset;

import io.jaywick.cli.UsageException;

/**
 * Hours that a report covers.
 *
 * @param name {@code YYYY-MM}, or {@code all} for everything in the files
 * @param fromHour first hour, hours since 1970-01-01T00:00Z
 * @param toHour hour after the last one
 */
public record ReportPeriod(String name, long fromHour, long toHour) {

    private static final long HOUR_SECONDS = 3_600;
    private static final long HOUR_MILLIS = 1_000 * HOUR_SECONDS;

    /** Every hour. */
    public static final ReportPeriod ALL = new ReportPeriod("all", 0, Long.MAX_VALUE / HOUR_MILLIS);

    /** Reads {@code YYYY-MM}; null means everything. */
    static ReportPeriod parse(String month) {
        if (month == null) {
            return ALL;
        }
        try {
            YearMonth parsed = YearMonth.parse(month);
            return new ReportPeriod(parsed.toString(), firstHour(parsed), firstHour(parsed.plusMonths(1)));
        } catch (DateTimeException e) {
            throw new UsageException("--month is '" + month + "'; allowed is a month as YYYY-MM", e);
        }
    }

    private static long firstHour(YearMonth month) {
        return month.atDay(1).atStartOfDay(ZoneOffset.UTC).toEpochSecond() / HOUR_SECONDS;
    }

    boolean contains(long hour) {
        return hour >= fromHour && hour < toHour;
    }

    /** Returns false if the process shut down gracefully before the period or started after it. */
    boolean mayOverlapProcess(long startMillis, long lastWrittenMillis, boolean hasFinalLine) {
        return startMillis < toHour * HOUR_MILLIS && !(hasFinalLine && lastWrittenMillis < fromHour * HOUR_MILLIS);
    }

    /** An hour as {@code 2026-12-04T05Z}. */
    static String hourText(long hour) {
        return Instant.ofEpochSecond(hour * HOUR_SECONDS).toString().substring(0, 13) + "Z";
    }

    /** A time to the second. */
    static String timeText(long millis) {
        return Instant.ofEpochSecond(Math.floorDiv(millis, 1_000L)).toString();
    }
}
