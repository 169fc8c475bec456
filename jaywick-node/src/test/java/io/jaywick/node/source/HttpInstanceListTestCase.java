package io.jaywick.node.source;

import java.nio.charset.StandardCharsets;
import java.util.SplittableRandom;

import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.not;
import static org.junit.jupiter.api.Assertions.assertThrows;

class HttpInstanceListTestCase {

    private static final String ENTRY = "{\"server\":\"a\",\"dataCentre\":\"d\",\"region\":\"r\",\"service\":\"s\","
            + "\"peerAddress\":\"127.0.0.1:1\",\"ingressAddress\":\"[::1]:2\",\"state\":\"leaving\",\"more\":[1]}";

    /** Guards against an invalid entry that hides the valid ones. */
    @Example
    void skipsUnusableEntries() {
        String list = "[7,null,[],{}," + ENTRY + "," + ENTRY.replace("leaving", "gone") + ","
                + ENTRY.replace("127.0.0.1:1", "127.0.0.1:99999") + "," + ENTRY.replace("\"a\"", "\"\"") + "]";
        assertThat(HttpInstanceList.parse(list.getBytes(StandardCharsets.UTF_8)), hasSize(1));
    }

    /** Guards against accepting a body that is not a list, and against deep nesting that exhausts the stack. */
    @Example
    void rejectsBodiesThatAreNotAList() {
        for (String body : new String[] {"", "{}", "[", "[] []", "null", "[".repeat(500_000)}) {
            SourceException failure = assertThrows(
                    SourceException.class, () -> HttpInstanceList.parse(body.getBytes(StandardCharsets.UTF_8)));
            assertThat(failure.kind(), equalTo(SourceException.Kind.MALFORMED));
        }
    }

    /** Guards against a damaged body that causes an exception other than {@link SourceException}. */
    @Property(tries = 1_000, seed = "20260131", shrinking = ShrinkingMode.OFF)
    void damagedBodyGivesEntriesOrTypedError(@ForAll long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        byte[] body = ("[" + ENTRY + "," + ENTRY + "]").getBytes(StandardCharsets.UTF_8);
        for (int i = random.nextInt(1, 6); i > 0; i--) {
            body[random.nextInt(body.length)] = (byte) random.nextInt(256);
        }
        try {
            HttpInstanceList.parse(body).forEach(entry -> assertThat(entry.server(), not(equalTo(""))));
        } catch (SourceException e) {
            assertThat("seed " + seed, e.kind(), equalTo(SourceException.Kind.MALFORMED));
        }
    }
}
