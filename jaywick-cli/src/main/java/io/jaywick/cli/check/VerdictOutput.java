package io.jaywick.cli.check;

import java.io.PrintStream;
import java.util.LinkedHashMap;
import java.util.Map;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.jaywick.core.table.Sheet;
import io.jaywick.core.table.TableProblem;
import io.jaywick.core.verdict.TableVerdict;

/** Prints a verdict as text or JSON. */
final class VerdictOutput {

    private static final ObjectMapper JSON = new ObjectMapper();

    private VerdictOutput() {}

    static void printText(TableVerdict verdict, int packedBytes, PrintStream out) {
        if (verdict.accepted()) {
            out.println("accepted " + verdict.hash().prefix() + " (" + packedBytes + " bytes packed)");
            return;
        }
        for (TableProblem problem : verdict.problems()) {
            out.println(problem.toLine());
        }
        int count = verdict.problems().size();
        out.println("rejected: " + count + (count == 1 ? " problem" : " problems"));
    }

    static void printJson(TableVerdict verdict, int packedBytes, PrintStream out) throws JsonProcessingException {
        Map<String, Object> result = new LinkedHashMap<>();
        result.put("accepted", verdict.accepted());
        result.put("hash", verdict.hash().hex());
        result.put("packedBytes", packedBytes);
        if (verdict.accepted()) {
            Map<String, Integer> rows = new LinkedHashMap<>();
            for (Sheet sheet : Sheet.values()) {
                rows.put(sheet.sheetName(), verdict.content().rows(sheet).size());
            }
            result.put("rows", rows);
        }
        result.put("problems", verdict.problems());
        out.println(JSON.writeValueAsString(result));
    }
}
