package io.jaywick.cli.scenario;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Function;
import java.util.random.RandomGenerator;

/** Resolves the {@code servers} of an event: names, {@code any}, {@code all} and the selectors of a driver. */
final class ServerSelector {

    private ServerSelector() {}

    /**
     * Returns the selected servers in order.
     *
     * @param selectSpecial servers of a selector such as {@code region:NAME}, or null when it is none
     */
    static List<String> select(
            Scenario.Event event,
            List<String> all,
            Function<String, List<String>> selectSpecial,
            RandomGenerator random) {
        List<String> names = new ArrayList<>();
        for (String selector : event.serversOrNone()) {
            List<String> selected = selectSpecial.apply(selector);
            if (selected != null) {
                names.addAll(selected);
            } else if (selector.equals("all")) {
                names.addAll(all);
            } else if (selector.equals("any")) {
                names.add(all.get(random.nextInt(all.size())));
            } else if (all.contains(selector)) {
                names.add(selector);
            } else {
                throw new ScenarioException("server '" + selector + "' of action '" + event.action() + "' is unknown");
            }
        }
        return names;
    }
}
