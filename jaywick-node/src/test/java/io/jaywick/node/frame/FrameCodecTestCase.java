package io.jaywick.node.frame;

import java.io.ByteArrayOutputStream;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Random;

import com.fasterxml.jackson.databind.ObjectMapper;
import io.jaywick.core.message.DeltaReply;
import io.jaywick.core.message.Digest;
import io.jaywick.core.message.ForwardCall;
import io.jaywick.core.message.PeerEntry;
import io.jaywick.core.message.RowChange;
import io.jaywick.core.message.UpToDate;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;
import org.msgpack.jackson.dataformat.MessagePackFactory;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.anyOf;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;
import static org.hamcrest.Matchers.lessThanOrEqualTo;
import static org.junit.jupiter.api.Assertions.assertThrows;

class FrameCodecTestCase {

    private static final PeerEntry PEER =
            new PeerEntry("s1", "dc1", "r1", "svc", "127.0.0.1:1", "127.0.0.1:2", 7, 100, false);
    private static final Digest DIGEST = new Digest("s1", 5, "ab", List.of(PEER), List.of());

    private final FrameCodec codec = new FrameCodec();

    @Test
    void decodesWhatItEncoded() {
        Frame frame = codec.decode(payload(codec.encode(FrameCodec.CURRENT_VERSION, 9, DIGEST)));
        assertThat(frame, is(new Frame(FrameCodec.CURRENT_VERSION, 9, DIGEST)));
    }

    @Test
    void rowChangeWithEmptyRowIsDecodedUnchanged() {
        DeltaReply delta = new DeltaReply(1, "a", 2, "b", List.of(new RowChange("routes", "k", "")));
        assertThat(
                codec.decode(payload(codec.encode(FrameCodec.CURRENT_VERSION - 1, 1, delta)))
                        .message(),
                is(delta));
    }

    @Test
    void fieldOfNextVersionIsSkippedAndMissingFieldIsEmpty() throws Exception {
        byte[] frame = envelope(
                FrameCodec.CURRENT_VERSION - 1,
                "Digest",
                Map.of("from", "s1", "revision", 5, "hash", "ab", "later", List.of(1, 2)));
        Digest digest = (Digest) codec.decode(frame).message();
        assertThat(digest.revision(), is(5L));
        assertThat(digest.peers(), is(empty()));
    }

    @Test
    void unknownTypeKeepsConnectionAndRequestId() throws Exception {
        FrameException e = assertThrows(
                FrameException.class,
                () -> codec.decode(envelope(FrameCodec.CURRENT_VERSION - 1, "Later", Map.of("x", 1))));
        assertThat(e.kind(), is("unknown-type"));
        assertThat(e.id(), is(3L));
        assertThat(e.closesConnection(), is(false));
    }

    @Test
    void otherProtocolVersionsCloseTheConnection() {
        for (int version : new int[] {0, FrameCodec.CURRENT_VERSION + 1, 255}) {
            byte[] frame = payload(codec.encode(version, 1, DIGEST));
            FrameException e = assertThrows(FrameException.class, () -> codec.decode(frame));
            assertThat(e.kind(), is("bad-version"));
            assertThat(e.closesConnection(), is(true));
        }
    }

    @Test
    void everyTruncatedFrameIsRejected() {
        byte[] frame = payload(codec.encode(FrameCodec.CURRENT_VERSION, 9, DIGEST));
        for (int length = 0; length < frame.length; length++) {
            byte[] truncated = Arrays.copyOf(frame, length);
            assertThat(
                    assertThrows(FrameException.class, () -> codec.decode(truncated))
                            .kind(),
                    is("truncated"));
        }
    }

    @Test
    void tooLongFrameIsRejected() {
        byte[] frame = new byte[FrameCodec.MAX_LENGTH_BYTES + 1];
        assertThat(assertThrows(FrameException.class, () -> codec.decode(frame)).kind(), is("too-long"));
    }

    /** Guards against a header of a few bytes that causes an allocation of gigabytes. */
    @Test
    void declaredLengthBeyondFrameIsRejected() {
        for (int header : new int[] {0xc6, 0xc9, 0xdb, 0xdd, 0xdf}) {
            byte[] frame = {
                FrameCodec.CURRENT_VERSION - 1, (byte) header, 0x7f, (byte) 0xff, (byte) 0xff, (byte) 0xff, 1
            };
            assertThat(
                    assertThrows(FrameException.class, () -> codec.decode(frame))
                            .kind(),
                    is("truncated"));
        }
    }

    @Property(seed = "4711", tries = 2000)
    void arbitraryBytesGiveFrameOrTypedError(@ForAll byte[] bytes) {
        decodeOrReject(bytes);
    }

    @Property(seed = "4712", tries = 2000)
    void anyChangedByteGivesFrameOrTypedError(@ForAll int position, @ForAll byte value) {
        byte[] frame = payload(codec.encode(FrameCodec.CURRENT_VERSION, 9, DIGEST));
        frame[Math.floorMod(position, frame.length)] = value;
        decodeOrReject(frame);
    }

    private void decodeOrReject(byte[] bytes) {
        try {
            codec.decode(bytes).message();
        } catch (FrameException e) {
            assertThat(
                    e.kind(),
                    anyOf(is("truncated"), is("bad-version"), is("bad-body"), is("unknown-type"), is("too-long")));
        }
    }

    @Test
    void adjacentVersionsAreCompatible() {
        FrameCodec next = new FrameCodec(FrameCodec.CURRENT_VERSION + 1);
        UpToDate message = new UpToDate(1, "a", 0, 0);
        assertThat(
                codec.decode(payload(next.encode(next.minVersion(), 1, message)))
                        .message(),
                is(message));
        assertThat(
                next.decode(payload(codec.encode(codec.maxVersion(), 1, message)))
                        .message(),
                is(message));
    }

    private static byte[] payload(byte[] frame) {
        return Arrays.copyOfRange(frame, FrameCodec.LENGTH_BYTES, frame.length);
    }

    private static byte[] envelope(int version, String type, Map<String, Object> body) throws Exception {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        bytes.write(version);
        Map<String, Object> envelope = new java.util.LinkedHashMap<>();
        envelope.put("type", type);
        envelope.put("id", 3);
        envelope.put("body", body);
        bytes.write(new ObjectMapper(new MessagePackFactory()).writeValueAsBytes(envelope));
        return bytes.toByteArray();
    }

    private static ForwardCall call(byte[] body) {
        return new ForwardCall(
                "c-1",
                "0123456789abcdef",
                "GET",
                "/a1b2/c3",
                List.of("Host", "a.example", "X-Request-Id", "0123456789abcdef", "X-Caller", "svc"),
                body,
                "svc",
                "i-1",
                "r-1",
                true,
                0,
                500,
                1_000,
                true,
                false,
                false,
                false,
                "");
    }

    /** Pattern calls to another data centre: names of fields and headers were most of a frame without a body. */
    @Test
    void callWithoutBodyIsCompressedToLessThanHalf() {
        FrameCodec sender = new FrameCodec(List.of("X-Request-Id", "X-Caller"));
        FrameCodec receiver = new FrameCodec(List.of("X-Request-Id", "X-Caller"));
        ForwardCall call = call(new byte[0]);
        byte[] plain = sender.encode(FrameCodec.CURRENT_VERSION, 1, call);
        for (int i = 0; i < 3; i++) {
            byte[] compressed = sender.encodeCompressed(FrameCodec.CURRENT_VERSION, i, call);
            assertThat(compressed.length, lessThan(plain.length / 2));
            Frame frame = receiver.decode(payload(compressed));
            assertThat(frame.id(), is((long) i));
            assertThat(((ForwardCall) frame.message()).headers(), is(call.headers()));
        }
    }

    /** Guards against bodies that become longer, or cost processor time, because they cannot be compressed. */
    @Test
    void randomBodiesAreSentAsTheyAre() {
        for (int bytes : new int[] {3_000, 200_000}) {
            byte[] body = new byte[bytes];
            new Random(1).nextBytes(body);
            byte[] frame = codec.encodeCompressed(FrameCodec.CURRENT_VERSION, 1, call(body));
            assertThat(frame.length, lessThanOrEqualTo(codec.encode(FrameCodec.CURRENT_VERSION, 1, call(body)).length));
            assertThat(((ForwardCall) codec.decode(payload(frame)).message()).body(), is(body));
        }
    }

    /** Guards against frames that are misread, or that fill the memory, when a peer compresses them differently. */
    @Test
    void unreadableCompressedFramesAreRejected() {
        byte[] good = payload(codec.encodeCompressed(FrameCodec.CURRENT_VERSION, 1, call(new byte[0])));
        FrameCodec other = new FrameCodec(List.of("X-Other"));
        assertThat(assertThrows(FrameException.class, () -> other.decode(good)).kind(), is("bad-body"));
        byte[] cut = Arrays.copyOf(good, good.length - 3);
        assertThat(assertThrows(FrameException.class, () -> codec.decode(cut)).kind(), is("truncated"));
        byte[] older = good.clone();
        older[0]--;
        assertThat(assertThrows(FrameException.class, () -> codec.decode(older)).kind(), is("bad-version"));
        FrameCompression compression = new FrameCompression(List.of());
        byte[] bomb = compression.deflate(new byte[8 << 20], 0);
        assertThat(
                assertThrows(FrameException.class, () -> compression.inflate(bomb, 0, FrameCodec.MAX_LENGTH_BYTES))
                        .kind(),
                is("too-long"));
    }
}
