package puffinbarrow.day;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import puffinbarrow.config.Lines;
import puffinbarrow.config.Problem;
import puffinbarrow.config.Statement;
import puffinbarrow.config.Words;

/** A scripted day: the fleet, its traffic, and what goes wrong when. docs/day.md lists the lines. */
public final class Script {
    /** Something that goes wrong; which fields mean something depends on the kind. */
    public record Trouble(
            Kind kind,
            long atNs,
            long forNs,
            Pick pick,
            double share,
            double factor,
            long everyNs,
            int number,
            String from,
            String text) {}

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

        boolean ofCoordinator() {
            return this == KILL || this == PACE || this == STOP || this == FREEZE || this == LEAVE || this == CUT;
        }
    }

    /** Which backends: a count, a share, all of a zone, or all of so many cells (a few of one zone that share a fate). */
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
    public int cores = 4;
    public double speedLow = 0.85, speedHigh = 1.15;
    public int slices = 72;
    public double rate = 150;
    public long lengthNs = 60_000_000_000L;
    public long seed = 7;
    public int retries = 1;
    /** Of the log-normal work of flows; 0: exponential. */
    public double workSpread = 0.47;

    public long coldNs = 9_000_000_000L;
    public double coldFrom = 0.3;
    public long transitNs = 120_000_000L;
    public long sumsLateNs = 250_000_000L;
    public long noticeLowNs = 400_000_000L, noticeHighNs = 1_500_000_000L;
    public long leaseNs = 1_500_000_000L;
    /** Above 0: no leases, the store hands on the charges of one that has gone after that time. */
    public long takeoverNs;

    public boolean ask;
    public boolean memory;
    public final List<String> settings = new ArrayList<>();
    public final Map<String, double[]> work = new TreeMap<>();
    public final List<Trouble> troubles = new ArrayList<>();

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

    public static Script read(Path file, List<Problem> problems) {
        return of(Lines.read(file, problems), problems);
    }

    public static Script parse(String name, String text, List<Problem> problems) {
        return of(Lines.parse(name, text, problems), problems);
    }

    /** What one machine's sockets can play; the emulator takes more. */
    public void forSockets(List<Problem> problems) {
        String[] names = {"coordinators", "proxies", "backends", "slices", "rate"};
        double[] asked = {coordinators, proxies, backends, slices, rate};
        int[] most = {5, 400, 400, 4000, 5000};
        for (int i = 0; i < names.length; i++) {
            if (asked[i] > most[i]) {
                problems.add(new Problem(
                        "script",
                        0,
                        names[i] + " " + (long) asked[i] + ", expected " + most[i]
                                + " at most on sockets (the emulator takes more)"));
            }
        }
    }

    public static Script of(List<Statement> statements, List<Problem> problems) {
        Script script = new Script();
        for (Statement statement : statements) {
            Words w = new Words(statement, problems);
            script.take(statement, w);
            w.end();
        }
        for (Trouble trouble : script.troubles) {
            if (trouble.atNs() > script.lengthNs) {
                problems.add(new Problem(
                        "script",
                        0,
                        "'" + trouble.text() + "' begins after the day's end, expected " + script.lengthNs / 1e9
                                + "s at most"));
            }
            if (trouble.number() >= script.coordinators && trouble.kind().ofCoordinator()) {
                problems.add(new Problem(
                        "script",
                        0,
                        "'" + trouble.text() + "' names coordinator " + trouble.number() + ", expected one below "
                                + script.coordinators));
            }
        }
        return script;
    }

    private void take(Statement statement, Words w) {
        switch (statement.keyword()) {
            case "coordinators" -> coordinators = (int) w.whole("how many coordinators", 1, 50);
            case "proxies" -> proxies = (int) w.whole("how many proxies", 1, 10_000);
            case "backends" -> {
                backends = (int) w.whole("how many backends", 1, 10_000);
                if (w.take("cores")) {
                    cores = (int) w.whole("their cores", 1, 64);
                }
                if (w.take("speed")) {
                    speedLow = w.number("the slowest's speed", 0.05, 20);
                    w.expect("to");
                    speedHigh = w.number("the fastest's speed", speedLow, 20);
                }
            }
            case "zones" -> zones = (int) w.whole("how many zones", 1, 9);
            case "slices" -> slices = (int) w.whole("how many slices", 1, 65_534);
            case "rate" -> rate = w.number("flows a second", 0.1, 200_000);
            case "length" -> lengthNs = w.time("the day's length");
            case "seed" -> seed = w.whole("a seed", 0, Long.MAX_VALUE);
            case "work" -> {
                if (w.oneOf("spread", "exponential").equals("spread")) {
                    workSpread = w.number("the log-normal spread of flows' work", 0.001, 3);
                } else {
                    workSpread = 0;
                }
            }
            case "retries" -> retries = (int) w.whole("a client's own retries", 0, 5);
            case "cold" -> {
                coldFrom = w.share("the part a cold backend can do");
                w.expect("for");
                coldNs = w.time("until it is warm");
            }
            case "transit" -> transitNs = w.time("a message's mean way");
            case "sums-late" -> sumsLateNs = w.time("how late sums are");
            case "notice" -> {
                noticeLowNs = w.time("the soonest that the list tells");
                w.expect("to");
                noticeHighNs = w.time("the latest");
                if (w.sound() && noticeHighNs < noticeLowNs) {
                    w.wrong("a latest before the soonest", "a longer time");
                }
            }
            case "takeover" -> {
                takeoverNs = w.time("until the store hands charges on");
                leaseNs = 0;
            }
            case "lease" -> leaseNs = w.time("a coordinator's lease");
            case "memory" -> memory = w.onOff();
            case "list" -> ask = w.oneOf("push", "ask").equals("ask");
            case "set" -> {
                StringBuilder line = new StringBuilder();
                while (w.more()) {
                    line.append(w.text("a setting")).append(' ');
                }
                settings.add(line.toString().trim());
            }
            case "at" -> trouble(statement, w);
            default -> w.unknown(KEYWORDS);
        }
    }

    private void trouble(Statement statement, Words w) {
        long at = w.time("when it begins");
        String text = String.join(
                " ",
                statement
                        .words()
                        .subList(
                                Math.min(2, statement.words().size()),
                                statement.words().size()));
        switch (w.oneOf(
                "traffic", "hot", "heavy", "backends", "release", "list", "coordinator", "cut", "proxies", "store")) {
            case "traffic" -> {
                Kind kind = w.take("peak") ? Kind.PEAK : Kind.TRAFFIC;
                w.expect("x");
                double factor = w.number("times the usual", 0, 100);
                add(kind, at, lasts(w), Pick.NONE, 0, factor, 0, 0, "", text);
            }
            case "hot" -> {
                int keys = (int) w.whole("how many keys", 1, 100);
                w.expect("keys");
                double share = w.share("their share of traffic");
                add(Kind.HOT, at, lasts(w), Pick.NONE, share, 0, 0, keys, "", text);
            }
            case "heavy" -> {
                double share = w.share("which share of flows");
                w.expect("x");
                double factor = w.number("times the usual work", 1, 1000);
                add(Kind.HEAVY, at, lasts(w), Pick.NONE, share, factor, 0, 0, "", text);
            }
            case "release" -> {
                double share = w.share("which share of backends");
                w.expect("batch");
                double batch = w.share("the share in one batch");
                w.expect("drain");
                long drain = w.time("a batch's drain");
                add(Kind.RELEASE, at, drain, new Pick(0, share, -1), batch, 0, 0, 0, "", text);
            }
            case "list" -> {
                if (w.oneOf("lies", "breaks").equals("breaks")) {
                    add(Kind.LIST_BREAKS, at, 0, Pick.NONE, 0, 0, 0, 0, "", text);
                } else {
                    w.expect("about");
                    Pick pick = pick(w);
                    add(Kind.LIST_LIES, at, lasts(w), pick, 0, 0, 0, 0, "", text);
                }
            }
            case "coordinator" -> {
                int number = (int) w.whole("its number", 0, 49);
                switch (w.oneOf("killed", "pace", "stops", "frozen", "leaves")) {
                    case "frozen" -> add(Kind.FREEZE, at, lasts(w), Pick.NONE, 0, 0, 0, number, "", text);
                    case "leaves" -> add(Kind.LEAVE, at, lasts(w), Pick.NONE, 0, 0, 0, number, "", text);
                    case "killed" -> add(Kind.KILL, at, lasts(w), Pick.NONE, 0, 0, 0, number, "", text);
                    case "pace" -> {
                        double share = w.share("the part of its pace");
                        add(Kind.PACE, at, lasts(w), Pick.NONE, Math.max(0.01, share), 0, 0, number, "", text);
                    }
                    default -> add(Kind.STOP, at, lasts(w), Pick.NONE, 0, 0, 0, number, "", text);
                }
            }
            case "cut" -> {
                w.expect("coordinator");
                int number = (int) w.whole("its number", 0, 49);
                w.expect("from");
                String from = w.oneOf("peers", "store", "registry", "proxies", "all");
                add(Kind.CUT, at, lasts(w), Pick.NONE, 0, 0, 0, number, from, text);
            }
            case "store" -> {
                switch (w.oneOf("away", "slow", "loses")) {
                    case "away" -> add(Kind.STORE_AWAY, at, lasts(w), Pick.NONE, 0, 0, 0, 0, "", text);
                    case "slow" -> {
                        long by = w.time("by how much");
                        add(Kind.STORE_SLOW, at, lasts(w), Pick.NONE, 0, by, 0, 0, "", text);
                    }
                    default -> {
                        double share = w.share("which share of its answers");
                        add(Kind.STORE_LOSES, at, lasts(w), Pick.NONE, share, 0, 0, 0, "", text);
                    }
                }
            }
            case "proxies" -> {
                double share = w.share("which share of proxies");
                w.expect("unheard");
                add(Kind.UNHEARD, at, lasts(w), Pick.NONE, share, 0, 0, 0, "", text);
            }
            default -> backends(at, w, text);
        }
    }

    private void backends(long at, Words w, String text) {
        if (w.take("add")) {
            int count = (int) w.whole("how many", 1, 10_000);
            add(Kind.ADD, at, 0, new Pick(count, 0, -1), 0, 0, 0, 0, "", text);
            return;
        }
        Pick pick = pick(w);
        String what = w.oneOf("die", "vanish", "fail", "slow", "pause", "lose", "flap", "age", "preempt");
        switch (what) {
            case "fail", "lose" -> {
                double share = w.share("which share of flows");
                add(what.equals("fail") ? Kind.FAIL : Kind.LOSE, at, lasts(w), pick, share, 0, 0, 0, "", text);
            }
            case "slow", "age" -> {
                w.expect("x");
                double factor = w.number("times slower", 1, 1000);
                add(what.equals("slow") ? Kind.SLOW : Kind.AGE, at, lasts(w), pick, 0, factor, 0, 0, "", text);
            }
            case "pause", "flap" -> {
                long each = w.time("how long each time");
                w.expect("every");
                long every = w.time("how often");
                long lasts = lasts(w);
                add(what.equals("pause") ? Kind.PAUSE : Kind.FLAP, at, lasts, pick, 0, each, every, 0, "", text);
            }
            default -> add(Kind.valueOf(what.toUpperCase(Locale.ROOT)), at, lasts(w), pick, 0, 0, 0, 0, "", text);
        }
    }

    private static long lasts(Words w) {
        w.expect("for");
        return w.time("how long it lasts");
    }

    private Pick pick(Words w) {
        if (w.take("zone")) {
            return new Pick(0, 0, (int) w.whole("the zone's number", 0, zones - 1));
        }
        if (w.take("cells")) {
            return new Pick(0, 0, -1, (int) w.whole("how many cells", 1, 1000));
        }
        String word = w.text("a count, a share such as 25%, zone NUMBER or cells COUNT");
        try {
            if (word.endsWith("%")) {
                return new Pick(0, Double.parseDouble(word.substring(0, word.length() - 1)) / 100, -1);
            }
            return new Pick(Integer.parseInt(word), 0, -1);
        } catch (NumberFormatException notOne) {
            w.wrong("'" + word + "'", "a count, a share such as 25%, zone NUMBER or cells COUNT");
            return Pick.NONE;
        }
    }

    private void add(
            Kind kind,
            long at,
            long lasts,
            Pick pick,
            double share,
            double factor,
            long every,
            int number,
            String from,
            String text) {
        troubles.add(new Trouble(kind, at, lasts, pick, share, factor, every, number, from, text));
    }
}
