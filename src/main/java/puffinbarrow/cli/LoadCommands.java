package puffinbarrow.cli;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Callable;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import puffinbarrow.config.Problem;
import puffinbarrow.load.Compare;
import puffinbarrow.load.Engine;
import puffinbarrow.load.Flow;
import puffinbarrow.load.FlowRecorder;
import puffinbarrow.load.FlowSource;
import puffinbarrow.load.Report;
import puffinbarrow.load.Result;
import puffinbarrow.load.Scenario;
import puffinbarrow.load.Trace;
import puffinbarrow.load.TraceFlows;

/**
 * Commands of the load generator, which sends flows at their intended times whether or not earlier ones have ended (an
 * open workload), measures latency from the intended start, and accepts loopback targets only.
 */
@Command(
        name = "load",
        mixinStandardHelpOptions = true,
        description = "Sends load to targets on this machine.",
        subcommands = {
            LoadCommands.Run.class,
            LoadCommands.Shape.class,
            LoadCommands.TraceToScenario.class,
            LoadCommands.CompareResults.class
        })
final class LoadCommands implements Callable<Integer> {
    @Override
    public Integer call() {
        new CommandLine(this).usage(System.err);
        return Commands.USAGE;
    }

    /** Reads a scenario, or prints its problems and returns null. */
    private static Scenario read(Path file) {
        List<Problem> problems = new ArrayList<>();
        Scenario scenario = Scenario.read(file, problems);
        problems.forEach(System.err::println);
        return problems.isEmpty() ? scenario : null;
    }

    @Command(
            name = "run",
            mixinStandardHelpOptions = true,
            description = "Sends a scenario; exit 1 if flows are unaccounted for or the run was cut short.")
    static final class Run implements Callable<Integer> {
        @Parameters(paramLabel = "SCENARIO", description = "the scenario file")
        private Path file;

        @Option(
                names = {"-o", "--out"},
                paramLabel = "FOLDER",
                description = "folder for the results")
        private Path out;

        @Option(
                names = "--record",
                paramLabel = "FILE",
                description = "records the flows as a trace that can be sent again exactly (.gz compresses)")
        private Path record;

        @Option(names = "--dry", description = "sends nothing to the targets; measures what rate this host can offer")
        private boolean dry;

        @Override
        public Integer call() throws IOException {
            Scenario scenario = read(file);
            if (scenario == null) {
                return Commands.USAGE;
            }
            if (dry) {
                return LoadAccuracyBench.dry(scenario);
            }
            if (scenario.targets.isEmpty()) {
                System.err.println(file + ":0: no line 'target', expected at least one to send to");
                return Commands.USAGE;
            }
            System.out.println("seed " + scenario.seed);
            FlowSource source = Engine.openSource(scenario);
            TraceFlows trace = source instanceof TraceFlows t ? t : null;
            if (record != null) {
                source = new FlowRecorder(source, scenario, record);
            }
            try (Engine engine = new Engine(scenario, source, null)) {
                Result result = engine.run(System.out);
                System.out.print(Report.text(scenario, result));
                if (trace != null) {
                    printTrace(trace);
                }
                if (out != null) {
                    Report.write(out, Files.readString(file), scenario, result);
                    System.out.println("written to " + out);
                }
                return result.isComplete() && result.stopReason == null ? Commands.OK : Commands.FAILED;
            }
        }
    }

    @Command(
            name = "shape",
            mixinStandardHelpOptions = true,
            description = "Plots a scenario's arrivals without sending.")
    static final class Shape implements Callable<Integer> {
        @Parameters(paramLabel = "SCENARIO", description = "the scenario file")
        private Path file;

        @Override
        public Integer call() throws IOException {
            Scenario scenario = read(file);
            if (scenario == null) {
                return Commands.USAGE;
            }
            try (FlowSource source = Engine.openSource(scenario)) {
                plotArrivals(source);
                if (source instanceof TraceFlows trace) {
                    printTrace(trace);
                }
                return Commands.OK;
            } catch (Trace.TooManyMalformedException e) {
                System.err.println(e.getMessage());
                return Commands.FAILED;
            }
        }
    }

    /** Prints a bar for each second, or for each longer step so that sixty lines suffice. */
    private static void plotArrivals(FlowSource source) throws IOException {
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

    /** Prints what was read from a trace and examples of what was malformed. */
    private static void printTrace(TraceFlows trace) {
        System.out.printf(
                "trace: %s, %d lines, %d malformed, %d later than could be put in order, %d of no group%n",
                trace.format().name().toLowerCase(Locale.ROOT),
                trace.lines(),
                trace.malformed(),
                trace.lateEntries(),
                trace.unmatchedEntries());
        trace.firstProblems().forEach(System.out::println);
    }

    @Command(
            name = "trace",
            mixinStandardHelpOptions = true,
            description = "Reads a recorded trace and writes a scenario that sends it;"
                    + " exit 1 if too many lines are malformed.")
    static final class TraceToScenario implements Callable<Integer> {
        /** The most frequent path prefixes become traffic groups of their own, at most this many. */
        private static final int MAX_GROUPS = 5;

        /** Bounds memory on traces whose paths are all different. */
        private static final int MAX_PREFIXES = 10_000;

        @Parameters(paramLabel = "FILE", description = "Common or Combined Log Format, CSV, JSON lines, HAR; .gz too")
        private Path file;

        @Option(
                names = "--format",
                paramLabel = "clf|csv|json|har",
                description = "the trace's format, if its first bytes mislead")
        private String format;

        @Option(names = "--column", paramLabel = "FIELD=NAME", description = "names a column, such as time=started_at")
        private Map<String, String> columns = Map.of();

        @Option(
                names = "--malformed",
                paramLabel = "SHARE",
                description = "the largest share of malformed lines (${DEFAULT-VALUE})")
        private double maxMalformed = 0.01;

        @Option(
                names = {"-o", "--out"},
                paramLabel = "SCENARIO",
                description = "writes a scenario with a group for each common path prefix")
        private Path out;

        @Override
        public Integer call() throws IOException {
            Scenario.TraceSettings settings = new Scenario.TraceSettings();
            settings.file = file;
            settings.malformedShare = maxMalformed;
            settings.columns.putAll(columns);
            if (format != null) {
                try {
                    settings.format = Trace.Format.valueOf(format.toUpperCase(Locale.ROOT));
                } catch (IllegalArgumentException e) {
                    System.err.println("--format: '" + format + "', expected one of clf, csv, json, har");
                    return Commands.USAGE;
                }
            }
            Map<String, Long> prefixes = new TreeMap<>();
            long count = 0;
            long first = Long.MAX_VALUE;
            long last = Long.MIN_VALUE;
            int exit = Commands.OK;
            try (Trace trace = new Trace(settings)) {
                try {
                    for (Trace.Entry entry = trace.next(); entry != null; entry = trace.next()) {
                        count++;
                        first = Math.min(first, entry.atNs());
                        last = Math.max(last, entry.atNs());
                        String prefix = pathPrefix(entry.path());
                        // Beyond the limit, new prefixes count as "/".
                        prefixes.merge(
                                prefixes.size() < MAX_PREFIXES || prefixes.containsKey(prefix) ? prefix : "/",
                                1L,
                                Long::sum);
                    }
                } catch (Trace.TooManyMalformedException e) {
                    System.err.println(e.getMessage());
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
                trace.firstProblems().forEach(System.out::println);
            }
            List<Map.Entry<String, Long>> prefixesByCount = new ArrayList<>(prefixes.entrySet());
            prefixesByCount.sort(Map.Entry.<String, Long>comparingByValue().reversed());
            for (var prefix : prefixesByCount.subList(0, Math.min(20, prefixesByCount.size()))) {
                System.out.printf(
                        Locale.ROOT,
                        "%8d  %5.1f%%  %s%n",
                        prefix.getValue(),
                        100.0 * prefix.getValue() / count,
                        prefix.getKey());
            }
            if (out != null && exit == Commands.OK) {
                Files.writeString(
                        out, scenario(prefixesByCount.subList(0, Math.min(MAX_GROUPS, prefixesByCount.size()))));
                System.out.println("written to " + out + "; add its targets, budgets and expiries");
            }
            return exit;
        }

        /** Returns the first segment of a path, by which most sites tell kinds of work apart. */
        private static String pathPrefix(String path) {
            if (path == null) {
                return "/";
            }
            int end = 1;
            while (end < path.length() && "/?#".indexOf(path.charAt(end)) < 0) {
                end++;
            }
            return path.substring(0, Math.min(end, path.length()));
        }

        /** Returns the text of a scenario that sends the trace. */
        private String scenario(List<Map.Entry<String, Long>> commonPrefixes) {
            StringBuilder text = new StringBuilder("trace " + file + (format == null ? "" : " " + format) + "\n");
            columns.forEach((field, name) -> text.append("column ")
                    .append(field)
                    .append(' ')
                    .append(name)
                    .append('\n'));
            text.append("target 127.0.0.1:8080\n");
            int number = 0;
            for (var prefix : commonPrefixes) {
                text.append("group g")
                        .append(number++)
                        .append(" share ")
                        .append(prefix.getValue())
                        .append(" utility 1 budget 1s expiry 5s path ")
                        .append(prefix.getKey());
                text.append(prefix.getKey().equals("/") ? "\n" : " match " + prefix.getKey() + "\n");
            }
            return text.append("group rest share 1 utility 1 budget 1s expiry 5s path /\n")
                    .toString();
        }
    }

    @Command(
            name = "compare",
            mixinStandardHelpOptions = true,
            description = "Compares two result folders and tells differences from noise.")
    static final class CompareResults implements Callable<Integer> {
        @Parameters(index = "0", paramLabel = "A")
        private Path a;

        @Parameters(index = "1", paramLabel = "B")
        private Path b;

        @Override
        public Integer call() throws IOException {
            System.out.print(Compare.text(a, b, 1));
            return Commands.OK;
        }
    }
}
