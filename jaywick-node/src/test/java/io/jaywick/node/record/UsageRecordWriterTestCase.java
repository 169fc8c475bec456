package io.jaywick.node.record;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

import io.jaywick.core.record.CallOutcome;
import io.jaywick.core.record.CallUsage;
import io.jaywick.core.record.RecorderIdentity;
import io.jaywick.core.settings.RecordSettings;
import org.junit.jupiter.api.Test;
import reactor.test.scheduler.VirtualTimeScheduler;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.hasSize;

class UsageRecordWriterTestCase {

    private final VirtualTimeScheduler scheduler = VirtualTimeScheduler.create();
    private final List<String> lines = new ArrayList<>();
    private boolean sinkFails;

    /** Guards against missing periodic lines and against a record without a final line. */
    @Test
    void writesOneLinePerIntervalAndAFinalLine() {
        UsageRecordWriter writer = writer();
        scheduler.advanceTimeBy(Duration.ofSeconds(35));
        assertThat(lines, hasSize(4));
        writer.close();
        scheduler.advanceTimeBy(Duration.ofSeconds(35));
        assertThat(lines, hasSize(5));
        assertThat(lines.get(4), containsString("\"kind\":\"final\""));
    }

    /** Guards against a failed write that stops the timer. */
    @Test
    void continuesAfterFailedWrite() {
        try (UsageRecordWriter writer = writer()) {
            scheduler.advanceTimeBy(Duration.ofSeconds(1));
            sinkFails = true;
            scheduler.advanceTimeBy(Duration.ofSeconds(10));
            sinkFails = false;
            scheduler.advanceTimeBy(Duration.ofSeconds(10));
            assertThat(lines, hasSize(2));
        }
    }

    /** Guards against claims that are exhausted although the scheduler could have raised them in time. */
    @Test
    void raisesClaimsBeforeTheyAreExhausted() {
        try (UsageRecordWriter writer = writer()) {
            scheduler.advanceTimeBy(Duration.ofSeconds(21));
            int before = lines.size();
            for (int i = 0; i < 60; i++) {
                writer.recorder().callStarted();
            }
            scheduler.advanceTimeBy(Duration.ofMillis(1));
            assertThat(lines.size() - before, equalTo(3));
        }
    }

    /** Guards against an admin response that lacks calls not yet written to the record. */
    @Test
    void currentLinesIncludeUnwrittenCalls() {
        try (UsageRecordWriter writer = writer()) {
            writer.recorder().callStarted();
            writer.recorder()
                    .callEnded(new CallUsage(
                            "ledger", "s", "r", "gulf", false, true, 1, 0, CallOutcome.ANSWERED, "", 1, 1, "", 0));
            assertThat(writer.currentLines().get(0), containsString("\"party\":\"ledger\""));
        }
    }

    private UsageRecordWriter writer() {
        return new UsageRecordWriter(
                new RecorderIdentity("s1", "d1", "gulf", 1, 2),
                new RecordSettings(10_000, 10_000),
                scheduler,
                line -> {
                    if (sinkFails) {
                        throw new IllegalStateException("closed");
                    }
                    lines.add(line);
                },
                List::of);
    }
}
