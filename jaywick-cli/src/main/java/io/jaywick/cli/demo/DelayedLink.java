package io.jaywick.cli.demo;

import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import io.jaywick.core.message.Message;
import io.jaywick.core.message.PeerLink;
import io.jaywick.core.settings.IdentitySettings;
import reactor.core.scheduler.Scheduler;

/** Delays requests and replies between nodes by the one-way latency of their places. */
final class DelayedLink implements PeerLink {

    private final PeerLink link;
    private final FleetProfile profile;
    private final IdentitySettings from;
    private final Map<String, IdentitySettings> places;
    private final Scheduler scheduler;

    DelayedLink(
            PeerLink link,
            FleetProfile profile,
            IdentitySettings from,
            Map<String, IdentitySettings> places,
            Scheduler scheduler) {
        this.link = link;
        this.profile = profile;
        this.from = from;
        this.places = places;
        this.scheduler = scheduler;
    }

    @Override
    public CompletableFuture<Message> request(String peerAddress, Message message) {
        long micros = oneWayMicros(places.get(peerAddress));
        if (micros == 0) {
            return link.request(peerAddress, message);
        }
        CompletableFuture<Message> result = new CompletableFuture<>();
        after(micros, () -> link.request(peerAddress, message)
                .whenComplete((reply, failure) -> after(micros, () -> {
                    if (failure == null) {
                        result.complete(reply);
                    } else {
                        result.completeExceptionally(failure);
                    }
                })));
        return result;
    }

    private void after(long micros, Runnable task) {
        scheduler.schedule(task, micros, TimeUnit.MICROSECONDS);
    }

    private long oneWayMicros(IdentitySettings to) {
        if (to == null || to.dataCentre().equals(from.dataCentre())) {
            return 0;
        }
        return to.region().equals(from.region()) ? profile.betweenDataCentresMicros() : profile.betweenRegionsMicros();
    }
}
