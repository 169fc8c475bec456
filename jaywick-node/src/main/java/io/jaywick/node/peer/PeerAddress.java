package io.jaywick.node.peer;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;

import io.netty.util.NetUtil;

/** Parses and formats addresses of the form IP:PORT; host names are not resolved. */
final class PeerAddress {

    private PeerAddress() {}

    /**
     * Parses an address.
     *
     * @throws PeerException if it is not an IP address with a port
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
            throw new PeerException(
                    PeerException.Kind.UNREACHABLE, "expected an address IP:PORT, found: " + address, e);
        }
        throw new PeerException(PeerException.Kind.UNREACHABLE, "expected an address IP:PORT, found: " + address);
    }

    static String format(InetSocketAddress address) {
        return address.getAddress().getHostAddress() + ":" + address.getPort();
    }
}
