package io.jaywick.cli.scenario;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Function;
import java.util.random.RandomGenerator;

/**
 * Resolves the {@code servers} of an event: server names, {@code any} (one server at random), {@code all}, and the
 * selectors of the driver.
 */
final class ServerSelector {

    private ServerSelector() {}

    /**
     * Returns the selected servers in the order of the selectors.
     *
     * @param selectSpecial returns the servers of a selector of the driver such as {@code region:NAME}, or null for any
     *     other selector
     * @throws ScenarioException when a server is unknown
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
