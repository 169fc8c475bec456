package io.jaywick.node.relay;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;

import io.jaywick.core.message.Busy;
import io.jaywick.core.message.Message;
import io.jaywick.core.message.SourceQuery;
import io.jaywick.core.message.SourceState;
import io.jaywick.core.message.SourceVersion;
import io.jaywick.core.message.UpToDate;
import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.is;

class SourceQueryHandlerTestCase {

    private static final SourceQuery QUERY = new SourceQuery(1, 100, false, new SourceVersion(2, 1, 1, 0, -1));

    private final List<Runnable> timers = new ArrayList<>();
    private final SourceQueryHandler handler = new SourceQueryHandler(new Provider(), (task, millis) -> {
        timers.add(task);
        return () -> timers.remove(task);
    });
    private boolean confirmed = true;
    private long era = 2;

    private final class Provider implements SourceStateProvider {

        @Override
        public SourceState newerThan(SourceQuery query) {
            return null;
        }

        @Override
        public long era() {
            return era;
        }

        @Override
        public long ageMillis() {
            return 0;
        }

        @Override
        public boolean isBehind(SourceQuery query) {
            return query.version().era() > era;
        }

        @Override
        public boolean isSourceReachable() {
            return true;
        }

        @Override
        public boolean isSourceConfirmed() {
            return confirmed;
        }
    }

    private void endWaits() {
        List.copyOf(timers).forEach(Runnable::run);
    }

    /** Guards against a follower that waits at a node which still holds what the source had before it lost it. */
    @Test
    void followerInNewerEraIsSentElsewhere() {
        era = 1;
        assertThat(handler.handle(QUERY).join(), instanceOf(Busy.class));
    }

    @Test
    void waitEndsWithoutNewerState() {
        CompletableFuture<Message> reply = handler.handle(QUERY);
        assertThat(reply.isDone(), is(false));
        endWaits();
        assertThat(reply.join(), instanceOf(UpToDate.class));
    }

    /** Guards against a follower that stays at a node which the source ignores, and which says that nothing is new. */
    @Test
    void waitDoesNotEndBeforeTheSourceHasAnswered() {
        confirmed = false;
        CompletableFuture<Message> reply = handler.handle(QUERY);
        endWaits();
        assertThat(reply.isDone(), is(false));
        confirmed = true;
        handler.notifySourceConfirmed();
        assertThat(reply.join(), instanceOf(UpToDate.class));
    }

    @Test
    void answerOfTheSourceDoesNotEndOtherWaits() {
        confirmed = false;
        CompletableFuture<Message> reply = handler.handle(QUERY);
        confirmed = true;
        handler.notifySourceConfirmed();
        assertThat(reply.isDone(), is(false));
        endWaits();
        assertThat(reply.join(), instanceOf(UpToDate.class));
    }

    @Test
    void lostSourceEndsAllWaits() {
        confirmed = false;
        CompletableFuture<Message> ended = handler.handle(QUERY);
        endWaits();
        CompletableFuture<Message> waiting = handler.handle(QUERY);
        handler.notifySourceLost();
        assertThat(ended.join(), instanceOf(Busy.class));
        assertThat(waiting.join(), instanceOf(Busy.class));
    }
}
