package io.jaywick.node;

import java.util.function.UnaryOperator;
import java.util.random.RandomGenerator;

import io.jaywick.core.message.PeerLink;
import io.jaywick.core.record.UsageSink;
import io.jaywick.core.snapshot.SnapshotListener;
import io.jaywick.node.source.ConfigSource;
import io.jaywick.node.source.InstanceList;
import io.opentelemetry.sdk.trace.export.SpanExporter;
import reactor.core.scheduler.Scheduler;
import reactor.netty.resources.LoopResources;

/**
 * External dependencies of a node. Several nodes of one process may share the scheduler and the event loops.
 *
 * @param usageLines receives the lines of the usage record
 * @param observer is notified of each activated snapshot after the node itself
 * @param linkDecorator wraps the link to the peers; the identity in production
 * @param incarnation start time of the process in milliseconds
 * @param firstStart whether no process of the fleet has run within the last grant period and window, so that quotas are
 *     usable immediately
 * @param random thread-safe generator
 */
public record NodeEnvironment(
        ConfigSource source,
        InstanceList instances,
        UsageSink usageLines,
        SpanExporter spans,
        SnapshotListener observer,
        UnaryOperator<PeerLink> linkDecorator,
        Scheduler scheduler,
        LoopResources loops,
        RandomGenerator random,
        long incarnation,
        boolean firstStart) {}
