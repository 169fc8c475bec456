package io.jaywick.cli.bench.record;

import java.time.Instant;
import java.time.InstantSource;

/** Clock of a simulation. Its time changes only by {@link #advance}. */
public final class SimulationClock implements InstantSource {

    private long nowMillis;

    public SimulationClock(long nowMillis) {
        this.nowMillis = nowMillis;
    }

    @Override
    public Instant instant() {
        return Instant.ofEpochMilli(nowMillis);
    }

    @Override
    public long millis() {
        return nowMillis;
    }

    public void advance(long millis) {
        nowMillis += millis;
    }
}
