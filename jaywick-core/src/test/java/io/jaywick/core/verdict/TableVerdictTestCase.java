package io.jaywick.core.verdict;

import io.jaywick.core.snapshot.Snapshot;
import io.jaywick.core.snapshot.SnapshotBuilder;
import io.jaywick.core.table.PackedTable;
import io.jaywick.core.table.TableContent;
import io.jaywick.core.table.TableRows;
import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.equalTo;

class TableVerdictTestCase {

    /** Guards against a valid table that is rejected in one of its three forms: sheets, packed value or content. */
    @Test
    void acceptsSampleTableFromSheetsValueAndContent() {
        TableVerdict verdict = TableVerdict.ofSheets(SampleTable.sheets());
        assertThat(verdict.problems(), empty());
        assertThat(TableVerdict.ofPacked(PackedTable.pack(SampleTable.sheets())).hash(), equalTo(verdict.hash()));
        TableVerdict ofContent = TableVerdict.ofContent(verdict.content());
        assertThat(ofContent.problems(), empty());
        assertThat(ofContent.hash(), equalTo(verdict.hash()));
    }

    /** Guards against canonical bytes that a peer cannot parse into the same content. */
    @Test
    void readsCanonicalBytesBack() {
        TableContent content = TableVerdict.ofSheets(SampleTable.sheets()).content();
        assertThat(TableRows.parseCanonicalBytes(content.canonicalBytes()).hash(), equalTo(content.hash()));
    }

    /** Guards against a snapshot whose routes refer to other services than the table. */
    @Test
    void buildsSnapshotWithResolvedReferences() {
        TableContent content = TableVerdict.ofSheets(SampleTable.sheets()).content();
        Snapshot snapshot = SnapshotBuilder.build(7, content);
        assertThat(snapshot.routes().get(0).name(), equalTo("reserve"));
        assertThat(
                snapshot.routes().get(1).services().stream()
                        .map(weighted -> weighted.service().name())
                        .toList(),
                contains("catalog", "reservations"));
        assertThat(snapshot.services().get("catalog").servers().size(), equalTo(2));
        assertThat(snapshot.dataCentres().get("gulf-2").inService(), equalTo(false));
    }
}
