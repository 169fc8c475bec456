package io.jaywick.cli.demo;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import io.jaywick.core.record.CallOutcome;
import io.jaywick.standin.target.TargetModel;

/**
 * Checks the promises of the demonstration: compares the responses that callers received with the calls that targets
 * ran, and the revisions that nodes adopted with the published edits. Collects a message for each violation.
 */
final class DemoVerifier {

    private static final long CONVERGENCE_LIMIT_MILLIS = 8_000;
    private static final long EVACUATION_LIMIT_MILLIS = 3_000;

    private final List<String> violations = new ArrayList<>();

    List<String> violations() {
        return violations;
    }

    void verifyEdit(DemoResult.Edit edit, boolean shouldBeAccepted, FleetObserver observer) {
        if (edit.accepted() != shouldBeAccepted) {
            violations.add("revision " + edit.revision() + ": accepted is " + edit.accepted() + ", expected "
                    + shouldBeAccepted);
        }
        if (!shouldBeAccepted && observer.wasAdopted(edit.revision())) {
            violations.add("invalid revision " + edit.revision() + " was adopted by a node");
        }
        if (edit.convergenceMillis() > CONVERGENCE_LIMIT_MILLIS) {
            violations.add("revision " + edit.revision() + " exceeded the convergence limit of "
                    + CONVERGENCE_LIMIT_MILLIS + " ms: " + edit.convergenceMillis() + " ms");
        }
    }

    void verifyEvacuation(long lastNewCallAfterMillis) {
        if (lastNewCallAfterMillis > EVACUATION_LIMIT_MILLIS) {
            violations.add("the evacuated data centre started a new call " + lastNewCallAfterMillis
                    + " ms after the edit, the limit is " + EVACUATION_LIMIT_MILLIS + " ms");
        }
    }

    void verifyNoRegressions(FleetObserver observer) {
        if (observer.regressions() > 0) {
            violations.add(
                    observer.regressions() + " adoptions of a revision that was not newer than the previous one");
        }
    }

    DemoResult.Calls verifyCalls(DemoCallers callers, List<DemoFleet.Member> members) {
        Map<String, Integer> runs = countRunsByRequest(members);
        long answered = 0;
        long refused = 0;
        long failed = 0;
        long ranTwice = 0;
        for (Map.Entry<String, DemoCallers.CallRecord> entry :
                callers.callRecords().entrySet()) {
            DemoCallers.CallRecord callRecord = entry.getValue();
            int runCount = runs.getOrDefault(entry.getKey(), 0);
            if (callRecord.write() && runCount > 1) {
                ranTwice++;
                violations.add(
                        "call " + entry.getKey() + " to a route that is not idempotent ran " + runCount + " times");
            }
            if (callRecord.outcome().equals(CallOutcome.ANSWERED.headerValue())) {
                answered++;
                if (runCount == 0 || !callRecord.answersOwnRequest()) {
                    violations.add("call " + entry.getKey()
                            + " was answered without having run, or with the answer of another call");
                }
            } else if (callRecord.outcome().equals(CallOutcome.NOT_RUN.headerValue())) {
                refused++;
                if (callRecord.write() && runCount > 0) {
                    violations.add("call " + entry.getKey() + " was reported as not run but ran");
                }
            } else {
                failed++;
                violations.add("call " + entry.getKey() + " failed: status " + callRecord.status() + " "
                        + callRecord.reason());
            }
        }
        if (callers.callRecords().size() != callers.callsSent()) {
            violations.add((callers.callsSent() - callers.callRecords().size()) + " calls have no recorded result");
        }
        return new DemoResult.Calls(callers.callsSent(), answered, refused, failed, ranTwice);
    }

    private static Map<String, Integer> countRunsByRequest(List<DemoFleet.Member> members) {
        Map<String, Integer> runs = new HashMap<>();
        for (DemoFleet.Member member : members) {
            for (TargetModel.Run run : member.target().model().runs()) {
                runs.merge(run.request(), 1, Integer::sum);
            }
        }
        return runs;
    }
}
