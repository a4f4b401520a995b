package puffinbarrow.cli;

import java.io.IOException;
import java.io.OutputStream;
import java.io.PrintStream;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.PriorityQueue;
import java.util.concurrent.Callable;
import java.util.function.Supplier;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import puffinbarrow.Logic;
import puffinbarrow.config.Problem;
import puffinbarrow.day.Day;
import puffinbarrow.day.Page;
import puffinbarrow.day.Script;
import puffinbarrow.emulator.Agenda;
import puffinbarrow.emulator.Calendar;
import puffinbarrow.emulator.Fleet;
import puffinbarrow.emulator.Heap;
import puffinbarrow.emulator.Outcome;
import puffinbarrow.emulator.Policy;
import puffinbarrow.emulator.Queueing;
import puffinbarrow.emulator.Setup;

/** How far the emulator can be trusted, and what its engine does. */
@Command(
        name = "emulator",
        mixinStandardHelpOptions = true,
        description =
                "The event queues against each other, queueing"
                        + " theory, and the default day on sockets against the same day in the emulator; exit 1 if an aim is missed.")
final class EmulatorBench implements Callable<Integer> {
    @Option(
            names = "--part",
            paramLabel = "PART",
            description = "queues, theory or calibration, or all (${DEFAULT-VALUE})")
    private String part = "all";

    @Option(names = "--days", paramLabel = "N", description = "days of calibration, each a seed (${DEFAULT-VALUE})")
    private int days = 3;

    @Option(names = "--day", paramLabel = "NAME", description = "built-in day of calibration (${DEFAULT-VALUE})")
    private String day = "default";

    /** What the users ask: utility within 0.03, moves within a tenth, p99 within 15%. */
    private static final double UTILITY_OFF = 0.03, MOVES_OFF = 0.10, P99_OFF = 0.15;
    /** A mean of some hundred thousand sojourn times at load 0.8 is known to about 3%. */
    private static final double THEORY_OFF = 0.04;

    @Override
    public Integer call() throws IOException, InterruptedException {
        if (!List.of("all", "queues", "theory", "calibration").contains(part)) {
            System.err.println("--part: found '" + part + "', expected queues, theory, calibration or all");
            return Commands.USAGE;
        }
        Logs.set(false, "off");
        boolean good = true;
        if (part.equals("all") || part.equals("queues")) {
            queues();
        }
        if (part.equals("all") || part.equals("theory")) {
            for (Queueing.Check check : Queueing.all(1, 10_000)) {
                System.out.printf(
                        Locale.ROOT,
                        "%-18s by theory %6.2f ms, emulated %6.2f ms, off by %4.1f%%   %s%n",
                        check.name(),
                        check.expected(),
                        check.measured(),
                        100 * check.off(),
                        check.formula());
                good &= check.off() < THEORY_OFF;
            }
        }
        if (part.equals("all") || part.equals("calibration")) {
            good &= calibration();
        }
        System.out.println(good ? "all aims met" : "NOT all aims met");
        return good ? Commands.FINE : Commands.FAILED;
    }

    // ---- Queues: so many wait, the first is taken and one added, again and again ("hold model").

    /** The library's binary heap, for comparison. */
    private static final class Library implements Agenda {
        private record Entry(long at, long number, Runnable what) implements Comparable<Entry> {
            @Override
            public int compareTo(Entry other) {
                return at != other.at ? Long.compare(at, other.at) : Long.compare(number, other.number);
            }
        }

        private final PriorityQueue<Entry> queue = new PriorityQueue<>();
        private long added;

        @Override
        public void add(long atNs, Runnable what) {
            queue.add(new Entry(atNs, added++, what));
        }

        @Override
        public long nextNs() {
            return queue.isEmpty() ? Long.MAX_VALUE : queue.peek().at;
        }

        @Override
        public Runnable take() {
            return queue.poll().what;
        }

        @Override
        public int size() {
            return queue.size();
        }
    }

    private static void queues() {
        List<Supplier<Agenda>> kinds = List.of(Heap::new, Calendar::new, Library::new);
        String[] names = {"heap of four", "calendar queue", "library's binary heap"};
        for (boolean mixed : new boolean[] {false, true}) {
            for (int waiting : new int[] {1_000, 100_000, 1_000_000}) {
                StringBuilder line = new StringBuilder(String.format(
                        Locale.ROOT,
                        "%9d waiting, %s:",
                        waiting,
                        mixed ? "a tenth of them time-outs" : "exponential gaps       "));
                for (int kind = 0; kind < names.length; kind++) {
                    double[] rates = new double[5];
                    for (int i = 0; i < rates.length; i++) {
                        rates[i] = hold(kinds.get(kind).get(), waiting, mixed, i);
                    }
                    // The first ones are compiled while they run.
                    Arrays.sort(rates);
                    line.append(String.format(Locale.ROOT, "  %s %.2f", names[kind], rates[rates.length / 2]));
                }
                System.out.println(line + " million events/s");
            }
        }
    }

    private static double hold(Agenda agenda, int waiting, boolean mixed, long seed) {
        UniformRandomProvider chance = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
        Runnable nothing = () -> {};
        for (int i = 0; i < waiting; i++) {
            agenda.add(gap(chance, mixed), nothing);
        }
        int events = 2_000_000;
        long began = System.nanoTime();
        for (int i = 0; i < events; i++) {
            long now = agenda.nextNs();
            agenda.take().run();
            agenda.add(now + gap(chance, mixed), nothing);
        }
        return events * 1e3 / (System.nanoTime() - began);
    }

    private static long gap(UniformRandomProvider chance, boolean mixed) {
        return mixed && chance.nextInt(10) == 0 ? 5_000_000_000L : (long) (-Math.log(1 - chance.nextDouble()) * 1e7);
    }

    // ---- Calibration.

    private boolean calibration() throws IOException, InterruptedException {
        String text = Commands.builtIn(day);
        double[][] sum = new double[2][6];
        System.out.printf(
                "%-5s %-10s %8s %8s %8s %8s %8s %8s %8s%n",
                "seed", "where", "service", "lost", "moves", "p50 ms", "p90 ms", "p99 ms", "rules");
        for (long seed = 7; seed < 7 + days; seed++) {
            List<Problem> problems = new ArrayList<>();
            Script script = Script.parse(day, text, problems);
            script.seed = seed;
            Page page;
            try (Day onSockets = new Day(
                    script, new PrintStream(OutputStream.nullOutputStream()), new Day.Bend(Logic::new, List.of()))) {
                page = onSockets.run();
            }
            double[] sockets = {
                page.service(),
                1
                        - page.flows().stream().filter(f -> f.answered()).count()
                                / (double) page.flows().size(),
                page.moves(),
                page.result().all.latency.getValueAtPercentile(50) / 1e3,
                page.result().all.latency.getValueAtPercentile(90) / 1e3,
                page.result().all.latency.getValueAtPercentile(99) / 1e3
            };
            tell(seed, "sockets", sockets, page.verdict().kept());
            Setup setup = Setup.parse(day, text, problems);
            setup.script().seed = seed;
            Outcome o = new Fleet(setup, Policy.named("ours"), new Heap(), Long.MAX_VALUE).run();
            double[] emulated = {
                o.service, (o.blocked + o.dropped) / (double) o.intended, o.moves, o.p50Ms, o.p90Ms, o.p99Ms
            };
            tell(seed, "emulator", emulated, o.verdict.kept());
            for (int i = 0; i < sockets.length; i++) {
                sum[0][i] += sockets[i] / days;
                sum[1][i] += emulated[i] / days;
            }
        }
        System.out.printf(
                Locale.ROOT,
                "mean of %d: service %+.3f, moves %+.1f%%, p50 %+.1f%%, p90 %+.1f%%, p99 %+.1f%% against sockets%n",
                days,
                sum[1][0] - sum[0][0],
                100 * (sum[1][2] / sum[0][2] - 1),
                100 * (sum[1][3] / sum[0][3] - 1),
                100 * (sum[1][4] / sum[0][4] - 1),
                100 * (sum[1][5] / sum[0][5] - 1));
        return Math.abs(sum[1][0] - sum[0][0]) <= UTILITY_OFF
                && Math.abs(sum[1][2] / sum[0][2] - 1) <= MOVES_OFF
                && Math.abs(sum[1][5] / sum[0][5] - 1) <= P99_OFF;
    }

    private static void tell(long seed, String where, double[] of, boolean kept) {
        System.out.printf(
                Locale.ROOT,
                "%-5d %-10s %8.3f %7.2f%% %8.0f %8.1f %8.1f %8.1f %8s%n",
                seed,
                where,
                of[0],
                100 * of[1],
                of[2],
                of[3],
                of[4],
                of[5],
                kept ? "kept" : "BROKEN");
    }
}
