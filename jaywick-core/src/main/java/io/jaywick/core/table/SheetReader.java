package io.jaywick.core.table;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.CharBuffer;
import java.nio.charset.CharsetDecoder;
import java.nio.charset.CoderResult;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

import com.fasterxml.jackson.databind.MappingIterator;
import com.fasterxml.jackson.databind.ObjectReader;
import com.fasterxml.jackson.dataformat.csv.CsvMapper;
import com.fasterxml.jackson.dataformat.csv.CsvParser;

/** Parses one sheet and checks its encoding, its header, and the length and characters of its rows. */
public final class SheetReader {

    private static final ObjectReader ROWS =
            CsvMapper.builder().enable(CsvParser.Feature.WRAP_AS_ARRAY).build().readerFor(String[].class);
    private static final byte[] BYTE_ORDER_MARK = {(byte) 0xEF, (byte) 0xBB, (byte) 0xBF};

    private final Sheet sheet;
    private final ProblemList problems;

    private SheetReader(Sheet sheet, ProblemList problems) {
        this.sheet = sheet;
        this.problems = problems;
    }

    /**
     * Parses a sheet and adds every defect to the problems.
     *
     * @return the rows, of which some may be marked as malformed, or null when the whole sheet is unreadable, for
     *     example because of its encoding or header
     */
    public static List<SheetRow> read(Sheet sheet, byte[] bytes, ProblemList problems) {
        return new SheetReader(sheet, problems).read(bytes);
    }

    private List<SheetRow> read(byte[] bytes) {
        if (bytes.length > TableLimits.MAX_VALUE_BYTES) {
            problems.add(
                    ProblemType.VALUE_TOO_LARGE,
                    sheet,
                    0,
                    "",
                    "the sheet has " + bytes.length + " bytes, allowed are " + TableLimits.MAX_VALUE_BYTES);
            return null;
        }
        if (Arrays.equals(BYTE_ORDER_MARK, Arrays.copyOf(bytes, BYTE_ORDER_MARK.length))) {
            problems.add(ProblemType.BYTE_ORDER_MARK, sheet, 1, "", "the sheet starts with a byte-order mark");
            return null;
        }
        String text = decode(bytes);
        return text == null ? null : parse(text);
    }

    private String decode(byte[] bytes) {
        CharsetDecoder decoder = StandardCharsets.UTF_8.newDecoder();
        ByteBuffer input = ByteBuffer.wrap(bytes);
        CharBuffer output = CharBuffer.allocate(bytes.length);
        CoderResult result = decoder.decode(input, output, true);
        if (result.isError()) {
            int line = 1;
            for (int i = 0; i < input.position(); i++) {
                line += bytes[i] == '\n' ? 1 : 0;
            }
            problems.add(
                    ProblemType.WRONG_ENCODING, sheet, line, "", "byte " + input.position() + " is not valid UTF-8");
            return null;
        }
        return output.flip().toString();
    }

    private List<SheetRow> parse(String text) {
        List<SheetRow> rows = new ArrayList<>();
        int number = 1;
        try (MappingIterator<String[]> lines = ROWS.readValues(text)) {
            int[] columnIndexes =
                    lines.hasNextValue() ? columnIndexes(lines.nextValue()) : columnIndexes(new String[0]);
            if (columnIndexes == null) {
                return null;
            }
            while (lines.hasNextValue()) {
                number++;
                rows.add(createRow(number, lines.nextValue(), columnIndexes));
            }
        } catch (IOException e) {
            problems.add(
                    ProblemType.MALFORMED_CSV,
                    sheet,
                    number,
                    "",
                    "quotes do not pair, or text follows a closing quote, in or after this row");
            return null;
        }
        return rows;
    }

    /**
     * Returns the index in the file of each column in canonical order, followed by the number of fields in the header;
     * null when a column is missing or repeated.
     */
    private int[] columnIndexes(String[] header) {
        int[] columnIndexes = new int[sheet.columns().size() + 1];
        Arrays.fill(columnIndexes, -1);
        boolean complete = true;
        for (int i = 0; i < header.length; i++) {
            int column = sheet.columns().indexOf(header[i]);
            if (column < 0) {
                problems.add(
                        ProblemType.UNKNOWN_COLUMN,
                        sheet,
                        1,
                        "",
                        "column " + TableProblem.quoted(header[i]) + " is unknown; allowed are " + sheet.columns());
            } else if (columnIndexes[column] >= 0) {
                problems.add(ProblemType.DUPLICATE_COLUMN, sheet, 1, header[i], "the column appears twice");
                complete = false;
            } else {
                columnIndexes[column] = i;
            }
        }
        for (int i = 0; i < sheet.columns().size(); i++) {
            if (columnIndexes[i] < 0) {
                String column = sheet.columns().get(i);
                problems.add(ProblemType.MISSING_COLUMN, sheet, 1, column, "the column is missing");
                complete = false;
            }
        }
        columnIndexes[sheet.columns().size()] = header.length;
        return complete ? columnIndexes : null;
    }

    private SheetRow createRow(int number, String[] values, int[] columnIndexes) {
        int expected = columnIndexes[sheet.columns().size()];
        boolean complete = values.length == expected;
        if (!complete) {
            problems.add(
                    ProblemType.WRONG_FIELD_COUNT,
                    sheet,
                    number,
                    "",
                    "the number of fields is " + values.length + ", that of the header is " + expected);
        }
        List<String> fields = new ArrayList<>(sheet.columns().size());
        for (int i = 0; i < sheet.columns().size(); i++) {
            fields.add(columnIndexes[i] < values.length ? values[columnIndexes[i]] : "");
        }
        SheetRow row = new SheetRow(sheet, number, List.copyOf(fields), !complete);
        return checkRow(row, problems);
    }

    /** Returns the row, marked as malformed when its length or characters are not allowed. */
    static SheetRow checkRow(SheetRow row, ProblemList problems) {
        if (row.malformed() || isWellFormed(row, problems)) {
            return row;
        }
        return new SheetRow(row.sheet(), row.number(), row.fields(), true);
    }

    private static boolean isWellFormed(SheetRow row, ProblemList problems) {
        int bytes = row.fields().size() - 1;
        boolean valid = true;
        for (int i = 0; i < row.fields().size(); i++) {
            String value = row.fields().get(i);
            bytes += value.getBytes(StandardCharsets.UTF_8).length;
            valid &= hasAllowedCharacters(row, row.sheet().columns().get(i), value, problems);
        }
        if (bytes > TableLimits.MAX_ROW_BYTES) {
            problems.add(
                    ProblemType.ROW_TOO_LONG,
                    row.sheet(),
                    row.number(),
                    "",
                    "the row has " + bytes + " bytes, allowed are " + TableLimits.MAX_ROW_BYTES);
            return false;
        }
        return valid;
    }

    private static boolean hasAllowedCharacters(SheetRow row, String column, String value, ProblemList problems) {
        for (int i = 0; i < value.length(); i++) {
            ProblemType type = problemTypeOf(value.charAt(i));
            if (type != null) {
                problems.add(
                        type,
                        row.sheet(),
                        row.number(),
                        column,
                        String.format("character U+%04X is not allowed inside a field", (int) value.charAt(i)));
                return false;
            }
        }
        return true;
    }

    private static ProblemType problemTypeOf(char c) {
        if (c == '"') {
            return ProblemType.QUOTE_IN_FIELD;
        }
        if (c == '\n' || c == '\r' || c == '\u2028' || c == '\u2029') {
            return ProblemType.LINE_BREAK;
        }
        return Character.isISOControl(c) ? ProblemType.CONTROL_CHARACTER : null;
    }
}
