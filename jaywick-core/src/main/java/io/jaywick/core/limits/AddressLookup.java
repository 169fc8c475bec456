package io.jaywick.core.limits;

import java.util.Optional;

/** Finds the peer address of a server. A missing or wrong address costs a request, never a limit. */
@FunctionalInterface
public interface AddressLookup {

    Optional<String> peerAddress(String server);
}
