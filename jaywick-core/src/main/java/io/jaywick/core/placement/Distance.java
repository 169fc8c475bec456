package io.jaywick.core.placement;

/** Distance between a node and an instance, nearest first. */
public enum Distance {
    SAME_INSTANCE,
    SAME_DATA_CENTRE,
    SAME_REGION,
    OTHER_REGION
}
