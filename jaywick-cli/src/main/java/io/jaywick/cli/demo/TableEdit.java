package io.jaywick.cli.demo;

import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Replacement of texts in one sheet, as an operator would make it in a spreadsheet.
 *
 * @param replacements old and new texts in turn
 */
record TableEdit(String sheet, List<String> replacements) {

    TableEdit(String sheet, String... replacements) {
        this(sheet, List.of(replacements));
    }

    /**
     * Returns a copy of the sheets with the edit applied.
     *
     * @throws IllegalStateException when the sheet does not contain an old text
     */
    Map<String, byte[]> applyTo(Map<String, byte[]> sheets) {
        String text = new String(sheets.get(sheet), StandardCharsets.UTF_8);
        for (int i = 0; i < replacements.size(); i += 2) {
            if (!text.contains(replacements.get(i))) {
                throw new IllegalStateException("sheet " + sheet + " does not contain '" + replacements.get(i) + "'");
            }
            text = text.replace(replacements.get(i), replacements.get(i + 1));
        }
        Map<String, byte[]> edited = new LinkedHashMap<>(sheets);
        edited.put(sheet, text.getBytes(StandardCharsets.UTF_8));
        return edited;
    }
}
