package io.jaywick.core.limits;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/** Holders of the quotas of all accounts: in each data centre, the host that ranks first for the account. */
final class TokenHolders {

    private final Map<String, Set<String>> hostsByDataCentre;
    private final Map<String, Roster> rosters = new TreeMap<>();
    private final Map<String, Map<String, String>> holdersByAccount = new HashMap<>();

    TokenHolders(Map<String, Set<String>> hostsByDataCentre) {
        this.hostsByDataCentre = Map.copyOf(hostsByDataCentre);
        hostsByDataCentre.forEach((dataCentre, hosts) -> rosters.put(dataCentre, new Roster(hosts)));
    }

    boolean isOf(Map<String, Set<String>> otherHosts) {
        return hostsByDataCentre.equals(otherHosts);
    }

    /** Returns the holder of an account in a data centre, or null if no node is known there. */
    String holderIn(String dataCentre, String account) {
        return holders(account).get(dataCentre);
    }

    /**
     * Returns the holders of an account: that of the own data centre first, then those of the own region. The order of
     * the others differs between accounts, so that their requests are spread.
     */
    List<String> inOrder(String account, String ownDataCentre, Set<String> dataCentresOfRegion) {
        Map<String, String> holders = holders(account);
        List<String> dataCentres = new ArrayList<>(holders.keySet());
        dataCentres.sort(Comparator.comparingInt((String dataCentre) -> dataCentre.equals(ownDataCentre) ? 0 : 1)
                .thenComparingInt(dataCentre -> dataCentresOfRegion.contains(dataCentre) ? 0 : 1)
                .thenComparingInt(dataCentre -> (account + dataCentre).hashCode()));
        return dataCentres.stream().map(holders::get).toList();
    }

    private Map<String, String> holders(String account) {
        return holdersByAccount.computeIfAbsent(account, name -> {
            Map<String, String> holders = new HashMap<>();
            rosters.forEach(
                    (dataCentre, roster) -> roster.holders(name, 1).forEach(host -> holders.put(dataCentre, host)));
            return holders;
        });
    }
}
