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
import puffinbarrow.standin.Delays;

/** What the load generator reaches and costs, against a stand-in in a process of its own. */
final class LoadMeasures {
    private LoadMeasures() {}

    /** A stand-in target as a process: says its port and runs until its input ends. */
    @Command(name = "load-target", hidden = true)
    static final class Target implements Callable<Integer> {
        @Option(names = "--delay-ms")
        private double delayMs;

        @Override
        public Integer call() throws IOException {
            try (Delays target = new Delays(u -> delayMs * 1e6, RandomSource.XO_RO_SHI_RO_128_PP.create(1))) {
                System.out.println(target.address().getPort());
                while (System.in.read() >= 0) {
                    // Until whoever started it has gone.
                }
                return Commands.FINE;
            }
        }
    }

    /** The child and the port that it said. */
    record Child(Process process, int port) implements AutoCloseable {
        static Child start(double delayMs) throws IOException {
            List<String> command = BenchCommands.self("bench", "load-target", "--delay-ms", Double.toString(delayMs));
            command.removeIf(word -> word.startsWith("-XX:"));
            Process process = new ProcessBuilder(command)
                    .redirectError(ProcessBuilder.Redirect.INHERIT)
                    .start();
            BufferedReader said = new BufferedReader(new InputStreamReader(process.getInputStream()));
            return new Child(process, Integer.parseInt(said.readLine().trim()));
        }

        @Override
        public void close() {
            process.destroy();
        }
    }

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
            description = "The rate reached, beside wrk's on the same "
                    + "stand-in with the same connections, taken in turn.")
    static final class Rate implements Callable<Integer> {
        @Option(names = "--rounds", paramLabel = "N", description = "pairs (${DEFAULT-VALUE})")
        private int rounds = 5;

        @Option(names = "--connections", paramLabel = "N", description = "of each (${DEFAULT-VALUE})")
        private int connections = 64;

        @Option(names = "--senders", paramLabel = "N", description = "sending threads of each (${DEFAULT-VALUE})")
        private int senders = 2;

        /** The users' aim. */
        private static final double AIM = 0.7;

        @Override
        public Integer call() throws IOException, InterruptedException {
            try (Child target = Child.start(0)) {
                ours(target.port, 20_000);
                wrk(target.port);
                List<Double> ratios = new ArrayList<>();
                for (int i = 0; i < rounds; i++) {
                    double theirs = wrk(target.port);
                    if (theirs <= 0) {
                        System.err.println("wrk cannot be run, expected it on the path (package wrk)");
                        return Commands.FAILED;
                    }
                    // Asked for as much as wrk reached: what it answers a second is what is compared.
                    Result result = ours(target.port, theirs);
                    double reached = result.all.latency.getTotalCount() / took;
                    ratios.add(reached / theirs);
                    System.out.printf(
                            Locale.ROOT,
                            "wrk %.0f/s, ours %.0f/s of as many intended: %.2f; from the intended "
                                    + "start p50 %.2f ms, p99 %.2f ms; from the sending p50 %.2f ms%n",
                            theirs,
                            reached,
                            reached / theirs,
                            result.all.latency.getValueAtPercentile(50) / 1e3,
                            result.all.latency.getValueAtPercentile(99) / 1e3,
                            result.all.service.getValueAtPercentile(50) / 1e3);
                }
                ratios.sort(null);
                double median = ratios.get(ratios.size() / 2);
                System.out.printf(Locale.ROOT, "median %.2f of wrk's rate, %.1f aimed at%n", median, AIM);
                return median >= AIM ? Commands.FINE : Commands.FAILED;
            }
        }

        private double took;

        private Result ours(int port, double rate) throws IOException {
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
                took = Math.max(5, (System.nanoTime() - began) / 1e9);
                return result;
            }
        }

        private double wrk(int port) throws IOException, InterruptedException {
            try {
                Process process = new ProcessBuilder(
                                "wrk", "-t" + senders, "-c" + connections, "-d5s", "http://127.0.0.1:" + port + "/")
                        .redirectErrorStream(true)
                        .start();
                String text = new String(process.getInputStream().readAllBytes());
                process.waitFor();
                Matcher m = Pattern.compile("Requests/sec:\\s*([0-9.]+)").matcher(text);
                return m.find() ? Double.parseDouble(m.group(1)) : 0;
            } catch (IOException absent) {
                return 0;
            }
        }
    }

    private static long heap() throws InterruptedException {
        for (int i = 0; i < 3; i++) {
            System.gc();
            TimeUnit.MILLISECONDS.sleep(50);
        }
        return ManagementFactory.getMemoryMXBean().getHeapMemoryUsage().getUsed();
    }

    @Command(name = "load-memory", mixinStandardHelpOptions = true, description = "Heap with 10,000 flows in flight.")
    static final class Memory implements Callable<Integer> {
        @Option(names = "--flows", paramLabel = "N", description = "in flight (${DEFAULT-VALUE})")
        private int flows = 10_000;

        @Override
        public Integer call() throws IOException, InterruptedException {
            // Answers take 8 s, so that flows sent in 4 s are all open from then on.
            try (Child target = Child.start(8000)) {
                long before = heap();
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
                    long used = heap() - before;
                    System.out.printf(
                            Locale.ROOT,
                            "%d flows in flight: %.1f MB of heap, %.1f KB each%n",
                            open,
                            used / 1e6,
                            used / 1e3 / Math.max(1, open));
                    run.join();
                    System.out.println("outcomes " + result[0].all.outcomes + (result[0].whole() ? "" : " NOT WHOLE"));
                    return result[0].whole() && open >= flows * 0.99 ? Commands.FINE : Commands.FAILED;
                }
            }
        }
    }

    @Command(
            name = "load-trace",
            mixinStandardHelpOptions = true,
            description =
                    "Reads a long trace, a hundredth of it out " + "of order and some malformed, in bounded memory.")
    static final class LongTrace implements Callable<Integer> {
        @Option(names = "--lines", paramLabel = "N", description = "(${DEFAULT-VALUE})")
        private long lines = 10_000_000;

        @Override
        public Integer call() throws IOException, InterruptedException {
            Path file = Files.createTempFile("trace", ".log");
            try {
                write(file);
                long before = heap();
                Scenario scenario = scenario(1, "trace " + file + " clf\nlength 6h\n");
                long count = 0;
                long most = 0;
                long began = System.nanoTime();
                try (TraceFlows flows = new TraceFlows(scenario)) {
                    long last = 0;
                    boolean ordered = true;
                    for (var flow = flows.next(); flow != null; flow = flows.next()) {
                        ordered &= flow.startNs() >= last;
                        last = flow.startNs();
                        if (++count % (lines / 10) == 0) {
                            most = Math.max(most, heap() - before);
                        }
                    }
                    double s = (System.nanoTime() - began) / 1e9;
                    boolean whole = count + flows.malformed() == flows.lines() && flows.lines() == lines && ordered;
                    System.out.printf(
                            Locale.ROOT,
                            "%d lines (%.0f MB): %d flows, %d malformed, %d later than could be put in "
                                    + "order, %s; heap at most %.1f MB; %.0f lines/s%n",
                            flows.lines(),
                            Files.size(file) / 1e6,
                            count,
                            flows.malformed(),
                            flows.late(),
                            ordered ? "in order" : "NOT IN ORDER",
                            most / 1e6,
                            lines / s);
                    return whole ? Commands.FINE : Commands.FAILED;
                }
            } finally {
                Files.delete(file);
            }
        }

        private void write(Path file) throws IOException {
            try (BufferedWriter out = Files.newBufferedWriter(file)) {
                for (long i = 0; i < lines; i++) {
                    // 2,000 lines a second; each hundredth is written up to 3 s late, one in 10,000 is cut.
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
