package io.jaywick.node.peer;

/** How versions propagate between nodes. Only {@link #ANNOUNCE} is meant for use; the others are for comparison. */
public enum SpreadStrategy {
    /** A node announces what it adopts, and a node that is behind pulls the delta once. */
    ANNOUNCE,
    /** Every node watches the configuration service and reads the full value; peers are not queried. */
    NAIVE,
    /** A node pushes the delta to all its neighbours. */
    FLOOD,
    /** A node pushes the delta to its children in a tree over the data centre. */
    TREE
}
