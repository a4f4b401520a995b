package puffinbarrow.cli;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.Callable;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import puffinbarrow.config.Problem;
import puffinbarrow.emulator.DayToken;
import puffinbarrow.emulator.EmulatedDay;
import puffinbarrow.emulator.Experiment;
import puffinbarrow.emulator.ExperimentRunner;
import puffinbarrow.emulator.Fleet;
import puffinbarrow.emulator.Outcome;
import puffinbarrow.emulator.Policy;
import puffinbarrow.emulator.QuaternaryHeap;
import puffinbarrow.emulator.Report;
import puffinbarrow.emulator.ResultTable;
import puffinbarrow.emulator.Search;

/** Commands that run days in the emulator, in simulated time. */
@Command(
        name = "emulate",
        mixinStandardHelpOptions = true,
        description = "Runs days in simulated time, with the same decision logic at sizes that sockets do not reach.",
        subcommands = {
            EmulateCommands.RunDay.class,
            EmulateCommands.RunExperiment.class,
            EmulateCommands.RunSearch.class,
            EmulateCommands.WriteReport.class
        })
final class EmulateCommands implements Callable<Integer> {
    @Override
    public Integer call() {
        new CommandLine(this).usage(System.err);
        return Commands.USAGE;
    }

    /** Returns a script that comes with the program, or null if there is none of this name. */
    private static String builtIn(String name) {
        try {
            return Commands.builtIn(name);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Returns the policy of this name, or adds a problem and returns null. */
    private static Policy policy(String name, List<Problem> problems) {
        Policy policy = Policy.byName(name);
        if (policy == null) {
            problems.add(new Problem(
                    "--policy",
                    0,
                    "'" + name + "', expected one of "
                            + String.join(
                                    ", ", Policy.ALL.stream().map(Policy::name).toList())));
        }
        return policy;
    }

    /** Prints all problems to standard error and returns whether there are none. */
    private static boolean valid(List<Problem> problems) {
        problems.forEach(System.err::println);
        return problems.isEmpty();
    }

    /** Returns half the processors, as the garbage collector needs a processor for each run, too. */
    private static int defaultThreads() {
        return Math.max(1, Runtime.getRuntime().availableProcessors() / 2);
    }

    /** Prints progress to standard error: on a terminal over the previous line, otherwise on a line of its own. */
    private static void progress(String text) {
        if (System.console() != null) {
            System.err.print("\r" + text + "\u001b[K");
        } else {
            System.err.println(text);
        }
    }

    @Command(name = "run", mixinStandardHelpOptions = true, description = "Runs one day and checks the rules.")
    static final class RunDay implements Callable<Integer> {
        @Parameters(
                arity = "0..1",
                paramLabel = "FILE",
                defaultValue = "default",
                description = "a day's script with model lines, or default or monday for a built-in one"
                        + " (default: ${DEFAULT-VALUE})")
        private Path file;

        @Option(
                names = "--token",
                paramLabel = "TOKEN",
                description = "a day as printed by a search, in place of a file")
        private String token;

        @Option(names = "--seed", paramLabel = "N", description = "replaces the script's seed")
        private Long seed;

        @Option(
                names = "--policy",
                paramLabel = "NAME",
                description = "decision logic of coordinators: ours, random,"
                        + " least-loaded, two-choices, bounded-hash, oracle (${DEFAULT-VALUE})",
                defaultValue = "ours")
        private String policy;

        @Option(
                names = "--most-events",
                paramLabel = "N",
                description = "fails the run beyond this number of events (${DEFAULT-VALUE})")
        private long maxEvents = 2_000_000_000L;

        @Override
        public Integer call() throws IOException {
            List<Problem> problems = new ArrayList<>();
            EmulatedDay emulatedDay = null;
            if (token != null) {
                String text = DayToken.text(token);
                if (text == null) {
                    problems.add(new Problem("--token", 0, "invalid token, expected one as printed by a search"));
                } else {
                    emulatedDay = EmulatedDay.parse("token", text, problems);
                }
            } else {
                String builtIn = Files.exists(file) ? null : builtIn(file.toString());
                emulatedDay = builtIn == null
                        ? EmulatedDay.read(file, problems)
                        : EmulatedDay.parse(file + ".day", builtIn, problems);
            }
            Policy decisions = policy(policy, problems);
            if (!valid(problems)) {
                return Commands.USAGE;
            }
            LogSetup.configure(false, "off");
            emulatedDay.script().seed = seed == null ? emulatedDay.script().seed : seed;
            long began = System.nanoTime();
            Outcome outcome = new Fleet(emulatedDay, decisions, new QuaternaryHeap(), maxEvents).run();
            double took = (System.nanoTime() - began) / 1e9;
            System.out.print(outcome.text());
            System.out.printf(
                    Locale.ROOT,
                    "%n%d events in %.1f s of this machine: %.2f million events/s, %.0f flows/s; up after %.1f s"
                            + " of its own time; %d flows open at most; decisions %.1f%% of the time,"
                            + " %.1f us an event they were told%n",
                    outcome.events,
                    took,
                    outcome.events / took / 1e6,
                    outcome.intended / took,
                    outcome.trafficStartNs / 1e9,
                    outcome.maxOpenFlows,
                    100 * outcome.decisionNs / 1e9 / took,
                    outcome.decisionNs / 1e3 / Math.max(1, outcome.decisionEvents));
            return outcome.failed != null || !outcome.complete()
                    ? Commands.FAILED
                    : outcome.verdict.kept() ? Commands.OK : Commands.RULE_BROKEN;
        }
    }

    @Command(
            name = "experiment",
            mixinStandardHelpOptions = true,
            description =
                    "Executes an experiment's runs in parallel; resumes where an earlier attempt was interrupted.")
    static final class RunExperiment implements Callable<Integer> {
        @Parameters(paramLabel = "FILE", description = "the experiment file")
        private Path file;

        @Option(
                names = {"-o", "--out"},
                required = true,
                paramLabel = "FOLDER",
                description = "folder for the results")
        private Path out;

        @Option(names = "--threads", paramLabel = "N", description = "parallel runs (default: half the processors)")
        private int threads = defaultThreads();

        @Override
        public Integer call() throws IOException, InterruptedException {
            List<Problem> problems = new ArrayList<>();
            Experiment experiment = Experiment.read(file, EmulateCommands::builtIn, problems);
            if (!valid(problems)) {
                return Commands.USAGE;
            }
            LogSetup.configure(false, "off");
            if (!new ExperimentRunner(experiment, out, Math.max(1, threads), EmulateCommands::progress).run()) {
                System.err.println(out + ": contains the results of another experiment, expected an empty folder");
                return Commands.USAGE;
            }
            Report report = new Report(ResultTable.read(out.resolve("results.csv")));
            System.out.print(report.text());
            report.html(out.resolve("report.html"), experiment.name);
            System.out.println("written to " + out.resolve("report.html"));
            return Commands.OK;
        }
    }

    @Command(
            name = "report",
            mixinStandardHelpOptions = true,
            description = "Prints and writes an experiment's report again.")
    static final class WriteReport implements Callable<Integer> {
        @Parameters(paramLabel = "FOLDER", description = "folder with an experiment's results")
        private Path folder;

        @Override
        public Integer call() throws IOException {
            Path results = folder.resolve("results.csv");
            if (!Files.exists(results)) {
                System.err.println(results + ": not found, expected the results of a finished experiment");
                return Commands.USAGE;
            }
            Report report = new Report(ResultTable.read(results));
            System.out.print(report.text());
            report.html(folder.resolve("report.html"), folder.getFileName().toString());
            return Commands.OK;
        }
    }

    @Command(
            name = "search",
            mixinStandardHelpOptions = true,
            description = "Searches an experiment's ranges for the day that"
                    + " breaks a rule or loses most, and reduces it to the lines that matter; exit 3 if a rule broke.")
    static final class RunSearch implements Callable<Integer> {
        @Parameters(paramLabel = "FILE", description = "the experiment file; its levels are ignored")
        private Path file;

        @Option(names = "--days", paramLabel = "N", description = "days run before the reduction (${DEFAULT-VALUE})")
        private int days = 100;

        @Option(names = "--seed", paramLabel = "N", description = "seed of the search (${DEFAULT-VALUE})")
        private long seed = 1;

        @Option(
                names = "--policy",
                paramLabel = "NAME",
                description = "decision logic of coordinators (${DEFAULT-VALUE})",
                defaultValue = "ours")
        private String policy;

        @Option(
                names = "--against",
                paramLabel = "NAME",
                description = "policy that losses are counted against, or none to check rules only (${DEFAULT-VALUE})",
                defaultValue = "oracle")
        private String against;

        @Option(names = "--threads", paramLabel = "N", description = "parallel runs (default: half the processors)")
        private int threads = defaultThreads();

        @Option(
                names = {"-o", "--out"},
                paramLabel = "FILE",
                description = "writes the day found to this file")
        private Path out;

        @Override
        public Integer call() throws IOException, InterruptedException {
            List<Problem> problems = new ArrayList<>();
            Experiment experiment = Experiment.read(file, EmulateCommands::builtIn, problems);
            Policy decisions = policy(policy, problems);
            Policy baseline = against.equals("none") ? null : policy(against, problems);
            if (!valid(problems)) {
                return Commands.USAGE;
            }
            LogSetup.configure(false, "off");
            Search.Result result = new Search(
                            experiment, decisions, baseline, seed, Math.max(1, threads), EmulateCommands::progress)
                    .run(days);
            if (result == null) {
                System.out.println("none of " + days + " days breaks a rule or loses anything");
                return Commands.OK;
            }
            System.out.println(result.describe() + "\n\n" + result.text());
            System.out.println("emulate run --policy " + policy + " --token " + DayToken.of(result.text()));
            if (out != null) {
                Files.writeString(out, result.text());
            }
            return result.broken().isEmpty() ? Commands.OK : Commands.RULE_BROKEN;
        }
    }
}
