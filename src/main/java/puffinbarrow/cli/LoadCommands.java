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
import puffinbarrow.load.Arrivals;
import puffinbarrow.load.Engine;
import puffinbarrow.load.Report;
import puffinbarrow.load.Result;
import puffinbarrow.load.Scenario;

/** The load generator: open arrivals, latency from the intended start, loopback targets only. */
@Command(name = "load", mixinStandardHelpOptions = true, description = "Sends load to targets on this machine.",
        subcommands = {LoadCommands.Run.class, LoadCommands.Shape.class, LoadCommands.Compare.class})
final class LoadCommands implements Callable<Integer> {
    @Override
    public Integer call() {
        new picocli.CommandLine(this).usage(System.err);
        return Commands.USAGE;
    }

    private static Scenario read(Path file) {
        List<Problem> problems = new ArrayList<>();
        Scenario scenario = Scenario.read(file, problems);
        problems.forEach(System.err::println);
        return problems.isEmpty() ? scenario : null;
    }

    @Command(name = "run", mixinStandardHelpOptions = true, description = "Sends a scenario; exit 1 if a flow was lost"
            + " from sight.")
    static final class Run implements Callable<Integer> {
        @Parameters(paramLabel = "SCENARIO", description = "what to send")
        private Path file;

        @Option(names = {"-o", "--out"}, paramLabel = "FOLDER", description = "where results are written")
        private Path out;

        @Override
        public Integer call() throws IOException {
            Scenario scenario = read(file);
            if (scenario == null) {
                return Commands.USAGE;
            }
            if (scenario.targets.isEmpty()) {
                System.err.println(file + ":0: no line 'target', expected at least one to send to");
                return Commands.USAGE;
            }
            System.out.println("seed " + scenario.seed);
            try (Engine engine = new Engine(scenario)) {
                Result result = engine.run(System.out);
                System.out.print(Report.text(scenario, result));
                if (out != null) {
                    Report.write(out, Files.readString(file), scenario, result);
                    System.out.println("written to " + out);
                }
                return result.whole() ? Commands.FINE : Commands.FAILED;
            }
        }
    }

    @Command(name = "shape", mixinStandardHelpOptions = true, description = "Draws a scenario's arrivals without sending.")
    static final class Shape implements Callable<Integer> {
        @Parameters(paramLabel = "SCENARIO", description = "what to draw")
        private Path file;

        @Override
        public Integer call() {
            Scenario scenario = read(file);
            if (scenario == null) {
                return Commands.USAGE;
            }
            int seconds = (int) (scenario.lengthNs / 1_000_000_000L) + 1;
            long[] counts = new long[seconds];
            Arrivals arrivals = new Arrivals(scenario);
            for (Arrivals.Flow flow = arrivals.next(); flow != null; flow = arrivals.next()) {
                counts[(int) (flow.startNs() / 1_000_000_000L)]++;
            }
            long most = Math.max(1, java.util.Arrays.stream(counts).max().orElse(1));
            for (int i = 0; i < seconds; i++) {
                System.out.printf(Locale.ROOT, "%5d s %7d %s%n", i, counts[i], "#".repeat((int) (60 * counts[i] / most)));
            }
            return Commands.FINE;
        }
    }

    @Command(name = "compare", mixinStandardHelpOptions = true, description = "Sets two result folders side by side and"
            + " says what is noise.")
    static final class Compare implements Callable<Integer> {
        @Parameters(index = "0", paramLabel = "A")
        private Path a;

        @Parameters(index = "1", paramLabel = "B")
        private Path b;

        @Override
        public Integer call() throws IOException {
            System.out.print(Report.compare(a, b, 1));
            return Commands.FINE;
        }
    }
}
