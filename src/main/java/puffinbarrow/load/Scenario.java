package puffinbarrow.load;

import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import puffinbarrow.config.Lines;
import puffinbarrow.config.Problem;
import puffinbarrow.config.Statement;
import puffinbarrow.config.Words;

/** What a load run sends: targets, groups, arrivals and shapes; docs/load.md lists the lines. */
public final class Scenario {
    public enum Process {
        CONSTANT,
        POISSON,
        BURSTS
    }

    /** A factor on the rate over time; all shapes multiply. */
    public sealed interface Shape {
        /** The factor at a time since the start. */
        double at(long ns);

        /** No less than {@link #at} ever gives. */
        double most();
    }

    /** A hump as a Monday morning: a raised cosine of that width about its peak. */
    record Peak(double factor, long atNs, long widthNs) implements Shape {
        @Override
        public double at(long ns) {
            double off = Math.abs(ns - atNs) * 2.0 / widthNs;
            return off >= 1 ? 1 : 1 + (factor - 1) * (1 + StrictMath.cos(Math.PI * off)) / 2;
        }

        @Override
        public double most() {
            return Math.max(1, factor);
        }
    }

    record Ramp(double from, double to, long overNs) implements Shape {
        @Override
        public double at(long ns) {
            return from + (to - from) * Math.min(1, (double) ns / overNs);
        }

        @Override
        public double most() {
            return Math.max(from, to);
        }
    }

    /** A jump, for good or for a time. */
    record Jump(double factor, long atNs, long forNs) implements Shape {
        @Override
        public double at(long ns) {
            return ns >= atNs && ns - atNs < forNs ? factor : 1;
        }

        @Override
        public double most() {
            return Math.max(1, factor);
        }
    }

    record Sine(double by, long everyNs) implements Shape {
        @Override
        public double at(long ns) {
            return 1 + by * StrictMath.sin(2 * Math.PI * ns / everyNs);
        }

        @Override
        public double most() {
            return 1 + by;
        }
    }

    /** A few keys draw a share of the flows for a time, then others do. */
    record Hot(int keys, double share, long atNs, long forNs) {}

    /** A share of flows asks for many times the usual work for a time. */
    record Heavy(double share, double factor, long atNs, long forNs) {}

    /** @param match paths of a trace that begin so are of this group */
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
            boolean repeats,
            String match) {}

    /** A recorded trace in place of drawn arrivals. */
    public static final class FromTrace {
        public Path file;
        public Trace.Format format;
        public double speed = 1, rate = 1;
        public long cutFromNs, cutToNs = Long.MAX_VALUE;
        public int loops = 1;
        public double malformedShare = 0.01;
        public final java.util.Map<String, String> columns = new java.util.HashMap<>();
        public String unit = "";
    }

    public final List<InetSocketAddress> targets = new ArrayList<>();
    public final List<Group> groups = new ArrayList<>();
    final List<Shape> shapes = new ArrayList<>();
    final List<Hot> hot = new ArrayList<>();
    final List<Heavy> heavy = new ArrayList<>();
    public final List<Double> targetParts = new ArrayList<>();
    public FromTrace trace;
    public int senders = 1;
    /** Slices of uneven size in place of single keys; 0 for none. */
    public int slices;

    double sliceLow = 1, sliceHigh = 1;
    int keysEach = 1;
    boolean lengthTold;
    boolean obeysRetryAfter;
    public long seed = 1;
    public long lengthNs = 10_000_000_000L;
    public double rate = 100;
    Process process = Process.POISSON;
    double burstFactor = 4;
    long burstForNs = 500_000_000L, burstEveryNs = 5_000_000_000L;
    public int keys = 1000;
    public double zipf = 0.6;
    public int retries;
    public long retryWaitNs = 50_000_000L;
    public int connections = 256;
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
    /** A rate over this is a slip of the pen: no single host offers it to a loopback target. */
    private static final double MOST_RATE = 200_000;
    /** Six hours: figures are kept in at most 3,600 steps. */
    private static final long MOST_LENGTH_NS = 21_600_000_000_000L;
    /** A trace without a length is sent whole, within this. */
    private static final long TRACE_LENGTH_NS = 3_600_000_000_000L;

    private static final String[] FIELDS = {"time", "method", "path", "group", "key", "body", "work"};

    private Scenario() {}

    public static Scenario read(Path file, List<Problem> problems) {
        return of(Lines.read(file, problems), file.toString(), problems);
    }

    public static Scenario parse(String name, String text, List<Problem> problems) {
        return of(Lines.parse(name, text, problems), name, problems);
    }

    private static Scenario of(List<Statement> statements, String name, List<Problem> problems) {
        Scenario scenario = new Scenario();
        for (Statement statement : statements) {
            Words w = new Words(statement, problems);
            scenario.take(statement, w);
            w.end();
        }
        if (scenario.trace == null
                && statements.stream()
                        .anyMatch(st -> st.keyword().startsWith("trace-")
                                || st.keyword().equals("column"))) {
            problems.add(new Problem(name, 0, "lines about a trace without one, expected a line 'trace FILE'"));
        }
        if (scenario.trace != null && !scenario.lengthTold) {
            scenario.lengthNs = TRACE_LENGTH_NS;
        }
        if (scenario.lengthNs > MOST_LENGTH_NS) {
            problems.add(new Problem(name, 0, "a length of " + scenario.lengthNs / 1e9 + "s, expected 6h at most"));
        }
        if (scenario.slices * (long) scenario.keysEach > Integer.MAX_VALUE) {
            problems.add(new Problem(name, 0, "too many keys in all slices, expected 2^31 - 1 at most"));
        }
        if (scenario.groups.isEmpty()) {
            problems.add(new Problem(name, 0, "no line 'group', expected at least one"));
        }
        double most = scenario.mostRate();
        if (most > MOST_RATE) {
            problems.add(new Problem(
                    name,
                    0,
                    "the shapes together reach " + (long) most + " flows a second, expected " + (long) MOST_RATE
                            + " at most"));
        }
        return scenario;
    }

    private void take(Statement statement, Words w) {
        switch (statement.keyword()) {
            case "target" -> {
                InetSocketAddress target = w.address("a loopback target");
                if (w.sound() && !target.getAddress().isLoopbackAddress()) {
                    w.wrong("'" + target + "'", "a loopback address: load is sent to this machine only");
                }
                targets.add(target);
                targetParts.add(w.take("weight") ? w.number("its part of flows, against the others'", 0.0001, 1e6) : 1);
            }
            case "seed" -> seed = w.whole("a seed", 0, Long.MAX_VALUE);
            case "length" -> {
                lengthNs = w.time("how long it lasts");
                lengthTold = true;
            }
            case "rate" -> rate = w.number("flows a second", 0.001, MOST_RATE);
            case "arrivals" -> arrivals(w);
            case "shape" -> shape(w);
            case "hot" -> {
                int count = (int) w.whole("how many keys", 1, 1000);
                w.expect("keys");
                double share = w.share("their share");
                w.expect("at");
                long at = w.time("when");
                w.expect("for");
                hot.add(new Hot(count, share, at, w.time("how long")));
            }
            case "heavy" -> {
                double share = w.share("which share of flows");
                w.expect("x");
                double factor = w.number("times the usual work", 1, 1000);
                w.expect("at");
                long at = w.time("when");
                w.expect("for");
                heavy.add(new Heavy(share, factor, at, w.time("how long")));
            }
            case "slices" -> {
                slices = (int) w.whole("how many slices", 1, 1_000_000);
                if (w.take("uneven")) {
                    sliceLow = w.number("the smallest's part", 0.0001, 1e6);
                    w.expect("to");
                    sliceHigh = w.number("the largest's part", sliceLow, 1e6);
                }
                if (w.take("keys")) {
                    keysEach = (int) w.whole("keys in each", 1, 1_000_000);
                }
            }
            case "senders" -> senders = (int) w.whole("sending threads", 1, 64);
            case "trace", "trace-speed", "trace-rate", "trace-cut", "trace-loop", "trace-malformed", "column" -> trace(
                    statement.keyword(), w);
            case "group" -> group(w);
            case "keys" -> {
                keys = (int) w.whole("how many keys", 1, 100_000_000);
                if (w.take("zipf")) {
                    zipf = w.number("the exponent", 0, 5);
                }
            }
            case "retries" -> {
                retries = (int) w.whole("tries again of a client", 0, 10);
                if (w.take("wait")) {
                    retryWaitNs = w.time("the wait before the first");
                }
                obeysRetryAfter = w.take("obey");
            }
            case "connections" -> connections = (int) w.whole("connections to a target", 1, 60_000);
            case "in-flight" -> inFlight = (int) w.whole("flows open at once", 1, 1_000_000);
            default -> w.unknown(KEYWORDS);
        }
    }

    private void trace(String keyword, Words w) {
        trace = trace == null ? new FromTrace() : trace;
        switch (keyword) {
            case "trace" -> {
                trace.file = Path.of(w.text("the trace's file"));
                if (w.more()) {
                    trace.format = Trace.Format.valueOf(
                            w.oneOf("clf", "csv", "json", "har").toUpperCase(java.util.Locale.ROOT));
                }
            }
            case "trace-speed" -> {
                w.expect("x");
                trace.speed = w.number("times as fast", 0.001, 1e6);
            }
            case "trace-rate" -> {
                w.expect("x");
                trace.rate = w.number("times as many flows", 0.0001, 1000);
            }
            case "trace-cut" -> {
                trace.cutFromNs = w.time("where it begins in the trace");
                w.expect("to");
                trace.cutToNs = w.time("where it ends in the trace");
                if (w.sound() && trace.cutToNs <= trace.cutFromNs) {
                    w.wrong("an end before the beginning", "a later time");
                }
            }
            case "trace-loop" -> trace.loops = (int) w.whole("how many times", 1, 1_000_000);
            case "trace-malformed" -> trace.malformedShare = w.share("the share of lines that may be malformed");
            default -> {
                String field = w.oneOf(FIELDS);
                trace.columns.put(field, w.text("the column's name"));
                if (field.equals("time") && w.more()) {
                    trace.unit = w.oneOf("ns", "us", "ms", "s", "iso");
                }
            }
        }
    }

    /** The slice that a key falls into. */
    public int sliceOf(int key) {
        return slices > 0 ? key / keysEach : key;
    }

    /** The same groups, keys and bounds at an even rate against one target; asks no work of it. */
    public Scenario flat(double perS, long forNs, InetSocketAddress target) {
        Scenario flat = new Scenario();
        flat.targets.add(target);
        flat.targetParts.add(1.0);
        for (Group g : groups) {
            flat.groups.add(new Group(
                    g.name,
                    g.share,
                    g.utility,
                    g.budgetNs,
                    g.expiryNs,
                    g.method,
                    g.path,
                    g.bodyBytes,
                    0,
                    0,
                    g.repeats,
                    g.match));
        }
        flat.process = Process.CONSTANT;
        flat.rate = perS;
        flat.lengthNs = forNs;
        flat.seed = seed;
        flat.keys = keys;
        flat.zipf = zipf;
        flat.connections = connections;
        flat.inFlight = inFlight;
        flat.senders = senders;
        return flat;
    }

    private void arrivals(Words w) {
        process = Process.valueOf(w.oneOf("poisson", "constant", "bursts").toUpperCase(java.util.Locale.ROOT));
        if (process == Process.BURSTS && w.take("x")) {
            burstFactor = w.number("times the rate in a burst", 1, 1000);
            w.expect("for");
            burstForNs = Math.max(1, w.time("a burst's mean length"));
            w.expect("every");
            burstEveryNs = Math.max(1, w.time("the mean time between bursts"));
        }
    }

    private void shape(Words w) {
        switch (w.oneOf("peak", "ramp", "jump", "step", "sine")) {
            case "peak" -> {
                w.expect("x");
                double factor = w.number("times the rate at the peak", 0, 1000);
                w.expect("at");
                long at = w.time("when");
                w.expect("width");
                shapes.add(new Peak(factor, at, Math.max(1, w.time("how wide"))));
            }
            case "ramp" -> {
                w.expect("from");
                double from = w.number("the factor at the start", 0, 1000);
                w.expect("to");
                double to = w.number("the factor at the end", 0, 1000);
                w.expect("over");
                shapes.add(new Ramp(from, to, Math.max(1, w.time("how long it rises"))));
            }
            case "jump" -> {
                w.expect("x");
                double factor = w.number("times the rate", 0, 1000);
                w.expect("at");
                long at = w.time("when");
                w.expect("for");
                shapes.add(new Jump(factor, at, w.time("how long")));
            }
            case "step" -> {
                w.expect("x");
                double factor = w.number("times the rate", 0, 1000);
                w.expect("at");
                shapes.add(new Jump(factor, w.time("when"), Long.MAX_VALUE));
            }
            default -> {
                w.expect("by");
                double by = w.share("the part it swings by");
                w.expect("every");
                shapes.add(new Sine(by, Math.max(1, w.time("a period"))));
            }
        }
    }

    private void group(Words w) {
        String name = w.text("the group's name");
        w.expect("share");
        double share = w.number("its share of flows, against the others'", 0, 1e6);
        w.expect("utility");
        double utility = w.number("its utility", 0, 1e6);
        w.expect("budget");
        long budget = w.time("its latency budget");
        w.expect("expiry");
        long expiry = w.time("its expiry");
        w.expect("path");
        String path = w.text("its path");
        String method = w.take("method") ? w.text("its method") : "GET";
        int body = w.take("body") ? (int) w.size("its body") : 0;
        long work = w.take("work") ? w.time("the work that it asks of our stand-ins") : 0;
        double spread = w.take("spread") ? w.number("the log-normal spread of its work", 0.001, 3) : 0;
        boolean repeats = !w.take("non-retriable");
        String match = w.take("match") ? w.text("how paths of a trace begin") : "";
        if (w.sound() && budget > expiry) {
            w.wrong("a budget over its expiry", "a budget of at most " + expiry / 1e9 + "s");
        }
        groups.add(new Group(name, share, utility, budget, expiry, method, path, body, work, spread, repeats, match));
    }

    /** Flows a second at a time since the start, bursts apart. */
    public double rateAt(long ns) {
        double at = rate;
        for (Shape shape : shapes) {
            at *= shape.at(ns);
        }
        return at;
    }

    /** No less than it ever is. */
    public double mostRate() {
        double most = rate * (process == Process.BURSTS ? burstFactor : 1);
        for (Shape shape : shapes) {
            most *= shape.most();
        }
        return most;
    }
}
