package io.jaywick.node.proxy;

import java.net.InetSocketAddress;

/** Parses HOST:PORT. The host is expected to be an IP address; a host name would cause a blocking lookup. */
final class AddressParser {

    private AddressParser() {}

    static InetSocketAddress parse(String address) {
        int colon = address.lastIndexOf(':');
        try {
            return new InetSocketAddress(address.substring(0, colon), Integer.parseInt(address.substring(colon + 1)));
        } catch (IndexOutOfBoundsException | IllegalArgumentException e) {
            throw new ConnectFailedException("expected an address HOST:PORT, found '" + address + "'", e);
        }
    }
}
