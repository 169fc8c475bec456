package io.jaywick.cli.demo;

import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import io.jaywick.core.message.Message;
import io.jaywick.core.message.PeerLink;
import io.jaywick.core.settings.IdentitySettings;
import reactor.core.scheduler.Scheduler;

/**
 * Peer link that delays requests and replies by the one-way latency between the locations of the two nodes. Messages
 * within a data centre are not delayed.
 */
final class DelayedLink implements PeerLink {

    private final PeerLink delegate;
    private final FleetProfile profile;
    private final IdentitySettings local;
    private final Map<String, IdentitySettings> identitiesByAddress;
    private final Scheduler scheduler;

    DelayedLink(
            PeerLink delegate,
            FleetProfile profile,
            IdentitySettings local,
            Map<String, IdentitySettings> identitiesByAddress,
            Scheduler scheduler) {
        this.delegate = delegate;
        this.profile = profile;
        this.local = local;
        this.identitiesByAddress = identitiesByAddress;
        this.scheduler = scheduler;
    }

    @Override
    public CompletableFuture<Message> request(String peerAddress, Message message) {
        long delayMicros = oneWayMicros(identitiesByAddress.get(peerAddress));
        if (delayMicros == 0) {
            return delegate.request(peerAddress, message);
        }
        CompletableFuture<Message> result = new CompletableFuture<>();
        schedule(delayMicros, () -> delegate.request(peerAddress, message)
                .whenComplete((reply, failure) -> schedule(delayMicros, () -> {
                    if (failure == null) {
                        result.complete(reply);
                    } else {
                        result.completeExceptionally(failure);
                    }
                })));
        return result;
    }

    private void schedule(long delayMicros, Runnable task) {
        scheduler.schedule(task, delayMicros, TimeUnit.MICROSECONDS);
    }

    private long oneWayMicros(IdentitySettings remote) {
        if (remote == null || remote.dataCentre().equals(local.dataCentre())) {
            return 0;
        }
        return remote.region().equals(local.region())
                ? profile.betweenDataCentresMicros()
                : profile.betweenRegionsMicros();
    }
}
