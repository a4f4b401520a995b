package puffinbarrow.day;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import puffinbarrow.Logic;
import puffinbarrow.audit.Audit;
import puffinbarrow.audit.Observation;
import puffinbarrow.config.CoordinatorConfig;
import puffinbarrow.config.Problem;
import puffinbarrow.control.Order;

/**
 * Runs days in which coordinators are killed, suspended, cut off or leave, on a fixed schedule. No slice may ever have
 * two coordinators in charge.
 */
class TakeoverTest {
    private static final String DRILL =
            """
            coordinators 3
            proxies 6
            backends 12 cores 3
            slices 36
            rate 60
            seed 5
            length 28s
            set pace 20000
            set messages 100 per 10s
            at 1s coordinator 0 killed for 2s
            at 6s coordinator 1 frozen for 4s
            at 7s backends 1 die for 3s
            at 13s cut coordinator 2 from store for 3s
            at 18s store away for 2s
            at 22s store loses 50% for 4s
            at 22s coordinator 0 leaves for 4s
            """;

    @Test
    void eachSliceKeepsOneCoordinatorWhenProcessesAreKilledSuspendedOrCutOff() throws Exception {
        List<Problem> problems = new ArrayList<>();
        Script script = Script.parse("drill", DRILL, problems);
        assertEquals(List.of(), problems);
        List<String> command = List.of(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-XX:TieredStopAtLevel=1",
                "-cp",
                System.getProperty("java.class.path"),
                "puffinbarrow.cli.Main");
        try (Day day = new Day(
                script,
                new PrintStream(new ByteArrayOutputStream()),
                new Day.Overrides(Logic::new, List.of()),
                command)) {
            DayReport report = day.run();
            assertTrue(report.verdict().kept(), report.text());
            assertTrue(report.passed(), report.text());
            assertTrue(report.chargesHandedOver() >= 36, "charges changed hands: " + report.chargesHandedOver());
        }
    }

    @Test
    void sliceWithASoleOwnerPausesBetweenTwoServers() throws Exception {
        List<Problem> problems = new ArrayList<>();
        Script script = Script.parse(
                "owners",
                """
                coordinators 2
                proxies 4
                backends 8 cores 4
                slices 16
                rate 60
                seed 4
                length 14s
                notice 100ms to 300ms
                set slices 16 sole-owner
                at 1s release 50% batch 25% drain 2s
                at 6s coordinator 1 killed for 2s
                """,
                problems);
        assertEquals(List.of(), problems);
        try (Day day = new Day(
                script, new PrintStream(new ByteArrayOutputStream()), new Day.Overrides(Logic::new, List.of()))) {
            DayReport report = day.run();
            assertTrue(report.verdict().kept(), report.text());
            double changes = report.coordinators().values().stream()
                    .mapToDouble(f -> f.getOrDefault("slices.owner_changes", 0.0))
                    .sum();
            assertTrue(changes > 0, "owners changed");
        }
    }

    @Test
    void auditReportsTwoCoordinatorsUnderOneTermAndATermThatGoesBack() {
        List<Problem> problems = new ArrayList<>();
        CoordinatorConfig config = CoordinatorConfig.parse(
                "t",
                "coordinator 0 of 2\nzones a\nzone a\nslices 3\nregistry "
                        + "127.0.0.1:1 push\nstore 127.0.0.1:1\ngroup g utility 1 budget 1s expiry 2s retriable\n",
                problems);
        assertEquals(List.of(), problems);
        List<Observation> valid = List.of(
                new Observation.TermApplied(1, 0, 0, 2, 4),
                new Observation.TermApplied(2, 1, 0, 2, 4),
                new Observation.TermApplied(3, 0, 1, 2, 5),
                new Observation.OrdersApplied(4, 0, 1, 3, List.<Order>of()));
        assertTrue(Audit.judge(config, valid, 0).kept());
        List<Observation> twoUnderOneTerm =
                List.of(new Observation.TermApplied(1, 0, 0, 2, 4), new Observation.TermApplied(2, 1, 1, 2, 4));
        assertTrue(Audit.judge(config, twoUnderOneTerm, 0).broke(Audit.Rule.VOICE));
        List<Observation> olderTerm =
                List.of(new Observation.TermApplied(1, 0, 1, 2, 5), new Observation.TermApplied(2, 0, 0, 2, 4));
        assertTrue(Audit.judge(config, olderTerm, 0).broke(Audit.Rule.VOICE));
    }
}
