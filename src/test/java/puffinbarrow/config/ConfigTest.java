package puffinbarrow.config;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Parsing of settings files: accepted values, and the message and line of each mistake. */
class ConfigTest {
    private static final String VALID =
            """
            coordinator 1 of 2
            zones "zilina 1" trnava-1   # two of them
            zone trnava-1
            registry 127.0.0.1:7001 ask
            store 127.0.0.1:7002
            slices 55 sole-owner
            group basket-price utility 1 budget 1.5s \\
                expiry 5s retriable
            group dispatch-order utility 3 budget 1200ms expiry 3s deduped zone 6s
            queue 3000
            pace 2800
            """;
    private final List<Problem> problems = new ArrayList<>();

    private List<String> problemsOf(String text) {
        problems.clear();
        CoordinatorConfig.parse("c.conf", text, problems);
        return problems.stream().map(Problem::toString).toList();
    }

    @Test
    void decisionsReadTheSettingsOfTheFile() {
        CoordinatorConfig config = CoordinatorConfig.parse("c.conf", VALID, problems);
        assertEquals(List.of(), problems);
        assertEquals(55, config.settings().slices());
        assertTrue(config.settings().soleOwner() && config.settings().listOnRequest());
        assertEquals(1_200_000_000L, config.settings().groups().get(1).budgetNs());
        assertEquals("zone", config.groups.get(1).dedupScope());
        assertEquals(List.of("zilina 1", "trnava-1"), config.zones);
    }

    @Test
    void allMistakesAreReportedAtOnceEachWithItsLine() {
        List<String> found = problemsOf(VALID + "grase 3s\nwarm soon\nround 1s extra\nlevels shares\nqueue 5000\n"
                + "zone \"trnava\npeer 1 localhost\ncold-share 120%\n");
        assertEquals(
                List.of(
                        "c.conf:12: unknown keyword 'grase', expected one of the settings (did you mean grace TIME?)",
                        "c.conf:13: warm: found 'soon', expected when a backend is warm at the latest, a time such as 20ms,"
                                + " 1.5s or 2m",
                        "c.conf:14: round: found 'extra', expected the end of the line",
                        "c.conf:15: levels: found 'shares', expected one of share, rate, off (did you mean share?)",
                        "c.conf:16: queue: given twice, expected once (first at c.conf:10)",
                        "c.conf:17: a quote is not closed, expected \" before the end of the line",
                        "c.conf:17: zone: given twice, expected once (first at c.conf:3)",
                        "c.conf:18: peer: found 'localhost', expected the peer as ADDRESS:PORT, such as 127.0.0.1:7400",
                        "c.conf:18: peer: found our own number 1, expected that of another coordinator",
                        "c.conf:19: cold-share: found '120%', expected the part of its work a cold backend can do, a share"
                                + " such as 0.25 or 25%"),
                found);
    }

    @Test
    void contradictingLinesAreReported() {
        List<String> found = problemsOf(VALID.replace("queue 3000", "queue 30000")
                .replace("expiry 5s", "expiry 1s")
                .replace("1 of 2", "2 of 2")
                .replace("store 127.0.0.1:7002\n", "")
                .replace("zone trnava-1", "zone x"));
        assertEquals(5, found.size(), found.toString());
        assertTrue(found.stream()
                .anyMatch(t -> t.contains("a budget over its expiry, expected a budget of at most 1.0s")));
        assertTrue(found.stream().anyMatch(t -> t.contains("a full queue of 30000 lines takes 10.7s")));
        assertTrue(found.stream().anyMatch(t -> t.contains("slices without a store")));
    }

    @Test
    void missingRequiredLinesAreReported() {
        assertEquals(3, problemsOf("").size());
    }

    @Test
    void includesAreInsertedAndCyclesAreReported(@TempDir Path folder) throws IOException {
        Files.writeString(folder.resolve("site.conf"), VALID);
        Files.writeString(folder.resolve("a.conf"), "include site.conf\nseed 9\ninclude a.conf\ninclude none.conf\n");
        CoordinatorConfig config = CoordinatorConfig.read(folder.resolve("a.conf"), problems);
        assertEquals(9, config.seed);
        assertEquals(55, config.slices);
        assertEquals(2, problems.size(), problems.toString());
        assertTrue(problems.get(0).toString().contains("a.conf:3: include cycle: "));
        assertTrue(problems.get(1).toString().contains("a.conf:4: cannot read"));
    }

    @Test
    void onlyReloadableSettingsAreAdopted() {
        CoordinatorConfig config = CoordinatorConfig.parse("c.conf", VALID + "log text info\n", problems);
        CoordinatorConfig reloaded = CoordinatorConfig.parse(
                "c.conf", VALID.replace("pace 2800", "pace 9000") + "log json debug\n", problems);
        assertEquals(
                List.of("c.conf:11: pace: cannot change while running, expected a restart"),
                config.refusedChanges(reloaded).stream().map(Problem::toString).toList());
        config.applyReloadable(reloaded);
        assertTrue(config.logJson);
        assertEquals(2800, config.linesPerS);
    }
}
