package io.jaywick.core.verdict;

import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;

/** Sheets of a small table that the verdict accepts. Tests replace one sheet to check the verdict on the result. */
public final class SampleTable {

    public static final String DATA_CENTRES =
            "data_centre,region,state\ngulf-1,gulf,in\ngulf-2,gulf,out\ndelta-1,delta,in\n";
    public static final String SERVERS = "server,data_centre,service\ncatalog-1,gulf-1,catalog\n"
            + "catalog-2,delta-1,catalog\nreservations-1,gulf-2,reservations\n";
    public static final String SERVICES = "service,home_regions,slots_per_server,connections_per_server,"
            + "cold_start_calls,timeout_millis\ncatalog,,12,130,2,1000\nreservations,gulf,12,130,2,2000\n";
    public static final String ROUTES =
            "route,path_prefix,service,weight_percent,idempotent,timeout_millis,home_regions,importance\n"
                    + "browse,/catalog,catalog,90,true,1000,gulf delta,5\n"
                    + "browse,/catalog,reservations,10,true,1000,delta gulf,5\n"
                    + "reserve,/reservations,reservations,100,false,2000,gulf,9\n";
    public static final String PARTIES =
            "party,limit_calls,window_millis,agreed_share_percent,home_regions,importance\n"
                    + "schools,1000,1000,40,gulf,5\nlibraries,500,1000,60,,3\n";

    private SampleTable() {}

    /** Returns the accepted sheets by name in a modifiable map. */
    public static Map<String, byte[]> sheets() {
        Map<String, byte[]> sheets = new LinkedHashMap<>();
        put(sheets, "data-centres", DATA_CENTRES);
        put(sheets, "servers", SERVERS);
        put(sheets, "services", SERVICES);
        put(sheets, "routes", ROUTES);
        put(sheets, "parties", PARTIES);
        return sheets;
    }

    /** Returns the accepted sheets with one sheet replaced. */
    public static Map<String, byte[]> with(String sheet, String text) {
        Map<String, byte[]> sheets = sheets();
        put(sheets, sheet, text);
        return sheets;
    }

    static void put(Map<String, byte[]> sheets, String sheet, String text) {
        sheets.put(sheet, text.getBytes(StandardCharsets.UTF_8));
    }
}
