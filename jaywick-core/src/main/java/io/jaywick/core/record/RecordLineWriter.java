package io.jaywick.core.record;

import java.io.IOException;
import java.io.StringWriter;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.zip.CRC32C;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;

/** Formats record lines as JSON. The last field, {@code check}, holds the CRC-32C of all bytes before it. */
public final class RecordLineWriter {

    static final int FORMAT = 1;
    static final String CHECK_FIELD = ",\"check\":\"";

    private static final JsonFactory JSON = new JsonFactory();

    private RecordLineWriter() {}

    /** Returns the JSON text of the line without a line break. */
    public static String write(RecordLine line) {
        StringWriter text = new StringWriter();
        try (JsonGenerator json = JSON.createGenerator(text)) {
            json.writeStartObject();
            writeHeader(json, line);
            writeShares(json, line.shares());
            writePeerStates(json, line);
            writeSequences(json, line);
            writeEntries(json, line);
            json.writeEndObject();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        StringBuffer buffer = text.getBuffer();
        buffer.setLength(buffer.length() - 1);
        String check = checksum(buffer.toString().getBytes(StandardCharsets.UTF_8));
        return buffer.append(CHECK_FIELD).append(check).append("\"}").toString();
    }

    /** Returns the CRC-32C as 8 hexadecimal digits. */
    static String checksum(byte[] bytes) {
        return checksum(bytes, bytes.length);
    }

    static String checksum(byte[] bytes, int length) {
        CRC32C crc = new CRC32C();
        crc.update(bytes, 0, length);
        String digits = Long.toHexString(crc.getValue());
        return "00000000".substring(digits.length()) + digits;
    }

    private static void writeHeader(JsonGenerator json, RecordLine line) throws IOException {
        RecorderIdentity identity = line.identity();
        json.writeNumberField("format", FORMAT);
        json.writeStringField("kind", line.kind().fieldValue());
        json.writeStringField("server", identity.server());
        json.writeStringField("dataCentre", identity.dataCentre());
        json.writeStringField("region", identity.region());
        json.writeNumberField("incarnation", identity.incarnation());
        json.writeStringField("process", Long.toHexString(identity.process()));
        json.writeNumberField("sequence", line.sequence());
        json.writeNumberField("writtenMillis", line.writtenMillis());
        json.writeNumberField("claimedCalls", line.claimedCalls());
        json.writeNumberField("claimedDispatches", line.claimedDispatches());
        json.writeNumberField("endedCalls", line.endedCalls());
        json.writeNumberField("endedDispatches", line.endedDispatches());
    }

    private static void writeShares(JsonGenerator json, AgreedShares shares) throws IOException {
        if (shares == null) {
            return;
        }
        json.writeObjectFieldStart("shares");
        json.writeNumberField("revision", shares.revision());
        json.writeNumberField("hour", shares.hour());
        json.writeObjectFieldStart("percents");
        for (Map.Entry<String, Integer> share : shares.percents().entrySet()) {
            json.writeNumberField(share.getKey(), share.getValue());
        }
        json.writeEndObject();
        json.writeEndObject();
    }

    private static void writePeerStates(JsonGenerator json, RecordLine line) throws IOException {
        if (line.seen().isEmpty()) {
            return;
        }
        json.writeArrayFieldStart("seen");
        for (PeerRecordState state : line.seen()) {
            json.writeStartObject();
            json.writeStringField("server", state.server());
            json.writeNumberField("incarnation", state.incarnation());
            json.writeNumberField("sequence", state.sequence());
            json.writeNumberField("claimedCalls", state.claimedCalls());
            json.writeNumberField("claimedDispatches", state.claimedDispatches());
            json.writeEndObject();
        }
        json.writeEndArray();
    }

    private static void writeSequences(JsonGenerator json, RecordLine line) throws IOException {
        if (line.sequences().isEmpty()) {
            return;
        }
        json.writeArrayFieldStart("sequences");
        for (SequenceRange range : line.sequences()) {
            json.writeNumber(range.first());
            json.writeNumber(range.last());
        }
        json.writeEndArray();
    }

    private static void writeEntries(JsonGenerator json, RecordLine line) throws IOException {
        if (line.entries().isEmpty()) {
            return;
        }
        json.writeArrayFieldStart("usage");
        for (UsageEntry entry : line.entries()) {
            UsageKey key = entry.key();
            json.writeStartObject();
            writeName(json, "label", key.label());
            writeName(json, "party", key.party());
            writeName(json, "service", key.service());
            writeName(json, "route", key.route());
            writeName(json, "region", key.region());
            if (key.nested()) {
                json.writeBooleanField("nested", true);
            }
            json.writeNumberField("hour", key.hour());
            UsageCounters counters = entry.counters();
            for (int i = 0; i < counters.size(); i++) {
                json.writeNumberField(counters.name(i), counters.value(i));
            }
            json.writeEndObject();
        }
        json.writeEndArray();
    }

    private static void writeName(JsonGenerator json, String field, String name) throws IOException {
        if (!name.isEmpty()) {
            json.writeStringField(field, name);
        }
    }
}
