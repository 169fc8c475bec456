package io.jaywick.node.source;

/**
<<<<<<< HEAD
 * A published value.
 *
 * @param content packed table of at most 1 MB; not to be modified
=======
 * One value of the configuration service.
 *
 * @param content the packed table
>>>>>>> distribution
 */
public record SourceValue(long revision, byte[] content) {}
