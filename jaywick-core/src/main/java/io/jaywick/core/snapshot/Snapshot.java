package io.jaywick.core.snapshot;

import java.util.List;
import java.util.Map;

import io.jaywick.core.table.TableContent;

/**
 * One accepted version of the table as an immutable object with all references resolved. A node swaps it whole, so
 * that no route points at a service that the node does not have.
 *
 * @param routes in order of falling prefix length, then name
 */
public record Snapshot(
        long revision,
        TableContent content,
        Map<String, DataCentre> dataCentres,
        Map<String, Server> servers,
        Map<String, Service> services,
        List<Route> routes,
        Map<String, Party> parties) {

    /** Returns the route with the longest prefix of the path, or null. */
    public Route routeFor(String path) {
        for (Route route : routes) {
            if (path.startsWith(route.pathPrefix())) {
                return route;
            }
        }
        return null;
    }

    /** Hexadecimal hash of the content. */
    public String hash() {
        return content.hash().hex();
    }
}
