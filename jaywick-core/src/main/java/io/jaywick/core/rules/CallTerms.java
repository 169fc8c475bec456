package io.jaywick.core.rules;

import java.util.Set;

/**
 * The terms on which a call is accepted.
 *
 * @param account account to which the call is attributed, or null
 * @param priority 0 is the highest
 * @param homeRegions regions in which the call may be processed; empty means any
 * @param hidesCallerHeaders whether the headers in which the caller names a key or an account are removed; they have no
 *     meaning while the rules contain no accounts
 */
public record CallTerms(ClientAccount account, int priority, Set<String> homeRegions, boolean hidesCallerHeaders) {}
