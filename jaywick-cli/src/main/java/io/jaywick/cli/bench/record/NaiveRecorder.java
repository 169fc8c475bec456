package io.jaywick.cli.bench.record;

import java.util.HashMap;
import java.util.Map;

import io.jaywick.core.record.CallUsage;
import io.jaywick.core.record.DispatchUsage;
import io.jaywick.core.record.RecorderIdentity;
import io.jaywick.core.record.UsageObserver;
import io.jaywick.core.record.UsageSink;

/**
 * Baseline for comparison with the usage record: each line holds the server and the calls of its interval by party as
 * {@code PARTY=CALLS}, without sequence number, claim or checksum. The reader adds up the lines.
 */
final class NaiveRecorder implements UsageObserver {

    private final RecorderIdentity identity;
    private final UsageSink sink;
    private final Map<String, Long> calls = new HashMap<>();

    NaiveRecorder(RecorderIdentity identity, UsageSink sink) {
        this.identity = identity;
        this.sink = sink;
    }

    @Override
    public void callStarted() {}

    @Override
    public void callEnded(CallUsage usage) {
        calls.merge(usage.party(), 1L, Long::sum);
    }

    @Override
    public void dispatchStarted() {}

    @Override
    public void dispatchEnded(DispatchUsage usage) {}

    void writeCounters() {
        StringBuilder line = new StringBuilder(identity.server());
        calls.forEach(
                (party, count) -> line.append(' ').append(party).append('=').append(count));
        sink.accept(line.toString());
        calls.clear();
    }
}
