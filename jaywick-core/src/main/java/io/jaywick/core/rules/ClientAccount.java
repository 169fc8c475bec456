package io.jaywick.core.rules;

import java.util.OptionalInt;
import java.util.Set;

/**
 * Account of a client. Its keys are not part of the record, so that they appear in no log line or message.
 *
 * @param priority rank of the account's calls in place of the rank of their route; 0 is the highest
 * @param homeRegions regions in which its calls may be processed; empty means any
 * @param callsPerSecond calls that the account may make on average, at all nodes together; 0 means no limit
 * @param burstCalls calls that it may make at once in addition
 */
public record ClientAccount(
        String name, OptionalInt priority, Set<String> homeRegions, double callsPerSecond, double burstCalls) {

    public ClientAccount {
        homeRegions = Set.copyOf(homeRegions);
    }
}
