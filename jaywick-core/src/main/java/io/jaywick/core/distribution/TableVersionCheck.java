package io.jaywick.core.distribution;

import java.util.ArrayList;
import java.util.List;

import io.jaywick.core.snapshot.SnapshotBuilder;
import io.jaywick.core.table.TableContent;
import io.jaywick.core.table.TableProblem;
import io.jaywick.core.verdict.TableVerdict;

/** Accepts the versions that {@link TableVerdict} accepts. See docs/design.md, section 3. */
public final class TableVersionCheck implements VersionCheck {

    /** Bounds the problems of a rejected value that a node keeps and shows. */
    private static final int MAX_PROBLEMS = 100;

    @Override
    public CheckedVersion checkPacked(long revision, byte[] packed) {
        return toCheckedVersion(revision, TableVerdict.ofPacked(packed));
    }

    @Override
    public CheckedVersion checkContent(long revision, TableContent content) {
        return toCheckedVersion(revision, TableVerdict.ofContent(content));
    }

    private static CheckedVersion toCheckedVersion(long revision, TableVerdict verdict) {
        if (verdict.accepted()) {
            return CheckedVersion.accepted(SnapshotBuilder.build(revision, verdict.content()));
        }
        List<String> problems = new ArrayList<>();
        for (TableProblem problem : verdict.problems()) {
            if (problems.size() == MAX_PROBLEMS) {
                problems.add("and " + (verdict.problems().size() - MAX_PROBLEMS) + " more");
                break;
            }
            problems.add(problem.toLine());
        }
        return CheckedVersion.rejected(verdict.hash().hex(), problems);
    }
}
