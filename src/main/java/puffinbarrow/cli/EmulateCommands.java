package puffinbarrow.cli;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import puffinbarrow.config.Problem;
import puffinbarrow.emulator.Experiment;
import puffinbarrow.emulator.Fleet;
import puffinbarrow.emulator.Heap;
import puffinbarrow.emulator.Outcome;
import puffinbarrow.emulator.Policy;
import puffinbarrow.emulator.Report;
import puffinbarrow.emulator.Runs;
import puffinbarrow.emulator.Search;
import puffinbarrow.emulator.Setup;
import puffinbarrow.emulator.Sheet;
import puffinbarrow.emulator.Token;

/** Days in simulated time. */
@Command(
        name = "emulate",
        mixinStandardHelpOptions = true,
        description = "Days in simulated time: the same decisions at" + " sizes that sockets do not reach.",
        subcommands = {
            EmulateCommands.Run.class,
            EmulateCommands.Play.class,
            EmulateCommands.Hunt.class,
            EmulateCommands.Write.class
        })
final class EmulateCommands implements Callable<Integer> {
    @Override
    public Integer call() {
        new picocli.CommandLine(this).usage(System.err);
        return Commands.USAGE;
    }

    private static String builtIn(String name) {
        try {
            return Commands.builtIn(name);
        } catch (IOException unreadable) {
            throw new UncheckedIOException(unreadable);
        }
    }

    private static Policy policy(String name, List<Problem> problems) {
        Policy policy = Policy.named(name);
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

    private static boolean sound(List<Problem> problems) {
        problems.forEach(System.err::println);
        return problems.isEmpty();
    }

    /** Half the processors, as each run keeps a collector busy too. */
    private static int usualThreads() {
        return Math.max(1, Runtime.getRuntime().availableProcessors() / 2);
    }

    /** One line that is written over where there is somebody to see it, a line each where there is a file. */
    private static void progress(String text) {
        if (System.console() != null) {
            System.err.print("\r" + text + "\u001b[K");
        } else {
            System.err.println(text);
        }
    }

    @Command(name = "run", mixinStandardHelpOptions = true, description = "Plays one day and judges the rules.")
    static final class Run implements Callable<Integer> {
        @Parameters(
                arity = "0..1",
                paramLabel = "FILE",
                defaultValue = "default",
                description = "a day's script with model"
                        + " lines, or default or monday, which are built in (default: ${DEFAULT-VALUE})")
        private Path file;

        @Option(names = "--token", paramLabel = "TOKEN", description = "a day as a search told it, in place of a file")
        private String token;

        @Option(names = "--seed", paramLabel = "N", description = "another seed than the script's")
        private Long seed;

        @Option(
                names = "--policy",
                paramLabel = "NAME",
                description = "what coordinators decide with: ours, random,"
                        + " least-loaded, two-choices, bounded-hash, oracle (${DEFAULT-VALUE})",
                defaultValue = "ours")
        private String policy;

        @Option(names = "--most-events", paramLabel = "N", description = "ends the run as failed (${DEFAULT-VALUE})")
        private long mostEvents = 2_000_000_000L;

        @Override
        public Integer call() throws IOException {
            List<Problem> problems = new ArrayList<>();
            Setup setup = null;
            if (token != null) {
                String text = Token.text(token);
                if (text == null) {
                    problems.add(new Problem("--token", 0, "no token, expected one as a search tells it"));
                } else {
                    setup = Setup.parse("token", text, problems);
                }
            } else {
                String builtIn = Files.exists(file) ? null : builtIn(file.toString());
                setup = builtIn == null ? Setup.read(file, problems) : Setup.parse(file + ".day", builtIn, problems);
            }
            Policy by = policy(policy, problems);
            if (!sound(problems)) {
                return Commands.USAGE;
            }
            Logs.set(false, "off");
            setup.script().seed = seed == null ? setup.script().seed : seed;
            long began = System.nanoTime();
            Outcome outcome = new Fleet(setup, by, new Heap(), mostEvents).run();
            double took = (System.nanoTime() - began) / 1e9;
            System.out.print(outcome.text());
            System.out.printf(
                    Locale.ROOT,
                    "%n%d events in %.1f s of this machine: %.2f million events/s, %.0f flows/s; up after %.1f s"
                            + " of its own time; %d flows open at most; decisions %.1f%% of the time, %.1f us an event they were told%n",
                    outcome.events,
                    took,
                    outcome.events / took / 1e6,
                    outcome.intended / took,
                    outcome.beganAtNs / 1e9,
                    outcome.mostOpen,
                    100 * outcome.decisionNs / 1e9 / took,
                    outcome.decisionNs / 1e3 / Math.max(1, outcome.decisionEvents));
            return outcome.failed != null || !outcome.whole()
                    ? Commands.FAILED
                    : outcome.verdict.kept() ? Commands.FINE : Commands.RULE;
        }
    }

    @Command(
            name = "experiment",
            mixinStandardHelpOptions = true,
            description = "Plays an experiment's runs side by side; goes" + " on where an earlier try was cut off.")
    static final class Play implements Callable<Integer> {
        @Parameters(paramLabel = "FILE", description = "the experiment")
        private Path file;

        @Option(
                names = {"-o", "--out"},
                required = true,
                paramLabel = "FOLDER",
                description = "where results go")
        private Path out;

        @Option(names = "--threads", paramLabel = "N", description = "runs at a time (half the processors)")
        private int threads = usualThreads();

        @Override
        public Integer call() throws IOException, InterruptedException {
            List<Problem> problems = new ArrayList<>();
            Experiment experiment = Experiment.read(file, EmulateCommands::builtIn, problems);
            if (!sound(problems)) {
                return Commands.USAGE;
            }
            Logs.set(false, "off");
            if (!new Runs(experiment, out, Math.max(1, threads), EmulateCommands::progress).play()) {
                System.err.println(out + ": holds the results of another experiment, expected an empty folder");
                return Commands.USAGE;
            }
            Report report = new Report(Sheet.read(out.resolve("results.csv")));
            System.out.print(report.text());
            report.html(out.resolve("report.html"), experiment.name);
            System.out.println("written to " + out.resolve("report.html"));
            return Commands.FINE;
        }
    }

    @Command(name = "report", mixinStandardHelpOptions = true, description = "Tells an experiment's results again.")
    static final class Write implements Callable<Integer> {
        @Parameters(paramLabel = "FOLDER", description = "where an experiment's results are")
        private Path folder;

        @Override
        public Integer call() throws IOException {
            Path results = folder.resolve("results.csv");
            if (!Files.exists(results)) {
                System.err.println(results + ": not there, expected the results of an experiment that came to its end");
                return Commands.USAGE;
            }
            Report report = new Report(Sheet.read(results));
            System.out.print(report.text());
            report.html(folder.resolve("report.html"), folder.getFileName().toString());
            return Commands.FINE;
        }
    }

    @Command(
            name = "search",
            mixinStandardHelpOptions = true,
            description = "Hunts an experiment's ranges for the day that"
                    + " breaks a rule or loses most, and cuts it down to what matters; exit 3 if a rule broke.")
    static final class Hunt implements Callable<Integer> {
        @Parameters(paramLabel = "FILE", description = "the experiment; its levels are passed over")
        private Path file;

        @Option(names = "--days", paramLabel = "N", description = "played before the cutting down (${DEFAULT-VALUE})")
        private int days = 100;

        @Option(names = "--seed", paramLabel = "N", description = "(${DEFAULT-VALUE})")
        private long seed = 1;

        @Option(names = "--policy", paramLabel = "NAME", description = "(${DEFAULT-VALUE})", defaultValue = "ours")
        private String policy;

        @Option(
                names = "--against",
                paramLabel = "NAME",
                description = "what losses are counted against, or none: rules only" + " (${DEFAULT-VALUE})",
                defaultValue = "oracle")
        private String against;

        @Option(names = "--threads", paramLabel = "N", description = "runs at a time (half the processors)")
        private int threads = usualThreads();

        @Option(
                names = {"-o", "--out"},
                paramLabel = "FILE",
                description = "writes the day there")
        private Path out;

        @Override
        public Integer call() throws IOException, InterruptedException {
            List<Problem> problems = new ArrayList<>();
            Experiment experiment = Experiment.read(file, EmulateCommands::builtIn, problems);
            Policy by = policy(policy, problems);
            Policy other = against.equals("none") ? null : policy(against, problems);
            if (!sound(problems)) {
                return Commands.USAGE;
            }
            Logs.set(false, "off");
            Search.Find find =
                    new Search(experiment, by, other, seed, Math.max(1, threads), EmulateCommands::progress).run(days);
            if (find == null) {
                System.out.println("none of " + days + " days breaks a rule or loses anything");
                return Commands.FINE;
            }
            System.out.println(find.told() + "\n\n" + find.text());
            System.out.println("emulate run --policy " + policy + " --token " + Token.of(find.text()));
            if (out != null) {
                Files.writeString(out, find.text());
            }
            return find.broken().isEmpty() ? Commands.FINE : Commands.RULE;
        }
    }
}
