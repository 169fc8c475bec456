package io.jaywick.core.gate;

import java.util.Locale;

/** Why a call was refused before the target saw a byte of it. */
public enum GateRefusal {
    /** The call would miss its latency objective here, and was only tried. */
    BUSY,
    /** The call would miss its deadline, or the queue is full. */
    OVERLOADED,
    /** The target is cold and its calls of this second are used up. */
    COLD,
    /** The target, its data centre or the node leaves. */
    LEAVING,
    /** The target cannot be reached by the node beside it. */
    TARGET_DOWN,
    /** The node does not know the instance that the caller chose. */
    UNKNOWN_INSTANCE,
    /** The deadline passed while the call waited. */
    DEADLINE,
    /** The caller left. */
    CANCELLED;

    /** Name in logs, metrics and messages. */
    public String label() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
}
