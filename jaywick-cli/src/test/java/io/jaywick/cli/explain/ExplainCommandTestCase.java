package io.jaywick.cli.explain;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;

import io.jaywick.cli.CommandLineMain;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;

class ExplainCommandTestCase {

    @TempDir
    Path directory;

    private final ByteArrayOutputStream out = new ByteArrayOutputStream();
    private final ByteArrayOutputStream err = new ByteArrayOutputStream();

    private static String line(int second, String node, String message, String moreFields) {
        return String.format(
                "{\"time\":\"2026-01-30T00:00:%02d.000Z\",\"level\":\"INFO\",\"message\":\"%s\",\"node\":\"%s\"%s}%n",
                second, message, node, moreFields);
    }

    private int explain(String... arguments) {
        String[] all = new String[arguments.length + 1];
        all[0] = "explain";
        System.arraycopy(arguments, 0, all, 1, arguments.length);
        return CommandLineMain.run(all, new PrintStream(out), new PrintStream(err));
    }

    private String write(String name, String text) throws IOException {
        Path file = directory.resolve(name);
        Files.writeString(file, text);
        return file.toString();
    }

    /** Guards against output that mixes requests or nodes, or omits lines that are not in order of time. */
    @Test
    void printsLinesOfOneRequestFromManyFiles() throws IOException {
        String first = write(
                "a.log",
                "  12.5 collector " + line(40, "a", "call failed", ",\"requestId\":\"r-1\",\"reason\":\"overloaded\"")
                        + "{\"time\": damaged r-1\n"
                        + line(39, "a", "target is down", "")
                        + line(41, "a", "later update", "")
                        + line(2, "a", "old update", "")
                        + line(40, "a", "call failed", ",\"requestId\":\"r-12\""));
        String second = write(
                "b.log",
                line(38, "b", "call is sent again", ",\"requestId\":\"r-1\"") + line(37, "c", "unrelated update", ""));
        assertThat(explain("r-1", first, second), is(0));
        String output = out.toString();
        assertThat(output.indexOf("sent again") < output.indexOf("overloaded"), is(true));
        assertThat(output, containsString("1.0 s earlier: target is down"));
        assertThat(output, not(containsString("later update")));
        assertThat(output, not(containsString("old update")));
        assertThat(output, not(containsString("unrelated update")));
        assertThat(err.toString(), containsString("1 lines could not be read"));
    }

    /** Guards against omitting calls made for the request, which may be the cause of its failure. */
    @Test
    void printsCallsMadeForTheRequest() throws IOException {
        String file = write(
                "a.log",
                line(40, "a", "call failed", ",\"requestId\":\"r-1\",\"status\":500")
                        + line(39, "b", "call failed", ",\"requestId\":\"r-1.c-7\",\"reason\":\"overloaded\"")
                        + line(39, "b", "call failed", ",\"requestId\":\"r-11.c-8\",\"reason\":\"cold\""));
        assertThat(explain("r-1", file), is(0));
        assertThat(out.toString(), containsString("b r-1.c-7 call failed {reason=overloaded}"));
        assertThat(out.toString(), not(containsString("cold")));
    }

    @Test
    void printsJson() throws IOException {
        String file = write("a.log", line(40, "a", "call failed", ",\"requestId\":\"r-1\""));
        assertThat(explain("r-1", file, "--json"), is(0));
        assertThat(out.toString(), containsString("\"message\":\"call failed\""));
    }

    /** Guards against an exit status by which scripts cannot detect an unknown id or an unreadable file. */
    @Test
    void exitStatusDistinguishesUnknownRequestsFromInvalidUsage() throws IOException {
        String file = write("a.log", line(40, "a", "call failed", ",\"requestId\":\"r-1\""));
        assertThat(explain("r-2", file), is(1));
        assertThat(explain("r-1", file + ".none"), is(2));
        assertThat(explain("r-1"), is(2));
    }
}
