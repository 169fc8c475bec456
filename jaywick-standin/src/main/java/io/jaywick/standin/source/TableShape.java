package io.jaywick.standin.source;

import java.util.List;

/**
 * Size of a generated table.
 *
 * @param dataCentresPerRegion number of data centres of each region, one entry per region
 * @param servers number of servers, at least the number of services times the number of regions
 */
public record TableShape(List<Integer> dataCentresPerRegion, int services, int servers, int parties) {

    /** The design size of docs/design.md, section 1. */
    public static final TableShape DESIGN_SIZE = new TableShape(List.of(3, 2), 610, 3_700, 40);

    public TableShape {
        if (servers < services * dataCentresPerRegion.size()) {
            throw new IllegalArgumentException("each service needs a server in each region: " + servers
                    + " servers for " + services + " services in " + dataCentresPerRegion.size() + " regions");
        }
    }
}
