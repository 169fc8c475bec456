package io.jaywick.standin.source;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;

import io.jaywick.core.table.TableLimits;
import io.jaywick.node.source.SourceException;
import io.jaywick.node.source.SourceValue;
import org.junit.jupiter.api.Test;
import reactor.test.scheduler.VirtualTimeScheduler;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.instanceOf;
import static org.junit.jupiter.api.Assertions.assertThrows;

class FakeConfigServiceTestCase {

    private final VirtualTimeScheduler time = VirtualTimeScheduler.create();
    private final FakeConfigService service = new FakeConfigService(time);

    /** Guards against a watch that misses an edit, is counted twice, or never ends. */
    @Test
    void watchWaitsForNewerRevisionAndEndsAfterThirtySeconds() {
        service.publish(new byte[] {1});
        CompletableFuture<SourceValue> watch = service.watch(1);
        time.advanceTimeBy(Duration.ofMillis(29_999));
        assertThat(watch.isDone(), equalTo(false));
        service.publish(new byte[] {2});
        assertThat(watch.join().revision(), equalTo(2L));
        CompletableFuture<SourceValue> idle = service.watch(2);
        time.advanceTimeBy(Duration.ofSeconds(30));
        assertThat(idle.join(), equalTo(null));
        assertThat(service.callCount(), equalTo(2L));
        assertThat(service.pendingWatchCount(), equalTo(0));
    }

    /** Guards against an outage that leaves pending watches incomplete. */
    @Test
    void outageFailsWaitingWatchesAndReads() {
        service.publish(new byte[] {1});
        CompletableFuture<SourceValue> watch = service.watch(1);
        service.setOutage(true);
        assertThat(assertThrows(CompletionException.class, watch::join).getCause(), instanceOf(SourceException.class));
        assertThrows(CompletionException.class, () -> service.read().join());
        service.publish(new byte[] {2});
        service.setOutage(false);
        assertThat(service.read().join().revision(), equalTo(2L));
    }

    /** Guards against a stale service that delivers a newer value. */
    @Test
    void staleServiceShowsTheOldValueUntilItRecovers() {
        service.publish(new byte[] {1});
        service.setStale(true);
        CompletableFuture<SourceValue> watch = service.watch(1);
        service.publish(new byte[] {2});
        assertThat(service.read().join().revision(), equalTo(1L));
        assertThat(watch.isDone(), equalTo(false));
        service.setStale(false);
        assertThat(watch.join().revision(), equalTo(2L));
    }

    /** Guards against a reordering mode that delivers the revisions in order. */
    @Test
    void reorderedDeliveryReturnsNewerBeforeOlder() {
        service.publish(new byte[] {1});
        service.setReordering(true);
        CompletableFuture<SourceValue> watch = service.watch(1);
        service.publish(new byte[] {2});
        assertThat(watch.join().revision(), equalTo(2L));
        assertThat(service.watch(2).join().revision(), equalTo(1L));
        assertThat(service.read().join().revision(), equalTo(2L));
    }

    /** Guards against a restore that keeps the newer revision, and against reuse of revisions after it. */
    @Test
    void restoreShowsOlderRevision() {
        service.publish(new byte[] {1});
        service.publish(new byte[] {2});
        service.restore(1);
        assertThat(service.read().join().revision(), equalTo(1L));
        assertThat(service.publish(new byte[] {3}), equalTo(3L));
    }

    /** Guards against values larger than the real service accepts. */
    @Test
    void holdsAtMostOneMegabyte() {
        service.publish(new byte[TableLimits.MAX_VALUE_BYTES]);
        assertThrows(IllegalArgumentException.class, () -> service.publish(new byte[TableLimits.MAX_VALUE_BYTES + 1]));
    }
}
