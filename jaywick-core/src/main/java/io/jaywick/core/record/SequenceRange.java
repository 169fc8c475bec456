package io.jaywick.core.record;

/** Range of sequence numbers; both bounds are inclusive. */
public record SequenceRange(long first, long last) {}
