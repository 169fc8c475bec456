package io.jaywick.cli.report;

import java.util.Locale;

/** Formats figures for the text and HTML reports. */
final class FigureFormat {

    private static final double MICROS_PER_SECOND = 1e6;
    private static final double SECONDS_PER_HOUR = 3_600;
    private static final double BYTES_PER_MEGABYTE = 1e6;

    private FigureFormat() {}

    static String count(long value) {
        return String.format(Locale.ROOT, "%,d", value);
    }

    /** Slot time in hours, or in seconds below one hour. */
    static String slotTime(long micros) {
        double seconds = micros / MICROS_PER_SECOND;
        return seconds >= SECONDS_PER_HOUR
                ? String.format(Locale.ROOT, "%,.2f h", seconds / SECONDS_PER_HOUR)
                : String.format(Locale.ROOT, "%,.1f s", seconds);
    }

    /** Percentage with two decimals; a negative value means unknown. */
    static String percent(double percent) {
        return percent < 0 ? "unknown" : String.format(Locale.ROOT, "%.2f %%", percent);
    }

    /** Bytes in megabytes (10^6 bytes). */
    static String megabytes(long bytes) {
        return String.format(Locale.ROOT, "%,.2f MB", bytes / BYTES_PER_MEGABYTE);
    }
}
