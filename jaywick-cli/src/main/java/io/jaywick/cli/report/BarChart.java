package io.jaywick.cli.report;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/**
 * A chart of horizontal bars as inline SVG. Series differ by fill pattern, not by colour, so that the chart can be read in
 * black and white; every bar carries its value as text.
 */
final class BarChart {

    /** One bar. */
    record Bar(double value, String text) {}

    private record Group(String label, List<Bar> bars, String mark) {}

    private static final int MAX_GROUPS = 40;
    private static final int MAX_LABEL_CHARS = 24;
    private static final int LABEL_WIDTH = 170;
    private static final int BAR_WIDTH = 340;
    private static final int VALUE_WIDTH = 170;
    private static final int BAR_HEIGHT = 14;
    private static final int GROUP_SPACING = 8;
    private static final int LEGEND_HEIGHT = 24;
    private static final int TEXT_BASELINE = 11;
    private static final int LEGEND_ENTRY_WIDTH = 150;
    private static final String[] FILLS = {"#222", "url(#hatch)"};

    private final String id;
    private final String title;
    private final String description;
    private final List<String> series;
    private final List<Group> groups = new ArrayList<>();
    private int omittedGroups;

    /**
     * @param id unique in the page
     * @param description text alternative: what the chart shows and where the figures are
     * @param series one or two names of series
     */
    BarChart(String id, String title, String description, List<String> series) {
        this.id = id;
        this.title = title;
        this.description = description;
        this.series = series;
    }

    /** Adds a group of bars, one for each series; {@code mark} is text after the first value. */
    void add(String label, String mark, Bar... bars) {
        if (groups.size() < MAX_GROUPS) {
            groups.add(new Group(label, List.of(bars), mark));
        } else {
            omittedGroups++;
        }
    }

    String svg() {
        double largest = 0;
        for (Group group : groups) {
            for (Bar bar : group.bars()) {
                largest = Math.max(largest, bar.value());
            }
        }
        int groupHeight = series.size() * BAR_HEIGHT + GROUP_SPACING;
        int width = LABEL_WIDTH + BAR_WIDTH + VALUE_WIDTH;
        int height = LEGEND_HEIGHT + Math.max(1, groups.size()) * groupHeight + (omittedGroups > 0 ? BAR_HEIGHT : 0);
        StringBuilder svg = new StringBuilder();
        svg.append(String.format(
                Locale.ROOT,
                "<svg xmlns=\"http://www.w3.org/2000/svg\" viewBox=\"0 0 %d %d\" role=\"img\""
                        + " aria-labelledby=\"%s-t %s-d\"><title id=\"%s-t\">%s</title><desc id=\"%s-d\">%s</desc>%n",
                width,
                height,
                id,
                id,
                id,
                Html.escape(title),
                id,
                Html.escape(description)));
        legend(svg);
        int y = LEGEND_HEIGHT;
        for (Group group : groups) {
            group(svg, group, y, largest);
            y += groupHeight;
        }
        if (groups.isEmpty()) {
            text(svg, 0, y, "start", "no usage counted");
        }
        if (omittedGroups > 0) {
            text(svg, 0, y, "start", omittedGroups + " more are in the table only");
        }
        return svg.append("</svg>\n").toString();
    }

    private void legend(StringBuilder svg) {
        for (int i = 0; i < series.size(); i++) {
            int x = LABEL_WIDTH + i * LEGEND_ENTRY_WIDTH;
            rectangle(svg, x, 2, BAR_HEIGHT, FILLS[i]);
            text(svg, x + BAR_HEIGHT + 4, 2, "start", series.get(i));
        }
    }

    private void group(StringBuilder svg, Group group, int top, double largest) {
        String label = group.label().length() > MAX_LABEL_CHARS
                ? group.label().substring(0, MAX_LABEL_CHARS - 1) + "\u2026"
                : group.label();
        text(svg, LABEL_WIDTH - 6, top + (group.bars().size() - 1) * BAR_HEIGHT / 2, "end", label);
        for (int i = 0; i < group.bars().size(); i++) {
            Bar bar = group.bars().get(i);
            int y = top + i * BAR_HEIGHT;
            double length = largest == 0 ? 0 : Math.max(0, bar.value()) / largest * BAR_WIDTH;
            rectangle(svg, LABEL_WIDTH, y, length, FILLS[i]);
            boolean first = i == 0;
            text(svg, LABEL_WIDTH + length + 4, y, "start", bar.text() + (first ? group.mark() : ""));
        }
    }

    private static void rectangle(StringBuilder svg, double x, double y, double width, String fill) {
        svg.append(String.format(
                Locale.ROOT,
                "<rect x=\"%.1f\" y=\"%.1f\" width=\"%.1f\" height=\"%d\" fill=\"%s\" stroke=\"#222\"/>%n",
                x,
                y + 1,
                width,
                BAR_HEIGHT - 3,
                fill));
    }

    private static void text(StringBuilder svg, double x, double y, String anchor, String text) {
        svg.append(String.format(
                Locale.ROOT,
                "<text x=\"%.1f\" y=\"%.1f\" text-anchor=\"%s\">%s</text>%n",
                x,
                y + TEXT_BASELINE,
                anchor,
                Html.escape(text)));
    }
}
