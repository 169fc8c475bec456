package io.jaywick.core.snapshot;

/**
 * A data centre of the table.
 *
 * @param inService false when operators have taken it out of service
 */
public record DataCentre(String name, String region, boolean inService) {}
