package io.jaywick.core.gate;

import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

class RunningRequestPrioritiesTestCase {

    private final RunningRequestPriorities running = new RunningRequestPriorities();

    /**
     * Pattern scale_in of a service that others call: its own urgent requests were refused while calls made for less
     * urgent requests of another service went before them.
     */
    @Test
    void callForALessUrgentRequestIsNoMoreUrgent() {
        running.register("browse", 2);
        assertThat(running.priorityOf("browse.1", 0), is(2));
    }

    @Test
    void callForAnUrgentRequestKeepsThePriorityOfItsRoute() {
        running.register("confirm", 0);
        assertThat(running.priorityOf("confirm.1", 1), is(1));
    }

    /** Guards against a priority of a request that has ended, and against ids of another form. */
    @Test
    void unknownRequestsChangeNothing() {
        running.register("a", 2);
        running.unregister("a");
        assertThat(running.priorityOf("a.1", 0), is(0));
        assertThat(running.priorityOf("b", 1), is(1));
        assertThat(running.priorityOf(".", 1), is(1));
    }
}
