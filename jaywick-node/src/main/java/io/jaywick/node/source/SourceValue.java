package io.jaywick.node.source;

/**
 * A published value.
 *
 * @param content packed table of at most 1 MB; must not be modified
 */
public record SourceValue(long revision, byte[] content) {}
