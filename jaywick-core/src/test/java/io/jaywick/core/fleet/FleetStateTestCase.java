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

    /** Guards against an older version that arrives late and replaces a newer one. */
    @Test
    void rulesNeverRegress() {
        assertThat(state.activateRules(rules(7)), is(true));
        assertThat(state.activateRules(rules(6)), is(false));
        assertThat(state.activateRules(rules(7)), is(false));
        assertThat(state.publish().rules().version(), is(7L));
    }

    /** Guards against calls to an instance that was removed without draining first. */
    @Test
    void appliesSingleRemovalAtOnce() {
        list(10);
        state.remove(Set.of("i3"));
        assertThat(isListed("i3"), is(false));
    }

    /**
     * Guards against calls to instances that leave together: the platform was reachable all the while, so that their
     * removal is no loss of entries (review case 5).
     */
    @Test
    void appliesRemovalOfManyAtOnce() {
        list(10);
        state.remove(Set.of("i1", "i2", "i3", "i4", "i5", "i6", "i7", "i8"));
        assertThat(state.publish().instances().size(), is(2));
        assertThat(state.millisUntilExpiry(), is(-1L));
    }

    /** Guards against an empty fleet after the platform has lost the entries of live instances in an outage. */
    @Test
    void retainsBulkRemovalAfterOutageForGracePeriod() {
        list(10);
        state.markReconnected();
        assertThat(state.remove(Set.of("i1", "i2", "i3")), is(3));
        assertThat(isListed("i2"), is(true));
        assertThat(state.millisUntilExpiry(), is(FleetState.REMOVAL_GRACE_MILLIS));
        state.put(instance("i1", false));
        nanos.addAndGet(TimeUnit.MILLISECONDS.toNanos(FleetState.REMOVAL_GRACE_MILLIS));
        assertThat(state.millisUntilExpiry(), is(0L));
        assertThat(state.removeExpired(), is(true));
        assertThat(isListed("i1"), is(true));
        assertThat(isListed("i2"), is(false));
    }

    /** Guards against the removal of a live instance after an outage of the platform. */
    @Test
    void retainsRemovalAfterOutageUntilGracePeriodEnds() {
        list(10);
        state.markReconnected();
        nanos.addAndGet(TimeUnit.MILLISECONDS.toNanos(FleetState.REMOVAL_GRACE_MILLIS - 1));
        state.remove(Set.of("i1"));
        assertThat(isListed("i1"), is(true));
        nanos.addAndGet(TimeUnit.MILLISECONDS.toNanos(1));
        assertThat(state.removeExpired(), is(true));
        assertThat(isListed("i1"), is(false));
    }

    /** Guards against calls to an instance that was draining before its entry was removed in an outage. */
    @Test
    void doesNotRetainDrainingEntries() {
        list(10);
        state.put(instance("i1", true));
        state.markReconnected();
        state.remove(Set.of("i1"));
        assertThat(isListed("i1"), is(false));
    }

    @Test
    void tracksEvacuatedDataCentres() {
        state.evacuate("dc");
        assertThat(state.publish().isEvacuated("dc"), is(true));
        state.restore("dc");
        assertThat(state.publish().isEvacuated("dc"), is(false));
        assertThat(state.publish().instance("none"), nullValue());
    }

    /**
     * Guards against an instance that is kept in a later outage because it was retained in an earlier one: it has
     * registered again, or was removed, in between.
     */
    @Test
    void earlierRetentionDoesNotProlongALaterOne() {
        list(3);
        state.markReconnected();
        state.remove(Set.of("i1", "i2"));
        state.markUnreachable();
        state.put(instance("i1", false));
        state.extendGracePeriod(FleetState.REMOVAL_GRACE_MILLIS);
        state.remove(Set.of("i1"));
        nanos.addAndGet(TimeUnit.MILLISECONDS.toNanos(FleetState.REMOVAL_GRACE_MILLIS));
        assertThat(state.removeExpired(), is(true));
        assertThat(isListed("i1"), is(false));
        assertThat("still retained", isListed("i2"), is(true));
        state.remove(Set.of("i2"));
        assertThat(isListed("i2"), is(false));
        state.put(instance("i2", false));
        state.extendGracePeriod(FleetState.REMOVAL_GRACE_MILLIS);
        state.remove(Set.of("i2"));
        assertThat(state.millisUntilExpiry(), is(FleetState.REMOVAL_GRACE_MILLIS));
    }

    /**
     * Guards against live instances that are dropped in a second outage shortly after the first: they could not register
     * again in between.
     */
    @Test
    void retentionDoesNotEndWhileThePlatformIsUnreachable() {
        list(10);
        state.markReconnected();
        state.remove(Set.of("i1", "i2"));
        state.markUnreachable();
        nanos.addAndGet(TimeUnit.MILLISECONDS.toNanos(2 * FleetState.REMOVAL_GRACE_MILLIS));
        assertThat(state.removeExpired(), is(false));
        assertThat(state.millisUntilExpiry(), is(-1L));
        state.markReconnected();
        assertThat(state.millisUntilExpiry(), is(FleetState.REMOVAL_GRACE_MILLIS));
        state.put(instance("i1", false));
        nanos.addAndGet(TimeUnit.MILLISECONDS.toNanos(FleetState.REMOVAL_GRACE_MILLIS));
        assertThat(state.removeExpired(), is(true));
        assertThat(isListed("i1"), is(true));
        assertThat(isListed("i2"), is(false));
    }
}
