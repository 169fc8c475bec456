package io.jaywick.core.limits;

import java.util.concurrent.TimeUnit;

import io.jaywick.core.message.QuotaGrant;
import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;

class ReceiverLineTestCase {

    private static final long SECOND = TimeUnit.SECONDS.toNanos(1);
    private static final long WINDOW = 2 * SECOND;

    private final ReceiverLine line = new ReceiverLine(10 * SECOND);

    /** Guards against quota used while the holder's calls of the last window still count. */
    @Test
    void grantIsUsableOneWindowAfterItArrives() {
        ask(1, 50, 0);
        accept(1, 50, 10, SECOND);
        assertThat(line.usable(SECOND), equalTo(10));
        assertThat(line.usable(SECOND + WINDOW - 1), equalTo(10));
        assertThat(line.usable(SECOND + WINDOW), equalTo(50));
    }

    /** Guards against a period counted from the arrival of a late answer. */
    @Test
    void grantEndsOnePeriodAfterTheRequest() {
        ask(1, 50, 0);
        accept(1, 50, 50, 9 * SECOND);
        assertThat(line.usable(10 * SECOND - 1), equalTo(50));
        assertThat(line.usable(10 * SECOND), equalTo(0));
    }

    /** Guards against an answer credited twice. */
    @Test
    void duplicateAnswerIsIgnored() {
        ask(1, 50, 0);
        accept(1, 50, 50, 1);
        accept(1, 50, 50, 2);
        assertThat(line.usable(3), equalTo(50));
    }

    /** Guards against an answer that an overtaking request has replaced. */
    @Test
    void answerToAnOlderRequestIsIgnored() {
        ask(1, 50, 0);
        ask(2, 50, SECOND);
        accept(1, 50, 50, 2 * SECOND);
        assertThat(line.usable(2 * SECOND), equalTo(0));
    }

    /** Guards against a receiver that wakes after the end of its grant and credits a renewal without a wait. */
    @Test
    void renewalAfterTheEndWaitsAWindowAgain() {
        ask(1, 50, 0);
        accept(1, 50, 50, 1);
        ask(2, 50, 9 * SECOND);
        accept(2, 50, 0, 11 * SECOND);
        assertThat(line.usable(11 * SECOND), equalTo(0));
        assertThat(line.usable(11 * SECOND + WINDOW), equalTo(50));
    }

    /** Guards against a renewal that interrupts the use of the same quota. */
    @Test
    void renewalExtendsTheUse() {
        ask(1, 50, 0);
        accept(1, 50, 50, 1);
        ask(2, 50, 5 * SECOND);
        accept(2, 50, 0, 6 * SECOND);
        assertThat(line.usable(14 * SECOND), equalTo(50));
    }

    /** Guards against quota that is used after the holder was told that it is not. */
    @Test
    void useFallsBeforeTheRequestThatSaysSo() {
        ask(1, 50, 0);
        accept(1, 50, 50, 1);
        line.send(2, 0, 0, 30, SECOND);
        assertThat(line.usable(SECOND), equalTo(0));
        assertThat(line.idleReleased(), equalTo(30));
    }

    private void ask(long id, int wanted, long now) {
        line.send(id, wanted, wanted, 0, now);
    }

    private void accept(long id, int calls, int ready, long now) {
        line.accept(new QuotaGrant("h", 1, id, "p", calls, 10_000, ready, 0), 0, WINDOW, now);
    }
}
