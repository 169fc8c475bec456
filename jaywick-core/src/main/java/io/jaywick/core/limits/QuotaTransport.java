package io.jaywick.core.limits;

import java.util.function.Consumer;

import io.jaywick.core.message.TokenGrant;
import io.jaywick.core.message.TokenRequest;

/** Connects the quotas of a node with the other nodes and with a timer. */
public interface QuotaTransport {

    /**
     * Sends a request to the node at a host.
     *
     * @param onAnswer called at most once, with null when the request failed; it may be called before this method returns
     */
    void request(String host, TokenRequest request, Consumer<TokenGrant> onAnswer);

    void schedule(Runnable task, long delayMillis);
}
