package puffinbarrow.cli;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.Callable;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import puffinbarrow.Logic;
import puffinbarrow.config.Problem;
import puffinbarrow.day.Day;
import puffinbarrow.day.Page;
import puffinbarrow.day.Script;

/** Drills that strike at random. */
@Command(
        name = "chaos",
        mixinStandardHelpOptions = true,
        description = "Drills that strike at random, on loopback.",
        subcommands = ChaosCommands.Takeover.class)
final class ChaosCommands implements Callable<Integer> {
    @Override
    public Integer call() {
        new picocli.CommandLine(this).usage(System.err);
        return Commands.USAGE;
    }

    @Command(
            name = "takeover",
            mixinStandardHelpOptions = true,
            description =
                    "Real coordinator processes are killed, stopped"
                            + " and cut off at random; exit 3 if the audit finds two voices, an old order taken or another rule broken.")
    static final class Takeover implements Callable<Integer> {
        @Option(names = "--minutes", paramLabel = "N", description = "(${DEFAULT-VALUE})")
        private double minutes = 5;

        @Option(names = "--seed", paramLabel = "N", description = "(${DEFAULT-VALUE})")
        private long seed = 1;

        @Option(names = "--coordinators", paramLabel = "N", description = "(${DEFAULT-VALUE})")
        private int coordinators = 3;

        @Option(names = "--proxies", paramLabel = "N", description = "(${DEFAULT-VALUE})")
        private int proxies = 100;

        @Option(names = "--slices", paramLabel = "N", description = "(${DEFAULT-VALUE})")
        private int slices = 300;

        @Option(names = "--rate", paramLabel = "N", description = "flows a second (${DEFAULT-VALUE})")
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
            Logs.set(false, "error");
            try (Day day = new Day(script, System.out, new Day.Bend(Logic::new, List.of()), BenchCommands.self())) {
                Page page = day.run();
                System.out.print(page.text());
                return !page.verdict().kept() ? Commands.RULE : page.sound() ? Commands.FINE : Commands.FAILED;
            }
        }
    }

    /** The drill as a script: something happens to coordinators or store every few seconds, to backends now and then. */
    static String script(long seed, double seconds, int coordinators, int proxies, int slices, double rate) {
        UniformRandomProvider chance = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
        StringBuilder text = new StringBuilder(String.format(
                Locale.ROOT,
                "coordinators %d%nproxies %d%nbackends 40 cores 4%n"
                        + "slices %d%nrate %.0f%nlength %.0fs%nseed %d%nset pace 30000%nset queue 60000%nset messages 200 per 10s%n"
                        + "set intake 3000%n",
                coordinators,
                proxies,
                slices,
                rate,
                seconds,
                seed));
        int turn = 0;
        for (double at = 4; at < seconds - 8; at += 2.5 + 5 * chance.nextDouble()) {
            int number = chance.nextInt(coordinators);
            double lasts = 0.5 + 6 * chance.nextDouble() * chance.nextDouble();
            String what =
                    switch (turn++ == 0 ? 0 : chance.nextInt(9)) {
                        case 0, 1 -> "coordinator " + number + " killed";
                        case 2 -> "coordinator " + number + " frozen";
                        case 3 -> "cut coordinator " + number + " from store";
                        case 4 -> "cut coordinator " + number + " from proxies";
                        case 5 -> "coordinator " + number + " leaves";
                        case 6 -> "store away";
                        case 7 -> "store slow 300ms";
                        default -> "store loses 50%";
                    };
            lasts = what.endsWith("leaves") ? lasts + 3 : lasts;
            text.append(String.format(Locale.ROOT, "at %.2fs %s for %.2fs%n", at, what, lasts));
            if (chance.nextInt(4) == 0) {
                text.append(String.format(
                        Locale.ROOT,
                        "at %.2fs %s%n",
                        at + 1,
                        chance.nextBoolean() ? "backends 2 die for 3s" : "release 10% batch 5% drain 3s"));
            }
        }
        return text.toString();
    }
}
