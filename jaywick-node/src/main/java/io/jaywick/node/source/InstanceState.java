package io.jaywick.node.source;

import com.fasterxml.jackson.annotation.JsonProperty;

/** State of an instance in the list of the platform. */
public enum InstanceState {
    @JsonProperty("live")
    LIVE,
    /** The instance is draining. */
    @JsonProperty("leaving")
    LEAVING
}
