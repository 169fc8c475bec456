package io.jaywick.node.relay;

import io.netty.handler.codec.http.DefaultHttpHeadersFactory;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

class MergedHeadsTestCase {

    private static boolean isMerged(String reason, String... namesAndValues) {
        HttpHeaders headers = DefaultHttpHeadersFactory.headersFactory().newHeaders();
        for (int i = 0; i < namesAndValues.length; i += 2) {
            headers.add(namesAndValues[i], namesAndValues[i + 1]);
        }
        return MergedHeads.isMerged(
                new DefaultHttpResponse(HttpVersion.HTTP_1_1, new HttpResponseStatus(200, reason), headers),
                RelayFixture.NAMES);
    }

    /** Guards against responses that are lost because of ordinary headers. */
    @Test
    void ordinaryHeadsAreNotMerged() {
        assertThat(
                isMerged("OK", "Request-Id", "a", "Stamp", "s", "Set-Cookie", "a=1", "Set-Cookie", "b=2"), is(false));
        assertThat(isMerged("OK", "Via", "HTTP/1.1 proxy.example", "X", "HTTP/1.1 20000 items"), is(false));
        assertThat(isMerged(""), is(false));
    }

    /** Guards against a head whose status belongs to a cut response. */
    @Test
    void headsWithTheStartOfAnotherOneAreMerged() {
        assertThat(isMerged("HTTP/1.1 500 Internal Server Error"), is(true));
        assertThat(isMerged("OHTTP/1.0 503"), is(true));
        assertThat(isMerged("OK", "Date", "Sat, 05 HTTP/1.1 500 Internal Server Error"), is(true));
        assertThat(isMerged("OK", "Stamp", "s", "Stamp", "t"), is(true));
        assertThat(isMerged("OK", "Request-Id", "a", "request-id", "a"), is(true));
    }

    /** Guards against a stamp into which the first bytes of another response were written. */
    @Test
    void stampWithTheStartOfAStatusLineIsMerged() {
        assertThat(isMerged("OK", "Request-Id", "a", "Stamp", "3e1b.07HTTP/.5a2.600"), is(true));
        assertThat(isMerged("OK", "Request-Id", "a", "Stamp", "3e1b.07.5a2.600HTTP/1.1 2"), is(true));
    }
}
