package io.jaywick.core.record;

/** Cumulative counters of one usage key in one process. */
public record UsageEntry(UsageKey key, UsageCounters counters) {}
