package io.jaywick.node.peer;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;

import io.netty.util.NetUtil;

/** Addresses of the form HOST:PORT with an IP address; names are not resolved. */
final class PeerAddress {

    private PeerAddress() {}

    /**
     * Parses an address.
     *
     * @throws PeerException when it is not an IP address with a port
     */
    static InetSocketAddress parse(String address) {
        int colon = address.lastIndexOf(':');
        try {
            if (colon > 0) {
                byte[] host = NetUtil.createByteArrayFromIpAddressString(address.substring(0, colon));
                if (host != null) {
                    return new InetSocketAddress(
                            InetAddress.getByAddress(host), Integer.parseInt(address.substring(colon + 1)));
                }
            }
        } catch (UnknownHostException | IllegalArgumentException e) {
            throw new PeerException(PeerException.Kind.UNREACHABLE, "not an address IP:PORT: " + address, e);
        }
        throw new PeerException(PeerException.Kind.UNREACHABLE, "not an address IP:PORT: " + address);
    }

    static String format(InetSocketAddress address) {
        return address.getAddress().getHostAddress() + ":" + address.getPort();
    }
}
