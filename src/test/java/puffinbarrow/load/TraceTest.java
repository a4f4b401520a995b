package puffinbarrow.load;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import puffinbarrow.config.Problem;

/** Tests recorded traces in all formats: order, scaling, malformed lines, and the load generator's own recordings. */
class TraceTest {
    private static final String GROUPS = "group basket share 1 utility 1 budget 1s expiry 5s path /b match /basket\n"
            + "group rest share 1 utility 1 budget 1s expiry 5s path /\n";

    @TempDir
    Path folder;

    private Scenario scenario(String text) {
        List<Problem> problems = new ArrayList<>();
        Scenario scenario = Scenario.parse("t", GROUPS + text, problems);
        assertEquals(List.of(), problems);
        return scenario;
    }

    private Path file(String name, String text) throws IOException {
        return Files.writeString(folder.resolve(name), text);
    }

    private static List<Flow> all(FlowSource source) throws IOException {
        List<Flow> flows = new ArrayList<>();
        for (Flow flow = source.next(); flow != null; flow = source.next()) {
            flows.add(flow);
        }
        source.close();
        return flows;
    }

    private List<Flow> flows(Path file, String more) throws IOException {
        return all(new TraceFlows(scenario("trace " + file + "\n" + more)));
    }

    private static List<Long> starts(List<Flow> flows) {
        return flows.stream().map(f -> f.startNs() / 1_000_000).toList();
    }

    private static String clf(String time, String path) {
        return "10.0.0.1 - - [06/Apr/2026:08:00:" + time + " +0200] \"GET " + path
                + " HTTP/1.1\" 200 12 \"-\" \"a \\\"b\\\"\"\n";
    }

    @Test
    void entriesAreSentInOrderOfTheirStarts() throws IOException {
        Path log =
                file("access.log", clf("00", "/basket/1") + clf("02", "/x") + clf("00", "/basket/2") + clf("01", "/y"));
        List<Flow> flows = flows(log, "");
        // The two entries of one second are spread evenly over it.
        assertEquals(
                List.of(250L, 750L, 1500L, 2500L).stream().map(ms -> ms - 250).toList(), starts(flows));
        assertEquals(
                List.of("/basket/1", "/basket/2", "/y", "/x"),
                flows.stream().map(f -> f.request().path()).toList());
        assertEquals(List.of(0, 0, 1, 1), flows.stream().map(Flow::group).toList());
    }

    @Test
    void malformedLinesAreShownAndStopReadingOverTheirShare() throws IOException {
        StringBuilder text = new StringBuilder();
        for (int i = 0; i < 300; i++) {
            text.append(i % 100 == 7 ? "GET nonsense\n" : clf(String.format("%02d", i / 10), "/p"));
        }
        text.append("x".repeat(100_000)).append('\n');
        Path log = file("access.log", text.toString());
        TraceFlows flows = new TraceFlows(scenario("trace " + log + " clf\ntrace-malformed 2%\n"));
        assertEquals(297, all(flows).size());
        assertEquals(4, flows.malformed());
        assertEquals(301, flows.lines());
        assertTrue(
                flows.firstProblems()
                        .get(0)
                        .toString()
                        .startsWith(log + ":8: not a line of the Common Log Format, expected"),
                flows.firstProblems().toString());
        assertTrue(flows.firstProblems().get(3).toString().contains("over 65536 bytes"));
        Trace.TooManyMalformedException thrown =
                assertThrows(Trace.TooManyMalformedException.class, () -> flows(log, ""));
        assertTrue(thrown.getMessage().contains("expected 1.00% at most"), thrown.getMessage());
    }

    @Test
    void columnNamesAndUnitsAreConfigurable() throws IOException {
        Path csv = file("t.csv", "started,verb,url,who\n1500,GET,/basket/7,42\n1000,POST,\"/a,b\",shop\n2000,GET\n");
        List<Flow> flows = flows(
                csv,
                "trace-malformed 50%\ncolumn time started ms\ncolumn method verb\ncolumn path url\n"
                        + "column key who\n");
        assertEquals(List.of(0L, 500L), starts(flows));
        assertEquals(new Flow.Request("POST", "/a,b", 0, "shop"), flows.get(0).request());
        assertEquals(42, flows.get(1).key());
        assertThrows(IOException.class, () -> flows(csv, ""), "no column of that name");
    }

    @Test
    void jsonLinesAndHarGiveTheSameRequests() throws IOException {
        Path json = file(
                "t.json",
                "{\"time\":\"2026-04-06T08:00:00.250Z\",\"method\":\"GET\",\"path\":\"/basket\",\"tags\":[1]}\n"
                        + "{\"time\":\"2026-04-06T10:00:01+02:00\",\"method\":\"PUT\",\"path\":\"/y\",\"body\":10}\n");
        String entry =
                "{\"startedDateTime\":\"%s\",\"time\":3,\"request\":{\"method\":\"%s\",\"url\":\"http://shop%s\",\"headers\":"
                        + "[{\"name\":\"a\"}],\"bodySize\":%d},\"response\":{\"status\":200}}";
        Path har = file(
                "t.har",
                "{ \"log\": {\"version\":\"1.2\",\"pages\":[{\"id\":1}],\"entries\":["
                        + String.format(entry, "2026-04-06T08:00:01Z", "PUT", "/y", 10) + ","
                        + String.format(entry, "2026-04-06T08:00:00.250Z", "GET", "/basket", 0)
                        + ",{\"startedDateTime\":\"2026-04-06T08:00:00Z\"}]}}");
        List<Flow> lines = flows(json, "");
        assertEquals(List.of(0L, 750L), starts(lines));
        assertEquals(10, lines.get(1).request().bodyBytes());
        assertEquals(lines, flows(har, "trace-malformed 50%\n"));
        Path truncated = file("cut.har", Files.readString(har).substring(0, 260));
        assertThrows(Trace.TooManyMalformedException.class, () -> flows(truncated, ""));
    }

    @Test
    void traceIsScaledCutLoopedAndThinned() throws IOException {
        StringBuilder text = new StringBuilder("time,path\n");
        for (int i = 0; i < 1000; i++) {
            text.append(i / 100.0).append(",/p\n");
        }
        Path csv = file("t.csv", text.toString());
        assertEquals(4995, flows(csv, "trace-speed x 2\n").get(999).startNs() / 1_000_000);
        List<Flow> cut = flows(csv, "trace-cut 2s to 3s\n");
        assertEquals(100, cut.size());
        assertEquals(0, cut.get(0).startNs());
        List<Flow> looped = flows(csv, "trace-loop 3\n");
        assertEquals(3000, looped.size());
        assertEquals(10_000, looped.get(1000).startNs() / 1_000_000, 20);
        int thinned = flows(csv, "trace-rate x 0.3\n").size();
        assertTrue(thinned > 240 && thinned < 360, "" + thinned);
        List<Flow> doubled = flows(csv, "trace-rate x 2\n");
        assertEquals(2000, doubled.size(), 1);
        assertEquals(List.of(0L, 5L, 10L, 15L), starts(doubled).subList(0, 4));
        assertEquals(501, flows(csv, "length 5s\n").size());
    }

    @Test
    void recordedRunIsSentAgainExactly() throws IOException {
        String settings =
                "target 127.0.0.1:1\ntarget 127.0.0.1:2 weight 3\nrate 400\nlength 3s\nslices 8 uneven 1 to 3 keys 5\n"
                        + "hot 1 keys 30% at 1s for 1s\n";
        Scenario scenario = scenario(settings);
        Path recording = folder.resolve("sent.json.gz");
        List<Flow> first = all(new FlowRecorder(new Arrivals(scenario), scenario, recording));
        List<Flow> again = all(new TraceFlows(scenario(settings + "trace " + recording + "\n")));
        assertEquals(first.size(), again.size());
        for (int i = 0; i < first.size(); i++) {
            Flow a = first.get(i);
            Flow b = again.get(i);
            assertEquals(
                    new Flow(a.number(), a.startNs(), a.group(), a.target(), a.key(), a.workNs(), null),
                    new Flow(b.number(), b.startNs(), b.group(), b.target(), b.key(), b.workNs(), null));
        }
        Path secondRecording = folder.resolve("again.json");
        Scenario replay = scenario(settings + "trace " + recording + "\n");
        all(new FlowRecorder(new TraceFlows(replay), replay, secondRecording));
        assertEquals(again, all(new TraceFlows(scenario(settings + "trace " + secondRecording + "\n"))));
    }
}
