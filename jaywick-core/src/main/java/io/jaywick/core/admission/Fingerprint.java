package io.jaywick.core.admission;

import com.dynatrace.hash4j.hashing.HashStream128;
import com.dynatrace.hash4j.hashing.HashValue128;
import com.dynatrace.hash4j.hashing.Hashing;

/** Identifies a request across its retries without revealing its content. */
public final class Fingerprint {

    private Fingerprint() {}

    /**
     * Returns the hash of route, party and idempotency key, or call id if there is no key, as 32 hexadecimal digits.
     */
    public static String of(String route, String party, String keyOrCallId) {
        HashStream128 stream = Hashing.murmur3_128().hashStream();
        HashValue128 hash =
                stream.putString(route).putString(party).putString(keyOrCallId).get();
        return hash.toString();
    }

    /** Returns the hash of a request without an idempotency key, as 32 hexadecimal digits; headers do not enter it. */
    public static String ofRequest(String method, String uri, String callerService, byte[] body) {
        return Hashing.murmur3_128()
                .hashStream()
                .putString(method)
                .putString(uri)
                .putString(callerService)
                .putByteArray(body)
                .get()
                .toString();
    }
}
