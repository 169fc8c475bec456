package io.jaywick.core.rules;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;

/** The client accounts of one version of the rules, by name and by key. Immutable; does not show the keys. */
public final class ClientAccounts {

    public static final ClientAccounts NONE = new Builder().build();

    private final Map<String, ClientAccount> accountsByName;
    private final Map<String, ClientAccount> accountsByKey;

    private ClientAccounts(Map<String, ClientAccount> accountsByName, Map<String, ClientAccount> accountsByKey) {
        this.accountsByName = Map.copyOf(accountsByName);
        this.accountsByKey = Map.copyOf(accountsByKey);
    }

    boolean isEmpty() {
        return accountsByName.isEmpty();
    }

    Collection<ClientAccount> all() {
        return accountsByName.values();
    }

    ClientAccount byName(String name) {
        return accountsByName.get(name);
    }

    ClientAccount byKey(String key) {
        return accountsByKey.get(key);
    }

    /** Collects accounts with their keys. */
    public static final class Builder {
        private final Map<String, ClientAccount> accountsByName = new HashMap<>();
        private final Map<String, ClientAccount> accountsByKey = new HashMap<>();

        /**
         * Adds an account.
         *
         * @throws IllegalArgumentException if there is an account of that name, or if one of the keys belongs to another
         *     account
         */
        public Builder add(ClientAccount account, Collection<String> keys) {
            if (accountsByName.putIfAbsent(account.name(), account) != null) {
                throw new IllegalArgumentException("two accounts have the name " + account.name());
            }
            for (String key : keys) {
                ClientAccount owner = accountsByKey.putIfAbsent(key, account);
                if (owner != null && owner != account) {
                    throw new IllegalArgumentException(
                            "the accounts " + owner.name() + " and " + account.name() + " have the same key");
                }
            }
            return this;
        }

        public ClientAccounts build() {
            return new ClientAccounts(accountsByName, accountsByKey);
        }
    }
}
