package io.jaywick.cli.demo;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import io.jaywick.core.record.CallOutcome;
import io.jaywick.standin.target.TargetModel;

/** Compares what callers were told with what targets ran, and nodes' adoptions with the edits. */
final class DemoJudge {

    private static final long CONVERGENCE_LIMIT_MILLIS = 8_000;
    private static final long OUT_LIMIT_MILLIS = 3_000;

    private final List<String> broken = new ArrayList<>();

    List<String> broken() {
        return broken;
    }

    void edit(DemoResult.Edit edit, boolean expected, FleetObserver observer) {
        if (edit.accepted() != expected) {
            broken.add("revision " + edit.revision() + " accepted: " + edit.accepted() + ", expected " + expected);
        }
        if (!expected && observer.wasAdopted(edit.revision())) {
            broken.add("rejected revision " + edit.revision() + " was adopted by a node");
        }
        if (edit.convergenceMillis() > CONVERGENCE_LIMIT_MILLIS) {
            broken.add("revision " + edit.revision() + " took " + edit.convergenceMillis() + " ms");
        }
    }

    void outDataCentre(long newWorkAfterMillis) {
        if (newWorkAfterMillis > OUT_LIMIT_MILLIS) {
            broken.add("the data centre that was taken out got new work after " + newWorkAfterMillis + " ms");
        }
    }

    void regressions(FleetObserver observer) {
        if (observer.regressions() > 0) {
            broken.add(observer.regressions() + " adoptions of a revision that was not newer");
        }
    }

    DemoResult.Calls calls(DemoCallers callers, List<DemoFleet.Place> places) {
        Map<String, Integer> runs = runs(places);
        long answered = 0;
        long refused = 0;
        long failed = 0;
        long ranTwice = 0;
        for (Map.Entry<String, DemoCallers.Told> entry : callers.told().entrySet()) {
            DemoCallers.Told told = entry.getValue();
            int ran = runs.getOrDefault(entry.getKey(), 0);
            if (told.write() && ran > 1) {
                ranTwice++;
                broken.add("call " + entry.getKey() + " ran " + ran + " times");
            }
            if (told.outcome().equals(CallOutcome.ANSWERED.headerValue())) {
                answered++;
                if (ran == 0 || !told.ownAnswer()) {
                    broken.add("call " + entry.getKey() + " got an answer that is not its own");
                }
            } else if (told.outcome().equals(CallOutcome.NOT_RUN.headerValue())) {
                refused++;
                if (told.write() && ran > 0) {
                    broken.add("call " + entry.getKey() + " was refused as not run and ran");
                }
            } else {
                failed++;
                broken.add("call " + entry.getKey() + " failed: status " + told.status() + " " + told.reason());
            }
        }
        if (callers.told().size() != callers.sent()) {
            broken.add((callers.sent() - callers.told().size()) + " calls ended without an outcome");
        }
        return new DemoResult.Calls(callers.sent(), answered, refused, failed, ranTwice);
    }

    private static Map<String, Integer> runs(List<DemoFleet.Place> places) {
        Map<String, Integer> runs = new HashMap<>();
        for (DemoFleet.Place place : places) {
            for (TargetModel.Run run : place.target().model().runs()) {
                runs.merge(run.request(), 1, Integer::sum);
            }
        }
        return runs;
    }
}
