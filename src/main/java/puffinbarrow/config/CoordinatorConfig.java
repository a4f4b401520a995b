package puffinbarrow.config;

import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import puffinbarrow.control.Settings;

/** The settings of one coordinator, decoded once at start; docs/settings.md lists the keywords. */
public final class CoordinatorConfig {
    /** What may be repeated, and within what scope. */
    public enum Repeats {
        RETRIABLE,
        DEDUPED,
        NON_RETRIABLE
    }

    public record Group(
            String name, double utility, long budgetNs, long expiryNs, Repeats repeats, String scope, long windowNs) {}

    public int number;
    public int of = 1;
    public String zone = "";
    public List<String> zones = List.of("zone-0");
    public InetSocketAddress listen = new InetSocketAddress("127.0.0.1", 0);
    public InetSocketAddress admin = new InetSocketAddress("127.0.0.1", 0);
    public InetSocketAddress registry;
    public boolean listOnRequest;
    public InetSocketAddress store;
    public final TreeMap<Integer, InetSocketAddress> peers = new TreeMap<>();
    public long seed = 1;
    public final List<Group> groups = new ArrayList<>();
    public int slices;
    public boolean soleOwner;
    public String levels = "share";
    public double queueLines = 4000;
    public double linesPerS = 4000;
    public double headLines = 12;
    public int messages;
    public long messagesSpanNs = 10_000_000_000L;
    public long roundNs = 1_000_000_000L;
    public double intakePerS = 300;
    public long graceNs = 3_000_000_000L;
    public long bareNs = 6_000_000_000L;
    public long warmNs = 17_000_000_000L;
    public double coldShare = 0.15;
    public double fallMultiple = 4;
    public long fallNs = 1_500_000_000L;
    public boolean probes;
    public boolean goneStays;
    public long tickNs = 2_000_000;
    /** Coordinators share the slices themselves; 0: the store deals them. */
    public long leaseNs;
    /** A proxy stops sending writes to a single owner so long after its stream broke or the slice changed hands. */
    public long proxyLeaseNs = 1_500_000_000L;

    public int inbox = 65_536;
    public long outboundBytes = 4 << 20;
    public int frameBytes = 1 << 20;
    public long helloNs = 5_000_000_000L;
    public long idleNs = 15_000_000_000L;
    public boolean logJson;
    public String logLevel = "info";
    public Path portFile;
    public Path failedBatches;
    public Path memory;
    public long memoryBytes = 64 << 20;

    /** Keyword to its words, as help and as what "did you mean" knows. */
    static final Map<String, String> KEYWORDS = new LinkedHashMap<>();

    static {
        String[][] all = {
            {"coordinator", "NUMBER of COUNT"},
            {"zone", "NAME"},
            {"zones", "NAME..."},
            {"listen", "ADDRESS:PORT"},
            {"admin", "ADDRESS:PORT"},
            {"registry", "ADDRESS:PORT push|ask"},
            {"store", "ADDRESS:PORT"},
            {"peer", "NUMBER ADDRESS:PORT"},
            {"seed", "NUMBER"},
            {"group", "NAME utility N budget TIME expiry TIME retriable|deduped SCOPE TIME|non-retriable"},
            {"slices", "COUNT [sole-owner]"},
            {"levels", "share|rate|off"},
            {"queue", "LINES"},
            {"pace", "LINES-A-SECOND"},
            {"head", "LINES"},
            {"messages", "COUNT per TIME"},
            {"round", "TIME"},
            {"intake", "LINES-A-SECOND"},
            {"grace", "TIME"},
            {"bare", "TIME"},
            {"warm", "TIME"},
            {"cold-share", "SHARE"},
            {"fall-multiple", "N for TIME"},
            {"probes", "on|off"},
            {"gone", "binds|stays"},
            {"tick", "TIME"},
            {"inbox", "FRAMES"},
            {"outbound", "SIZE"},
            {"frame", "SIZE"},
            {"hello", "TIME"},
            {"idle", "TIME"},
            {"log", "text|json LEVEL"},
            {"port-file", "PATH"},
            {"failed-batches", "FOLDER"},
            {"memory", "FOLDER [at-most SIZE]"},
            {"lease", "TIME"},
            {"proxy-lease", "TIME"},
            {"include", "FILE"}
        };
        for (String[] each : all) {
            KEYWORDS.put(each[0], each[1]);
        }
    }

    /** What a running coordinator may take up from a file read again; all else needs a start. */
    private static final List<String> ALIVE = List.of("log", "inbox", "idle", "hello");

    private static final List<String> REPEATABLE = List.of("group", "peer");

    private final Map<String, Statement> at = new LinkedHashMap<>();
    private List<Statement> statements = List.of();

    private CoordinatorConfig() {}

    public static CoordinatorConfig read(Path file, List<Problem> problems) {
        return of(Lines.read(file, problems), file.toString(), problems);
    }

    public static CoordinatorConfig parse(String name, String text, List<Problem> problems) {
        return of(Lines.parse(name, text, problems), name, problems);
    }

    private static CoordinatorConfig of(List<Statement> statements, String name, List<Problem> problems) {
        CoordinatorConfig config = new CoordinatorConfig();
        config.statements = statements;
        for (Statement statement : statements) {
            config.take(statement, problems);
        }
        config.whole(name, problems);
        problems.sort(Comparator.comparing(Problem::file).thenComparing(Problem::line));
        return config;
    }

    /** The same settings as those, with sockets by default; for replays of a record that has decoded settings. */
    public static CoordinatorConfig of(Settings from, long seed) {
        CoordinatorConfig config = new CoordinatorConfig();
        // The number is told to no decision; the largest leaves all others to the peers of the record.
        config.number = 999;
        config.of = 1000;
        config.seed = seed;
        config.listOnRequest = from.listOnRequest();
        config.levels = from.levelIsRate() ? "rate" : from.levelsHeeded() ? "share" : "off";
        for (Settings.Group group : from.groups()) {
            config.groups.add(new Group(
                    "group-" + config.groups.size(),
                    group.utility(),
                    group.budgetNs(),
                    group.budgetNs(),
                    Repeats.RETRIABLE,
                    "all",
                    0));
        }
        config.slices = from.slices();
        config.soleOwner = from.soleOwner();
        config.queueLines = from.queueLimit();
        config.linesPerS = from.linesPerS();
        config.headLines = from.head();
        config.messages = from.messagesAllowed();
        config.messagesSpanNs = from.messagesSpanNs();
        config.roundNs = from.roundNs();
        config.graceNs = from.graceNs();
        config.warmNs = from.warmNs();
        config.coldShare = from.coldShare();
        config.fallMultiple = from.fallMultiple();
        config.probes = from.probes();
        config.goneStays = from.droppedStayOpen();
        return config;
    }

    private void take(Statement statement, List<Problem> problems) {
        String keyword = statement.keyword();
        if (!KEYWORDS.containsKey(keyword)) {
            String near = Words.nearest(keyword, KEYWORDS.keySet());
            problems.add(statement.problem("unknown keyword '" + keyword + "', expected one of the settings"
                    + (near == null ? "" : " (did you mean " + near + " " + KEYWORDS.get(near) + "?)")));
            return;
        }
        Statement before = at.putIfAbsent(keyword, statement);
        if (before != null && !REPEATABLE.contains(keyword)) {
            problems.add(statement.problem(
                    keyword + ": stands twice, expected once (first at " + before.file() + ":" + before.line() + ")"));
            return;
        }
        Words w = new Words(statement, problems);
        switch (keyword) {
            case "coordinator" -> {
                number = (int) w.whole("its number", 0, 999);
                w.expect("of");
                of = (int) w.whole("how many coordinators there are", 1, 1000);
            }
            case "zone" -> zone = w.text("a zone");
            case "zones" -> zones = names(w);
            case "listen" -> listen = w.address("where to listen for proxies and peers");
            case "admin" -> admin = w.address("where to listen for status requests");
            case "registry" -> {
                registry = w.address("the registry");
                listOnRequest = w.oneOf("push", "ask").equals("ask");
            }
            case "store" -> store = w.address("the table store");
            case "peer" -> {
                int peer = (int) w.whole("the peer's number", 0, 999);
                if (peers.put(peer, w.address("the peer")) != null) {
                    w.wrong("peer " + peer + " again", "each peer once");
                }
            }
            case "seed" -> seed = w.whole("a seed", 0, Long.MAX_VALUE);
            case "group" -> group(w);
            case "slices" -> {
                slices = (int) w.whole("how many slices keys fall into", 0, 65_534);
                soleOwner = w.take("sole-owner");
            }
            case "levels" -> levels = w.oneOf("share", "rate", "off");
            case "queue" -> queueLines = w.number("lines that may wait in the channel", 1, 1e9);
            case "pace" -> linesPerS = w.number("lines a second", 1, 1e9);
            case "head" -> headLines = w.number("lines a message costs on top", 0, 1e6);
            case "messages" -> {
                messages = (int) w.whole("messages to one proxy (0: no limit)", 0, 1_000_000);
                w.expect("per");
                messagesSpanNs = w.time("the span they are counted over");
            }
            case "round" -> roundNs = w.time("the time between sums");
            case "intake" -> intakePerS = w.number("report lines a second", 1, 1e9);
            case "grace" -> graceNs = w.time("the grace for drains");
            case "bare" -> bareNs = w.time("how long a proxy may lack a backend");
            case "warm" -> warmNs = w.time("when a backend is warm at the latest");
            case "cold-share" -> coldShare = w.share("the part of its work a cold backend can do");
            case "fall-multiple" -> {
                fallMultiple = w.number("a multiple of present capacity", 1, 1000);
                w.expect("for");
                fallNs = w.time("how long it takes to fall over");
            }
            case "probes" -> probes = w.onOff();
            case "gone" -> goneStays = w.oneOf("binds", "stays").equals("stays");
            case "tick" -> tickNs = w.time("the time between batches");
            case "inbox" -> inbox = (int) w.whole("frames that may wait undecided", 16, 100_000_000);
            case "outbound" -> outboundBytes = w.size("bytes that may wait for one stream");
            case "frame" -> frameBytes = (int) Math.min(1 << 28, w.size("the longest frame"));
            case "hello" -> helloNs = w.time("how long a stream may take to say hello");
            case "idle" -> idleNs = w.time("how long a stream may be silent");
            case "log" -> {
                logJson = w.oneOf("text", "json").equals("json");
                logLevel = w.oneOf("info", "error", "warn", "debug", "trace");
            }
            case "port-file" -> portFile = Path.of(w.text("a path"));
            case "failed-batches" -> failedBatches = Path.of(w.text("a folder"));
            case "proxy-lease" -> proxyLeaseNs = w.time("how long a cut-off proxy goes on sending writes");
            case "lease" -> leaseNs = w.time("how long a coordinator's lease lasts");
            case "memory" -> {
                memory = Path.of(w.text("a folder"));
                if (w.take("at-most")) {
                    memoryBytes = w.size("the most it may take of the disk");
                }
            }
            default -> throw new IllegalStateException(keyword);
        }
        w.end();
    }

    private static List<String> names(Words w) {
        List<String> names = new ArrayList<>();
        do {
            names.add(w.text("a zone's name"));
        } while (w.more());
        return names;
    }

    private void group(Words w) {
        String name = w.text("the group's name");
        w.expect("utility");
        double utility = w.number("its utility", 0, 1e9);
        w.expect("budget");
        long budget = w.time("its latency budget");
        w.expect("expiry");
        long expiry = w.time("its expiry");
        String how = w.oneOf("retriable", "deduped", "non-retriable");
        String scope = "all";
        long window = 0;
        Repeats repeats = Repeats.RETRIABLE;
        if (how.equals("deduped")) {
            repeats = Repeats.DEDUPED;
            scope = w.oneOf("all", "zone", "cell");
            window = w.time("how long repeats are dropped");
        } else if (how.equals("non-retriable")) {
            repeats = Repeats.NON_RETRIABLE;
        }
        if (w.sound() && budget > expiry) {
            w.wrong("a budget over its expiry", "a budget of at most " + expiry / 1e9 + "s");
        }
        if (w.sound() && groups.stream().anyMatch(g -> g.name().equals(name))) {
            w.wrong("group " + name + " again", "each group once");
        }
        groups.add(new Group(name, utility, budget, expiry, repeats, scope, window));
    }

    /** What can only be judged with all lines read. */
    private void whole(String name, List<Problem> problems) {
        for (String needed : List.of("coordinator", "registry", "group")) {
            if (!at.containsKey(needed)) {
                problems.add(new Problem(
                        name, 0, "no line '" + needed + "', expected: " + needed + " " + KEYWORDS.get(needed)));
            }
        }
        if (groups.size() > 30) {
            clash(problems, "group", "found " + groups.size() + " groups, expected 30 at most");
        }
        if (number >= of) {
            clash(problems, "coordinator", "found number " + number + " of " + of + ", expected one below " + of);
        }
        if (!zone.isEmpty() && !zones.contains(zone)) {
            clash(problems, "zone", "found '" + zone + "', expected one of " + String.join(", ", zones));
        }
        if (peers.containsKey(number)) {
            clash(problems, "peer", "found our own number " + number + ", expected that of another coordinator");
        }
        if (slices > 0 && store == null) {
            clash(problems, "slices", "found slices without a store, expected a line 'store ADDRESS:PORT'");
        }
        // A message to each proxy costs its head at least; what cannot leave within the grace cannot keep it.
        if (queueLines > linesPerS * graceNs / 1e9) {
            clash(
                    problems,
                    "queue",
                    "a full queue of " + (long) queueLines + " lines takes "
                            + Math.round(queueLines / linesPerS * 10) / 10.0 + "s at " + (long) linesPerS
                            + " lines a second, expected no longer than the grace of " + graceNs / 1e9 + "s");
        }
        if (headLines >= queueLines) {
            clash(
                    problems,
                    "head",
                    "found a head of " + headLines + " lines, expected less than the queue's " + queueLines);
        }
        if (tickNs > roundNs) {
            clash(
                    problems,
                    "tick",
                    "found a tick longer than a round of sums, expected " + roundNs / 1e9 + "s at most");
        }
        if (warmNs > 0 && coldShare <= 0) {
            clash(problems, "cold-share", "found 0, expected the part a backend can do at its start");
        }
    }

    private void clash(List<Problem> problems, String keyword, String text) {
        Statement where = at.get(keyword);
        problems.add(
                where == null
                        ? new Problem("defaults", 0, keyword + ": " + text)
                        : where.problem(keyword + ": " + text));
    }

    /** The lines that differ from a file read again: those that may not change alive, each with its line. */
    public List<Problem> refusedChanges(CoordinatorConfig again) {
        List<Problem> refused = new ArrayList<>();
        List<List<String>> mine = statements.stream().map(Statement::words).toList();
        List<List<String>> theirs =
                again.statements.stream().map(Statement::words).toList();
        again.statements.stream()
                .filter(s -> !ALIVE.contains(s.keyword()) && !mine.contains(s.words()))
                .forEach(
                        s -> refused.add(s.problem(s.keyword() + ": cannot change while running, expected a restart")));
        statements.stream()
                .filter(s -> !ALIVE.contains(s.keyword())
                        && !theirs.contains(s.words())
                        && again.statements.stream().noneMatch(t -> t.keyword().equals(s.keyword())))
                .forEach(s -> refused.add(s.problem(s.keyword() + ": the line is gone, expected a restart")));
        return refused;
    }

    /** Takes up what may change alive. */
    public void adopt(CoordinatorConfig again) {
        logJson = again.logJson;
        logLevel = again.logLevel;
        inbox = again.inbox;
        idleNs = again.idleNs;
        helloNs = again.helloNs;
    }

    public int zoneIndex() {
        return Math.max(0, zones.indexOf(zone));
    }

    /** What the decisions may read of this. */
    public Settings settings() {
        return new Settings(
                listOnRequest,
                levels.equals("rate"),
                !levels.equals("off"),
                groups.stream()
                        .map(g -> new Settings.Group(g.utility(), g.budgetNs()))
                        .toList(),
                slices,
                soleOwner,
                queueLines,
                linesPerS,
                headLines,
                messages,
                messagesSpanNs,
                roundNs,
                graceNs,
                warmNs,
                coldShare,
                fallMultiple,
                probes,
                goneStays,
                0);
    }

    public static Map<String, String> keywords() {
        return KEYWORDS;
    }
}
