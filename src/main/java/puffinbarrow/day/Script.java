package puffinbarrow.day;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import puffinbarrow.config.ArgumentReader;
import puffinbarrow.config.Problem;
import puffinbarrow.config.Statement;
import puffinbarrow.config.StatementReader;

/**
 * A scripted day: the fleet, its traffic, and the faults with their times. Read by {@link Day} and the emulator before
 * a day begins; docs/day.md lists the lines of a script.
 */
public final class Script {
    /**
     * A scripted fault, which may also be a change of traffic. Fields that its kind does not use are 0, empty or
     * {@link Pick#NONE}.
     *
     * @param atNs when it begins, in ns from the day's beginning
     * @param durationNs how long it lasts, in ns; for RELEASE how long a batch drains
     * @param pick the backends it applies to
     * @param share 0 to 1: of flows, answers, proxies, traffic or pace; for RELEASE the share of backends in a batch
     * @param factor a multiple of work, time or traffic; for PAUSE and FLAP the length of each outage and for
     *     STORE_SLOW the added delay, in ns
     * @param everyNs PAUSE and FLAP: the time from one outage to the next, in ns
     * @param number the coordinator's number; for HOT the number of keys
     * @param from CUT: what the coordinator is cut from
     * @param text the line of the script without its time, for the log
     */
    public record Fault(
            Kind kind,
            long atNs,
            long durationNs,
            Pick pick,
            double share,
            double factor,
            long everyNs,
            int number,
            String from,
            String text) {}

    /**
     * The kinds of faults. {@code die}, {@code vanish} and {@code preempt} of a script are the constants in lower case.
     * STOP sets the pace of a coordinator's order channel to almost 0, FREEZE suspends its process.
     */
    public enum Kind {
        TRAFFIC,
        PEAK,
        HOT,
        HEAVY,
        DIE,
        VANISH,
        FAIL,
        SLOW,
        PAUSE,
        LOSE,
        FLAP,
        AGE,
        ADD,
        PREEMPT,
        RELEASE,
        LIST_LIES,
        LIST_BREAKS,
        KILL,
        PACE,
        STOP,
        FREEZE,
        LEAVE,
        CUT,
        UNHEARD,
        STORE_AWAY,
        STORE_SLOW,
        STORE_LOSES;

        boolean strikesCoordinator() {
            return this == KILL || this == PACE || this == STOP || this == FREEZE || this == LEAVE || this == CUT;
        }
    }

    /**
     * Selects backends: a count, a share, all of a zone, or all of a number of cells. A cell is a few backends of one
     * zone that fail together.
     *
     * @param count a number of backends, or 0
     * @param share a share of all backends, 0 to 1; used if all else is unset
     * @param zone the zone's number, or -1 for any
     * @param cells a number of cells, or 0
     */
    public record Pick(int count, double share, int zone, int cells) {
        static final Pick NONE = new Pick(0, 0, -1);

        Pick(int count, double share, int zone) {
            this(count, share, zone, 0);
        }
    }

    public int coordinators = 2;
    public int proxies = 8;
    public int backends = 18;
    public int zones = 3;

    /** Cores of each backend. */
    public int cores = 4;

    /** Speed of the slowest backend, as a multiple of the nominal one. */
    public double speedLow = 0.85;

    /** Speed of the fastest backend, as a multiple of the nominal one. */
    public double speedHigh = 1.15;

    public int slices = 72;

    /** Flows a second. */
    public double rate = 150;

    /** Length of the day. */
    public long lengthNs = 60_000_000_000L;

    public long seed = 7;

    /** How often a client repeats a flow by itself. */
    public int retries = 1;

    /** Spread of the log-normal work of flows; 0: exponential work. */
    public double workSpread = 0.47;

    /** How long a backend stays cold after its start. */
    public long coldNs = 9_000_000_000L;

    /** Share of its capacity that a backend has at a cold start, 0 to 1. */
    public double coldShare = 0.3;

    /** Mean delay of a message to a proxy. */
    public long transitNs = 120_000_000L;

    /** How late the sums of proxies arrive. */
    public long sumsLateNs = 250_000_000L;

    /** Shortest delay until the server list shows a change. */
    public long minListDelayNs = 400_000_000L;

    /** Longest delay until the server list shows a change. */
    public long maxListDelayNs = 1_500_000_000L;

    /** Length of a coordinator's lease; 0 without leases. */
    public long leaseNs = 1_500_000_000L;

    /** Above 0: there are no leases, and the store reassigns the slices of a coordinator disconnected for this time. */
    public long takeoverNs;

    /** Whether coordinators poll the registry in place of being sent its list. */
    public boolean pollsRegistry;

    /** Whether coordinators keep their memory on disk across restarts. */
    public boolean keepsMemory;

    /** Coordinator settings that replace the built-in ones. */
    public final List<String> settings = new ArrayList<>();

    public final Map<String, double[]> work = new TreeMap<>();

    /** In the order of the script. */
    public final List<Fault> faults = new ArrayList<>();

    private static final List<String> KEYWORDS = List.of(
            "coordinators",
            "proxies",
            "backends",
            "zones",
            "slices",
            "rate",
            "length",
            "seed",
            "work",
            "retries",
            "cold",
            "transit",
            "sums-late",
            "notice",
            "takeover",
            "lease",
            "list",
            "memory",
            "set",
            "at");

    /** Reads a script from a file and adds what is wrong with it to the problems. */
    public static Script read(Path file, List<Problem> problems) {
        return fromStatements(StatementReader.read(file, problems), problems);
    }

    /** Reads a script from text; {@code name} is the file name given in problems. */
    public static Script parse(String name, String text, List<Problem> problems) {
        return fromStatements(StatementReader.parse(name, text, problems), problems);
    }

    /** Adds a problem for each size beyond what one machine can run on sockets; the emulator takes more. */
    public void checkSocketLimits(List<Problem> problems) {
        String[] names = {"coordinators", "proxies", "backends", "slices", "rate"};
        double[] wanted = {coordinators, proxies, backends, slices, rate};
        int[] most = {5, 400, 400, 4000, 5000};
        for (int i = 0; i < names.length; i++) {
            if (wanted[i] > most[i]) {
                problems.add(new Problem(
                        "script",
                        0,
                        names[i] + " " + (long) wanted[i] + ", expected " + most[i]
                                + " at most on sockets (the emulator takes more)"));
            }
        }
    }

    /** Reads a script from statements and adds what is wrong with it to the problems. */
    public static Script fromStatements(List<Statement> statements, List<Problem> problems) {
        Script script = new Script();
        for (Statement statement : statements) {
            ArgumentReader arguments = new ArgumentReader(statement, problems);
            script.readStatement(statement, arguments);
            arguments.expectEnd();
        }
        for (Fault fault : script.faults) {
            if (fault.atNs() > script.lengthNs) {
                problems.add(new Problem(
                        "script",
                        0,
                        "'" + fault.text() + "' begins after the day's end, expected " + script.lengthNs / 1e9
                                + "s at most"));
            }
            if (fault.number() >= script.coordinators && fault.kind().strikesCoordinator()) {
                problems.add(new Problem(
                        "script",
                        0,
                        "'" + fault.text() + "' names coordinator " + fault.number() + ", expected one below "
                                + script.coordinators));
            }
        }
        return script;
    }

    /** Reads one line of the script into the fields. */
    private void readStatement(Statement statement, ArgumentReader arguments) {
        switch (statement.keyword()) {
            case "coordinators" -> coordinators = (int) arguments.integer("how many coordinators", 1, 50);
            case "proxies" -> proxies = (int) arguments.integer("how many proxies", 1, 10_000);
            case "backends" -> {
                backends = (int) arguments.integer("how many backends", 1, 10_000);
                if (arguments.takeIfNext("cores")) {
                    cores = (int) arguments.integer("their cores", 1, 64);
                }
                if (arguments.takeIfNext("speed")) {
                    speedLow = arguments.number("the slowest's speed", 0.05, 20);
                    arguments.expect("to");
                    speedHigh = arguments.number("the fastest's speed", speedLow, 20);
                }
            }
            case "zones" -> zones = (int) arguments.integer("how many zones", 1, 9);
            case "slices" -> slices = (int) arguments.integer("how many slices", 1, 65_534);
            case "rate" -> rate = arguments.number("flows a second", 0.1, 200_000);
            case "length" -> lengthNs = arguments.durationNs("the day's length");
            case "seed" -> seed = arguments.integer("a seed", 0, Long.MAX_VALUE);
            case "work" -> {
                if (arguments.oneOf("spread", "exponential").equals("spread")) {
                    workSpread = arguments.number("the log-normal spread of flows' work", 0.001, 3);
                } else {
                    workSpread = 0;
                }
            }
            case "retries" -> retries = (int) arguments.integer("a client's own retries", 0, 5);
            case "cold" -> {
                coldShare = arguments.share("the share that a cold backend can do");
                arguments.expect("for");
                coldNs = arguments.durationNs("until it is warm");
            }
            case "transit" -> transitNs = arguments.durationNs("the mean delay of a message");
            case "sums-late" -> sumsLateNs = arguments.durationNs("how late sums arrive");
            case "notice" -> {
                minListDelayNs = arguments.durationNs("the shortest delay of the server list");
                arguments.expect("to");
                maxListDelayNs = arguments.durationNs("the longest delay");
                if (arguments.valid() && maxListDelayNs < minListDelayNs) {
                    arguments.reportMistake("a longest delay below the shortest", "a longer time");
                }
            }
            case "takeover" -> {
                takeoverNs = arguments.durationNs("until the store reassigns slices");
                leaseNs = 0;
            }
            case "lease" -> leaseNs = arguments.durationNs("a coordinator's lease");
            case "memory" -> keepsMemory = arguments.onOff();
            case "list" -> pollsRegistry = arguments.oneOf("push", "ask").equals("ask");
            case "set" -> {
                StringBuilder line = new StringBuilder();
                while (arguments.hasMore()) {
                    line.append(arguments.text("a setting")).append(' ');
                }
                settings.add(line.toString().trim());
            }
            case "at" -> readFault(statement, arguments);
            default -> arguments.reportUnknownKeyword(KEYWORDS);
        }
    }

    /** Reads the rest of a line {@code at}. */
    private void readFault(Statement statement, ArgumentReader arguments) {
        long at = arguments.durationNs("when it begins");
        String text = String.join(
                " ",
                statement
                        .words()
                        .subList(
                                Math.min(2, statement.words().size()),
                                statement.words().size()));
        switch (arguments.oneOf(
                "traffic", "hot", "heavy", "backends", "release", "list", "coordinator", "cut", "proxies", "store")) {
            case "traffic" -> {
                Kind kind = arguments.takeIfNext("peak") ? Kind.PEAK : Kind.TRAFFIC;
                arguments.expect("x");
                double factor = arguments.number("times the usual", 0, 100);
                add(kind, at, readDuration(arguments), Pick.NONE, 0, factor, 0, 0, "", text);
            }
            case "hot" -> {
                int keys = (int) arguments.integer("how many keys", 1, 100);
                arguments.expect("keys");
                double share = arguments.share("their share of traffic");
                add(Kind.HOT, at, readDuration(arguments), Pick.NONE, share, 0, 0, keys, "", text);
            }
            case "heavy" -> {
                double share = arguments.share("which share of flows");
                arguments.expect("x");
                double factor = arguments.number("times the usual work", 1, 1000);
                add(Kind.HEAVY, at, readDuration(arguments), Pick.NONE, share, factor, 0, 0, "", text);
            }
            case "release" -> {
                double share = arguments.share("which share of backends");
                arguments.expect("batch");
                double batch = arguments.share("the share in one batch");
                arguments.expect("drain");
                long drain = arguments.durationNs("a batch's drain");
                add(Kind.RELEASE, at, drain, new Pick(0, share, -1), batch, 0, 0, 0, "", text);
            }
            case "list" -> {
                if (arguments.oneOf("lies", "breaks").equals("breaks")) {
                    add(Kind.LIST_BREAKS, at, 0, Pick.NONE, 0, 0, 0, 0, "", text);
                } else {
                    arguments.expect("about");
                    Pick pick = readPick(arguments);
                    add(Kind.LIST_LIES, at, readDuration(arguments), pick, 0, 0, 0, 0, "", text);
                }
            }
            case "coordinator" -> {
                int number = (int) arguments.integer("its number", 0, 49);
                switch (arguments.oneOf("killed", "pace", "stops", "frozen", "leaves")) {
                    case "frozen" -> add(
                            Kind.FREEZE, at, readDuration(arguments), Pick.NONE, 0, 0, 0, number, "", text);
                    case "leaves" -> add(Kind.LEAVE, at, readDuration(arguments), Pick.NONE, 0, 0, 0, number, "", text);
                    case "killed" -> add(Kind.KILL, at, readDuration(arguments), Pick.NONE, 0, 0, 0, number, "", text);
                    case "pace" -> {
                        double share = arguments.share("the part of its pace");
                        add(
                                Kind.PACE,
                                at,
                                readDuration(arguments),
                                Pick.NONE,
                                Math.max(0.01, share),
                                0,
                                0,
                                number,
                                "",
                                text);
                    }
                    default -> add(Kind.STOP, at, readDuration(arguments), Pick.NONE, 0, 0, 0, number, "", text);
                }
            }
            case "cut" -> {
                arguments.expect("coordinator");
                int number = (int) arguments.integer("its number", 0, 49);
                arguments.expect("from");
                String from = arguments.oneOf("peers", "store", "registry", "proxies", "all");
                add(Kind.CUT, at, readDuration(arguments), Pick.NONE, 0, 0, 0, number, from, text);
            }
            case "store" -> {
                switch (arguments.oneOf("away", "slow", "loses")) {
                    case "away" -> add(Kind.STORE_AWAY, at, readDuration(arguments), Pick.NONE, 0, 0, 0, 0, "", text);
                    case "slow" -> {
                        long by = arguments.durationNs("by how much");
                        add(Kind.STORE_SLOW, at, readDuration(arguments), Pick.NONE, 0, by, 0, 0, "", text);
                    }
                    default -> {
                        double share = arguments.share("which share of its answers");
                        add(Kind.STORE_LOSES, at, readDuration(arguments), Pick.NONE, share, 0, 0, 0, "", text);
                    }
                }
            }
            case "proxies" -> {
                double share = arguments.share("which share of proxies");
                arguments.expect("unheard");
                add(Kind.UNHEARD, at, readDuration(arguments), Pick.NONE, share, 0, 0, 0, "", text);
            }
            default -> readBackendFault(at, arguments, text);
        }
    }

    /** Reads the rest of a line {@code at TIME backends}. */
    private void readBackendFault(long at, ArgumentReader arguments, String text) {
        if (arguments.takeIfNext("add")) {
            int count = (int) arguments.integer("how many", 1, 10_000);
            add(Kind.ADD, at, 0, new Pick(count, 0, -1), 0, 0, 0, 0, "", text);
            return;
        }
        Pick pick = readPick(arguments);
        String what = arguments.oneOf("die", "vanish", "fail", "slow", "pause", "lose", "flap", "age", "preempt");
        switch (what) {
            case "fail", "lose" -> {
                double share = arguments.share("which share of flows");
                add(
                        what.equals("fail") ? Kind.FAIL : Kind.LOSE,
                        at,
                        readDuration(arguments),
                        pick,
                        share,
                        0,
                        0,
                        0,
                        "",
                        text);
            }
            case "slow", "age" -> {
                arguments.expect("x");
                double factor = arguments.number("times slower", 1, 1000);
                add(
                        what.equals("slow") ? Kind.SLOW : Kind.AGE,
                        at,
                        readDuration(arguments),
                        pick,
                        0,
                        factor,
                        0,
                        0,
                        "",
                        text);
            }
            case "pause", "flap" -> {
                long outage = arguments.durationNs("how long each time");
                arguments.expect("every");
                long every = arguments.durationNs("how often");
                long lasts = readDuration(arguments);
                add(what.equals("pause") ? Kind.PAUSE : Kind.FLAP, at, lasts, pick, 0, outage, every, 0, "", text);
            }
            default -> add(
                    Kind.valueOf(what.toUpperCase(Locale.ROOT)),
                    at,
                    readDuration(arguments),
                    pick,
                    0,
                    0,
                    0,
                    0,
                    "",
                    text);
        }
    }

    /** Reads {@code for TIME}; in ns. */
    private static long readDuration(ArgumentReader arguments) {
        arguments.expect("for");
        return arguments.durationNs("how long it lasts");
    }

    /** Reads which backends a fault applies to. */
    private Pick readPick(ArgumentReader arguments) {
        if (arguments.takeIfNext("zone")) {
            return new Pick(0, 0, (int) arguments.integer("the zone's number", 0, zones - 1));
        }
        if (arguments.takeIfNext("cells")) {
            return new Pick(0, 0, -1, (int) arguments.integer("how many cells", 1, 1000));
        }
        String word = arguments.text("a count, a share such as 25%, zone NUMBER or cells COUNT");
        try {
            if (word.endsWith("%")) {
                return new Pick(0, Double.parseDouble(word.substring(0, word.length() - 1)) / 100, -1);
            }
            return new Pick(Integer.parseInt(word), 0, -1);
        } catch (NumberFormatException notANumber) {
            arguments.reportMistake("'" + word + "'", "a count, a share such as 25%, zone NUMBER or cells COUNT");
            return Pick.NONE;
        }
    }

    private void add(
            Kind kind,
            long at,
            long durationNs,
            Pick pick,
            double share,
            double factor,
            long every,
            int number,
            String from,
            String text) {
        faults.add(new Fault(kind, at, durationNs, pick, share, factor, every, number, from, text));
    }
}
