package io.jaywick.core.limits;

/**
 * Settings of a party limiter. All nodes of a fleet have the same holders and period; a change of either takes a stop
 * of the whole fleet for one period and window.
 *
 * @param server name of the own server in the roster
 * @param incarnation start time of the process in milliseconds; a larger one is newer
 * @param holdersPerParty servers that hold the base shares of a party
 * @param grantMillis period of a grant
 * @param firstStart true states that no process of the fleet ran within the last period and window, so that base
 *     shares are usable at once
 */
public record LimiterOptions(
        String server, long incarnation, int holdersPerParty, long grantMillis, boolean firstStart) {}
