package io.jaywick.node.relay;

import java.util.List;

import io.jaywick.node.http.StatusLines;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;

/**
 * Detects a response head that consists of two: the first one was cut, and its last line continues with the status line
 * of the second one. Its status belongs to the first response, its remaining headers and its body to the second.
 */
final class MergedHeads {

    private static final String VERSION_START = "HTTP/";

    private MergedHeads() {}

    /**
     * Returns whether a head contains a second status line, a stamp with a part of one, or a header twice that a target
     * sends once.
     */
    static boolean isMerged(HttpResponse response, HeaderNames names) {
        HttpHeaders headers = response.headers();
        List<String> stamps = headers.getAll(names.answerStamp());
        return StatusLines.hasSecond(response)
                || headers.getAll(names.requestId()).size() > 1
                || stamps.size() > 1
                || stamps.stream().anyMatch(stamp -> stamp.contains(VERSION_START));
    }
}
