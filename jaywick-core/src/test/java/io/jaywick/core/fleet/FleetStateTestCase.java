package io.jaywick.core.fleet;

import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

import io.jaywick.core.rules.CallerLimits;
import io.jaywick.core.rules.RuleSet;
import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.nullValue;

class FleetStateTestCase {

    private final AtomicLong nanos = new AtomicLong(5);
    private final FleetState state = new FleetState(nanos::get);

    private static Instance instance(String id, boolean draining) {
        return new Instance(id, "s", "10.0.0.1:80", "dc", "v1", 4, draining, 0, 1, 0, 0);
    }

    private static RuleSet rules(long version) {
        return new RuleSet(version, List.of(), List.of(), CallerLimits.DEFAULTS);
    }

    private void list(int count) {
        for (int i = 0; i < count; i++) {
            state.put(instance("i" + i, false));
        }
    }

    private boolean isListed(String id) {
        return state.publish().instance(id) != null;
    }

    /** Guards against a version that comes late and takes the place of a newer one. */
    @Test
    void rulesNeverGoBack() {
        assertThat(state.activateRules(rules(7)), is(true));
        assertThat(state.activateRules(rules(6)), is(false));
        assertThat(state.activateRules(rules(7)), is(false));
        assertThat(state.publish().rules().version(), is(7L));
    }

    /** Guards against work for a server that left without a notice. */
    @Test
    void singleRemovalCountsAtOnce() {
        list(10);
        state.remove(Set.of("i3"));
        assertThat(isListed("i3"), is(false));
    }

    /** Guards against a fleet without servers after the store lost the entries of live ones. */
    @Test
    void bulkRemovalIsHeldForTheGracePeriod() {
        list(10);
        state.remove(Set.of("i1", "i2", "i3"));
        assertThat(isListed("i2"), is(true));
        state.put(instance("i1", false));
        nanos.addAndGet(TimeUnit.MILLISECONDS.toNanos(FleetState.REMOVAL_GRACE_MILLIS));
        assertThat(state.removeExpired(), is(true));
        assertThat(isListed("i1"), is(true));
        assertThat(isListed("i2"), is(false));
    }

    /** Guards against the removal of one server by an outage of the store. */
    @Test
    void removalAfterAnOutageIsHeldUntilItsGraceEnds() {
        list(10);
        state.markReconnected();
        nanos.addAndGet(TimeUnit.MILLISECONDS.toNanos(FleetState.REMOVAL_GRACE_MILLIS - 1));
        state.remove(Set.of("i1"));
        assertThat(isListed("i1"), is(true));
        nanos.addAndGet(TimeUnit.MILLISECONDS.toNanos(1));
        assertThat(state.removeExpired(), is(true));
        assertThat(isListed("i1"), is(false));
    }

    /** Guards against work for a server that said it leaves before its entry vanished in an outage. */
    @Test
    void drainingEntriesAreNotHeld() {
        list(10);
        state.put(instance("i1", true));
        state.markReconnected();
        state.remove(Set.of("i1"));
        assertThat(isListed("i1"), is(false));
    }

    @Test
    void evacuationsComeAndGo() {
        state.evacuate("dc");
        assertThat(state.publish().isEvacuated("dc"), is(true));
        state.restore("dc");
        assertThat(state.publish().isEvacuated("dc"), is(false));
        assertThat(state.publish().instance("none"), nullValue());
    }
}
