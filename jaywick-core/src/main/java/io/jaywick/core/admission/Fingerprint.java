package io.jaywick.core.admission;

import com.dynatrace.hash4j.hashing.HashStream128;
import com.dynatrace.hash4j.hashing.HashValue128;
import com.dynatrace.hash4j.hashing.Hashing;

/** Identifies a request over its resends without naming its content. */
public final class Fingerprint {

    private Fingerprint() {}

    /** Hash of route, party and the idempotency key, or the call id when there is no key; 32 hexadecimal digits. */
    public static String of(String route, String party, String keyOrCallId) {
        HashStream128 stream = Hashing.murmur3_128().hashStream();
        HashValue128 hash =
                stream.putString(route).putString(party).putString(keyOrCallId).get();
        return hash.toString();
    }
}
