package io.jaywick.core.limits;

/**
 * Options of a {@link PartyLimiter}. All nodes of a fleet have the same number of holders and the same grant period; a
 * change of either requires that the whole fleet is stopped for one grant period and one window.
 *
 * @param server name of the local server in the roster
 * @param incarnation start time of the process in milliseconds; a larger one is newer
 * @param holdersPerParty number of servers that hold the base allocations of a party
 * @param grantMillis grant period
 * @param firstStart true states that no process of the fleet has run within the last grant period and window, so that
 *     base allocations are usable at once
 */
public record LimiterOptions(
        String server, long incarnation, int holdersPerParty, long grantMillis, boolean firstStart) {}
