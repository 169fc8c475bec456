package io.jaywick.core.distribution;

import java.nio.charset.StandardCharsets;
import java.util.Random;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;
import static org.junit.jupiter.api.Assertions.assertThrows;

class ValueDeltaTestCase {

    private static final int ROUTES = 1_400;

    /** Returns a configuration with random names, which a compressor cannot shorten. */
    private static String configuration(long version, int routes, int changedRoute) {
        Random random = new Random(7);
        StringBuilder text = new StringBuilder("{\"version\":\"" + version + "\",\"rows\":[");
        for (int i = 0; i < routes; i++) {
            text.append("[\"r").append(Long.toString(random.nextLong(), 36)).append("\",\"/");
            text.append(Long.toString(random.nextLong(), 36)).append("/\",\"safe\",");
            text.append(i == changedRoute ? "2500" : "1500").append("],");
        }
        return text.append("]}").toString();
    }

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }

    /** Guards against sending a whole configuration over every link because one route changed. */
    @Test
    void smallEditOfLargeValueGivesSmallDelta() {
        byte[] base = bytes(configuration(9, ROUTES, -1));
        byte[] target = bytes(configuration(10, ROUTES, ROUTES / 2));
        byte[] delta = ValueDelta.encode(base, target);
        assertThat(delta.length, lessThan(base.length / 500));
        assertThat(ValueDelta.apply(base, delta), is(target));
    }

    @Test
    void addedAndRemovedRoutesRoundTrip() {
        byte[] small = bytes(configuration(9, ROUTES / 2, -1));
        byte[] large = bytes(configuration(10, ROUTES, 3));
        assertThat(ValueDelta.apply(small, ValueDelta.encode(small, large)), is(large));
        assertThat(ValueDelta.apply(large, ValueDelta.encode(large, small)), is(small));
        byte[] nothing = {};
        assertThat(ValueDelta.apply(nothing, ValueDelta.encode(nothing, large)), is(large));
        assertThat(ValueDelta.apply(large, ValueDelta.encode(large, nothing)), is(nothing));
    }

    @Property(tries = 500, seed = "4811")
    void randomEditsRoundTrip(@ForAll Random random, @ForAll @IntRange(max = 2_000) int length) {
        byte[] base = new byte[length];
        for (int i = 0; i < length; i++) {
            base[i] = (byte) random.nextInt(1 + random.nextInt(40));
        }
        byte[] target = new byte[random.nextInt(2_000)];
        int position = 0;
        while (position < target.length) {
            int run = Math.min(target.length - position, 1 + random.nextInt(200));
            if (length > run && random.nextBoolean()) {
                System.arraycopy(base, random.nextInt(length - run), target, position, run);
            } else {
                for (int i = 0; i < run; i++) {
                    target[position + i] = (byte) random.nextInt();
                }
            }
            position += run;
        }
        assertThat(ValueDelta.apply(base, ValueDelta.encode(base, target)), is(target));
    }

    /** Guards against a corrupt delta that terminates the process or gives a wrong value. */
    @Property(tries = 1_000, seed = "4812")
    void corruptDeltaNeverGivesAnotherValue(@ForAll Random random) {
        byte[] base = bytes(configuration(9, 20, -1));
        byte[] target = bytes(configuration(10, 21, 4));
        byte[] delta = ValueDelta.encode(base, target);
        delta[random.nextInt(delta.length)] ^= (byte) (1 + random.nextInt(255));
        try {
            assertThat(ValueDelta.apply(base, delta), is(target));
        } catch (IllegalArgumentException e) {
            // The corruption was detected.
        }
    }

    /** Guards against applying a delta to a value other than the base for which it was encoded. */
    @Test
    void deltaForAnotherBaseIsRejected() {
        byte[] delta = ValueDelta.encode(bytes(configuration(9, 50, -1)), bytes(configuration(10, 50, 4)));
        byte[] other = bytes(configuration(8, 50, 9));
        assertThrows(IllegalArgumentException.class, () -> ValueDelta.apply(other, delta));
        assertThrows(IllegalArgumentException.class, () -> ValueDelta.apply(other, new byte[0]));
    }
}
