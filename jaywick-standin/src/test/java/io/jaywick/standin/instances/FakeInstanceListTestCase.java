package io.jaywick.standin.instances;

import java.time.Duration;
import java.util.List;

import io.jaywick.node.source.InstanceEntry;
import io.jaywick.node.source.InstanceState;
import org.junit.jupiter.api.Test;
import reactor.test.scheduler.VirtualTimeScheduler;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.equalTo;

class FakeInstanceListTestCase {

    private final VirtualTimeScheduler time = VirtualTimeScheduler.create();
    private final FakeInstanceList list = new FakeInstanceList(time);

    /** Guards against a lag that is not applied, or applied to changes made before it was set. */
    @Test
    void changesBecomeVisibleAfterTheLag() {
        list.put(entry("a", 1));
        list.setLag(Duration.ofMinutes(5));
        list.put(entry("b", 2));
        assertThat(list.list().join(), contains(entry("a", 1)));
        time.advanceTimeBy(Duration.ofMinutes(5));
        assertThat(list.list().join(), contains(entry("a", 1), entry("b", 2)));
        list.remove("a");
        assertThat(list.list().join().size(), equalTo(2));
    }

    /** Guards against faulty entries that are not listed, or that stay after they were cleared. */
    @Test
    void faultyEntriesReplaceCorrectOnes() {
        list.putAll(List.of(entry("a", 1)));
        list.putFaulty(entry("a", 9));
        list.putFaulty(entry("ghost", 8));
        assertThat(list.list().join(), contains(entry("a", 9), entry("ghost", 8)));
        list.clearFaulty();
        list.remove("a");
        assertThat(list.list().join(), empty());
    }

    static InstanceEntry entry(String server, int port) {
        String address = "127.0.0.1:" + port;
        return new InstanceEntry(server, "selfoss", "sudurland", "catalogue", address, address, InstanceState.LIVE);
    }
}
