package puffinbarrow.cli;

import java.io.IOException;
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
import puffinbarrow.emulator.Fleet;
import puffinbarrow.emulator.Heap;
import puffinbarrow.emulator.Outcome;
import puffinbarrow.emulator.Policy;
import puffinbarrow.emulator.Setup;

/** Days in simulated time. */
@Command(name = "emulate", mixinStandardHelpOptions = true, description = "Days in simulated time: the same decisions at"
        + " sizes that sockets do not reach.", subcommands = EmulateCommands.Run.class)
final class EmulateCommands implements Callable<Integer> {
    @Override
    public Integer call() {
        new picocli.CommandLine(this).usage(System.err);
        return Commands.USAGE;
    }

    /** A script by its file or, where there is none, by its built-in name. */
    static Setup setup(Path file, List<Problem> problems) throws IOException {
        String builtIn = Files.exists(file) ? null : Commands.builtIn(file.toString());
        return builtIn == null ? Setup.read(file, problems) : Setup.parse(file + ".day", builtIn, problems);
    }

    static Policy policy(String name, List<Problem> problems) {
        Policy policy = Policy.named(name);
        if (policy == null) {
            problems.add(new Problem("--policy", 0, "'" + name + "', expected one of "
                    + String.join(", ", Policy.ALL.stream().map(Policy::name).toList())));
        }
        return policy;
    }

    @Command(name = "run", mixinStandardHelpOptions = true, description = "Plays one day and judges the rules.")
    static final class Run implements Callable<Integer> {
        @Parameters(arity = "0..1", paramLabel = "FILE", defaultValue = "default", description = "a day's script with model"
                + " lines, or default or monday, which are built in (default: ${DEFAULT-VALUE})")
        private Path file;

        @Option(names = "--seed", paramLabel = "N", description = "another seed than the script's")
        private Long seed;

        @Option(names = "--policy", paramLabel = "NAME", description = "what coordinators decide with: ours, random,"
                + " least-loaded, two-choices, bounded-hash, oracle (${DEFAULT-VALUE})", defaultValue = "ours")
        private String policy;

        @Option(names = "--most-events", paramLabel = "N", description = "ends the run as failed (${DEFAULT-VALUE})")
        private long mostEvents = 2_000_000_000L;

        @Override
        public Integer call() throws IOException {
            List<Problem> problems = new ArrayList<>();
            Setup setup = setup(file, problems);
            Policy by = policy(policy, problems);
            if (!problems.isEmpty()) {
                problems.forEach(System.err::println);
                return Commands.USAGE;
            }
            Logs.set(false, "off");
            setup.script().seed = seed == null ? setup.script().seed : seed;
            long began = System.nanoTime();
            Outcome outcome = new Fleet(setup, by, new Heap(), mostEvents).run();
            double took = (System.nanoTime() - began) / 1e9;
            System.out.print(outcome.text());
            System.out.printf(Locale.ROOT, "%n%d events in %.1f s of this machine: %.2f million events/s, %.0f flows/s; up after %.1f s"
                    + " of its own time; decisions %.1f%% of the time, %.1f us an event they were told%n", outcome.events, took,
                    outcome.events / took / 1e6, outcome.intended / took, outcome.beganAtNs / 1e9,
                    100 * outcome.decisionNs / 1e9 / took, outcome.decisionNs / 1e3 / Math.max(1, outcome.decisionEvents));
            return outcome.failed != null || !outcome.whole() ? Commands.FAILED : outcome.verdict.kept() ? Commands.FINE
                    : Commands.RULE;
        }
    }
}
