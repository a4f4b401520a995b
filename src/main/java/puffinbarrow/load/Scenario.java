package puffinbarrow.load;

import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import puffinbarrow.config.ArgumentReader;
import puffinbarrow.config.Problem;
import puffinbarrow.config.Statement;
import puffinbarrow.config.StatementReader;

/**
 * What a load run sends: targets, groups, arrivals and shapes of the rate, parsed from a scenario file whose lines
 * docs/load.md lists. Parsed once by the load commands, the day's plan and the emulator; read-only during a run.
 */
public final class Scenario {
    /** How intended starts are spaced. Scenario files name the constants in lower case. */
    public enum ArrivalProcess {
        CONSTANT,
        POISSON,
        BURSTS
    }

    /** A factor on the rate over time; the factors of all shapes are multiplied. */
    public sealed interface Shape {
        /** Returns the factor at a time since the run's start. */
        double factorAt(long ns);

        /** Returns an upper bound of {@link #factorAt}. */
        double maxFactor();
    }

    /** A single smooth peak: a raised cosine of the given width about its centre. */
    record Peak(double factor, long atNs, long widthNs) implements Shape {
        @Override
        public double factorAt(long ns) {
            double distance = Math.abs(ns - atNs) * 2.0 / widthNs;
            return distance >= 1 ? 1 : 1 + (factor - 1) * (1 + StrictMath.cos(Math.PI * distance)) / 2;
        }

        @Override
        public double maxFactor() {
            return Math.max(1, factor);
        }
    }

    /** A linear change from one factor to another, which then stays. */
    record Ramp(double from, double to, long durationNs) implements Shape {
        @Override
        public double factorAt(long ns) {
            return from + (to - from) * Math.min(1, (double) ns / durationNs);
        }

        @Override
        public double maxFactor() {
            return Math.max(from, to);
        }
    }

    /** A constant factor from a time on, for a period or until the end. */
    record Jump(double factor, long atNs, long durationNs) implements Shape {
        @Override
        public double factorAt(long ns) {
            return ns >= atNs && ns - atNs < durationNs ? factor : 1;
        }

        @Override
        public double maxFactor() {
            return Math.max(1, factor);
        }
    }

    /** A sine about 1 with the given amplitude and period. */
    record Sine(double amplitude, long periodNs) implements Shape {
        @Override
        public double factorAt(long ns) {
            return 1 + amplitude * StrictMath.sin(2 * Math.PI * ns / periodNs);
        }

        @Override
        public double maxFactor() {
            return 1 + amplitude;
        }
    }

    /** A few keys that draw a share of the flows for a period. */
    record HotKeys(int keys, double share, long atNs, long durationNs) {}

    /** A share of the flows that ask for a multiple of the usual work for a period. */
    record HeavyWork(double share, double factor, long atNs, long durationNs) {}

    /**
     * A traffic group.
     *
     * @param share its weight among the groups
     * @param budgetNs latency budget, from the intended start
     * @param expiryNs when a flow is given up, from the intended start
     * @param workNs mean processing time asked of stand-in servers
     * @param workSpread standard deviation of the log-normal work; 0 for exponential work
     * @param retriable whether clients may retry an attempt that may have reached the target
     * @param match paths of a trace that start with this belong to the group
     */
    public record Group(
            String name,
            double share,
            double utility,
            long budgetNs,
            long expiryNs,
            String method,
            String path,
            int bodyBytes,
            long workNs,
            double workSpread,
            boolean retriable,
            String match) {}

    /** How to send a recorded trace in place of drawn arrivals. */
    public static final class TraceSettings {
        public Path file;
        /** Null to detect it from the file's first bytes. */
        public Trace.Format format;
        /** Times as fast as recorded. */
        public double speed = 1;

        /** Flows sent per recorded request. */
        public double rate = 1;

        /** The part of the trace that is sent, from its first request on. */
        public long cutFromNs;

        public long cutToNs = Long.MAX_VALUE;

        /** How many times the trace is sent. */
        public int loops = 1;
        /** Share of lines that may be malformed. */
        public double malformedShare = 0.01;
        /** Column names that differ from the names of their fields, by field. */
        public final Map<String, String> columns = new HashMap<>();
        /** Unit of the time column; empty for seconds or ISO dates. */
        public String unit = "";
    }

    public final List<InetSocketAddress> targets = new ArrayList<>();
    public final List<Group> groups = new ArrayList<>();
    final List<Shape> shapes = new ArrayList<>();
    final List<HotKeys> hotKeys = new ArrayList<>();
    final List<HeavyWork> heavyWork = new ArrayList<>();
    /** Weight of each target, in the order of targets. */
    public final List<Double> targetWeights = new ArrayList<>();
    /** Null for drawn arrivals. */
    public TraceSettings trace;
    /** Number of sending threads. */
    public int senders = 1;
    /** Number of slices that flows are drawn from, each with its own keys; 0 to draw keys directly. */
    public int slices;

    /** Range from which the weights of the slices are drawn. */
    double minSliceWeight = 1;

    double maxSliceWeight = 1;
    /** Number of keys in each slice. */
    int keysPerSlice = 1;

    private boolean lengthGiven;
    /** Whether retries wait at least as long as the response's Retry-After asks for. */
    boolean obeysRetryAfter;

    public long seed = 1;
    /** Length of the run; no flow starts later. */
    public long lengthNs = 10_000_000_000L;
    /** Flows per second before shapes and bursts. */
    public double rate = 100;

    ArrivalProcess arrivalProcess = ArrivalProcess.POISSON;
    /** Factor on the rate during a burst. */
    double burstFactor = 4;

    long meanBurstNs = 500_000_000L;
    /** Mean time between the end of a burst and the next. */
    long meanPauseNs = 5_000_000_000L;

    /** Number of keys that are drawn from without slices. */
    public int keys = 1000;
    /** Exponent of the keys' Zipf distribution. */
    public double zipf = 0.6;
    /** Most retries of a flow by its client. */
    public int retries;
    /** Wait before the first retry; doubles with each further one. */
    public long retryWaitNs = 50_000_000L;
    /** Most connections to each target. */
    public int connections = 256;
    /** Most flows in progress at once. */
    public int inFlight = 20_000;

    private static final List<String> KEYWORDS = List.of(
            "target",
            "seed",
            "length",
            "rate",
            "arrivals",
            "shape",
            "hot",
            "heavy",
            "group",
            "keys",
            "slices",
            "retries",
            "connections",
            "in-flight",
            "senders",
            "trace",
            "trace-speed",
            "trace-rate",
            "trace-cut",
            "trace-loop",
            "trace-malformed",
            "column");
    /** Most flows per second. No single host offers more to a loopback target, so a higher rate is a mistake. */
    private static final double MAX_RATE = 200_000;
    /** Longest run: six hours, as results are kept in at most 3600 intervals. */
    private static final long MAX_LENGTH_NS = 21_600_000_000_000L;
    /** Length of a run with a trace and no length line: the whole trace, one hour at most. */
    private static final long TRACE_LENGTH_NS = 3_600_000_000_000L;

    /** Fields of a trace that a column can be named for. */
    private static final String[] TRACE_FIELDS = {"time", "method", "path", "group", "key", "body", "work"};

    private Scenario() {}

    /** Reads a scenario file. Adds what is wrong to the problems; the scenario is valid only if there are none. */
    public static Scenario read(Path file, List<Problem> problems) {
        return build(StatementReader.read(file, problems), file.toString(), problems);
    }

    /**
     * Parses a scenario's text.
     *
     * @param name the file name given in problems
     */
    public static Scenario parse(String name, String text, List<Problem> problems) {
        return build(StatementReader.parse(name, text, problems), name, problems);
    }

    /** Builds a scenario from its statements and checks what depends on several of them. */
    private static Scenario build(List<Statement> statements, String name, List<Problem> problems) {
        Scenario scenario = new Scenario();
        for (Statement statement : statements) {
            ArgumentReader arguments = new ArgumentReader(statement, problems);
            scenario.parseStatement(statement, arguments);
            arguments.expectEnd();
        }
        if (scenario.trace == null
                && statements.stream()
                        .anyMatch(line -> line.keyword().startsWith("trace-")
                                || line.keyword().equals("column"))) {
            problems.add(new Problem(name, 0, "trace settings without a trace, expected a line 'trace FILE'"));
        }
        if (scenario.trace != null && !scenario.lengthGiven) {
            scenario.lengthNs = TRACE_LENGTH_NS;
        }
        if (scenario.lengthNs > MAX_LENGTH_NS) {
            problems.add(new Problem(name, 0, "length " + scenario.lengthNs / 1e9 + "s, expected at most 6h"));
        }
        if (scenario.slices * (long) scenario.keysPerSlice > Integer.MAX_VALUE) {
            problems.add(new Problem(name, 0, "too many keys in all slices, expected at most 2^31 - 1"));
        }
        if (scenario.groups.isEmpty()) {
            problems.add(new Problem(name, 0, "no line 'group', expected at least one"));
        }
        double maxRate = scenario.maxRate();
        if (maxRate > MAX_RATE) {
            problems.add(new Problem(
                    name,
                    0,
                    "the shapes together reach " + (long) maxRate + " flows a second, expected " + (long) MAX_RATE
                            + " at most"));
        }
        return scenario;
    }

    private void parseStatement(Statement statement, ArgumentReader arguments) {
        switch (statement.keyword()) {
            case "target" -> {
                InetSocketAddress target = arguments.address("a loopback target");
                if (arguments.valid() && !target.getAddress().isLoopbackAddress()) {
                    arguments.reportMistake(
                            "'" + target + "'", "a loopback address, as load is sent to this machine only");
                }
                targets.add(target);
                targetWeights.add(
                        arguments.takeIfNext("weight")
                                ? arguments.number("its weight among the targets", 0.0001, 1e6)
                                : 1);
            }
            case "seed" -> seed = arguments.integer("a seed", 0, Long.MAX_VALUE);
            case "length" -> {
                lengthNs = arguments.durationNs("the run's length");
                lengthGiven = true;
            }
            case "rate" -> rate = arguments.number("flows a second", 0.001, MAX_RATE);
            case "arrivals" -> parseArrivals(arguments);
            case "shape" -> parseShape(arguments);
            case "hot" -> {
                int count = (int) arguments.integer("the number of keys", 1, 1000);
                arguments.expect("keys");
                double share = arguments.share("their share of flows");
                arguments.expect("at");
                long at = arguments.durationNs("the start time");
                arguments.expect("for");
                hotKeys.add(new HotKeys(count, share, at, arguments.durationNs("the duration")));
            }
            case "heavy" -> {
                double share = arguments.share("the share of flows");
                arguments.expect("x");
                double factor = arguments.number("the factor on the work", 1, 1000);
                arguments.expect("at");
                long at = arguments.durationNs("the start time");
                arguments.expect("for");
                heavyWork.add(new HeavyWork(share, factor, at, arguments.durationNs("the duration")));
            }
            case "slices" -> {
                slices = (int) arguments.integer("the number of slices", 1, 1_000_000);
                if (arguments.takeIfNext("uneven")) {
                    minSliceWeight = arguments.number("the smallest slice's weight", 0.0001, 1e6);
                    arguments.expect("to");
                    maxSliceWeight = arguments.number("the largest slice's weight", minSliceWeight, 1e6);
                }
                if (arguments.takeIfNext("keys")) {
                    keysPerSlice = (int) arguments.integer("the keys of each slice", 1, 1_000_000);
                }
            }
            case "senders" -> senders = (int) arguments.integer("the sending threads", 1, 64);
            case "trace",
                    "trace-speed",
                    "trace-rate",
                    "trace-cut",
                    "trace-loop",
                    "trace-malformed",
                    "column" -> parseTrace(statement.keyword(), arguments);
            case "group" -> parseGroup(arguments);
            case "keys" -> {
                keys = (int) arguments.integer("the number of keys", 1, 100_000_000);
                if (arguments.takeIfNext("zipf")) {
                    zipf = arguments.number("the exponent", 0, 5);
                }
            }
            case "retries" -> {
                retries = (int) arguments.integer("the retries of a client", 0, 10);
                if (arguments.takeIfNext("wait")) {
                    retryWaitNs = arguments.durationNs("the wait before the first retry");
                }
                obeysRetryAfter = arguments.takeIfNext("obey");
            }
            case "connections" -> connections = (int) arguments.integer("the connections to each target", 1, 60_000);
            case "in-flight" -> inFlight = (int) arguments.integer("the flows in flight", 1, 1_000_000);
            default -> arguments.reportUnknownKeyword(KEYWORDS);
        }
    }

    /** Parses one of the statements about the trace. */
    private void parseTrace(String keyword, ArgumentReader arguments) {
        trace = trace == null ? new TraceSettings() : trace;
        switch (keyword) {
            case "trace" -> {
                trace.file = Path.of(arguments.text("the trace's file"));
                if (arguments.hasMore()) {
                    trace.format = Trace.Format.valueOf(
                            arguments.oneOf("clf", "csv", "json", "har").toUpperCase(Locale.ROOT));
                }
            }
            case "trace-speed" -> {
                arguments.expect("x");
                trace.speed = arguments.number("the factor on the speed", 0.001, 1e6);
            }
            case "trace-rate" -> {
                arguments.expect("x");
                trace.rate = arguments.number("the factor on the number of flows", 0.0001, 1000);
            }
            case "trace-cut" -> {
                trace.cutFromNs = arguments.durationNs("the start of the cut");
                arguments.expect("to");
                trace.cutToNs = arguments.durationNs("the end of the cut");
                if (arguments.valid() && trace.cutToNs <= trace.cutFromNs) {
                    arguments.reportMistake("an end that is not after the start", "a later time");
                }
            }
            case "trace-loop" -> trace.loops = (int) arguments.integer("the number of times", 1, 1_000_000);
            case "trace-malformed" -> trace.malformedShare =
                    arguments.share("the share of lines that may be malformed");
            default -> {
                String field = arguments.oneOf(TRACE_FIELDS);
                trace.columns.put(field, arguments.text("the name of the column"));
                if (field.equals("time") && arguments.hasMore()) {
                    trace.unit = arguments.oneOf("ns", "us", "ms", "s", "iso");
                }
            }
        }
    }

    /** Returns the slice that a key falls into; the key itself if there are no slices. */
    public int sliceOf(int key) {
        return slices > 0 ? key / keysPerSlice : key;
    }

    /** Returns a scenario with the same groups, keys and bounds at a constant rate against one target, without work. */
    public Scenario withConstantRate(double perS, long durationNs, InetSocketAddress target) {
        Scenario scenario = new Scenario();
        scenario.targets.add(target);
        scenario.targetWeights.add(1.0);
        for (Group group : groups) {
            scenario.groups.add(new Group(
                    group.name,
                    group.share,
                    group.utility,
                    group.budgetNs,
                    group.expiryNs,
                    group.method,
                    group.path,
                    group.bodyBytes,
                    0,
                    0,
                    group.retriable,
                    group.match));
        }
        scenario.arrivalProcess = ArrivalProcess.CONSTANT;
        scenario.rate = perS;
        scenario.lengthNs = durationNs;
        scenario.seed = seed;
        scenario.keys = keys;
        scenario.zipf = zipf;
        scenario.connections = connections;
        scenario.inFlight = inFlight;
        scenario.senders = senders;
        return scenario;
    }

    private void parseArrivals(ArgumentReader arguments) {
        arrivalProcess = ArrivalProcess.valueOf(
                arguments.oneOf("poisson", "constant", "bursts").toUpperCase(Locale.ROOT));
        if (arrivalProcess == ArrivalProcess.BURSTS && arguments.takeIfNext("x")) {
            burstFactor = arguments.number("the factor on the rate in a burst", 1, 1000);
            arguments.expect("for");
            meanBurstNs = Math.max(1, arguments.durationNs("a burst's mean length"));
            arguments.expect("every");
            meanPauseNs = Math.max(1, arguments.durationNs("the mean time between bursts"));
        }
    }

    private void parseShape(ArgumentReader arguments) {
        switch (arguments.oneOf("peak", "ramp", "jump", "step", "sine")) {
            case "peak" -> {
                arguments.expect("x");
                double factor = arguments.number("the factor on the rate at the peak", 0, 1000);
                arguments.expect("at");
                long at = arguments.durationNs("the start time");
                arguments.expect("width");
                shapes.add(new Peak(factor, at, Math.max(1, arguments.durationNs("the width"))));
            }
            case "ramp" -> {
                arguments.expect("from");
                double from = arguments.number("the factor at the start", 0, 1000);
                arguments.expect("to");
                double to = arguments.number("the factor at the end", 0, 1000);
                arguments.expect("over");
                shapes.add(new Ramp(from, to, Math.max(1, arguments.durationNs("the duration"))));
            }
            case "jump" -> {
                arguments.expect("x");
                double factor = arguments.number("the factor on the rate", 0, 1000);
                arguments.expect("at");
                long at = arguments.durationNs("the start time");
                arguments.expect("for");
                shapes.add(new Jump(factor, at, arguments.durationNs("the duration")));
            }
            case "step" -> {
                arguments.expect("x");
                double factor = arguments.number("the factor on the rate", 0, 1000);
                arguments.expect("at");
                shapes.add(new Jump(factor, arguments.durationNs("the start time"), Long.MAX_VALUE));
            }
            default -> {
                arguments.expect("by");
                double amplitude = arguments.share("the amplitude");
                arguments.expect("every");
                shapes.add(new Sine(amplitude, Math.max(1, arguments.durationNs("the period"))));
            }
        }
    }

    private void parseGroup(ArgumentReader arguments) {
        String name = arguments.text("the group's name");
        arguments.expect("share");
        double share = arguments.number("its weight among the groups", 0, 1e6);
        arguments.expect("utility");
        double utility = arguments.number("its utility", 0, 1e6);
        arguments.expect("budget");
        long budget = arguments.durationNs("its latency budget");
        arguments.expect("expiry");
        long expiry = arguments.durationNs("its expiry");
        arguments.expect("path");
        String path = arguments.text("its path");
        String method = arguments.takeIfNext("method") ? arguments.text("its method") : "GET";
        int body = arguments.takeIfNext("body") ? (int) arguments.sizeBytes("its body") : 0;
        long work = arguments.takeIfNext("work") ? arguments.durationNs("the work asked of stand-in servers") : 0;
        double spread =
                arguments.takeIfNext("spread") ? arguments.number("the log-normal spread of its work", 0.001, 3) : 0;
        boolean retriable = !arguments.takeIfNext("non-retriable");
        String match = arguments.takeIfNext("match") ? arguments.text("the start of the paths of a trace") : "";
        if (arguments.valid() && budget > expiry) {
            arguments.reportMistake("a budget longer than the expiry", "a budget of at most " + expiry / 1e9 + "s");
        }
        groups.add(new Group(name, share, utility, budget, expiry, method, path, body, work, spread, retriable, match));
    }

    /** Returns the flows per second at a time since the run's start, without bursts. */
    public double rateAt(long ns) {
        double current = rate;
        for (Shape shape : shapes) {
            current *= shape.factorAt(ns);
        }
        return current;
    }

    /** Returns an upper bound of the flows per second at any time, bursts included. */
    public double maxRate() {
        double maxRate = rate * (arrivalProcess == ArrivalProcess.BURSTS ? burstFactor : 1);
        for (Shape shape : shapes) {
            maxRate *= shape.maxFactor();
        }
        return maxRate;
    }
}
