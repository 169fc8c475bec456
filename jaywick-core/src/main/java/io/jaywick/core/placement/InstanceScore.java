package io.jaywick.core.placement;

/**
 * Score by which instances at the same distance are ranked; the lowest comes first.
 *
 * @param reportedMillis reported time until the answer of an average call, reduced by the age of the report
 * @param inFlight attempts of this node in flight at the instance; each counts as one millisecond
 */
record InstanceScore(double reportedMillis, int inFlight) {

    double millis() {
        return reportedMillis + inFlight;
    }
}
