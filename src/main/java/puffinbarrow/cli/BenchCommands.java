package puffinbarrow.cli;

import java.io.IOException;
import java.io.OutputStream;
import java.io.PrintStream;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import puffinbarrow.Logic;
import puffinbarrow.audit.Audit;
import puffinbarrow.config.Problem;
import puffinbarrow.day.Day;
import puffinbarrow.day.DayReport;
import puffinbarrow.day.Script;
import puffinbarrow.memory.CrashRecoveryCheck;

/** Benches and long-running checks that are too slow for the tests. */
@Command(
        name = "bench",
        mixinStandardHelpOptions = true,
        description = "Benches and long-running checks.",
        subcommands = {
            BenchCommands.MemoryKill.class,
            BenchCommands.MemoryDays.class,
            LoadAccuracyBench.class,
            LoadBenches.Rate.class,
            LoadBenches.Memory.class,
            LoadBenches.LongTrace.class,
            LoadBenches.Target.class,
            LeaseBench.class,
            EmulatorBench.class,
            BenchCommands.MemoryWriter.class
        })
final class BenchCommands implements Callable<Integer> {
    @Override
    public Integer call() {
        new CommandLine(this).usage(System.err);
        return Commands.USAGE;
    }

    /** Returns the command line that runs this program in a child process. */
    static List<String> self(String... arguments) {
        List<String> command = new ArrayList<>(List.of(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-XX:TieredStopAtLevel=1",
                "-XX:+UseSerialGC",
                "-cp",
                System.getProperty("java.class.path"),
                "puffinbarrow.cli.Main"));
        command.addAll(List.of(arguments));
        return command;
    }

    @Command(
            name = "memory-kill",
            mixinStandardHelpOptions = true,
            description = "Kills a writing process repeatedly; every start must find a complete state.")
    static final class MemoryKill implements Callable<Integer> {
        @Option(names = "--rounds", paramLabel = "N", description = "number of kills (${DEFAULT-VALUE})")
        private int rounds = 1000;

        @Option(names = "--seed", paramLabel = "N", description = "seed of the times of kills (${DEFAULT-VALUE})")
        private long seed = 1;

        @Override
        public Integer call() throws IOException, InterruptedException {
            System.out.println("seed " + seed);
            Path folder = CrashRecoveryCheck.folder();
            CrashRecoveryCheck.Outcome outcome =
                    CrashRecoveryCheck.run(self("bench", "memory-writer", folder.toString()), folder, rounds, seed);
            System.out.println(outcome.rounds() + " kills, " + outcome.commits() + " commits: " + outcome.whole()
                    + " starts found a whole state, " + outcome.ignored() + " ignored what was there, "
                    + outcome.wrong() + " wrong");
            outcome.evidence().stream().limit(10).forEach(System.out::println);
            return outcome.wrong() == 0 ? Commands.OK : Commands.RULE_BROKEN;
        }
    }

    @Command(
            name = "memory-days",
            mixinStandardHelpOptions = true,
            description = "Compares days with and without memory, with a restart during flapping and drains.")
    static final class MemoryDays implements Callable<Integer> {
        @Option(names = "--seeds", paramLabel = "N", description = "days of each kind (${DEFAULT-VALUE})")
        private int seeds = 10;

        @Option(names = "--at-once", paramLabel = "N", description = "days run in parallel (${DEFAULT-VALUE})")
        private int atOnce = 4;

        /** The fleet, and a restart of its only coordinator. */
        private static final String FLEET =
                """
                coordinators 1
                proxies 6
                backends 12 cores 4
                slices 48
                rate 110
                length 22s
                notice 300ms to 900ms
                takeover 60s
                at 10s coordinator 0 killed for 1s
                """;

        /**
         * Faults of each kind of day. {@code right}: the stored facts are still valid after the restart, as the same
         * backends flap and drain. {@code wrong}: half of the fleet is replaced during the restart.
         */
        private static final Map<String, String> KINDS = new TreeMap<>(Map.of(
                "right", "at 1s backends 3 flap 900ms every 3s for 18s\nat 8s backends 2 preempt for 6s\n",
                "wrong", "at 1s backends 3 flap 900ms every 3s for 8s\nat 9500ms backends 50% preempt for 1s\n"));

        /**
         * The result of a day.
         *
         * @param serviceAfterRestart service in the 10 s after the restart
         * @param attemptsAtUnstable attempts at flapping or drained backends in that time
         */
        private record Run(
                double service, double serviceAfterRestart, long attemptsAtUnstable, List<Audit.Finding> broken) {}

        @Override
        public Integer call() throws Exception {
            LogSetup.configure(false, "off");
            boolean allKept = true;
            ExecutorService runs = Executors.newFixedThreadPool(atOnce);
            for (var kind : KINDS.entrySet()) {
                List<Future<Run[]>> pairs = new ArrayList<>();
                for (int i = 0; i < seeds; i++) {
                    long seed = 100 + i;
                    pairs.add(runs.submit(() ->
                            new Run[] {runDay(kind.getValue(), seed, false), runDay(kind.getValue(), seed, true)}));
                }
                List<Double> gains = new ArrayList<>();
                double[] sums = new double[6];
                for (Future<Run[]> pair : pairs) {
                    Run[] both = pair.get();
                    gains.add(both[1].serviceAfterRestart() - both[0].serviceAfterRestart());
                    for (int k = 0; k < 2; k++) {
                        sums[3 * k] += both[k].service();
                        sums[3 * k + 1] += both[k].serviceAfterRestart();
                        sums[3 * k + 2] += both[k].attemptsAtUnstable();
                        allKept &= both[k].broken().isEmpty();
                        String variant = kind.getKey() + (k == 0 ? " without" : " with");
                        both[k].broken().forEach(f -> System.out.println("  " + variant + ": " + f));
                    }
                }
                double mean = gains.stream()
                        .mapToDouble(Double::doubleValue)
                        .average()
                        .orElse(0);
                double standardError = Math.sqrt(
                        gains.stream().mapToDouble(g -> (g - mean) * (g - mean)).sum()
                                / Math.max(1, seeds - 1)
                                / seeds);
                System.out.printf(
                        Locale.ROOT,
                        "memory %s, %d seeds: service %.4f without, %.4f with; in the 10 s after the "
                                + "restart %.4f, %.4f (difference %+.4f, standard error %.4f); sends to"
                                + " flapping or drained "
                                + "servers then %.1f, %.1f%n",
                        kind.getKey(),
                        seeds,
                        sums[0] / seeds,
                        sums[3] / seeds,
                        sums[1] / seeds,
                        sums[4] / seeds,
                        mean,
                        standardError,
                        sums[2] / seeds,
                        sums[5] / seeds);
            }
            runs.shutdown();
            System.out.println(allKept ? "all rules kept" : "A RULE BROKE");
            return allKept ? Commands.OK : Commands.RULE_BROKEN;
        }

        /** Runs one day. */
        private static Run runDay(String faults, long seed, boolean memory) throws Exception {
            List<Problem> problems = new ArrayList<>();
            Script script = Script.parse("memory.day", FLEET + faults + (memory ? "memory on\n" : ""), problems);
            if (!problems.isEmpty()) {
                throw new IllegalStateException(problems.toString());
            }
            script.seed = seed;
            try (Day day = new Day(
                    script,
                    new PrintStream(OutputStream.nullOutputStream()),
                    new Day.Overrides(Logic::new, List.of()))) {
                DayReport report = day.run();
                return new Run(
                        report.service(),
                        report.service(11_000_000_000L, 21_000_000_000L),
                        report.attemptsAtUnstable(),
                        report.verdict().findings());
            }
        }
    }

    @Command(name = "memory-writer", hidden = true, description = "The process that memory-kill kills.")
    static final class MemoryWriter implements Callable<Integer> {
        @Parameters(paramLabel = "FOLDER")
        private Path folder;

        @Override
        public Integer call() throws IOException {
            CrashRecoveryCheck.write(folder, System.out);
            return Commands.OK;
        }
    }
}
