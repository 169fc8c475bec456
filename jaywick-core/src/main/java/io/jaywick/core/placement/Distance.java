package io.jaywick.core.placement;

/** Distance between a node and an instance, in ascending order. */
public enum Distance {
    SAME_INSTANCE,
    SAME_DATA_CENTRE,
    SAME_REGION,
    OTHER_REGION
}
