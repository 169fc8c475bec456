package io.jaywick.core.record;

/** A range of sequence numbers, both ends included. */
public record SequenceRange(long first, long last) {}
