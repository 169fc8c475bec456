package io.jaywick.node.relay;

import java.util.List;

import io.jaywick.core.gate.GateRefusal;
import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

class CallHistoryTestCase {

    /** Guards against a log line of a failed call that lacks the cause: order, reason and expected time. */
    @Test
    void listsTheResultOfEachInstanceInOrder() {
        CallHistory history = new CallHistory();
        history.add("i-1", CallResult.refused(GateRefusal.BUSY).withLoadEstimate(120, 70));
        history.add("i-2", CallResult.lost("connection-reset"));
        history.add("i-3", CallResult.answered(500, List.of(), new byte[0]));
        assertThat(history.toString(), is("i-1=refused:busy:expects120 i-2=lost:connection-reset i-3=500"));
    }
}
