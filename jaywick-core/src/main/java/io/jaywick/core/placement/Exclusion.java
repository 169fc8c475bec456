package io.jaywick.core.placement;

/** Reason why an instance receives no new calls. */
public enum Exclusion {
    /** Its entry says that it drains. */
    DRAINING,
    /** It has stated that it leaves. */
    LEAVING,
    /** Its data centre is evacuated. */
    EVACUATED,
    /** Its region is not a home region of the call. */
    OTHER_REGION
}
