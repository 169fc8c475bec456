package io.jaywick.node.settings;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.notNullValue;
import static org.hamcrest.Matchers.nullValue;

class SocketAddressParserTestCase {

    /** Guards against accepting addresses that require a name lookup or are ambiguous. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "",
                ":",
                "host:1",
                "1.2.3:1",
                "127.0.0.1",
                "127.0.0.1:",
                "127.0.0.1:65536",
                "127.0.0.1:-1",
                "::1:80",
                "[::1]",
                "[127.0.0.1]:80",
                "[]:1",
                "127.0.0.1:080",
                "127.0.0.1:1 ",
                "127.0.0.1:999999999999"
            })
    void rejectsMalformedAddress(String text) {
        assertThat(SocketAddressParser.parse(text), nullValue());
    }

    /** Guards against rejecting valid addresses. */
    @ParameterizedTest
    @ValueSource(strings = {"127.0.0.1:0", "10.1.2.3:65535", "[::1]:80", "[2001:db8::7]:7400"})
    void acceptsIpAddressWithPort(String text) {
        assertThat(SocketAddressParser.parse(text), notNullValue());
    }
}
