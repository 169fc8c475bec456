package io.jaywick.core.snapshot;

import java.util.List;
import java.util.Map;

import io.jaywick.core.table.TableContent;

/**
 * One accepted version of the table as an immutable object with all references resolved. A node replaces it as a whole,
 * so that no route refers to a service that the node does not have.
 *
 * @param routes routes by decreasing length of the path prefix, then by name
 */
public record Snapshot(
        long revision,
        TableContent content,
        Map<String, DataCentre> dataCentres,
        Map<String, Server> servers,
        Map<String, Service> services,
        List<Route> routes,
        Map<String, Party> parties) {

    /** Returns the route with the longest prefix that matches the path, or null when none matches. */
    public Route routeFor(String path) {
        for (Route route : routes) {
            if (path.startsWith(route.pathPrefix())) {
                return route;
            }
        }
        return null;
    }

    /** Returns the hash of the content in hexadecimal. */
    public String hash() {
        return content.hash().hex();
    }
}
