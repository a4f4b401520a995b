package puffinbarrow.emulator;

import java.util.List;
import java.util.Locale;
import puffinbarrow.config.ArgumentReader;

/**
 * Parameters of the models of servers, proxies and network that the script of the day does not set; read from its
 * {@code model} lines, which docs/emulator.md lists.
 */
public final class ModelParameters {
    /**
     * How a proxy picks a server from a table: at random by weight, in turn, or the one with fewer own attempts in
     * flight of two picked by weight.
     */
    enum Pick {
        WEIGHTED,
        ROTATE,
        TWO_CHOICES
    }

    /** How a server works: each core on one flow, or all cores shared by all flows. */
    enum Sharing {
        SLOTS,
        PROCESSOR
    }

    /**
     * What a server does with a flow whose proxy no longer waits: works on it all the same, drops it unless begun, or
     * stops work.
     */
    enum Overdue {
        GOES_ON,
        DROPPED,
        STOPS
    }

    /**
     * Network delay in one direction between any two machines; the default is what loopback sockets take from thread
     * to thread.
     */
    long networkDelayNs = 100_000;

    /** How proxies pick servers. */
    Pick pick = Pick.WEIGHTED;
    /** How servers divide their cores. */
    Sharing sharing = Sharing.SLOTS;
    /** What servers do with flows that nobody waits for. */
    Overdue overdue = Overdue.DROPPED;
    /** Share of its capacity that a server loses when it is full, 0 to 0.95; proportionally less when partly full. */
    double lossWhenFull;
    /** Work of a connection handshake at the server, in nanoseconds of one core of speed 1. */
    long handshakeNs;
    /** Limit of connections to a server, per core. */
    int connectionsPerCore = 60;

    /** Time after which a proxy closes an idle connection. */
    long idleConnectionNs = 30_000_000_000L;
    /** Flows that may wait at a server, per core. */
    int waitingPerCore = 8;
    /** Keys that a server caches, per core. */
    int warmKeysPerCore = 60;
    /** Share of the work that a cached key saves, 0 to 1. */
    double warmKeyGain = 0.3;
    /** Interval at which a server refreshes its load report. */
    long reportIntervalNs = 500_000_000L;
    /** Largest relative error of the busy share in a report. */
    double reportNoise = 0.05;
    /** Time that a proxy takes to apply a line; lines are applied one after the other. */
    long applyNsPerLine = 30_000;
    /** Failures in a row after which a proxy avoids a server; 0: never. */
    int failuresToAvoid = 8;
    /** Time for which a proxy avoids a server. */
    long avoidNs = 4_000_000_000L;
    /** Time for which a proxy holds a flow without a server. */
    long holdNs = 200_000_000L;
    /** Time-out of an attempt that may be retried, in latency budgets of its group. */
    double attemptBudgets = 1.2;
    /** Backends per cell. */
    int cellSize = 4;
    /** Number of proxies whose tables are audited line by line; what proxies send is audited for all. */
    int auditedProxies = 50;

    /** Keywords of the {@code model} lines. */
    static final List<String> KEYS = List.of(
            "network",
            "pick",
            "work",
            "overdue",
            "loss-when-full",
            "handshake",
            "connections",
            "waiting-room",
            "warm-keys",
            "reports",
            "apply",
            "avoid",
            "hold",
            "try",
            "cell",
            "audited");

    /** Reads the words after {@code model}. */
    void readLine(ArgumentReader arguments) {
        switch (arguments.oneOf(KEYS.toArray(String[]::new))) {
            case "network" -> networkDelayNs = arguments.durationNs("the network delay in one direction");
            case "pick" -> pick = Pick.valueOf(constantName(arguments.oneOf("weighted", "rotate", "two-choices")));
            case "work" -> sharing = Sharing.valueOf(constantName(arguments.oneOf("slots", "processor")));
            case "overdue" -> overdue = Overdue.valueOf(constantName(arguments.oneOf("dropped", "goes-on", "stops")));
            case "loss-when-full" -> {
                lossWhenFull = arguments.share("the share of its capacity that a full server loses");
                if (arguments.valid() && lossWhenFull > 0.95) {
                    arguments.reportMistake("a server that does no work when full", "0.95 at most");
                }
            }
            case "handshake" -> handshakeNs = arguments.durationNs("the work of a handshake at the server");
            case "connections" -> {
                connectionsPerCore = (int) arguments.integer("connections accepted per core", 1, 1_000_000);
                if (arguments.takeIfNext("kept")) {
                    idleConnectionNs = arguments.durationNs("the time for which an idle connection is kept");
                }
            }
            case "waiting-room" -> waitingPerCore =
                    (int) arguments.integer("flows that may wait per core", 0, 1_000_000);
            case "warm-keys" -> {
                warmKeysPerCore = (int) arguments.integer("keys remembered per core", 0, 1_000_000);
                if (arguments.takeIfNext("gain")) {
                    warmKeyGain = arguments.share("the share of the work that a warm key saves");
                }
            }
            case "reports" -> {
                arguments.expect("every");
                reportIntervalNs = Math.max(1, arguments.durationNs("the interval between load reports"));
                if (arguments.takeIfNext("noise")) {
                    reportNoise = arguments.share("the largest relative error of the busy share");
                }
            }
            case "apply" -> applyNsPerLine = arguments.durationNs("the time that a proxy takes to apply a line");
            case "avoid" -> {
                failuresToAvoid =
                        (int) arguments.integer("failures in a row before a proxy avoids a server (0: never)", 0, 1000);
                if (arguments.takeIfNext("for")) {
                    avoidNs = arguments.durationNs("the time for which the server is avoided");
                }
            }
            case "hold" -> holdNs = arguments.durationNs("the time for which a flow without a server is held");
            case "try" -> attemptBudgets =
                    arguments.number("the time-out of an attempt that may be retried, in latency budgets", 0.01, 100);
            case "cell" -> cellSize = (int) arguments.integer("backends per cell", 1, 10_000);
            default -> auditedProxies = (int) arguments.integer("proxies whose tables are audited", 0, 10_000);
        }
    }

    /** Turns the word of a setting into the name of an enum constant. */
    private static String constantName(String word) {
        return word.replace('-', '_').toUpperCase(Locale.ROOT);
    }
}
