package io.jaywick.cli.scenario;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Function;
import java.util.random.RandomGenerator;

/** Resolves the {@code servers} of an event: names, {@code any}, {@code all} or {@code region:NAME}. */
final class ServerSelector {

    private static final String REGION = "region:";

    private ServerSelector() {}

    /**
     * Returns the selected servers in order.
     *
     * @param inRegion servers of a region by its name
     */
    static List<String> select(
            Scenario.Event event, List<String> all, Function<String, List<String>> inRegion, RandomGenerator random) {
        List<String> names = new ArrayList<>();
        for (String selector : event.serversOrNone()) {
            if (selector.equals("all")) {
                names.addAll(all);
            } else if (selector.equals("any")) {
                names.add(all.get(random.nextInt(all.size())));
            } else if (selector.startsWith(REGION)) {
                names.addAll(inRegion.apply(selector.substring(REGION.length())));
            } else if (all.contains(selector)) {
                names.add(selector);
            } else {
                throw new ScenarioException("server '" + selector + "' of action '" + event.action() + "' is unknown");
            }
        }
        return names;
    }
}
