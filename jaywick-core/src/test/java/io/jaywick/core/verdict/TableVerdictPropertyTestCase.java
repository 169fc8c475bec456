package io.jaywick.core.verdict;

import java.util.Set;
import java.util.TreeSet;

import io.jaywick.core.snapshot.SnapshotBuilder;
import io.jaywick.core.table.PackedTable;
import io.jaywick.core.table.ProblemList;
import io.jaywick.core.table.ProblemType;
import io.jaywick.core.table.Sheet;
import io.jaywick.core.table.TableProblem;
import io.jaywick.core.table.TableRows;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;
import net.jqwik.api.statistics.Statistics;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;

class TableVerdictPropertyTestCase {

    /** Guards against rules whose implementation differs from {@link NaiveVerdict}. */
    @Property(tries = 3_000, seed = "20260101", shrinking = ShrinkingMode.OFF)
    void findsSameProblemsAsNaiveVerdict(@ForAll long seed) {
        RandomTable table = new RandomTable(seed);
        Set<String> found = new TreeSet<>();
        for (TableProblem problem :
                TableVerdict.ofPacked(PackedTable.pack(table.sheets())).problems()) {
            found.add(problem.type() + " " + problem.sheet() + " " + problem.row() + " " + problem.column());
        }
        Statistics.label("accepted").collect(found.isEmpty());
        assertThat("seed " + seed, found, equalTo(new NaiveVerdict(table).problems()));
    }

    /** Guards against a version that nodes reading from the source reject and receivers of a delta accept, or vice versa. */
    @Property(tries = 1_000, seed = "20260102", shrinking = ShrinkingMode.OFF)
    void acceptsSheetsAndCanonicalRowsAlike(@ForAll long seed) {
        TableVerdict ofSheets = TableVerdict.ofSheets(new RandomTable(seed).sheets());
        boolean repeated =
                ofSheets.problems().stream().anyMatch(problem -> problem.type() == ProblemType.DUPLICATE_KEY);
        TableVerdict ofContent =
                TableVerdict.ofContent(TableRows.ofSheets(new RandomTable(seed).sheets(), new ProblemList())
                        .content());
        if (!repeated) {
            assertThat("seed " + seed, ofContent.accepted(), equalTo(ofSheets.accepted()));
        }
        if (ofSheets.accepted()) {
            assertThat(ofContent.hash(), equalTo(ofSheets.hash()));
            assertThat(
                    SnapshotBuilder.build(1, ofSheets.content()).servers().size(),
                    equalTo(ofSheets.content().rows(Sheet.SERVERS).size()));
        }
    }
}
