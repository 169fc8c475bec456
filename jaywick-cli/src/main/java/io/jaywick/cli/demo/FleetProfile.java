package io.jaywick.cli.demo;

import java.util.List;

import io.jaywick.cli.UsageException;

/**
 * An example fleet with the edits that the demonstration publishes. See docs/design.md, section 1.
 *
 * @param sourceRegion region of the configuration service
 * @param betweenDataCentresMicros one-way latency between two data centres of a region, in microseconds
 * @param betweenRegionsMicros one-way latency between two regions, in microseconds
 * @param readPath path of an idempotent route
 * @param writePath path of a route that is not idempotent
 * @param evacuatedDataCentreRow row of the evacuated data centre in its sheet, without the state
 * @param validEdits edits that nodes must accept
 * @param invalidEdit an edit that nodes must reject because its weights add up to 101
 * @param parties client accounts of the callers
 */
record FleetProfile(
        String name,
        String sourceRegion,
        long betweenDataCentresMicros,
        long betweenRegionsMicros,
        String readPath,
        String writePath,
        String evacuatedDataCentreRow,
        List<TableEdit> validEdits,
        TableEdit invalidEdit,
        List<String> parties) {

    static final FleetProfile TARFUR = new FleetProfile(
            "tarfur",
            "sudurland",
            1_500,
            12_000,
            "/catalogue/search",
            "/bookings",
            "akureyri,nordurland",
            List.of(
                    new TableEdit("routes", ",catalogue,85,", ",catalogue,70,", ",herdbook,15,", ",herdbook,30,"),
                    new TableEdit("parties", "vets,400,", "vets,450,"),
                    new TableEdit("routes", ",true,1000,,30", ",true,1200,,30")),
            new TableEdit("routes", ",catalogue,70,", ",catalogue,71,"),
            List.of("herd-keepers", "vets", "clerks"));

    static final FleetProfile MAGNOLIA = new FleetProfile(
            "magnolia",
            "gulf",
            1_000,
            12_000,
            "/catalog/suggest",
            "/reservations",
            "charlotte,piedmont",
            List.of(
                    new TableEdit("routes", ",catalog,70,", ",catalog,60,", ",inventory,30,", ",inventory,40,"),
                    new TableEdit("parties", "volunteers,400,", "volunteers,450,"),
                    new TableEdit("routes", ",true,1500,,40", ",true,1800,,40")),
            new TableEdit("routes", ",catalog,60,", ",catalog,61,"),
            List.of("teachers", "volunteers", "night-staff"));

    static FleetProfile byName(String name) {
        return switch (name) {
            case "tarfur" -> TARFUR;
            case "magnolia" -> MAGNOLIA;
            default -> throw new UsageException("--fleet '" + name + "' is not tarfur or magnolia");
        };
    }

    String evacuatedDataCentreName() {
        return evacuatedDataCentreRow.substring(0, evacuatedDataCentreRow.indexOf(','));
    }

    TableEdit evacuationEdit() {
        return new TableEdit("data-centres", evacuatedDataCentreRow + ",in", evacuatedDataCentreRow + ",out");
    }

    TableEdit restoringEdit() {
        return new TableEdit("data-centres", evacuatedDataCentreRow + ",out", evacuatedDataCentreRow + ",in");
    }
}
