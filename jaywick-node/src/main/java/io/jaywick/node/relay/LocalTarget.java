package io.jaywick.node.relay;

import java.util.function.Consumer;
import java.util.function.LongSupplier;
import java.util.function.Supplier;

import io.jaywick.core.fleet.FleetView;
import io.jaywick.core.fleet.Instance;
import io.jaywick.core.gate.GateCall;
import io.jaywick.core.gate.GateRefusal;
import io.jaywick.core.gate.TargetGate;
import io.jaywick.core.message.ForwardCall;
import io.jaywick.core.rules.ServiceRule;

/**
 * The target beside the node. Every call to it, from any node, passes here, so that its slots, its cold budget and its
 * leaving are enforced whatever the senders believe.
 */
final class LocalTarget implements CallTarget {

    private static final long NANOS_PER_MILLI = 1_000_000;

    private final RelaySettings settings;
    private final Supplier<FleetView> fleet;
    private final TargetGate gate;
    private final TargetPool pool;
    private final LongSupplier nanoTime;
    private final RelayLog log;
    private Instance current;
    private boolean down;
    private boolean leaving;

    LocalTarget(
            RelaySettings settings, Supplier<FleetView> fleet, TargetPool pool, LongSupplier nanoTime, RelayLog log) {
        this.settings = settings;
        this.fleet = fleet;
        this.gate = new TargetGate(nanoTime);
        this.pool = pool;
        this.nanoTime = nanoTime;
        this.log = log;
    }

    /** Refuses further calls; those that wait or run go on. */
    void leave() {
        leaving = true;
    }

    int running() {
        return gate.running();
    }

    int waiting() {
        return gate.waiting();
    }

    boolean isCold() {
        return gate.isCold();
    }

    /** Called at each short interval. */
    void tick() {
        gate.pump();
    }

    /** Takes over what a new view says of the target. */
    void viewChanged() {
        Instance known = null;
        for (Instance instance : fleet.get().instancesOf(settings.service())) {
            if (instance.address().equals(settings.targetAddress()) && (known == null || isNewer(instance, known))) {
                known = instance;
            }
        }
        if (known == null || known.equals(current)) {
            if (known == null && current != null) {
                log.change("target beside this node is no longer listed", "instance", current.id());
                current = null;
                gate.refuseWaiting(GateRefusal.LEAVING);
            }
            return;
        }
        boolean another =
                current == null || !current.id().equals(known.id()) || current.bornMillis() != known.bornMillis();
        current = known;
        gate.setSlots(known.slots());
        long coldMillis = known.coldMillis(nanoTime.getAsLong());
        if (coldMillis > 0) {
            turnCold(coldMillis, "listed");
        }
        if (known.draining() || fleet.get().isEvacuated(known.dataCentre())) {
            gate.refuseWaiting(GateRefusal.LEAVING);
        }
        if (another) {
            log.change(
                    "target beside this node",
                    "instance",
                    known.id(),
                    "slots",
                    known.slots(),
                    "coldMillis",
                    coldMillis,
                    "draining",
                    known.draining());
        }
    }

    private static boolean isNewer(Instance a, Instance b) {
        if (a.draining() != b.draining()) {
            return b.draining();
        }
        return a.bornMillis() != b.bornMillis() ? a.bornMillis() > b.bornMillis() : a.seenNanos() > b.seenNanos();
    }

    private void turnCold(long millis, String cause) {
        ServiceRule rule = fleet.get().rules().service(settings.service());
        if (rule == null || rule.coldCallsPerSecond() <= 0) {
            return;
        }
        gate.setCold(nanoTime.getAsLong() + millis * NANOS_PER_MILLI, rule.coldCallsPerSecond());
        log.change("target is cold", "cause", cause, "forMillis", millis, "callsPerSecond", rule.coldCallsPerSecond());
    }

    @Override
    public PendingCall call(ForwardCall call, Consumer<CallResult> done) {
        GateRefusal refusal = refusal(call);
        Running running = new Running(call, done);
        if (refusal == null) {
            refusal = gate.offer(running);
        }
        if (refusal != null) {
            done.accept(CallResult.refused(refusal).withWait(waitMillis(call, refusal)));
        }
        return running::cancel;
    }

    private GateRefusal refusal(ForwardCall call) {
        FleetView view = fleet.get();
        Instance chosen = view.instance(call.instanceId());
        if (chosen == null
                || current == null
                || !chosen.id().equals(current.id())
                || !chosen.service().equals(call.service())) {
            return GateRefusal.UNKNOWN_INSTANCE;
        }
        if (leaving || chosen.draining() || view.isEvacuated(chosen.dataCentre())) {
            return GateRefusal.LEAVING;
        }
        return null;
    }

    private long waitMillis(ForwardCall call, GateRefusal refusal) {
        return refusal == GateRefusal.LEAVING || refusal == GateRefusal.UNKNOWN_INSTANCE
                ? -1
                : gate.waitMillis(call.priority());
    }

    private void observe(CallResult result) {
        boolean lost =
                result.outcome() == CallResult.Outcome.LOST && result.reason().startsWith("connection-")
                        || result.reason().equals("target-down");
        if (lost && !down) {
            down = true;
            log.change("target lost a connection", "reason", result.reason());
        } else if (result.outcome() == CallResult.Outcome.ANSWERED) {
            down = false;
        }
    }

    /** A call from its offer to its result. */
    private final class Running extends GateCall {
        private final ForwardCall call;
        private final Consumer<CallResult> done;
        private final long deadlineNanos;
        private PendingCall exchange;
        private boolean ended;

        Running(ForwardCall call, Consumer<CallResult> done) {
            super(
                    call.route(),
                    call.priority(),
                    nanoTime.getAsLong() + call.objectiveMillis() * NANOS_PER_MILLI,
                    nanoTime.getAsLong() + call.remainingMillis() * NANOS_PER_MILLI,
                    call.trial());
            this.call = call;
            this.done = done;
            this.deadlineNanos = nanoTime.getAsLong() + call.remainingMillis() * NANOS_PER_MILLI;
        }

        private long remainingMillis() {
            return (deadlineNanos - nanoTime.getAsLong()) / NANOS_PER_MILLI;
        }

        @Override
        protected void admitted() {
            exchange = pool.send(call, () -> Math.max(1, remainingMillis()), this::answered);
        }

        @Override
        protected void refused(GateRefusal reason) {
            end(CallResult.refused(reason).withWait(gate.waitMillis(call.priority())));
        }

        private void answered(CallResult result) {
            observe(result);
            gate.ended(this, result.outcome() == CallResult.Outcome.ANSWERED);
            end(result.withWait(gate.waitMillis(call.priority())));
        }

        private void end(CallResult result) {
            if (!ended) {
                ended = true;
                done.accept(result);
            }
        }

        void cancel() {
            if (ended) {
                return;
            }
            ended = true;
            gate.cancel(this);
            if (exchange != null) {
                exchange.cancel();
                gate.ended(this, false);
            }
        }
    }
}
