package puffinbarrow.emulator;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.IntStream;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import puffinbarrow.Logic;
import puffinbarrow.audit.Audit;
import puffinbarrow.config.Problem;
import puffinbarrow.control.Controller;
import puffinbarrow.control.Order;

/** Tests the event queues, the days and the experiments of the emulator. */
class EmulatorTest {
    private static final String SMALL_DAY =
            """
            coordinators 2
            proxies 6
            backends 12 cores 3
            slices 36
            rate 90
            length 20s
            seed 5
            set probes on
            """;
    private static final String FAULTS =
            """
            at 2s backends 25% die for 4s
            at 7s coordinator 1 killed for 3s
            at 8s backends 2 fail 80% for 3s
            at 12s release 30% batch 10% drain 2s
            at 13s store away for 2s
            at 14s cut coordinator 0 from proxies for 2s
            """;

    private static EmulatedDay parseDay(String text) {
        List<Problem> problems = new ArrayList<>();
        EmulatedDay emulatedDay = EmulatedDay.parse("test", text, problems);
        assertEquals(List.of(), problems);
        return emulatedDay;
    }

    private static Outcome run(String text, String policy) {
        return new Fleet(parseDay(text), Policy.byName(policy), new QuaternaryHeap(), 50_000_000).run();
    }

    private static Outcome run(String text, Controller.Factory controllerFactory, long maxEvents) {
        return new Fleet(
                        parseDay(text),
                        new Policy("test", trueState -> controllerFactory),
                        new QuaternaryHeap(),
                        maxEvents)
                .run();
    }

    /** Returns a text of everything that a seed determines. */
    private static String fingerprint(Outcome outcome) {
        return outcome.text() + outcome.events + " " + outcome.decisionTurns + " " + outcome.decisionEvents + " "
                + outcome.maxOpenFlows;
    }

    // ---- Event queues and simulation.

    @Test
    void queuesReturnEventsByTimeThenByInsertion() {
        for (EventQueue queue : List.of(new QuaternaryHeap(), new CalendarQueue())) {
            UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create(3);
            List<long[]> processed = new ArrayList<>();
            long now = 1_000_000;
            long added = 0;
            for (int i = 0; i < 40_000; i++) {
                // Few distinct times, so that many are equal; the queue grows, then shrinks; now and then a time is
                // far ahead.
                if (queue.size() == 0 || random.nextInt(20_000) > i / 2) {
                    long at = now + random.nextInt(50) * 1000L + (random.nextInt(100) == 0 ? 5_000_000_000L : 0);
                    long number = added++;
                    queue.add(at, () -> processed.add(new long[] {at, number}));
                } else {
                    now = queue.nextTimeNs();
                    queue.removeNext().run();
                    assertEquals(now, processed.get(processed.size() - 1)[0]);
                }
            }
            while (queue.size() > 0) {
                queue.removeNext().run();
            }
            assertEquals(added, processed.size());
            for (int i = 1; i < processed.size(); i++) {
                long[] before = processed.get(i - 1);
                long[] after = processed.get(i);
                assertTrue(
                        before[0] < after[0] || before[0] == after[0] && before[1] < after[1],
                        queue.getClass() + " at " + i);
            }
        }
    }

    @Test
    void randomGeneratorsOfPartsAreIndependent() {
        Simulation first = new Simulation(new QuaternaryHeap(), 9, 10);
        Simulation second = new Simulation(new QuaternaryHeap(), 9, 10);
        second.random("server", 7).nextLong();
        assertEquals(
                first.random("proxy", 1).nextLong(), second.random("proxy", 1).nextLong());
        assertNotEquals(
                first.random("proxy", 1).nextLong(), first.random("proxy", 2).nextLong());
    }

    @Test
    void sojournTimesMatchQueueingTheory() {
        for (QueueingChecks.Check check : QueueingChecks.all(1, 900)) {
            // Sojourn times at load 0.8 are strongly correlated: the mean of some ten thousand is off by several
            // percent.
            assertTrue(check.relativeError() < 0.07, check.toString());
        }
    }

    // ---- Days.

    @Test
    void dayIsReproducibleFromItsSeed() {
        String first = fingerprint(run(SMALL_DAY + FAULTS, "ours"));
        assertEquals(first, fingerprint(run(SMALL_DAY + FAULTS, "ours")));
        assertNotEquals(first, fingerprint(run(SMALL_DAY + FAULTS + "seed 6\n", "ours")));
        assertEquals(
                first,
                fingerprint(
                        new Fleet(parseDay(SMALL_DAY + FAULTS), Policy.byName("ours"), new CalendarQueue(), 50_000_000)
                                .run()));
    }

    @Test
    void everyFlowEndsOnceUnderEveryPolicyAndModel() {
        for (Policy policy : Policy.ALL) {
            Outcome outcome = run(SMALL_DAY + FAULTS, policy.name());
            assertTrue(outcome.complete() && outcome.intended > 1500, policy.name() + outcome.text());
            assertEquals(
                    outcome.inBudget + outcome.late,
                    outcome.latencyUs[0].getTotalCount()
                            + outcome.latencyUs[1].getTotalCount()
                            + outcome.latencyUs[2].getTotalCount());
        }
        for (String model : List.of(
                "pick two-choices",
                "pick rotate",
                "work processor",
                "overdue goes-on",
                "overdue stops",
                "loss-when-full 40%",
                "handshake 5ms",
                "connections 2 kept 1s",
                "avoid 0",
                "network 20ms")) {
            Outcome outcome = run(SMALL_DAY + FAULTS + "model " + model + "\n", "ours");
            assertTrue(outcome.complete() && outcome.service > 0.5, model + outcome.text());
        }
        Outcome sharedCores = run(
                SMALL_DAY + FAULTS
                        + "model work processor\nmodel overdue stops\nat 3s backends 3 pause 1s every 2s for 8s\n"
                        + "at 4s backends cells 1 vanish for 5s\n",
                "ours");
        assertTrue(sharedCores.complete(), sharedCores.text());
    }

    @Test
    void productKeepsTheRulesAndAuditDetectsAPolicyThatDoesNot() {
        Outcome ours = run(SMALL_DAY + FAULTS, "ours");
        assertTrue(ours.verdict.kept(), ours.text());
        // Without masks and lines, proxies keep sending to draining servers for as long as they are there.
        Outcome ignoringDrains = run(
                SMALL_DAY + "at 4s backends 3 preempt for 8s\nset grace 2s\n",
                (settings, seed) -> {
                    Logic logic = new Logic(settings, seed);
                    return (now, events) -> logic.handle(now, events).stream()
                            .filter(order -> !(order instanceof Order.Mask) && !(order instanceof Order.SetLine))
                            .toList();
                },
                50_000_000);
        assertTrue(ignoringDrains.verdict.broke(Audit.Rule.DRAIN), ignoringDrains.text());
    }

    @Test
    void oracleServesMoreThanRandom() {
        // Half of the servers are four times slower than listed: only a policy that sees this can place well.
        String day = SMALL_DAY + "rate 120\nat 2s backends 50% slow x 4 for 15s\n";
        assertTrue(run(day, "oracle").service > run(day, "random").service + 0.02);
    }

    @Test
    void frozenCoordinatorIsReplacedAndItsOldOrdersHaveNoEffect() {
        Outcome outcome = run(
                SMALL_DAY + "at 3s coordinator 0 frozen for 8s\nat 5s backends 3 die for 4s\nset messages 40 per 10s\n",
                "ours");
        assertTrue(outcome.verdict.kept() && outcome.ownerChanges >= 18, outcome.text());
    }

    @Test
    void rememberedFactsInfluenceDecisionsAfterARestart() {
        String day = SMALL_DAY + "at 2s backends 2 flap 500ms every 2s for 12s\nat 9s coordinator 0 killed for 1s\n";
        assertNotEquals(fingerprint(run(day, "ours")), fingerprint(run(day + "memory on\n", "ours")));
    }

    // ---- Failing policies and invalid input.

    @Test
    void policyThatThrowsFloodsOrNeverEndsFailsTheRun() {
        int[] calls = new int[1];
        Outcome thrown = run(
                SMALL_DAY,
                (settings, seed) -> (now, events) -> {
                    if (calls[0]++ > 50) {
                        throw new ArithmeticException("on purpose");
                    }
                    return List.of();
                },
                50_000_000);
        assertTrue(thrown.failed.contains("on purpose"), thrown.failed);
        Outcome flooding = run(
                SMALL_DAY,
                (settings, seed) -> (now, events) -> {
                    List<Order> orders = new ArrayList<>();
                    IntStream.range(0, 2000).forEach(i -> orders.add(new Order.Mask("nobody" + i, false)));
                    orders.add(new Order.WakeAt(now + 100_000_000, 1));
                    return orders;
                },
                50_000_000);
        assertTrue(flooding.failed.contains("floods"), flooding.failed);
        Outcome endless = run(SMALL_DAY, (settings, seed) -> new Logic(settings, seed), 10_000);
        assertTrue(endless.failed.contains("events"), endless.failed);
    }

    @Test
    void invalidSettingsAreReportedWithTheirLine() {
        List<Problem> problems = new ArrayList<>();
        EmulatedDay.parse(
                "d",
                "proxies 3\nmodel network fast\nmodel pick best\nat 4s coordinator 7 killed for 1s\nmodel sharing x\n",
                problems);
        assertEquals(4, problems.size(), problems.toString());
        assertTrue(
                problems.get(0)
                        .toString()
                        .startsWith("d:2: model: found 'fast', expected the network delay in one direction, a time"),
                problems.toString());
        problems.clear();
        Experiment.parse("e", "seeds 5 to 2\npolicy best\nlevel a x \"proxies 0\"\nfoo\n", n -> null, problems);
        assertEquals(3, problems.size(), problems.toString());
        problems.clear();
        Experiment.parse(
                "e",
                "line length 5s\nlevel size big \"proxies 99999\"\ndraw at {2..8}s backends 1 die for 1s\n",
                n -> null,
                problems);
        assertEquals(2, problems.size(), problems.toString());
    }

    // ---- Experiments.

    private static final String EXPERIMENT =
            """
            line coordinators 2
            line proxies 4
            line backends 8 cores 3
            line slices 16
            line length 8s
            draw rate {30..50}
            maybe 60% die at {1..3}s backends {10..30}% die for {1.0..3.0}s
            level size one "cold 30% for 3s"
            level size two "backends 12 cores 3"
            policy ours random
            seeds 1 to 3
            """;

    private static Experiment experiment(String text) {
        List<Problem> problems = new ArrayList<>();
        Experiment experiment = Experiment.parse("test", text, n -> null, problems);
        assertEquals(List.of(), problems);
        return experiment;
    }

    @Test
    void interruptedExperimentContinuesToTheSameResultsOnAnyNumberOfThreads(@TempDir Path folder) throws Exception {
        Path complete = folder.resolve("whole");
        assertTrue(new ExperimentRunner(experiment(EXPERIMENT), complete, 1, t -> {}).run());
        String results = Files.readString(complete.resolve("results.csv"));
        assertEquals(13, results.lines().count(), results);
        Path interrupted = folder.resolve("cut");
        Files.createDirectories(interrupted);
        // As a killed process leaves the file: some rows, the last one incomplete.
        List<String> partRows = new ArrayList<>();
        ExperimentRunner firstRun = new ExperimentRunner(experiment(EXPERIMENT), interrupted, 8, t -> {});
        assertTrue(firstRun.run());
        assertEquals(results, Files.readString(interrupted.resolve("results.csv")));
        List<String> lines = results.lines().toList();
        for (int i = 1; i < 6; i++) {
            partRows.add(lines.get(i) + ",1.0,1.0,0.1");
        }
        Files.delete(interrupted.resolve("results.csv"));
        Files.writeString(
                interrupted.resolve("runs.part.csv"),
                String.join("\n", partRows) + "\n" + lines.get(7).substring(0, 30));
        List<String> progressLines = new ArrayList<>();
        assertTrue(new ExperimentRunner(experiment(EXPERIMENT), interrupted, 3, progressLines::add).run());
        assertTrue(progressLines.get(0).startsWith("5 of 12 runs were completed"), progressLines.toString());
        assertEquals(8, progressLines.size(), progressLines.toString());
        assertEquals(results, Files.readString(interrupted.resolve("results.csv")));
        assertFalse(
                new ExperimentRunner(experiment(EXPERIMENT + "draw slices {16..20}\n"), interrupted, 3, t -> {}).run());
        Report report = new Report(ResultTable.read(interrupted.resolve("results.csv")));
        assertEquals(4, report.table().size());
        report.html(folder.resolve("r.html"), "test");
        assertTrue(Files.size(folder.resolve("r.html")) > 10_000);
    }

    @Test
    void searchFindsTheHarmfulLineAndDropsTheRest() throws Exception {
        Experiment experiment = experiment(
                """
                line coordinators 1
                line proxies 4
                line backends 8 cores 3
                line slices 16
                line length 12s
                line rate 60
                maybe 30% hurts at {2..4}s backends {60..80}% slow x 20 for {4..7}s
                maybe 70% not at {2..9}s traffic x 1.0{1..9} for {1..3}s
                maybe 70% nor at {2..9}s hot 1 keys {1..2}% for {1..3}s
                """);
        Search.Result result =
                new Search(experiment, Policy.byName("ours"), Policy.byName("oracle"), 1, 4, t -> {}).run(24);
        assertTrue(result.loss() > 0.05 || !result.broken().isEmpty(), result.describe());
        assertTrue(result.text().contains("slow x 20") && !result.text().contains("hot 1 keys"), result.text());
        assertEquals(result.text(), DayToken.text(DayToken.of(result.text())));
        assertNull(DayToken.text("no token"));
    }
}
