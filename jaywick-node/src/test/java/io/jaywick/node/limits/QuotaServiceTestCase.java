package io.jaywick.node.limits;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

import io.jaywick.core.limits.LimiterOptions;
import io.jaywick.core.membership.Member;
import io.jaywick.core.membership.MemberState;
import io.jaywick.core.membership.MembershipView;
import io.jaywick.core.message.Ack;
import io.jaywick.core.message.ErrorReply;
import io.jaywick.core.message.QuotaGrant;
import io.jaywick.core.message.QuotaRequest;
import io.jaywick.core.snapshot.DataCentre;
import io.jaywick.core.snapshot.Party;
import io.jaywick.core.snapshot.Server;
import io.jaywick.core.snapshot.Snapshot;
import io.jaywick.core.table.TableContent;
import org.junit.jupiter.api.Test;
import reactor.test.scheduler.VirtualTimeScheduler;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.instanceOf;

class QuotaServiceTestCase {

    private static final Party PARTY = new Party("p", 100, 2_000, 0, Set.of(), 0);

    private final VirtualTimeScheduler scheduler = VirtualTimeScheduler.create();
    private final AtomicInteger requests = new AtomicInteger();

    /** Guards against ticks that do not run, that continue after the close, or that send to a wrong address. */
    @Test
    void requestsQuotaFromOtherHolderUntilClosed() {
        QuotaService service = service();
        for (int i = 0; i < 100; i++) {
            service.tryAcquire(PARTY);
        }
        scheduler.advanceTimeBy(Duration.ofSeconds(1));
        int sent = requests.get();
        assertThat(sent, greaterThan(0));
        assertThat(service.quotaCalls("p"), equalTo(100));
        service.close();
        scheduler.advanceTimeBy(Duration.ofSeconds(60));
        assertThat(requests.get(), equalTo(sent));
    }

    /** Guards against a message of another type that closes the connection without a reply. */
    @Test
    void repliesWithErrorToOtherMessageTypes() {
        try (QuotaService service = service()) {
            QuotaRequest request = new QuotaRequest("b", 1, 1, "p", 1, 10, 10_000, 0, 0, 0, "a");
            assertThat(service.handle(request).join(), instanceOf(QuotaGrant.class));
            assertThat(service.handle(new Ack("b")).join(), instanceOf(ErrorReply.class));
        }
    }

    private QuotaService service() {
        Member other = new Member("b", "d", "r", "s", "127.0.0.1:1", "127.0.0.1:2", 1, MemberState.ALIVE);
        MembershipView members = new MembershipView() {
            @Override
            public List<Member> members() {
                return List.of(other);
            }

            @Override
            public Optional<Member> member(String server) {
                return server.equals("b") ? Optional.of(other) : Optional.empty();
            }
        };
        QuotaService service = new QuotaService(
                new LimiterOptions("a", 1, 16, 10_000, true),
                (address, message) -> {
                    assertThat(address, equalTo("127.0.0.1:1"));
                    requests.incrementAndGet();
                    QuotaRequest request = (QuotaRequest) message;
                    return CompletableFuture.completedFuture(
                            new QuotaGrant("b", 1, request.requestId(), "p", request.wantCalls(), 10_000, 50, 0));
                },
                members,
                (oldest, newest) -> false,
                scheduler,
                () -> scheduler.now(TimeUnit.NANOSECONDS),
                new Random(1));
        scheduler.advanceTimeBy(Duration.ofNanos(TimeUnit.MILLISECONDS.toNanos(1)));
        DataCentre dataCentre = new DataCentre("d", "r", true);
        service.onSnapshot(new Snapshot(
                1,
                new TableContent(Map.of()),
                Map.of(),
                Map.of("a", new Server("a", dataCentre, "s"), "b", new Server("b", dataCentre, "s")),
                Map.of(),
                List.of(),
                Map.of("p", PARTY)));
        return service;
    }
}
