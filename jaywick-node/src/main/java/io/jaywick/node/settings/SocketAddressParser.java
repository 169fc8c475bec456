package io.jaywick.node.settings;

import java.net.InetAddress;
import java.net.InetSocketAddress;

import io.netty.util.NetUtil;

/** Parses IP:PORT. Host names are rejected, because a node performs no name lookups. */
public final class SocketAddressParser {

    private static final int MAX_PORT = 65_535;

    private SocketAddressParser() {}

    /**
     * Returns the address, or null if the text is not an IPv4 address or an IPv6 address in brackets followed by a
     * port from 0 to 65535.
     */
    public static InetSocketAddress parse(String text) {
        int colon = text.lastIndexOf(':');
        if (colon < 1 || text.length() - colon > 6 || !text.substring(colon + 1).matches("0|[1-9][0-9]{0,4}")) {
            return null;
        }
        String host = text.substring(0, colon);
        boolean bracketed = host.startsWith("[") && host.endsWith("]");
        String literal = bracketed ? host.substring(1, host.length() - 1) : host;
        if (bracketed ? !NetUtil.isValidIpV6Address(literal) : !NetUtil.isValidIpV4Address(literal)) {
            return null;
        }
        int port = Integer.parseInt(text.substring(colon + 1));
        InetAddress address = NetUtil.createInetAddressFromIpAddressString(literal);
        return address == null || port > MAX_PORT ? null : new InetSocketAddress(address, port);
    }
}
