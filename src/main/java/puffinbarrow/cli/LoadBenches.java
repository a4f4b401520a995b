package puffinbarrow.cli;

import java.io.BufferedReader;
import java.io.BufferedWriter;
import java.io.IOException;
import java.io.InputStreamReader;
import java.lang.management.ManagementFactory;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.apache.commons.rng.simple.RandomSource;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import puffinbarrow.config.Problem;
import puffinbarrow.load.Engine;
import puffinbarrow.load.Result;
import puffinbarrow.load.Scenario;
import puffinbarrow.load.TraceFlows;
import puffinbarrow.standin.DelayedServer;

/** Benches of the load generator's rate and memory, against a stand-in target in a child process. */
final class LoadBenches {
    private LoadBenches() {}

    /** The process of a stand-in target: prints its port and answers until its standard input ends. */
    @Command(name = "load-target", hidden = true)
    static final class Target implements Callable<Integer> {
        @Option(names = "--delay-ms")
        private double delayMs;

        @Override
        public Integer call() throws IOException {
            try (DelayedServer target =
                    new DelayedServer(u -> delayMs * 1e6, RandomSource.XO_RO_SHI_RO_128_PP.create(1))) {
                System.out.println(target.address().getPort());
                while (System.in.read() >= 0) {
                    // Blocks until the parent process has ended.
                }
                return Commands.OK;
            }
        }
    }

    /** A running stand-in target and its port. */
    record TargetProcess(Process process, int port) implements AutoCloseable {
        /** Starts a target that answers after a fixed delay, and waits for its port. */
        static TargetProcess start(double delayMs) throws IOException {
            List<String> command = BenchCommands.self("bench", "load-target", "--delay-ms", Double.toString(delayMs));
            command.removeIf(word -> word.startsWith("-XX:"));
            Process process = new ProcessBuilder(command)
                    .redirectError(ProcessBuilder.Redirect.INHERIT)
                    .start();
            BufferedReader output = new BufferedReader(new InputStreamReader(process.getInputStream()));
            return new TargetProcess(process, Integer.parseInt(output.readLine().trim()));
        }

        @Override
        public void close() {
            process.destroy();
        }
    }

    /** Returns a scenario with one target and one group, and further lines. */
    static Scenario scenario(int port, String more) {
        List<Problem> problems = new ArrayList<>();
        Scenario scenario = Scenario.parse(
                "measure",
                "target 127.0.0.1:" + port + "\ngroup g share 1 utility 1 budget 1s expiry 20s path /\n" + more,
                problems);
        if (!problems.isEmpty()) {
            throw new IllegalStateException(problems.toString());
        }
        return scenario;
    }

    @Command(
            name = "load-rate",
            mixinStandardHelpOptions = true,
            description = "Compares the rate with wrk's on the same stand-in and with as many connections, in turn.")
    static final class Rate implements Callable<Integer> {
        @Option(names = "--rounds", paramLabel = "N", description = "pairs of runs (${DEFAULT-VALUE})")
        private int rounds = 5;

        @Option(
                names = "--connections",
                paramLabel = "N",
                description = "connections of each generator (${DEFAULT-VALUE})")
        private int connections = 64;

        @Option(
                names = "--senders",
                paramLabel = "N",
                description = "sending threads of each generator (${DEFAULT-VALUE})")
        private int senders = 2;

        /** Required share of wrk's rate. */
        private static final double MIN_RATIO = 0.7;

        @Override
        public Integer call() throws IOException, InterruptedException {
            try (TargetProcess target = TargetProcess.start(0)) {
                runOurs(target.port, 20_000);
                runWrk(target.port);
                List<Double> ratios = new ArrayList<>();
                for (int i = 0; i < rounds; i++) {
                    double wrkRate = runWrk(target.port);
                    if (wrkRate <= 0) {
                        System.err.println("cannot run wrk, expected it on the path (package wrk)");
                        return Commands.FAILED;
                    }
                    // Offers as much as wrk reached and compares the answers per second.
                    Result result = runOurs(target.port, wrkRate);
                    double reached = result.all.latency.getTotalCount() / tookSeconds;
                    ratios.add(reached / wrkRate);
                    System.out.printf(
                            Locale.ROOT,
                            "wrk %.0f/s, ours %.0f/s of as many intended: %.2f; from the intended "
                                    + "start p50 %.2f ms, p99 %.2f ms; from the sending p50 %.2f ms%n",
                            wrkRate,
                            reached,
                            reached / wrkRate,
                            result.all.latency.getValueAtPercentile(50) / 1e3,
                            result.all.latency.getValueAtPercentile(99) / 1e3,
                            result.all.service.getValueAtPercentile(50) / 1e3);
                }
                ratios.sort(null);
                double median = ratios.get(ratios.size() / 2);
                System.out.printf(Locale.ROOT, "median %.2f of wrk's rate, %.1f aimed at%n", median, MIN_RATIO);
                return median >= MIN_RATIO ? Commands.OK : Commands.FAILED;
            }
        }

        /** Length of the last run, in seconds. */
        private double tookSeconds;

        /** Runs this load generator for 5 s. */
        private Result runOurs(int port, double rate) throws IOException {
            long began = System.nanoTime();
            try (Engine engine = new Engine(scenario(
                    port,
                    String.format(
                            Locale.ROOT,
                            "rate %.0f%narrivals constant%n"
                                    + "length 5s%nconnections %d%nsenders %d%nin-flight 100000%n",
                            Math.min(190_000, rate),
                            connections,
                            senders)))) {
                Result result = engine.run(null);
                tookSeconds = Math.max(5, (System.nanoTime() - began) / 1e9);
                return result;
            }
        }

        /** Runs wrk for 5 s and returns its requests per second, or 0 if it cannot be run. */
        private double runWrk(int port) throws IOException, InterruptedException {
            try {
                Process process = new ProcessBuilder(
                                "wrk", "-t" + senders, "-c" + connections, "-d5s", "http://127.0.0.1:" + port + "/")
                        .redirectErrorStream(true)
                        .start();
                String text = new String(process.getInputStream().readAllBytes());
                process.waitFor();
                Matcher matcher = Pattern.compile("Requests/sec:\\s*([0-9.]+)").matcher(text);
                return matcher.find() ? Double.parseDouble(matcher.group(1)) : 0;
            } catch (IOException e) {
                return 0;
            }
        }
    }

    /** Returns the bytes of heap in use after garbage collection. */
    private static long usedHeap() throws InterruptedException {
        for (int i = 0; i < 3; i++) {
            System.gc();
            TimeUnit.MILLISECONDS.sleep(50);
        }
        return ManagementFactory.getMemoryMXBean().getHeapMemoryUsage().getUsed();
    }

    @Command(
            name = "load-memory",
            mixinStandardHelpOptions = true,
            description = "Measures the heap with 10,000 flows in flight.")
    static final class Memory implements Callable<Integer> {
        @Option(names = "--flows", paramLabel = "N", description = "flows in flight (${DEFAULT-VALUE})")
        private int flows = 10_000;

        @Override
        public Integer call() throws IOException, InterruptedException {
            // Answers take 8 s, so that all flows, sent within 4 s, are open at once.
            try (TargetProcess target = TargetProcess.start(8000)) {
                long before = usedHeap();
                Scenario scenario = scenario(
                        target.port,
                        "rate " + flows / 4 + "\narrivals constant\nlength 4s\n" + "connections " + flows
                                + "\nin-flight " + 2 * flows + "\n");
                try (Engine engine = new Engine(scenario)) {
                    Result[] result = new Result[1];
                    Thread run = new Thread(() -> result[0] = engine.run(null));
                    run.start();
                    while (engine.openFlows() < flows * 0.99 && run.isAlive()) {
                        TimeUnit.MILLISECONDS.sleep(50);
                    }
                    long open = engine.openFlows();
                    long used = usedHeap() - before;
                    System.out.printf(
                            Locale.ROOT,
                            "%d flows in flight: %.1f MB of heap, %.1f KB each%n",
                            open,
                            used / 1e6,
                            used / 1e3 / Math.max(1, open));
                    run.join();
                    System.out.println(
                            "outcomes " + result[0].all.outcomes + (result[0].isComplete() ? "" : " NOT WHOLE"));
                    return result[0].isComplete() && open >= flows * 0.99 ? Commands.OK : Commands.FAILED;
                }
            }
        }
    }

    @Command(
            name = "load-trace",
            mixinStandardHelpOptions = true,
            description = "Reads a long trace, partly out of order and malformed, and measures heap and rate.")
    static final class LongTrace implements Callable<Integer> {
        @Option(names = "--lines", paramLabel = "N", description = "lines of the trace (${DEFAULT-VALUE})")
        private long lines = 10_000_000;

        @Override
        public Integer call() throws IOException, InterruptedException {
            Path file = Files.createTempFile("trace", ".log");
            try {
                write(file);
                long before = usedHeap();
                Scenario scenario = scenario(1, "trace " + file + " clf\nlength 6h\n");
                long count = 0;
                long mostHeap = 0;
                long began = System.nanoTime();
                try (TraceFlows flows = new TraceFlows(scenario)) {
                    long last = 0;
                    boolean ordered = true;
                    for (var flow = flows.next(); flow != null; flow = flows.next()) {
                        ordered &= flow.startNs() >= last;
                        last = flow.startNs();
                        if (++count % (lines / 10) == 0) {
                            mostHeap = Math.max(mostHeap, usedHeap() - before);
                        }
                    }
                    double seconds = (System.nanoTime() - began) / 1e9;
                    boolean complete = count + flows.malformed() == flows.lines() && flows.lines() == lines && ordered;
                    System.out.printf(
                            Locale.ROOT,
                            "%d lines (%.0f MB): %d flows, %d malformed, %d later than could be put in "
                                    + "order, %s; heap at most %.1f MB; %.0f lines/s%n",
                            flows.lines(),
                            Files.size(file) / 1e6,
                            count,
                            flows.malformed(),
                            flows.lateEntries(),
                            ordered ? "in order" : "NOT IN ORDER",
                            mostHeap / 1e6,
                            lines / seconds);
                    return complete ? Commands.OK : Commands.FAILED;
                }
            } finally {
                Files.delete(file);
            }
        }

        /** Writes the trace in Common Log Format. */
        private void write(Path file) throws IOException {
            try (BufferedWriter out = Files.newBufferedWriter(file)) {
                for (long i = 0; i < lines; i++) {
                    // 2,000 lines a second; one in 100 is up to 3 s late, one in 10,000 is truncated.
                    long second = i / 2000 - (i % 100 == 0 ? Math.min(i / 2000, i / 100 % 4) : 0);
                    String line = String.format(
                            "10.0.0.%d - - [06/Apr/2026:%02d:%02d:%02d +0200] \"GET /basket/%d HTTP/1.1\"" + " 200 %d",
                            i % 250, second / 3600, second / 60 % 60, second % 60, i % 997, i % 5000);
                    out.write(i % 10_000 == 77 ? line.substring(0, 30) : line);
                    out.newLine();
                }
            }
        }
    }
}
