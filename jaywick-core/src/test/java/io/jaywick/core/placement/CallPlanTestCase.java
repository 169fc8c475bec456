package io.jaywick.core.placement;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;

import io.jaywick.core.fleet.FleetView;
import io.jaywick.core.fleet.Instance;
import io.jaywick.core.rules.RuleSet;
import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.hasItem;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;
import static org.hamcrest.Matchers.nullValue;

class CallPlanTestCase {

    private final Placement placement =
            new Placement("10.0.0.0", "a", "north", Map.of("a", "north"), () -> 0L, new Random(5));

    private CallPlan plan(int instances) {
        List<Instance> listed = new ArrayList<>();
        for (int i = 1; i <= instances; i++) {
            listed.add(new Instance("i-" + i, "s", "10.0.0." + i + ":80", "a", "v1", 4, false, 0, 1, 0, 0));
        }
        FleetView view = new FleetView(RuleSet.EMPTY, listed, Set.of());
        return new CallPlan(placement, () -> view, "s", Set.of());
    }

    /** Pattern burst: instances that all refuse cost a bounded number of round trips, and none is asked twice in vain. */
    @Test
    void refusalsOfAllInstancesEndTheCall() {
        CallPlan plan = plan(9);
        List<String> asked = new ArrayList<>();
        for (CallPlan.Choice choice = plan.next(); choice != null; choice = plan.next()) {
            String entry = choice.purpose() + " " + choice.instance().id();
            assertThat(asked, not(hasItem(entry)));
            asked.add(entry);
            plan.refused(choice.instance().id());
        }
        assertThat(asked.stream().filter(entry -> entry.startsWith("TRIAL")).count(), is(4L));
        assertThat(asked.stream().filter(entry -> entry.startsWith("LAST")).count(), is(2L));
        assertThat(plan.isExhausted(), is(false));
    }

    /** Guards against a target that runs one call twice, and against a call that is sent to an instance that leaves. */
    @Test
    void excludedInstancesAreNotAskedAgain() {
        CallPlan plan = plan(2);
        plan.exclude("i-1");
        assertThat(plan.next().instance().id(), is("i-2"));
        plan.exclude("i-2");
        assertThat(plan.next(), nullValue());
        assertThat(plan.isExhausted(), is(true));
    }

    /** Guards against a hedge to the instance whose answer is late, and against one after the other. */
    @Test
    void hedgesGoToOthersAndEnd() {
        CallPlan plan = plan(9);
        String late = plan.next().instance().id();
        assertThat(plan.isHedged(), is(false));
        CallPlan.Choice hedge = plan.nextHedge();
        assertThat(hedge.purpose(), is(Purpose.HEDGE));
        assertThat(hedge.instance().id(), not(late));
        plan.refused(hedge.instance().id());
        assertThat(plan.nextHedge().instance().id(), not(hedge.instance().id()));
        assertThat(plan.nextHedge(), nullValue());
        assertThat(plan.isHedged(), is(true));
    }

    @Test
    void loneInstanceCannotBeHedged() {
        CallPlan plan = plan(1);
        plan.next();
        assertThat(plan.nextHedge(), nullValue());
    }
}
