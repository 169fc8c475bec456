package io.jaywick.node.relay;

import java.util.function.BooleanSupplier;

/**
 * What the calls of client accounts depend on beside the rules.
 *
 * @param rulesOutdated whether the rules are too old to accept a key, see {@link RelaySettings#maxKeyAgeMillis}
 */
record AccountAccess(AccountQuotas quotas, BooleanSupplier rulesOutdated) {}
