package puffinbarrow.cli;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.Callable;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import puffinbarrow.Logic;
import puffinbarrow.config.Problem;
import puffinbarrow.day.Day;
import puffinbarrow.day.DayReport;
import puffinbarrow.day.Script;

/** Drills that inject faults at random times. */
@Command(
        name = "chaos",
        mixinStandardHelpOptions = true,
        description = "Drills with faults at random times, on loopback.",
        subcommands = ChaosCommands.Takeover.class)
final class ChaosCommands implements Callable<Integer> {
    @Override
    public Integer call() {
        new CommandLine(this).usage(System.err);
        return Commands.USAGE;
    }

    @Command(
            name = "takeover",
            mixinStandardHelpOptions = true,
            description = "Kills, suspends and cuts off real coordinator processes"
                    + " at random; exit 3 if the audit finds two coordinators in charge of a slice, an"
                    + " outdated order applied or another broken rule.")
    static final class Takeover implements Callable<Integer> {
        @Option(names = "--minutes", paramLabel = "N", description = "length of the drill (${DEFAULT-VALUE})")
        private double minutes = 5;

        @Option(names = "--seed", paramLabel = "N", description = "seed of the drill (${DEFAULT-VALUE})")
        private long seed = 1;

        @Option(names = "--coordinators", paramLabel = "N", description = "how many (${DEFAULT-VALUE})")
        private int coordinators = 3;

        @Option(names = "--proxies", paramLabel = "N", description = "how many (${DEFAULT-VALUE})")
        private int proxies = 100;

        @Option(names = "--slices", paramLabel = "N", description = "how many (${DEFAULT-VALUE})")
        private int slices = 300;

        @Option(names = "--rate", paramLabel = "N", description = "flows per second (${DEFAULT-VALUE})")
        private double rate = 200;

        @Override
        public Integer call() throws IOException, InterruptedException {
            String text = script(seed, minutes * 60, coordinators, proxies, slices, rate);
            System.out.print(text);
            List<Problem> problems = new ArrayList<>();
            Script script = Script.parse("takeover", text, problems);
            if (!problems.isEmpty()) {
                problems.forEach(System.err::println);
                return Commands.USAGE;
            }
            LogSetup.configure(false, "error");
            try (Day day =
                    new Day(script, System.out, new Day.Overrides(Logic::new, List.of()), BenchCommands.self())) {
                DayReport report = day.run();
                System.out.print(report.text());
                return !report.verdict().kept()
                        ? Commands.RULE_BROKEN
                        : report.passed() ? Commands.OK : Commands.FAILED;
            }
        }
    }

    /** Returns a drill as a script: a fault of a coordinator or the store every few seconds, of backends less often. */
    static String script(long seed, double seconds, int coordinators, int proxies, int slices, double rate) {
        UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
        StringBuilder text = new StringBuilder(String.format(
                Locale.ROOT,
                "coordinators %d%nproxies %d%nbackends 40 cores 4%n"
                        + "slices %d%nrate %.0f%nlength %.0fs%nseed %d%n"
                        + "set pace 30000%nset queue 60000%nset messages 200 per 10s%n"
                        + "set intake 3000%n",
                coordinators,
                proxies,
                slices,
                rate,
                seconds,
                seed));
        int faults = 0;
        for (double at = 4; at < seconds - 8; at += 2.5 + 5 * random.nextDouble()) {
            int number = random.nextInt(coordinators);
            double lengthSeconds = 0.5 + 6 * random.nextDouble() * random.nextDouble();
            String fault =
                    switch (faults++ == 0 ? 0 : random.nextInt(9)) {
                        case 0, 1 -> "coordinator " + number + " killed";
                        case 2 -> "coordinator " + number + " frozen";
                        case 3 -> "cut coordinator " + number + " from store";
                        case 4 -> "cut coordinator " + number + " from proxies";
                        case 5 -> "coordinator " + number + " leaves";
                        case 6 -> "store away";
                        case 7 -> "store slow 300ms";
                        default -> "store loses 50%";
                    };
            lengthSeconds = fault.endsWith("leaves") ? lengthSeconds + 3 : lengthSeconds;
            text.append(String.format(Locale.ROOT, "at %.2fs %s for %.2fs%n", at, fault, lengthSeconds));
            if (random.nextInt(4) == 0) {
                text.append(String.format(
                        Locale.ROOT,
                        "at %.2fs %s%n",
                        at + 1,
                        random.nextBoolean() ? "backends 2 die for 3s" : "release 10% batch 5% drain 3s"));
            }
        }
        return text.toString();
    }
}
