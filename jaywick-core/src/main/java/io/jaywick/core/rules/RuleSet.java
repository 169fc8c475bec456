package io.jaywick.core.rules;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/** One version of the operator's rules. Routes are matched by host and by the longest path prefix. Immutable. */
public final class RuleSet {

    /** Has no routes; its version is lower than any that an operator writes. */
    public static final RuleSet EMPTY = new RuleSet(-1, List.of(), List.of(), CallerLimits.DEFAULTS);

    private final long version;
    private final Map<String, Map<String, RouteRule>> routesByHost = new HashMap<>();
    private final Map<String, ServiceRule> services = new HashMap<>();
    private final CallerLimits callerLimits;
    private final ClientAccounts accounts;
    private final int routeCount;

    /** Creates rules without client accounts. */
    public RuleSet(
            long version, Collection<RouteRule> routes, Collection<ServiceRule> services, CallerLimits callerLimits) {
        this(version, routes, services, callerLimits, ClientAccounts.NONE);
    }

    public RuleSet(
            long version,
            Collection<RouteRule> routes,
            Collection<ServiceRule> services,
            CallerLimits callerLimits,
            ClientAccounts accounts) {
        this.version = version;
        this.callerLimits = callerLimits;
        this.accounts = accounts;
        this.routeCount = routes.size();
        for (ServiceRule service : services) {
            this.services.put(service.name(), service);
        }
        for (RouteRule route : routes) {
            routesByHost
                    .computeIfAbsent(route.host().toLowerCase(Locale.ROOT), host -> new HashMap<>())
                    .put(route.prefix(), route);
        }
    }

    public long version() {
        return version;
    }

    /** Returns whether these are rules of an operator, unlike {@link #EMPTY}. */
    public boolean isLoaded() {
        return version >= 0;
    }

    public int routeCount() {
        return routeCount;
    }

    public CallerLimits callerLimits() {
        return callerLimits;
    }

    public Collection<ClientAccount> accounts() {
        return accounts.all();
    }

    /** Returns whether there are client accounts, so that calls need a key. */
    public boolean hasAccounts() {
        return !accounts.isEmpty();
    }

    /** Returns the client account to which a key belongs, or null if there is none. */
    public ClientAccount accountOf(String key) {
        return accounts.byKey(key);
    }

    /** Returns the client account with a name, or null if there is none. */
    public ClientAccount account(String name) {
        return accounts.byName(name);
    }

    /** Returns the rule of a service, or null if there is none. */
    public ServiceRule service(String name) {
        return services.get(name);
    }

    /**
     * Returns the route of a call, or null if none matches.
     *
     * @param host value of the Host header, with or without a port
     * @param uri request target, in origin or absolute form; the query is ignored
     */
    public RouteRule routeFor(String host, String uri) {
        if (host == null) {
            return null;
        }
        Map<String, RouteRule> byPrefix = routesByHost.get(hostName(host));
        if (byPrefix == null) {
            return null;
        }
        String path = path(uri);
        for (int slash = path.lastIndexOf('/'); slash >= 0; slash = path.lastIndexOf('/', slash - 1)) {
            RouteRule route = byPrefix.get(path.substring(0, slash + 1));
            if (route != null) {
                return route;
            }
        }
        return null;
    }

    /** Returns the route with a name, or null if there is none. */
    public RouteRule routeNamed(String name) {
        for (Map<String, RouteRule> byPrefix : routesByHost.values()) {
            for (RouteRule route : byPrefix.values()) {
                if (route.name().equals(name)) {
                    return route;
                }
            }
        }
        return null;
    }

    private static String hostName(String host) {
        int colon = host.lastIndexOf(':');
        boolean port = colon >= 0 && host.indexOf(']', colon) < 0;
        return (port ? host.substring(0, colon) : host).toLowerCase(Locale.ROOT);
    }

    private static String path(String uri) {
        int query = uri.indexOf('?');
        String path = query < 0 ? uri : uri.substring(0, query);
        int scheme = path.indexOf("://");
        if (path.startsWith("/") || scheme < 0) {
            return path;
        }
        int slash = path.indexOf('/', scheme + 3);
        return slash < 0 ? "/" : path.substring(slash);
    }
}
