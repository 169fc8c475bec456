package io.jaywick.node.proxy;

import java.net.InetSocketAddress;

/** Reads HOST:PORT, where the host is an IP address. */
final class AddressParser {

    private AddressParser() {}

    static InetSocketAddress parse(String address) {
        int colon = address.lastIndexOf(':');
        try {
            return new InetSocketAddress(address.substring(0, colon), Integer.parseInt(address.substring(colon + 1)));
        } catch (IndexOutOfBoundsException | IllegalArgumentException e) {
            throw new ConnectFailedException("'" + address + "' is no address of the form HOST:PORT", e);
        }
    }
}
