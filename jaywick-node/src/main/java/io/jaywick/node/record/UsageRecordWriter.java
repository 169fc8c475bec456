package io.jaywick.node.record;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.time.InstantSource;
import java.util.Collection;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

import io.jaywick.core.record.PeerRecordState;
import io.jaywick.core.record.RecorderIdentity;
import io.jaywick.core.record.RecorderLimits;
import io.jaywick.core.record.UsageRecorder;
import io.jaywick.core.record.UsageSink;
import io.jaywick.core.settings.RecordSettings;
import reactor.core.Disposable;
import reactor.core.scheduler.Scheduler;

/**
 * Writes the usage record of a node at the configured interval and whenever its claims are nearly exhausted. The
 * scheduler also supplies the wall clock time. See docs/operate-record.md.
 */
public final class UsageRecordWriter implements AutoCloseable {

    private static final Logger LOG = System.getLogger(UsageRecordWriter.class.getName());

    private final Scheduler scheduler;
    private final UsageRecorder recorder;
    private final Disposable timer;

    public UsageRecordWriter(
            RecorderIdentity identity,
            RecordSettings settings,
            Scheduler scheduler,
            UsageSink sink,
            Supplier<? extends Collection<PeerRecordState>> peers) {
        this.scheduler = scheduler;
        InstantSource clock = () -> java.time.Instant.ofEpochMilli(scheduler.now(TimeUnit.MILLISECONDS));
        this.recorder = new UsageRecorder(
                identity, clock, sink, RecorderLimits.forMaxClaim(settings.claimCalls()), this::requestClaims, peers);
        long intervalMillis = settings.intervalMillis();
        this.timer = scheduler.schedulePeriodically(
                () -> logFailure(recorder::writeCounters), 0, intervalMillis, TimeUnit.MILLISECONDS);
    }

    /** Returns the recorder, which observes the calls and receives the agreed shares of new snapshots. */
    public UsageRecorder recorder() {
        return recorder;
    }

    /** Returns the lines for {@code GET /record} of the admin port. */
    public List<String> currentLines() {
        return recorder.currentLines();
    }

    /** Writes the last lines. The proxy must be shut down first. */
    @Override
    public void close() {
        timer.dispose();
        recorder.close();
    }

    private void requestClaims() {
        scheduler.schedule(() -> logFailure(recorder::writeClaims));
    }

    /**
     * Runs a write and logs its failure, which must not stop the timer. No counts are lost, because the counters are
     * cumulative and the next line repeats them.
     */
    private static void logFailure(Runnable write) {
        try {
            write.run();
        } catch (RuntimeException e) {
            LOG.log(Level.ERROR, "usage record write failed", e);
        }
    }
}
