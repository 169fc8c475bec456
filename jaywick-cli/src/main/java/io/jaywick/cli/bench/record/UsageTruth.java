package io.jaywick.cli.bench.record;

import java.util.HashMap;
import java.util.Map;

import io.jaywick.core.record.CallUsage;
import io.jaywick.core.record.DispatchUsage;
import io.jaywick.core.record.RecorderIdentity;
import io.jaywick.core.record.UsageKey;

/**
 * Actual usage in a simulated fleet, counted independently of the usage record, for comparison with the report. Parties
 * are named only where the record may name them.
 */
public final class UsageTruth {

    /** Actual usage of one party or process. */
    public static final class PartyTruth {
        long startedCalls;
        long endedCalls;
        long startedDispatches;
        long endedDispatches;
        long slotMicros;
        long bytes;

        public long startedCalls() {
            return startedCalls;
        }

        public long endedCalls() {
            return endedCalls;
        }

        public long startedDispatches() {
            return startedDispatches;
        }

        public long endedDispatches() {
            return endedDispatches;
        }

        public long slotMicros() {
            return slotMicros;
        }

        /** Bytes of requests, responses and regional links. */
        public long bytes() {
            return bytes;
        }
    }

    private final Map<String, PartyTruth> parties = new HashMap<>();
    private final Map<String, PartyTruth> processes = new HashMap<>();

    /** Returns the usage by party, or by label in parentheses where the record may not name the party. */
    public Map<String, PartyTruth> parties() {
        return parties;
    }

    /** Returns the started calls and dispatches by process, with {@code SERVER INCARNATION} as key. */
    public Map<String, PartyTruth> processes() {
        return processes;
    }

    void callStarted(RecorderIdentity process, CallUsage usage) {
        truthOf(usage).startedCalls++;
        truthOf(process).startedCalls++;
    }

    void callEnded(CallUsage usage) {
        PartyTruth truth = truthOf(usage);
        truth.endedCalls++;
        truth.bytes += usage.requestBytes() + usage.responseBytes() + usage.linkBytes();
    }

    void dispatchStarted(RecorderIdentity process, DispatchUsage usage) {
        truthOf(usage.party()).startedDispatches++;
        truthOf(process).startedDispatches++;
    }

    void dispatchEnded(DispatchUsage usage) {
        PartyTruth truth = truthOf(usage.party());
        truth.endedDispatches++;
        truth.slotMicros += usage.slotMicros();
    }

    private PartyTruth truthOf(CallUsage usage) {
        boolean unnamed = usage.regionBound() && !usage.homeRegion();
        return truthOf(unnamed ? "(" + UsageKey.REGION_BOUND + ")" : usage.party());
    }

    private PartyTruth truthOf(RecorderIdentity process) {
        return processes.computeIfAbsent(process.server() + " " + process.incarnation(), ignored -> new PartyTruth());
    }

    private PartyTruth truthOf(String party) {
        return parties.computeIfAbsent(party, ignored -> new PartyTruth());
    }
}
