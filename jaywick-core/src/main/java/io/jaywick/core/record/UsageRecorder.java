package io.jaywick.core.record;

import java.time.InstantSource;
import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Supplier;

import io.jaywick.core.snapshot.HomeRegions;
import io.jaywick.core.snapshot.Party;
import io.jaywick.core.snapshot.Snapshot;
import io.jaywick.core.snapshot.SnapshotListener;

/**
 * Counts the usage of one process and writes it as record lines with cumulative counters. See docs/design-record.md,
 * invariant I14.
 *
 * <p>A call or dispatch may start only when the claims of lines that are already written cover it. Otherwise the
 * starting thread writes claim lines first. When the sink fails, the start fails with {@link UsageClaimException} and
 * the call must be refused as not run.
 *
 * <p>Thread safe. Lines are written under one lock; counting takes only the lock of the stripe of the calling thread.
 */
public final class UsageRecorder implements UsageObserver, SnapshotListener, AutoCloseable {

    private final RecorderIdentity identity;
    private final InstantSource clock;
    private final UsageSink sink;
    private final RecorderLimits limits;
    private final Runnable claimRequest;
    private final PeerStateSelector peerStateSelector;
    private final ClaimTracker calls;
    private final ClaimTracker dispatches;
    private final UsageStripes stripes;
    private final OpenHourCounters openHours;
    private final Map<UsageKey, UsageCounters> pending = new LinkedHashMap<>();
    private final Object writeLock = new Object();
    private volatile Snapshot snapshot;
    private AgreedShares lastWrittenShares;
    private long sequence;
    private long claimedCalls;
    private long claimedDispatches;
    private int linesWithoutCounters;
    private boolean closed;

    /**
     * @param sink receives the lines; it is called with a lock held and must not call this recorder
     * @param claimRequest run when the claims are nearly exhausted; {@link #writeClaims} should follow soon on
     *     another thread
     * @param peers supplies the record states that other processes reported
     */
    public UsageRecorder(
            RecorderIdentity identity,
            InstantSource clock,
            UsageSink sink,
            RecorderLimits limits,
            Runnable claimRequest,
            Supplier<? extends Collection<PeerRecordState>> peers) {
        this.identity = identity;
        this.clock = clock;
        this.sink = sink;
        this.limits = limits;
        this.claimRequest = claimRequest;
        this.peerStateSelector = new PeerStateSelector(identity, peers);
        this.calls = new ClaimTracker(limits.minClaim(), limits.maxClaim(), limits.maxLostLines());
        this.dispatches = new ClaimTracker(limits.minClaim(), limits.maxClaim(), limits.maxLostLines());
        this.stripes = new UsageStripes(clock, limits.stripes(), limits.maxKeysPerHour());
        this.openHours = new OpenHourCounters(limits.maxKeysPerHour());
    }

    @Override
    public void callStarted() {
        recordStart(calls);
    }

    @Override
    public void callEnded(CallUsage usage) {
        stripes.count(usage, identity.region());
    }

    @Override
    public void dispatchStarted() {
        recordStart(dispatches);
    }

    @Override
    public void dispatchEnded(DispatchUsage usage) {
        stripes.count(usage, identity.region());
    }

    @Override
    public void onSnapshot(Snapshot next) {
        snapshot = next;
    }

    /**
     * Writes the regular line with the claims and the number of ended calls. The line includes the changed counters
     * when enough calls have been counted or too many lines had none, and all counters of an hour after it has ended.
     */
    public void writeCounters() {
        synchronized (writeLock) {
            if (closed) {
                return;
            }
            long hour = stripes.drain(openHours::add);
            if (linesWithoutCounters >= limits.maxLinesWithoutCounters()
                    || openHours.isWriteDue(hour, limits.minCallsPerEntry())) {
                linesWithoutCounters = 0;
                queueChangedCounters(hour);
            } else {
                linesWithoutCounters++;
            }
            calls.adjustClaimSize();
            dispatches.adjustClaimSize();
            List<PeerRecordState> peerStates = peerStateSelector.nextStates();
            AgreedShares shares = sharesToWrite(hour);
            do {
                write(RecordLineKind.COUNTERS, shares, peerStates, calls.nextClaim(), dispatches.nextClaim());
                shares = null;
                peerStates = List.of();
            } while (!pending.isEmpty());
        }
    }

    /** Writes one claim line more than may be lost, so that the claims that cover new starts rise. */
    public void writeClaims() {
        synchronized (writeLock) {
            if (!closed) {
                calls.growIfExhausted();
                dispatches.growIfExhausted();
                for (int i = 0; i <= limits.maxLostLines(); i++) {
                    writeClaim();
                }
            }
        }
    }

    /** Writes the final lines. Calls that have not ended remain claimed, so that the report lists them as missing. */
    @Override
    public void close() {
        synchronized (writeLock) {
            if (closed) {
                return;
            }
            closed = true;
            long startedCalls = calls.close();
            long startedDispatches = dispatches.close();
            long hour = stripes.drain(openHours::add);
            queueChangedCounters(hour);
            for (UsageEntry entry : openHours.takeAll()) {
                pending.put(entry.key(), entry.counters());
            }
            AgreedShares shares = currentShares(hour);
            do {
                boolean last = pending.size() <= limits.maxEntriesPerLine();
                write(
                        last ? RecordLineKind.FINAL : RecordLineKind.COUNTERS,
                        shares,
                        List.of(),
                        startedCalls,
                        startedDispatches);
            } while (!pending.isEmpty());
        }
    }

    /** Returns the current state for the admin port. The lines merge with the written ones and raise no claim. */
    public List<String> currentLines() {
        synchronized (writeLock) {
            stripes.drain(openHours::add);
            List<UsageEntry> entries = openHours.copyAll();
            List<String> lines = new ArrayList<>();
            int from = 0;
            do {
                int to = Math.min(entries.size(), from + limits.maxEntriesPerLine());
                lines.add(RecordLineWriter.write(createLine(
                        RecordLineKind.QUERY,
                        null,
                        List.of(),
                        claimedCalls,
                        claimedDispatches,
                        entries.subList(from, to))));
                from = to;
            } while (from < entries.size());
            return lines;
        }
    }

    /** Returns the state of this record, which is reported to peers. */
    public PeerRecordState recordState() {
        synchronized (writeLock) {
            return new PeerRecordState(
                    identity.server(), identity.incarnation(), sequence, claimedCalls, claimedDispatches);
        }
    }

    private void queueChangedCounters(long hour) {
        for (UsageEntry entry : openHours.takeChanged(hour)) {
            pending.put(entry.key(), entry.counters());
        }
    }

    private void recordStart(ClaimTracker tracker) {
        long number = tracker.recordStart();
        if (!tracker.covers(number)) {
            ensureCovered(tracker, number);
        } else if (tracker.shouldRequestLines(number)) {
            claimRequest.run();
        }
    }

    private void ensureCovered(ClaimTracker tracker, long number) {
        try {
            synchronized (writeLock) {
                if (closed) {
                    throw new IllegalStateException("the usage recorder is closed");
                }
                if (!tracker.covers(number)) {
                    tracker.growIfExhausted();
                }
                while (!tracker.covers(number)) {
                    writeClaim();
                }
            }
        } catch (RuntimeException e) {
            tracker.cancelStart();
            throw new UsageClaimException("no line of the usage record can be written: " + e.getMessage(), e);
        }
    }

    private void writeClaim() {
        long callClaim = calls.nextClaim();
        long dispatchClaim = dispatches.nextClaim();
        writeToSink(createLine(RecordLineKind.CLAIM, null, List.of(), callClaim, dispatchClaim, List.of()));
    }

    /** Writes the first pending entries and removes them after the sink accepted the line. */
    private void write(
            RecordLineKind kind,
            AgreedShares shares,
            List<PeerRecordState> peerStates,
            long callClaim,
            long dispatchClaim) {
        List<UsageEntry> entries = new ArrayList<>();
        for (Map.Entry<UsageKey, UsageCounters> entry : pending.entrySet()) {
            if (entries.size() == limits.maxEntriesPerLine()) {
                break;
            }
            entries.add(new UsageEntry(entry.getKey(), entry.getValue()));
        }
        writeToSink(createLine(kind, shares, peerStates, callClaim, dispatchClaim, entries));
        for (UsageEntry entry : entries) {
            pending.remove(entry.key());
        }
        if (shares != null) {
            lastWrittenShares = shares;
        }
    }

    private void writeToSink(RecordLine line) {
        sink.accept(RecordLineWriter.write(line));
        sequence = line.sequence();
        claimedCalls = line.claimedCalls();
        claimedDispatches = line.claimedDispatches();
        if (!closed) {
            calls.recordWrittenClaim(claimedCalls);
            dispatches.recordWrittenClaim(claimedDispatches);
        }
    }

    private RecordLine createLine(
            RecordLineKind kind,
            AgreedShares shares,
            List<PeerRecordState> peerStates,
            long callClaim,
            long dispatchClaim,
            List<UsageEntry> entries) {
        return new RecordLine(
                kind,
                identity,
                kind == RecordLineKind.QUERY ? sequence : sequence + 1,
                clock.millis(),
                callClaim,
                dispatchClaim,
                openHours.endedCalls(),
                openHours.endedDispatches(),
                shares,
                peerStates,
                entries,
                List.of());
    }

    /**
     * Returns the shares to write, or null. They are written when they change and once in every hour, so that they
     * are missing for at most an hour when a line is lost.
     */
    private AgreedShares sharesToWrite(long hour) {
        AgreedShares shares = currentShares(hour);
        if (shares == null || lastWrittenShares == null || lastWrittenShares.hour() != hour) {
            return shares;
        }
        return lastWrittenShares.percents().equals(shares.percents()) ? null : shares;
    }

    private AgreedShares currentShares(long hour) {
        Snapshot current = snapshot;
        if (current == null) {
            return null;
        }
        Map<String, Integer> percents = new TreeMap<>();
        for (Party party : current.parties().values()) {
            if (HomeRegions.allows(party.homeRegions(), identity.region())) {
                percents.put(party.name(), party.agreedSharePercent());
            }
        }
        return new AgreedShares(current.revision(), hour, percents);
    }
}
