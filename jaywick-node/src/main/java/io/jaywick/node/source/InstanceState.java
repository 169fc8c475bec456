package io.jaywick.node.source;

import com.fasterxml.jackson.annotation.JsonProperty;

/** State of an instance on the platform's list. */
public enum InstanceState {
    @JsonProperty("live")
    LIVE,
    @JsonProperty("leaving")
    LEAVING
}
