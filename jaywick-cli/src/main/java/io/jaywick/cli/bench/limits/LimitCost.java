package io.jaywick.cli.bench.limits;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.jaywick.cli.virtual.VirtualTime;
import io.jaywick.core.message.Message;
import org.msgpack.jackson.dataformat.MessagePackFactory;

/** Measures the limiter messages and their bytes for one party, depending on the number of servers with demand. */
final class LimitCost {

    private static final ObjectMapper MESSAGE_PACK = new ObjectMapper(new MessagePackFactory());

    /** Bytes of the length and the protocol version that precede the body of a frame. */
    private static final int FRAME_HEADER_BYTES = 5;

    private static final int SERVERS = 100;
    private static final int LIMIT_CALLS = 2_000;
    private static final int WARM_UP_SECONDS = 20;
    private static final int MEASURED_SECONDS = 60;
    private static final int DESIGN_SIZE_SERVERS = 3_700;
    private static final int NODE_BUDGET_BYTES_PER_SECOND = 8 * 1_024;

    private LimitCost() {}

    /** Runs a fleet without faults in which some servers have demand, in total 25 % above the limit. */
    static Cost measure(int demandServers, long seed) {
        LimitFleetOptions options = new LimitFleetOptions(SERVERS, 5, 2, 16, 10_000, LIMIT_CALLS, 2_000, 200, false);
        VirtualTime time = new VirtualTime(seed);
        LimitFleet fleet = new LimitFleet(options, LimitStrategy.ESCROW, time);
        List<String> servers = new ArrayList<>(fleet.servers());
        double total = 1.25 * LIMIT_CALLS * 1_000 / options.windowMillis();
        for (int i = 0; i < demandServers; i++) {
            fleet.setDemand(servers.get(i * SERVERS / demandServers), total / demandServers);
        }
        time.runUntil(TimeUnit.SECONDS.toNanos(WARM_UP_SECONDS));
        fleet.network().startMeasuring(LimitCost::frameBytes);
        time.runUntil(TimeUnit.SECONDS.toNanos(WARM_UP_SECONDS + MEASURED_SECONDS));
        double bytes = fleet.network().bytes() / (double) MEASURED_SECONDS;
        return new Cost(
                demandServers,
                round(fleet.network().messages() / (double) MEASURED_SECONDS),
                round(bytes),
                round(bytes / demandServers),
                (long) (NODE_BUDGET_BYTES_PER_SECOND / (2 * bytes / demandServers)),
                round(bytes / demandServers * DESIGN_SIZE_SERVERS / options.holdersPerParty()));
    }

    private static long frameBytes(Message message) {
        try {
            Map<String, Object> frame =
                    Map.of("type", message.getClass().getSimpleName(), "id", Integer.MAX_VALUE, "body", message);
            return FRAME_HEADER_BYTES + MESSAGE_PACK.writeValueAsBytes(frame).length;
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("message cannot be encoded as MessagePack", e);
        }
    }

    private static double round(double value) {
        return Math.round(value * 10) / 10.0;
    }

    /**
     * Cost of the limiter messages of one party.
     *
     * @param demandServers servers with demand
     * @param messagesPerSecond requests and replies in the whole fleet
     * @param bytesPerSecond bytes in the whole fleet
     * @param bytesPerSecondPerDemandServer bytes for each server with demand, both directions
     * @param partiesWithinBudget number of parties with demand at every server that uses up a node's budget for control
     *     traffic, if holders are distributed evenly and each message counts at its sender and its receiver
     * @param holderBytesPerSecondAtDesignSize bytes at one holder of a party that has demand at all 3,700 servers
     */
    record Cost(
            int demandServers,
            double messagesPerSecond,
            double bytesPerSecond,
            double bytesPerSecondPerDemandServer,
            long partiesWithinBudget,
            double holderBytesPerSecondAtDesignSize) {}
}
