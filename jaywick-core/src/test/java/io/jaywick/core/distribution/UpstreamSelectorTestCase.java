package io.jaywick.core.distribution;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

import io.jaywick.core.fleet.Instance;
import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;
import static org.hamcrest.Matchers.not;
import static org.hamcrest.Matchers.nullValue;

class UpstreamSelectorTestCase {

    private static final int DATA_CENTRES = 9;
    private static final int REGIONS = 3;

    /** Longest path from a node to the source among 3,700 nodes: three levels in its data centre and two above. */
    private static final int MAX_DEPTH = 6;

    private final AtomicLong nanos = new AtomicLong();
    private final Map<String, String> regions = new HashMap<>();

    private List<Instance> fleet(int nodes) {
        List<Instance> instances = new ArrayList<>();
        for (int i = 0; i < nodes; i++) {
            String dataCentre = "dc" + i % DATA_CENTRES;
            regions.put(dataCentre, "region" + i % DATA_CENTRES % REGIONS);
            String host = "10." + i / 62_500 + "." + i / 250 + "." + (i % 250 + 1);
            instances.add(new Instance("i" + i, "s", host + ":80", dataCentre, "v", 4, false, 0, 1, 0, 0));
        }
        return instances;
    }

    private UpstreamSelector selectorOf(Instance instance) {
        return new UpstreamSelector(instance.host(), instance.dataCentre(), regions, nanos::get);
    }

    /** Guards against source calls, and traffic between regions, that grow with the size of the fleet. */
    @Test
    void oneNodeFollowsTheSourceAndFewFollowAnotherRegion() {
        for (int nodes : new int[] {1, 18, 96, 300, 3_700}) {
            List<Instance> fleet = fleet(nodes);
            Map<String, Instance> byHost = new HashMap<>();
            fleet.forEach(instance -> byHost.put(instance.host(), instance));
            Map<String, Integer> followers = new HashMap<>();
            Map<String, String> upstream = new HashMap<>();
            int sourceFollowers = 0;
            int acrossRegions = 0;
            int acrossDataCentres = 0;
            for (Instance instance : fleet) {
                String host = selectorOf(instance).select(fleet);
                if (host == null) {
                    sourceFollowers++;
                    continue;
                }
                upstream.put(instance.host(), host);
                followers.merge(host, 1, Integer::sum);
                String ownDataCentre = instance.dataCentre();
                String upstreamDataCentre = byHost.get(host).dataCentre();
                acrossDataCentres += ownDataCentre.equals(upstreamDataCentre) ? 0 : 1;
                acrossRegions += regions.get(ownDataCentre).equals(regions.get(upstreamDataCentre)) ? 0 : 1;
            }
            assertThat(sourceFollowers, is(1));
            assertThat(acrossRegions, lessThanOrEqualTo(REGIONS - 1));
            assertThat(acrossDataCentres, lessThanOrEqualTo(DATA_CENTRES - 1));
            followers.forEach((host, count) -> assertThat(count, lessThanOrEqualTo(16 + 2 + 2)));
            for (String host : upstream.keySet()) {
                int depth = 0;
                for (String next = host; next != null; next = upstream.get(next)) {
                    depth++;
                }
                assertThat(depth, lessThanOrEqualTo(MAX_DEPTH));
            }
        }
    }

    /** Guards against nodes that follow each other in a cycle, cut off from the source, while their views differ. */
    @Test
    void differingViewsFormNoCycle() {
        List<Instance> fleet = fleet(60);
        for (int seed = 0; seed < 50; seed++) {
            Random random = new Random(seed);
            Map<String, String> upstream = new HashMap<>();
            for (Instance instance : fleet) {
                List<Instance> view = new ArrayList<>(fleet);
                view.removeIf(other -> random.nextInt(3) == 0);
                UpstreamSelector selector = selectorOf(instance);
                for (Instance other : fleet) {
                    if (random.nextInt(5) == 0) {
                        selector.recordFailure(other.host());
                    }
                }
                upstream.put(instance.host(), selector.select(view));
            }
            for (String host : upstream.keySet()) {
                Set<String> visited = new HashSet<>();
                for (String next = host; next != null; next = upstream.get(next)) {
                    assertThat("seed " + seed, visited.add(next), is(true));
                }
            }
        }
    }

    /** Guards against a node that keeps following an unresponsive upstream, or never returns to it. */
    @Test
    void unresponsiveNodeIsExcludedTemporarily() {
        List<Instance> fleet = fleet(96);
        for (Instance instance : fleet) {
            UpstreamSelector selector = selectorOf(instance);
            String first = selector.select(fleet);
            if (first == null) {
                continue;
            }
            selector.recordFailure(first);
            assertThat(selector.select(fleet), not(first));
            nanos.addAndGet(TimeUnit.SECONDS.toNanos(2));
            assertThat(selector.select(fleet), is(first));
        }
    }

    /** Guards against following a node whose target is draining, because the node shuts down with its target. */
    @Test
    void nodeWithDrainingTargetIsNotFollowed() {
        Instance own = new Instance("i1", "s", "10.0.0.1:80", "dc", "v", 4, false, 0, 1, 0, 0);
        Instance draining = new Instance("i2", "s", "10.0.0.2:80", "dc", "v", 4, true, 0, 1, 0, 0);
        assertThat(selectorOf(own).select(List.of(own, draining)), nullValue());
        assertThat(selectorOf(draining).select(List.of(own, draining)) == null, is(false));
    }
}
