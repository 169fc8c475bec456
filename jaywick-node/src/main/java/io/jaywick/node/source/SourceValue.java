package io.jaywick.node.source;

/**
 * One value of the configuration service.
 *
 * @param content the packed table
 */
public record SourceValue(long revision, byte[] content) {}
