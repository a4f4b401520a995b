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

/**
 * The settings of one coordinator, decoded once at start; docs/settings.md lists the keywords. A field that the file
 * does not set keeps its initial value as the default. Commands, tests and the emulator may change fields before the
 * coordinator starts; after that only {@link #applyReloadable} does, when the settings are reloaded. Times are
 * nanoseconds.
 */
public final class CoordinatorConfig {
    /**
     * Whether a flow of a group may be executed more than once: freely, within the scope and window in which servers
     * drop duplicates, or not at all.
     */
    public enum RetrySafety {
        RETRIABLE,
        DEDUPED,
        NON_RETRIABLE
    }

    /**
     * A traffic group.
     *
     * @param name unique within the file
     * @param utility value of a flow that is delivered within its budget
     * @param budgetNs latency budget, at most {@code expiryNs}
     * @param expiryNs time after which the answer is of no use
     * @param dedupScope where servers recognise duplicates of a deduped flow: {@code all}, {@code zone} or {@code cell}
     * @param dedupWindowNs how long servers recognise duplicates of a deduped flow; 0 for other groups
     */
    public record Group(
            String name,
            double utility,
            long budgetNs,
            long expiryNs,
            RetrySafety retrySafety,
            String dedupScope,
            long dedupWindowNs) {}

    /** The most traffic groups: their numbers are bits of an order. */
    public static final int MAX_GROUPS = 30;

    /** Number of this coordinator, from 0 to {@link #coordinatorCount} - 1. */
    public int number;
    /** Number of coordinators. */
    public int coordinatorCount = 1;
    /** Zone of this coordinator, one of {@link #zones}; empty: not stated. */
    public String zone = "";

    public List<String> zones = List.of("zone-0");
    /** Where proxies and peers connect; port 0: any free port. */
    public InetSocketAddress listen = new InetSocketAddress("127.0.0.1", 0);
    /** Where status requests are answered; port 0: any free port. */
    public InetSocketAddress admin = new InetSocketAddress("127.0.0.1", 0);

    public InetSocketAddress registry;
    /** The registry sends the server list only on request; false: it pushes changes. */
    public boolean listOnRequest;
    /** The table store; null: none, allowed only without slices. */
    public InetSocketAddress store;
    /** Address of each other coordinator, by its number. */
    public final TreeMap<Integer, InetSocketAddress> peers = new TreeMap<>();
    /** Seed of all random choices. */
    public long seed = 1;

    public final List<Group> groups = new ArrayList<>();
    /** Number of slices that keys are hashed into; 0: no slices. */
    public int slices;
    /** Each slice has at most one server at a time. */
    public boolean soleOwner;
    /** Meaning of levels at the proxies: {@code share} of the flows, flow {@code rate}, or {@code off}. */
    public String levels = "share";
    /** Most lines that may wait in the channel to the proxies. */
    public double queueLines = 4000;
    /** Lines that the channel to the proxies carries per second. */
    public double linesPerS = 4000;
    /** Overhead of one message, in lines. */
    public double messageOverheadLines = 12;
    /** Most messages to one proxy within {@link #messagesSpanNs}; 0: no limit. */
    public int maxMessages;

    public long messagesSpanNs = 10_000_000_000L;
    /** Time between two reports of a proxy. */
    public long roundNs = 1_000_000_000L;
    /** Report lines that the coordinator takes in per second. */
    public double reportLinesPerS = 300;
    /** Time within which proxies must have stopped sending to a server that drains or is gone. */
    public long graceNs = 3_000_000_000L;
    /** Longest time that a proxy may be without a backend for a slice. */
    public long noBackendLimitNs = 6_000_000_000L;
    /** Age at which a backend is warm at the latest. */
    public long warmNs = 17_000_000_000L;
    /** Part of its full capacity that a backend has right after its start, 0 to 1. */
    public double coldShare = 0.15;
    /** A cold backend that gets more than this multiple of its present capacity for {@link #overloadNs} crashes. */
    public double fallMultiple = 4;

    public long overloadNs = 1_500_000_000L;
    /** The coordinator probes backends. */
    public boolean probes;
    /** A server that disappears from the list stays in use; false: proxies must stop sending to it. */
    public boolean keepGoneServers;
    /** Time between two batches of decisions. */
    public long tickNs = 2_000_000;
    /** Length of a lease with which coordinators divide the slices among themselves; 0: the store assigns them. */
    public long leaseNs;
    /** How long a proxy still sends writes to a single owner after its stream broke or the slice changed hands. */
    public long proxyLeaseNs = 1_500_000_000L;

    /** Most frames that may wait for the next batch. */
    public int inboxFrames = 65_536;
    /** Most bytes that may wait to be sent on one stream. */
    public long maxOutboundBytes = 4 << 20;
    /** Longest frame that is accepted, in bytes. */
    public int maxFrameBytes = 1 << 20;
    /** Time within which a new stream must send its hello. */
    public long helloTimeoutNs = 5_000_000_000L;
    /** Time after which a silent stream is closed. */
    public long idleTimeoutNs = 15_000_000_000L;
    /** Log lines are JSON; false: text. */
    public boolean logJson;

    public String logLevel = "info";
    /** File that the bound ports are written to; null: none. */
    public Path portFile;
    /** Folder that batches whose decision failed are written to; null: none. */
    public Path failedBatches;
    /** Folder of the facts kept across restarts; null: none are kept. */
    public Path memory;
    /** Most bytes of disk that {@link #memory} may take. */
    public long memoryBytes = 64 << 20;

    /** Each keyword with its arguments, for the help text and the "did you mean" hints. */
    static final Map<String, String> KEYWORDS = new LinkedHashMap<>();

    static {
        String[][] entries = {
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
        for (String[] entry : entries) {
            KEYWORDS.put(entry[0], entry[1]);
        }
    }

    /** Keywords that a running coordinator accepts from a reloaded file; changes of the others need a restart. */
    private static final List<String> RELOADABLE = List.of("log", "inbox", "idle", "hello");

    private static final List<String> REPEATABLE = List.of("group", "peer");

    /** The first statement of each keyword. */
    private final Map<String, Statement> firstByKeyword = new LinkedHashMap<>();

    private List<Statement> statements = List.of();

    private CoordinatorConfig() {}

    /** Reads the file and its includes; all mistakes are added to {@code problems}, and none stops the reading. */
    public static CoordinatorConfig read(Path file, List<Problem> problems) {
        return fromStatements(StatementReader.read(file, problems), file.toString(), problems);
    }

    /** Parses the text as {@link #read} does a file; {@code name} is the file name given in problems. */
    public static CoordinatorConfig parse(String name, String text, List<Problem> problems) {
        return fromStatements(StatementReader.parse(name, text, problems), name, problems);
    }

    private static CoordinatorConfig fromStatements(List<Statement> statements, String name, List<Problem> problems) {
        CoordinatorConfig config = new CoordinatorConfig();
        config.statements = statements;
        for (Statement statement : statements) {
            config.apply(statement, problems);
        }
        config.validate(name, problems);
        problems.sort(Comparator.comparing(Problem::file).thenComparing(Problem::line));
        return config;
    }

    /** Returns a configuration with the given decision settings and default sockets, for replaying a recording. */
    public static CoordinatorConfig fromSettings(Settings from, long seed) {
        CoordinatorConfig config = new CoordinatorConfig();
        // Decisions do not see the number; the largest leaves all others to the peers in the recording.
        config.number = 999;
        config.coordinatorCount = 1000;
        config.seed = seed;
        config.listOnRequest = from.listOnRequest();
        config.levels = from.levelIsRate() ? "rate" : from.levelsApplied() ? "share" : "off";
        for (Settings.Group group : from.groups()) {
            config.groups.add(new Group(
                    "group-" + config.groups.size(),
                    group.utility(),
                    group.budgetNs(),
                    group.budgetNs(),
                    RetrySafety.RETRIABLE,
                    "all",
                    0));
        }
        config.slices = from.slices();
        config.soleOwner = from.soleOwner();
        config.queueLines = from.queueLimitLines();
        config.linesPerS = from.linesPerS();
        config.messageOverheadLines = from.messageOverheadLines();
        config.maxMessages = from.messagesAllowed();
        config.messagesSpanNs = from.messagesSpanNs();
        config.roundNs = from.roundNs();
        config.graceNs = from.graceNs();
        config.warmNs = from.warmUpNs();
        config.coldShare = from.coldShare();
        config.fallMultiple = from.fallMultiple();
        config.probes = from.probes();
        config.keepGoneServers = from.keepsDelisted();
        return config;
    }

    private void apply(Statement statement, List<Problem> problems) {
        String keyword = statement.keyword();
        if (!KEYWORDS.containsKey(keyword)) {
            String suggestion = ArgumentReader.nearest(keyword, KEYWORDS.keySet());
            problems.add(statement.problem("unknown keyword '" + keyword + "', expected one of the settings"
                    + (suggestion == null
                            ? ""
                            : " (did you mean " + suggestion + " " + KEYWORDS.get(suggestion) + "?)")));
            return;
        }
        Statement before = firstByKeyword.putIfAbsent(keyword, statement);
        if (before != null && !REPEATABLE.contains(keyword)) {
            problems.add(statement.problem(
                    keyword + ": given twice, expected once (first at " + before.file() + ":" + before.line() + ")"));
            return;
        }
        ArgumentReader arguments = new ArgumentReader(statement, problems);
        switch (keyword) {
            case "coordinator" -> {
                number = (int) arguments.integer("its number", 0, 999);
                arguments.expect("of");
                coordinatorCount = (int) arguments.integer("how many coordinators there are", 1, 1000);
            }
            case "zone" -> zone = arguments.text("a zone");
            case "zones" -> zones = names(arguments);
            case "listen" -> listen = arguments.address("where to listen for proxies and peers");
            case "admin" -> admin = arguments.address("where to listen for status requests");
            case "registry" -> {
                registry = arguments.address("the registry");
                listOnRequest = arguments.oneOf("push", "ask").equals("ask");
            }
            case "store" -> store = arguments.address("the table store");
            case "peer" -> {
                int peer = (int) arguments.integer("the peer's number", 0, 999);
                if (peers.put(peer, arguments.address("the peer")) != null) {
                    arguments.reportMistake("peer " + peer + " again", "each peer once");
                }
            }
            case "seed" -> seed = arguments.integer("a seed", 0, Long.MAX_VALUE);
            case "group" -> group(arguments);
            case "slices" -> {
                slices = (int) arguments.integer("how many slices keys fall into", 0, 65_534);
                soleOwner = arguments.takeIfNext("sole-owner");
            }
            case "levels" -> levels = arguments.oneOf("share", "rate", "off");
            case "queue" -> queueLines = arguments.number("lines that may wait in the channel", 1, 1e9);
            case "pace" -> linesPerS = arguments.number("lines per second", 1, 1e9);
            case "head" -> messageOverheadLines = arguments.number("overhead lines of a message", 0, 1e6);
            case "messages" -> {
                maxMessages = (int) arguments.integer("messages to one proxy (0: no limit)", 0, 1_000_000);
                arguments.expect("per");
                messagesSpanNs = arguments.durationNs("the span they are counted over");
            }
            case "round" -> roundNs = arguments.durationNs("the time between reports of a proxy");
            case "intake" -> reportLinesPerS = arguments.number("report lines per second", 1, 1e9);
            case "grace" -> graceNs = arguments.durationNs("the grace period for drains");
            case "bare" -> noBackendLimitNs = arguments.durationNs("how long a proxy may lack a backend");
            case "warm" -> warmNs = arguments.durationNs("when a backend is warm at the latest");
            case "cold-share" -> coldShare = arguments.share("the part of its work a cold backend can do");
            case "fall-multiple" -> {
                fallMultiple = arguments.number("a multiple of present capacity", 1, 1000);
                arguments.expect("for");
                overloadNs = arguments.durationNs("how long a backend withstands the overload");
            }
            case "probes" -> probes = arguments.onOff();
            case "gone" -> keepGoneServers = arguments.oneOf("binds", "stays").equals("stays");
            case "tick" -> tickNs = arguments.durationNs("the time between batches");
            case "inbox" -> inboxFrames =
                    (int) arguments.integer("frames that may wait for a decision", 16, 100_000_000);
            case "outbound" -> maxOutboundBytes = arguments.sizeBytes("bytes that may wait for one stream");
            case "frame" -> maxFrameBytes = (int) Math.min(1 << 28, arguments.sizeBytes("the longest frame"));
            case "hello" -> helloTimeoutNs = arguments.durationNs("how long a stream may take to say hello");
            case "idle" -> idleTimeoutNs = arguments.durationNs("how long a stream may be silent");
            case "log" -> {
                logJson = arguments.oneOf("text", "json").equals("json");
                logLevel = arguments.oneOf("info", "error", "warn", "debug", "trace");
            }
            case "port-file" -> portFile = Path.of(arguments.text("a path"));
            case "failed-batches" -> failedBatches = Path.of(arguments.text("a folder"));
            case "proxy-lease" -> proxyLeaseNs =
                    arguments.durationNs("how long a disconnected proxy goes on sending writes");
            case "lease" -> leaseNs = arguments.durationNs("how long a coordinator's lease lasts");
            case "memory" -> {
                memory = Path.of(arguments.text("a folder"));
                if (arguments.takeIfNext("at-most")) {
                    memoryBytes = arguments.sizeBytes("the most bytes of disk it may take");
                }
            }
            default -> throw new IllegalStateException(keyword);
        }
        arguments.expectEnd();
    }

    private static List<String> names(ArgumentReader arguments) {
        List<String> names = new ArrayList<>();
        do {
            names.add(arguments.text("a zone's name"));
        } while (arguments.hasMore());
        return names;
    }

    private void group(ArgumentReader arguments) {
        String name = arguments.text("the group's name");
        arguments.expect("utility");
        double utility = arguments.number("its utility", 0, 1e9);
        arguments.expect("budget");
        long budget = arguments.durationNs("its latency budget");
        arguments.expect("expiry");
        long expiry = arguments.durationNs("its expiry");
        String retryWord = arguments.oneOf("retriable", "deduped", "non-retriable");
        String scope = "all";
        long window = 0;
        RetrySafety retrySafety = RetrySafety.RETRIABLE;
        if (retryWord.equals("deduped")) {
            retrySafety = RetrySafety.DEDUPED;
            scope = arguments.oneOf("all", "zone", "cell");
            window = arguments.durationNs("how long servers drop duplicates");
        } else if (retryWord.equals("non-retriable")) {
            retrySafety = RetrySafety.NON_RETRIABLE;
        }
        if (arguments.valid() && budget > expiry) {
            arguments.reportMistake("a budget over its expiry", "a budget of at most " + expiry / 1e9 + "s");
        }
        if (arguments.valid() && groups.stream().anyMatch(g -> g.name().equals(name))) {
            arguments.reportMistake("group " + name + " again", "each group once");
        }
        groups.add(new Group(name, utility, budget, expiry, retrySafety, scope, window));
    }

    /** Checks what depends on several lines, or on lines that are missing. */
    private void validate(String name, List<Problem> problems) {
        for (String needed : List.of("coordinator", "registry", "group")) {
            if (!firstByKeyword.containsKey(needed)) {
                problems.add(new Problem(
                        name, 0, "no line '" + needed + "', expected: " + needed + " " + KEYWORDS.get(needed)));
            }
        }
        if (groups.size() > MAX_GROUPS) {
            addProblem(problems, "group", "found " + groups.size() + " groups, expected " + MAX_GROUPS + " at most");
        }
        if (number >= coordinatorCount) {
            addProblem(
                    problems,
                    "coordinator",
                    "found number " + number + " of " + coordinatorCount + ", expected one below " + coordinatorCount);
        }
        if (!zone.isEmpty() && !zones.contains(zone)) {
            addProblem(problems, "zone", "found '" + zone + "', expected one of " + String.join(", ", zones));
        }
        if (peers.containsKey(number)) {
            addProblem(problems, "peer", "found our own number " + number + ", expected that of another coordinator");
        }
        if (slices > 0 && store == null) {
            addProblem(problems, "slices", "found slices without a store, expected a line 'store ADDRESS:PORT'");
        }
        // An order that waits longer than the drain grace cannot stop a proxy in time.
        if (queueLines > linesPerS * graceNs / 1e9) {
            addProblem(
                    problems,
                    "queue",
                    "a full queue of " + (long) queueLines + " lines takes "
                            + Math.round(queueLines / linesPerS * 10) / 10.0 + "s at " + (long) linesPerS
                            + " lines per second, expected no longer than the grace period of " + graceNs / 1e9 + "s");
        }
        // A message costs at least its overhead, so one that fills the queue leaves no room for lines.
        if (messageOverheadLines >= queueLines) {
            addProblem(
                    problems,
                    "head",
                    "found an overhead of " + messageOverheadLines + " lines, expected less than the queue's "
                            + queueLines);
        }
        if (tickNs > roundNs) {
            addProblem(
                    problems,
                    "tick",
                    "found a tick longer than a report round, expected " + roundNs / 1e9 + "s at most");
        }
        if (warmNs > 0 && coldShare <= 0) {
            addProblem(problems, "cold-share", "found 0, expected the part a backend can do at its start");
        }
    }

    private void addProblem(List<Problem> problems, String keyword, String text) {
        Statement where = firstByKeyword.get(keyword);
        problems.add(
                where == null
                        ? new Problem("defaults", 0, keyword + ": " + text)
                        : where.problem(keyword + ": " + text));
    }

    /** Returns a problem for each line that was added, changed or removed in the reloaded file but needs a restart. */
    public List<Problem> refusedChanges(CoordinatorConfig reloaded) {
        List<Problem> refused = new ArrayList<>();
        List<List<String>> current = statements.stream().map(Statement::words).toList();
        List<List<String>> changed =
                reloaded.statements.stream().map(Statement::words).toList();
        reloaded.statements.stream()
                .filter(s -> !RELOADABLE.contains(s.keyword()) && !current.contains(s.words()))
                .forEach(
                        s -> refused.add(s.problem(s.keyword() + ": cannot change while running, expected a restart")));
        statements.stream()
                .filter(s -> !RELOADABLE.contains(s.keyword())
                        && !changed.contains(s.words())
                        && reloaded.statements.stream()
                                .noneMatch(t -> t.keyword().equals(s.keyword())))
                .forEach(s ->
                        refused.add(s.problem(s.keyword() + ": cannot be removed while running, expected a restart")));
        return refused;
    }

    /** Copies the settings that may change while the coordinator runs. */
    public void applyReloadable(CoordinatorConfig reloaded) {
        logJson = reloaded.logJson;
        logLevel = reloaded.logLevel;
        inboxFrames = reloaded.inboxFrames;
        idleTimeoutNs = reloaded.idleTimeoutNs;
        helloTimeoutNs = reloaded.helloTimeoutNs;
    }

    /** Returns the index of this coordinator's zone in {@link #zones}; 0 if it has none. */
    public int zoneIndex() {
        return Math.max(0, zones.indexOf(zone));
    }

    /** Returns the part of the settings that decisions may read. */
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
                messageOverheadLines,
                maxMessages,
                messagesSpanNs,
                roundNs,
                graceNs,
                warmNs,
                coldShare,
                fallMultiple,
                probes,
                keepGoneServers,
                0);
    }

    /** Returns each keyword with its arguments, in a fixed order. */
    public static Map<String, String> keywords() {
        return KEYWORDS;
    }
}
