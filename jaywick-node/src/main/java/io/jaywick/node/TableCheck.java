package io.jaywick.node;

import java.util.ArrayList;
import java.util.List;

import io.jaywick.core.distribution.CheckedVersion;
import io.jaywick.core.distribution.VersionCheck;
import io.jaywick.core.snapshot.Snapshot;
import io.jaywick.core.snapshot.SnapshotBuilder;
import io.jaywick.core.table.TableContent;
import io.jaywick.core.table.TableProblem;
import io.jaywick.core.verdict.TableVerdict;

/** Checks versions by the verdict, the same for values of the source and contents of peers. */
final class TableCheck implements VersionCheck {

    /** Bounds what a rejected value can make a node keep and show. */
    private static final int MAX_PROBLEMS = 100;

    @Override
    public CheckedVersion checkPacked(long revision, byte[] packed) {
        return checked(revision, TableVerdict.ofPacked(packed));
    }

    @Override
    public CheckedVersion checkContent(long revision, TableContent content) {
        return checked(revision, TableVerdict.ofContent(content));
    }

    private static CheckedVersion checked(long revision, TableVerdict verdict) {
        if (verdict.accepted()) {
            Snapshot snapshot = SnapshotBuilder.build(revision, verdict.content());
            return CheckedVersion.accepted(snapshot);
        }
        List<String> problems = new ArrayList<>();
        for (TableProblem problem : verdict.problems()) {
            if (problems.size() == MAX_PROBLEMS) {
                problems.add("and " + (verdict.problems().size() - MAX_PROBLEMS) + " more");
                break;
            }
            problems.add(problem.line());
        }
        return CheckedVersion.rejected(verdict.hash().hex(), problems);
    }
}
