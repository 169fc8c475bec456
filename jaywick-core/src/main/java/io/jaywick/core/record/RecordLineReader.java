package io.jaywick.core.record;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;

/**
 * Reads record lines. A line that is not exactly as it was written is rejected with {@link RecordLineException}; a
 * field that this version does not know is skipped. Not thread safe: one reader for each thread.
 */
public final class RecordLineReader {

    private static final int CHECK_DIGITS = 8;
    private static final int TAIL_BYTES = RecordLineWriter.CHECK_FIELD.length() + CHECK_DIGITS + 2;
    private static final byte[] CHECK_FIELD = RecordLineWriter.CHECK_FIELD.getBytes(StandardCharsets.US_ASCII);
    private static final int HEX = 16;
    private static final int MAX_PERCENT = 100;

    private final JsonFactory json = new JsonFactory();
    private final LineValues values = new LineValues();

    /** Reads one line without its line break. */
    public RecordLine read(byte[] bytes, int length) {
        verifyCheck(bytes, length);
        try (JsonParser parser = json.createParser(bytes, 0, length)) {
            if (parser.nextToken() != JsonToken.START_OBJECT) {
                throw new RecordLineException("not a JSON object");
            }
            RecordLine line = readLine(parser);
            if (parser.nextToken() != null) {
                throw new RecordLineException("text after the JSON object");
            }
            return line;
        } catch (IOException e) {
            throw new RecordLineException("not valid JSON", e);
        } catch (IllegalArgumentException e) {
            throw new RecordLineException("invalid value", e);
        }
    }

    private static void verifyCheck(byte[] bytes, int length) {
        int body = length - TAIL_BYTES;
        if (body < 1) {
            throw new RecordLineException("too short");
        }
        for (int i = 0; i < CHECK_FIELD.length; i++) {
            if (bytes[body + i] != CHECK_FIELD[i]) {
                throw new RecordLineException("no checksum at the end");
            }
        }
        String check = RecordLineWriter.check(bytes, body);
        for (int i = 0; i < CHECK_DIGITS; i++) {
            if (bytes[body + CHECK_FIELD.length + i] != check.charAt(i)) {
                throw new RecordLineException("wrong checksum");
            }
        }
    }

    private RecordLine readLine(JsonParser parser) throws IOException {
        LineFields fields = new LineFields();
        while (parser.nextToken() == JsonToken.FIELD_NAME) {
            String name = parser.currentName();
            parser.nextToken();
            switch (name) {
                case "format" -> {
                    fields.format = LineValues.count(parser);
                }
                case "kind" -> {
                    fields.kind = RecordLineKind.of(LineValues.text(parser));
                }
                case "server" -> {
                    fields.server = values.pooled(parser);
                }
                case "dataCentre" -> {
                    fields.dataCentre = values.pooled(parser);
                }
                case "region" -> {
                    fields.region = values.pooled(parser);
                }
                case "incarnation" -> {
                    fields.incarnation = LineValues.count(parser);
                }
                case "process" -> {
                    fields.process = Long.parseUnsignedLong(LineValues.text(parser), HEX);
                }
                case "sequence" -> {
                    fields.sequence = LineValues.count(parser);
                }
                case "writtenMillis" -> {
                    fields.writtenMillis = LineValues.count(parser);
                }
                case "claimedCalls" -> {
                    fields.claimedCalls = LineValues.count(parser);
                }
                case "claimedDispatches" -> {
                    fields.claimedDispatches = LineValues.count(parser);
                }
                case "endedCalls" -> {
                    fields.endedCalls = LineValues.count(parser);
                }
                case "endedDispatches" -> {
                    fields.endedDispatches = LineValues.count(parser);
                }
                case "shares" -> {
                    fields.shares = shares(parser);
                }
                case "seen" -> {
                    fields.seen = seen(parser);
                }
                case "sequences" -> {
                    fields.sequences = sequences(parser);
                }
                case "usage" -> {
                    fields.entries = entries(parser);
                }
                default -> parser.skipChildren();
            }
        }
        return fields.toLine();
    }

    private AgreedShares shares(JsonParser parser) throws IOException {
        LineValues.expect(parser, JsonToken.START_OBJECT);
        long revision = 0;
        long hour = 0;
        Map<String, Integer> percents = new TreeMap<>();
        while (parser.nextToken() == JsonToken.FIELD_NAME) {
            String name = parser.currentName();
            parser.nextToken();
            switch (name) {
                case "revision" -> {
                    revision = LineValues.count(parser);
                }
                case "hour" -> {
                    hour = LineValues.count(parser);
                }
                case "percents" -> {
                    LineValues.expect(parser, JsonToken.START_OBJECT);
                    while (parser.nextToken() == JsonToken.FIELD_NAME) {
                        String party = values.pool(parser.currentName());
                        parser.nextToken();
                        long percent = LineValues.count(parser);
                        if (percent > MAX_PERCENT) {
                            throw new RecordLineException("share over 100 percent");
                        }
                        percents.put(party, (int) percent);
                    }
                }
                default -> parser.skipChildren();
            }
        }
        return new AgreedShares(revision, hour, percents);
    }

    private List<PeerRecordState> seen(JsonParser parser) throws IOException {
        LineValues.expect(parser, JsonToken.START_ARRAY);
        List<PeerRecordState> seen = new ArrayList<>();
        while (parser.nextToken() == JsonToken.START_OBJECT) {
            String server = "";
            long[] numbers = new long[4];
            while (parser.nextToken() == JsonToken.FIELD_NAME) {
                String name = parser.currentName();
                parser.nextToken();
                switch (name) {
                    case "server" -> {
                        server = values.pooled(parser);
                    }
                    case "incarnation" -> {
                        numbers[0] = LineValues.count(parser);
                    }
                    case "sequence" -> {
                        numbers[1] = LineValues.count(parser);
                    }
                    case "claimedCalls" -> {
                        numbers[2] = LineValues.count(parser);
                    }
                    case "claimedDispatches" -> {
                        numbers[3] = LineValues.count(parser);
                    }
                    default -> parser.skipChildren();
                }
            }
            seen.add(new PeerRecordState(server, numbers[0], numbers[1], numbers[2], numbers[3]));
        }
        return seen;
    }

    private static List<SequenceRange> sequences(JsonParser parser) throws IOException {
        LineValues.expect(parser, JsonToken.START_ARRAY);
        List<SequenceRange> ranges = new ArrayList<>();
        while (parser.nextToken() == JsonToken.VALUE_NUMBER_INT) {
            long first = LineValues.count(parser);
            parser.nextToken();
            ranges.add(new SequenceRange(first, LineValues.count(parser)));
        }
        return ranges;
    }

    private List<UsageEntry> entries(JsonParser parser) throws IOException {
        LineValues.expect(parser, JsonToken.START_ARRAY);
        List<UsageEntry> entries = new ArrayList<>();
        while (parser.nextToken() == JsonToken.START_OBJECT) {
            entries.add(entry(parser));
        }
        return entries;
    }

    private UsageEntry entry(JsonParser parser) throws IOException {
        String label = "";
        String party = "";
        String service = "";
        String route = "";
        String region = "";
        boolean nested = false;
        long hour = -1;
        UsageCounters counters = new UsageCounters();
        while (parser.nextToken() == JsonToken.FIELD_NAME) {
            String name = parser.currentName();
            parser.nextToken();
            switch (name) {
                case "label" -> {
                    label = values.pooled(parser);
                }
                case "party" -> {
                    party = values.pooled(parser);
                }
                case "service" -> {
                    service = values.pooled(parser);
                }
                case "route" -> {
                    route = values.pooled(parser);
                }
                case "region" -> {
                    region = values.pooled(parser);
                }
                case "nested" -> {
                    nested = parser.getBooleanValue();
                }
                case "hour" -> {
                    hour = LineValues.count(parser);
                }
                default -> {
                    if (parser.currentToken() == JsonToken.VALUE_NUMBER_INT) {
                        counters.raise(values.pool(name), LineValues.count(parser));
                    } else {
                        parser.skipChildren();
                    }
                }
            }
        }
        if (hour < 0) {
            throw new RecordLineException("usage without hour");
        }
        return new UsageEntry(new UsageKey(label, party, service, route, region, nested, hour), counters);
    }
}
