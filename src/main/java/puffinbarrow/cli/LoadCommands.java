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
import puffinbarrow.load.Engine;
import puffinbarrow.load.Flow;
import puffinbarrow.load.Report;
import puffinbarrow.load.Result;
import puffinbarrow.load.Scenario;
import puffinbarrow.load.SentLog;
import puffinbarrow.load.Source;
import puffinbarrow.load.Trace;
import puffinbarrow.load.TraceFlows;

/** The load generator: open arrivals, latency from the intended start, loopback targets only. */
@Command(
        name = "load",
        mixinStandardHelpOptions = true,
        description = "Sends load to targets on this machine.",
        subcommands = {
            LoadCommands.Run.class,
            LoadCommands.Shape.class,
            LoadCommands.FromTrace.class,
            LoadCommands.Compare.class
        })
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

    @Command(
            name = "run",
            mixinStandardHelpOptions = true,
            description = "Sends a scenario; exit 1 if a flow was lost" + " from sight.")
    static final class Run implements Callable<Integer> {
        @Parameters(paramLabel = "SCENARIO", description = "what to send")
        private Path file;

        @Option(
                names = {"-o", "--out"},
                paramLabel = "FOLDER",
                description = "where results are written")
        private Path out;

        @Option(
                names = "--record",
                paramLabel = "FILE",
                description = "writes the flows as a trace, to be sent exactly" + " so again (.gz zips)")
        private Path record;

        @Option(names = "--dry", description = "sends nothing to the targets: says what rate this host can offer")
        private boolean dry;

        @Override
        public Integer call() throws IOException {
            Scenario scenario = read(file);
            if (scenario == null) {
                return Commands.USAGE;
            }
            if (dry) {
                return LoadBench.dry(scenario);
            }
            if (scenario.targets.isEmpty()) {
                System.err.println(file + ":0: no line 'target', expected at least one to send to");
                return Commands.USAGE;
            }
            System.out.println("seed " + scenario.seed);
            Source source = Engine.source(scenario);
            TraceFlows trace = source instanceof TraceFlows t ? t : null;
            if (record != null) {
                source = new SentLog(source, scenario, record);
            }
            try (Engine engine = new Engine(scenario, source, null)) {
                Result result = engine.run(System.out);
                System.out.print(Report.text(scenario, result));
                if (trace != null) {
                    told(trace);
                }
                if (out != null) {
                    Report.write(out, Files.readString(file), scenario, result);
                    System.out.println("written to " + out);
                }
                return result.whole() && result.cutShort == null ? Commands.FINE : Commands.FAILED;
            }
        }
    }

    @Command(
            name = "shape",
            mixinStandardHelpOptions = true,
            description = "Draws a scenario's arrivals without sending.")
    static final class Shape implements Callable<Integer> {
        @Parameters(paramLabel = "SCENARIO", description = "what to draw")
        private Path file;

        @Override
        public Integer call() throws IOException {
            Scenario scenario = read(file);
            if (scenario == null) {
                return Commands.USAGE;
            }
            try (Source source = Engine.source(scenario)) {
                draw(source);
                if (source instanceof TraceFlows trace) {
                    told(trace);
                }
                return Commands.FINE;
            } catch (Trace.TooManyMalformed wrong) {
                System.err.println(wrong.getMessage());
                return Commands.FAILED;
            }
        }
    }

    /** A bar a second, or a longer step so that sixty lines hold it. */
    private static void draw(Source source) throws IOException {
        List<Long> counts = new ArrayList<>();
        for (Flow flow = source.next(); flow != null; flow = source.next()) {
            int second = (int) (flow.startNs() / 1_000_000_000L);
            while (counts.size() <= second) {
                counts.add(0L);
            }
            counts.set(second, counts.get(second) + 1);
        }
        int step = (counts.size() + 59) / 60;
        List<Long> bars = new ArrayList<>();
        for (int i = 0; i < counts.size(); i += step) {
            bars.add(counts.subList(i, Math.min(counts.size(), i + step)).stream()
                    .mapToLong(Long::longValue)
                    .sum());
        }
        long most = Math.max(1, bars.stream().mapToLong(Long::longValue).max().orElse(1));
        for (int i = 0; i < bars.size(); i++) {
            System.out.printf(
                    Locale.ROOT, "%5d s %7d %s%n", i * step, bars.get(i), "#".repeat((int) (60 * bars.get(i) / most)));
        }
        System.out.printf(
                "%d flows in %d s%n", counts.stream().mapToLong(Long::longValue).sum(), counts.size());
    }

    private static void told(TraceFlows trace) {
        System.out.printf(
                "trace: %s, %d lines, %d malformed, %d later than could be put in order, %d of no group%n",
                trace.format().name().toLowerCase(Locale.ROOT),
                trace.lines(),
                trace.malformed(),
                trace.late(),
                trace.unmatched());
        trace.shown().forEach(System.out::println);
    }

    @Command(
            name = "trace",
            mixinStandardHelpOptions = true,
            description =
                    "Reads a recorded trace and writes a scenario" + " to send it by; exit 1 if too much is malformed.")
    static final class FromTrace implements Callable<Integer> {
        /** So many beginnings of paths become groups of their own. */
        private static final int GROUPS = 5;

        @Parameters(paramLabel = "FILE", description = "Common or Combined Log Format, CSV, JSON lines, HAR; .gz too")
        private Path file;

        @Option(names = "--format", paramLabel = "clf|csv|json|har", description = "if its first bytes mislead")
        private String format;

        @Option(names = "--column", paramLabel = "FIELD=NAME", description = "names a column, such as time=started_at")
        private java.util.Map<String, String> columns = java.util.Map.of();

        @Option(
                names = "--malformed",
                paramLabel = "SHARE",
                description = "the share of lines that may be (${DEFAULT-VALUE})")
        private double malformed = 0.01;

        @Option(
                names = {"-o", "--out"},
                paramLabel = "SCENARIO",
                description = "writes a scenario with a group for each" + " common beginning of paths")
        private Path out;

        @Override
        public Integer call() throws IOException {
            Scenario.FromTrace plan = new Scenario.FromTrace();
            plan.file = file;
            plan.malformedShare = malformed;
            plan.columns.putAll(columns);
            if (format != null) {
                try {
                    plan.format = Trace.Format.valueOf(format.toUpperCase(Locale.ROOT));
                } catch (IllegalArgumentException wrong) {
                    System.err.println("--format: '" + format + "', expected one of clf, csv, json, har");
                    return Commands.USAGE;
                }
            }
            java.util.Map<String, Long> paths = new java.util.TreeMap<>();
            long count = 0;
            long first = Long.MAX_VALUE;
            long last = Long.MIN_VALUE;
            int exit = Commands.FINE;
            try (Trace trace = new Trace(plan)) {
                try {
                    for (Trace.Entry e = trace.next(); e != null; e = trace.next()) {
                        count++;
                        first = Math.min(first, e.atNs());
                        last = Math.max(last, e.atNs());
                        String path = begin(e.path());
                        // Only so many kinds are told apart: a trace of unlike paths must not fill the memory.
                        paths.merge(paths.size() < 10_000 || paths.containsKey(path) ? path : "/", 1L, Long::sum);
                    }
                } catch (Trace.TooManyMalformed wrong) {
                    System.err.println(wrong.getMessage());
                    exit = Commands.FAILED;
                }
                double seconds = count == 0 ? 0 : (last - first) / 1e9;
                System.out.printf(
                        Locale.ROOT,
                        "%s: %d lines, %d malformed, %.1f s, %.1f flows/s%n",
                        trace.format().name().toLowerCase(Locale.ROOT),
                        trace.lines(),
                        trace.malformed(),
                        seconds,
                        seconds > 0 ? count / seconds : 0);
                trace.shown().forEach(System.out::println);
            }
            List<java.util.Map.Entry<String, Long>> most = new ArrayList<>(paths.entrySet());
            most.sort(java.util.Map.Entry.<String, Long>comparingByValue().reversed());
            for (var path : most.subList(0, Math.min(20, most.size()))) {
                System.out.printf(
                        Locale.ROOT,
                        "%8d  %5.1f%%  %s%n",
                        path.getValue(),
                        100.0 * path.getValue() / count,
                        path.getKey());
            }
            if (out != null && exit == Commands.FINE) {
                Files.writeString(out, scenario(most.subList(0, Math.min(GROUPS, most.size()))));
                System.out.println("written to " + out + "; add its targets, budgets and expiries");
            }
            return exit;
        }

        /** The first part of a path, which is how most sites tell kinds of work apart. */
        private static String begin(String path) {
            if (path == null) {
                return "/";
            }
            int end = 1;
            while (end < path.length() && "/?#".indexOf(path.charAt(end)) < 0) {
                end++;
            }
            return path.substring(0, Math.min(end, path.length()));
        }

        private String scenario(List<java.util.Map.Entry<String, Long>> most) {
            StringBuilder text = new StringBuilder("trace " + file + (format == null ? "" : " " + format) + "\n");
            columns.forEach((field, name) -> text.append("column ")
                    .append(field)
                    .append(' ')
                    .append(name)
                    .append('\n'));
            text.append("target 127.0.0.1:8080\n");
            int number = 0;
            for (var path : most) {
                text.append("group g")
                        .append(number++)
                        .append(" share ")
                        .append(path.getValue())
                        .append(" utility 1 budget 1s expiry 5s path ")
                        .append(path.getKey());
                text.append(path.getKey().equals("/") ? "\n" : " match " + path.getKey() + "\n");
            }
            return text.append("group rest share 1 utility 1 budget 1s expiry 5s path /\n")
                    .toString();
        }
    }

    @Command(
            name = "compare",
            mixinStandardHelpOptions = true,
            description = "Sets two result folders side by side and" + " says what is noise.")
    static final class Compare implements Callable<Integer> {
        @Parameters(index = "0", paramLabel = "A")
        private Path a;

        @Parameters(index = "1", paramLabel = "B")
        private Path b;

        @Override
        public Integer call() throws IOException {
            System.out.print(puffinbarrow.load.Compare.text(a, b, 1));
            return Commands.FINE;
        }
    }
}
