package io.jaywick.core.limits;

import java.util.Optional;

/** Resolves the peer address of a server. A missing or wrong address wastes a request but cannot break a limit. */
@FunctionalInterface
public interface AddressLookup {

    Optional<String> peerAddress(String server);
}
