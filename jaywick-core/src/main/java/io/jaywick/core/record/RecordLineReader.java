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
 * Parses record lines. The checksum of a line is verified first; a damaged line is rejected with
 * {@link RecordLineException}. Unknown fields are skipped. Not thread safe: each thread needs its own reader.
 */
public final class RecordLineReader {

    private static final int CHECK_DIGITS = 8;
    private static final int CHECKSUM_SUFFIX_BYTES = RecordLineWriter.CHECK_FIELD.length() + CHECK_DIGITS + 2;
    private static final byte[] CHECK_FIELD = RecordLineWriter.CHECK_FIELD.getBytes(StandardCharsets.US_ASCII);
    private static final int HEX_RADIX = 16;
    private static final int MAX_PERCENT = 100;

    private final JsonFactory json = new JsonFactory();
    private final RecordValueReader values = new RecordValueReader();

    /**
     * Parses one line.
     *
     * @param bytes buffer with the line at its start, in UTF-8
     * @param length length of the line in bytes, without its line break
     * @throws RecordLineException when the line is damaged or not in the record format
     */
    public RecordLine read(byte[] bytes, int length) {
        verifyChecksum(bytes, length);
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

    private static void verifyChecksum(byte[] bytes, int length) {
        int body = length - CHECKSUM_SUFFIX_BYTES;
        if (body < 1) {
            throw new RecordLineException("line is too short to hold a checksum");
        }
        for (int i = 0; i < CHECK_FIELD.length; i++) {
            if (bytes[body + i] != CHECK_FIELD[i]) {
                throw new RecordLineException("no checksum at the end");
            }
        }
        String check = RecordLineWriter.checksum(bytes, body);
        for (int i = 0; i < CHECK_DIGITS; i++) {
            if (bytes[body + CHECK_FIELD.length + i] != check.charAt(i)) {
                throw new RecordLineException("checksum does not match");
            }
        }
    }

    private RecordLine readLine(JsonParser parser) throws IOException {
        RecordLineBuilder fields = new RecordLineBuilder();
        while (parser.nextToken() == JsonToken.FIELD_NAME) {
            String name = parser.currentName();
            parser.nextToken();
            switch (name) {
                case "format" -> {
                    fields.format = RecordValueReader.readCount(parser);
                }
                case "kind" -> {
                    fields.kind = RecordLineKind.of(RecordValueReader.readText(parser));
                }
                case "server" -> {
                    fields.server = values.readName(parser);
                }
                case "dataCentre" -> {
                    fields.dataCentre = values.readName(parser);
                }
                case "region" -> {
                    fields.region = values.readName(parser);
                }
                case "incarnation" -> {
                    fields.incarnation = RecordValueReader.readCount(parser);
                }
                case "process" -> {
                    fields.process = Long.parseUnsignedLong(RecordValueReader.readText(parser), HEX_RADIX);
                }
                case "sequence" -> {
                    fields.sequence = RecordValueReader.readCount(parser);
                }
                case "writtenMillis" -> {
                    fields.writtenMillis = RecordValueReader.readCount(parser);
                }
                case "claimedCalls" -> {
                    fields.claimedCalls = RecordValueReader.readCount(parser);
                }
                case "claimedDispatches" -> {
                    fields.claimedDispatches = RecordValueReader.readCount(parser);
                }
                case "endedCalls" -> {
                    fields.endedCalls = RecordValueReader.readCount(parser);
                }
                case "endedDispatches" -> {
                    fields.endedDispatches = RecordValueReader.readCount(parser);
                }
                case "shares" -> {
                    fields.shares = readShares(parser);
                }
                case "seen" -> {
                    fields.seen = readPeerStates(parser);
                }
                case "sequences" -> {
                    fields.sequences = readSequences(parser);
                }
                case "usage" -> {
                    fields.entries = readEntries(parser);
                }
                default -> parser.skipChildren();
            }
        }
        return fields.build();
    }

    private AgreedShares readShares(JsonParser parser) throws IOException {
        RecordValueReader.requireToken(parser, JsonToken.START_OBJECT);
        long revision = 0;
        long hour = 0;
        Map<String, Integer> percents = new TreeMap<>();
        while (parser.nextToken() == JsonToken.FIELD_NAME) {
            String name = parser.currentName();
            parser.nextToken();
            switch (name) {
                case "revision" -> {
                    revision = RecordValueReader.readCount(parser);
                }
                case "hour" -> {
                    hour = RecordValueReader.readCount(parser);
                }
                case "percents" -> {
                    RecordValueReader.requireToken(parser, JsonToken.START_OBJECT);
                    while (parser.nextToken() == JsonToken.FIELD_NAME) {
                        String party = values.intern(parser.currentName());
                        parser.nextToken();
                        long percent = RecordValueReader.readCount(parser);
                        if (percent > MAX_PERCENT) {
                            throw new RecordLineException("agreed share exceeds 100 percent");
                        }
                        percents.put(party, (int) percent);
                    }
                }
                default -> parser.skipChildren();
            }
        }
        return new AgreedShares(revision, hour, percents);
    }

    private List<PeerRecordState> readPeerStates(JsonParser parser) throws IOException {
        RecordValueReader.requireToken(parser, JsonToken.START_ARRAY);
        List<PeerRecordState> states = new ArrayList<>();
        while (parser.nextToken() == JsonToken.START_OBJECT) {
            String server = "";
            long[] numbers = new long[4];
            while (parser.nextToken() == JsonToken.FIELD_NAME) {
                String name = parser.currentName();
                parser.nextToken();
                switch (name) {
                    case "server" -> {
                        server = values.readName(parser);
                    }
                    case "incarnation" -> {
                        numbers[0] = RecordValueReader.readCount(parser);
                    }
                    case "sequence" -> {
                        numbers[1] = RecordValueReader.readCount(parser);
                    }
                    case "claimedCalls" -> {
                        numbers[2] = RecordValueReader.readCount(parser);
                    }
                    case "claimedDispatches" -> {
                        numbers[3] = RecordValueReader.readCount(parser);
                    }
                    default -> parser.skipChildren();
                }
            }
            states.add(new PeerRecordState(server, numbers[0], numbers[1], numbers[2], numbers[3]));
        }
        return states;
    }

    private static List<SequenceRange> readSequences(JsonParser parser) throws IOException {
        RecordValueReader.requireToken(parser, JsonToken.START_ARRAY);
        List<SequenceRange> ranges = new ArrayList<>();
        while (parser.nextToken() == JsonToken.VALUE_NUMBER_INT) {
            long first = RecordValueReader.readCount(parser);
            parser.nextToken();
            ranges.add(new SequenceRange(first, RecordValueReader.readCount(parser)));
        }
        return ranges;
    }

    private List<UsageEntry> readEntries(JsonParser parser) throws IOException {
        RecordValueReader.requireToken(parser, JsonToken.START_ARRAY);
        List<UsageEntry> entries = new ArrayList<>();
        while (parser.nextToken() == JsonToken.START_OBJECT) {
            entries.add(readEntry(parser));
        }
        return entries;
    }

    private UsageEntry readEntry(JsonParser parser) throws IOException {
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
                    label = values.readName(parser);
                }
                case "party" -> {
                    party = values.readName(parser);
                }
                case "service" -> {
                    service = values.readName(parser);
                }
                case "route" -> {
                    route = values.readName(parser);
                }
                case "region" -> {
                    region = values.readName(parser);
                }
                case "nested" -> {
                    nested = parser.getBooleanValue();
                }
                case "hour" -> {
                    hour = RecordValueReader.readCount(parser);
                }
                default -> {
                    if (parser.currentToken() == JsonToken.VALUE_NUMBER_INT) {
                        counters.raiseTo(values.intern(name), RecordValueReader.readCount(parser));
                    } else {
                        parser.skipChildren();
                    }
                }
            }
        }
        if (hour < 0) {
            throw new RecordLineException("usage entry has no hour");
        }
        return new UsageEntry(new UsageKey(label, party, service, route, region, nested, hour), counters);
    }
}
