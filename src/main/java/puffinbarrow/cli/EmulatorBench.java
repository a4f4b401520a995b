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
import puffinbarrow.day.DayReport;
import puffinbarrow.day.Script;
import puffinbarrow.emulator.CalendarQueue;
import puffinbarrow.emulator.EmulatedDay;
import puffinbarrow.emulator.EventQueue;
import puffinbarrow.emulator.Fleet;
import puffinbarrow.emulator.Outcome;
import puffinbarrow.emulator.Policy;
import puffinbarrow.emulator.QuaternaryHeap;
import puffinbarrow.emulator.QueueingChecks;

/**
 * Compares the emulator with queueing theory and with days on sockets, and measures the throughput of its event queues.
 */
@Command(
        name = "emulator",
        mixinStandardHelpOptions = true,
        description = "Compares the event queues, checks the emulator against queueing"
                + " theory and against the default day on sockets; exit 1 if a target is missed.")
final class EmulatorBench implements Callable<Integer> {
    @Option(
            names = "--part",
            paramLabel = "PART",
            description = "queues, theory or calibration, or all (${DEFAULT-VALUE})")
    private String part = "all";

    @Option(
            names = "--days",
            paramLabel = "N",
            description = "days of calibration, each with its own seed (${DEFAULT-VALUE})")
    private int days = 3;

    @Option(names = "--day", paramLabel = "NAME", description = "built-in day of calibration (${DEFAULT-VALUE})")
    private String day = "default";

    /** Largest difference of service between emulator and sockets. */
    private static final double MAX_SERVICE_ERROR = 0.03;

    /** Largest relative difference of moves. */
    private static final double MAX_MOVES_ERROR = 0.10;

    /** Largest relative difference of the p99 of latency. */
    private static final double MAX_P99_ERROR = 0.15;

    /**
     * Largest relative error against theory. A mean of a few hundred thousand sojourn times at load 0.8 is accurate to
     * about 3%.
     */
    private static final double MAX_THEORY_ERROR = 0.04;

    @Override
    public Integer call() throws IOException, InterruptedException {
        if (!List.of("all", "queues", "theory", "calibration").contains(part)) {
            System.err.println("--part: found '" + part + "', expected queues, theory, calibration or all");
            return Commands.USAGE;
        }
        LogSetup.configure(false, "off");
        boolean allMet = true;
        if (part.equals("all") || part.equals("queues")) {
            measureQueues();
        }
        if (part.equals("all") || part.equals("theory")) {
            for (QueueingChecks.Check check : QueueingChecks.all(1, 10_000)) {
                System.out.printf(
                        Locale.ROOT,
                        "%-18s by theory %6.2f ms, emulated %6.2f ms, off by %4.1f%%   %s%n",
                        check.name(),
                        check.expected(),
                        check.measured(),
                        100 * check.relativeError(),
                        check.formula());
                allMet &= check.relativeError() < MAX_THEORY_ERROR;
            }
        }
        if (part.equals("all") || part.equals("calibration")) {
            allMet &= calibration();
        }
        System.out.println(allMet ? "all aims met" : "NOT all aims met");
        return allMet ? Commands.OK : Commands.FAILED;
    }

    // ---- Queues: at a constant size, the first event is taken and one added, repeatedly ("hold model")

    /** An event queue on the library's binary heap, for comparison. */
    private static final class LibraryHeap implements EventQueue {
        private record Entry(long at, long number, Runnable work) implements Comparable<Entry> {
            @Override
            public int compareTo(Entry other) {
                return at != other.at ? Long.compare(at, other.at) : Long.compare(number, other.number);
            }
        }

        private final PriorityQueue<Entry> queue = new PriorityQueue<>();
        private long added;

        @Override
        public void add(long atNs, Runnable work) {
            queue.add(new Entry(atNs, added++, work));
        }

        @Override
        public long nextTimeNs() {
            return queue.isEmpty() ? Long.MAX_VALUE : queue.peek().at;
        }

        @Override
        public Runnable removeNext() {
            return queue.poll().work;
        }

        @Override
        public int size() {
            return queue.size();
        }
    }

    /** Prints the throughput of each queue by size and by distribution of delays. */
    private static void measureQueues() {
        List<Supplier<EventQueue>> kinds = List.of(QuaternaryHeap::new, CalendarQueue::new, LibraryHeap::new);
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
                    // The median passes over the first runs, which include just-in-time compilation.
                    Arrays.sort(rates);
                    line.append(String.format(Locale.ROOT, "  %s %.2f", names[kind], rates[rates.length / 2]));
                }
                System.out.println(line + " million events/s");
            }
        }
    }

    /** Returns millions of events per second. */
    private static double hold(EventQueue queue, int waiting, boolean mixed, long seed) {
        UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
        Runnable nothing = () -> {};
        for (int i = 0; i < waiting; i++) {
            queue.add(gap(random, mixed), nothing);
        }
        int events = 2_000_000;
        long began = System.nanoTime();
        for (int i = 0; i < events; i++) {
            long now = queue.nextTimeNs();
            queue.removeNext().run();
            queue.add(now + gap(random, mixed), nothing);
        }
        return events * 1e3 / (System.nanoTime() - began);
    }

    /** Draws the delay of an event, in ns: exponential with mean 10 ms; if mixed, a tenth are time-outs of 5 s. */
    private static long gap(UniformRandomProvider random, boolean mixed) {
        return mixed && random.nextInt(10) == 0 ? 5_000_000_000L : (long) (-Math.log(1 - random.nextDouble()) * 1e7);
    }

    // ---- Calibration

    /** Runs days on sockets and in the emulator and returns whether their means agree. */
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
            DayReport report;
            try (Day onSockets = new Day(
                    script,
                    new PrintStream(OutputStream.nullOutputStream()),
                    new Day.Overrides(Logic::new, List.of()))) {
                report = onSockets.run();
            }
            double[] sockets = {
                report.service(),
                1
                        - report.flows().stream().filter(f -> f.answered()).count()
                                / (double) report.flows().size(),
                report.moves(),
                report.result().all.latency.getValueAtPercentile(50) / 1e3,
                report.result().all.latency.getValueAtPercentile(90) / 1e3,
                report.result().all.latency.getValueAtPercentile(99) / 1e3
            };
            printRow(seed, "sockets", sockets, report.verdict().kept());
            EmulatedDay emulatedDay = EmulatedDay.parse(day, text, problems);
            emulatedDay.script().seed = seed;
            Outcome outcome = new Fleet(emulatedDay, Policy.byName("ours"), new QuaternaryHeap(), Long.MAX_VALUE).run();
            double[] emulated = {
                outcome.service,
                (outcome.blocked + outcome.dropped) / (double) outcome.intended,
                outcome.moves,
                outcome.p50Ms,
                outcome.p90Ms,
                outcome.p99Ms
            };
            printRow(seed, "emulator", emulated, outcome.verdict.kept());
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
        return Math.abs(sum[1][0] - sum[0][0]) <= MAX_SERVICE_ERROR
                && Math.abs(sum[1][2] / sum[0][2] - 1) <= MAX_MOVES_ERROR
                && Math.abs(sum[1][5] / sum[0][5] - 1) <= MAX_P99_ERROR;
    }

    private static void printRow(long seed, String where, double[] figures, boolean kept) {
        System.out.printf(
                Locale.ROOT,
                "%-5d %-10s %8.3f %7.2f%% %8.0f %8.1f %8.1f %8.1f %8s%n",
                seed,
                where,
                figures[0],
                100 * figures[1],
                figures[2],
                figures[3],
                figures[4],
                figures[5],
                kept ? "kept" : "BROKEN");
    }
}
