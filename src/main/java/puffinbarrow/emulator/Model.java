package puffinbarrow.emulator;

import java.util.List;
import puffinbarrow.config.Words;

/** How servers, proxies and ways behave, as far as the day's script does not say; docs/emulator.md lists the lines. */
public final class Model {
    enum Pick {
        WEIGHTED,
        ROTATE,
        TWO_CHOICES
    }

    enum Sharing {
        SLOTS,
        PROCESSOR
    }

    /** What a server does with a flow whose proxy no longer waits: works it all the same, drops it unless begun, or stops. */
    enum Overdue {
        GOES_ON,
        DROPPED,
        STOPS
    }

    /** One way between any two machines: what loopback sockets take, thread to thread. */
    long networkNs = 100_000;

    Pick pick = Pick.WEIGHTED;
    Sharing sharing = Sharing.SLOTS;
    Overdue overdue = Overdue.DROPPED;
    /** Of a server's capacity, lost when it holds all it can. */
    double lossWhenFull;
    /** Work of a handshake at the server. */
    long handshakeNs;
    /** Connections a server accepts, for each of its cores. */
    int connectionsPerCore = 60;

    long keepNs = 30_000_000_000L;
    int roomPerCore = 8;
    int keysPerCore = 60;
    double warmKeyGain = 0.3;
    long reportEveryNs = 500_000_000L;
    double reportNoise = 0.05;
    long applyNsPerLine = 30_000;
    int failsToAvoid = 8;
    long avoidNs = 4_000_000_000L;
    long holdNs = 200_000_000L;
    double tryBudgets = 1.2;
    /** Backends of a cell. */
    int cell = 4;
    /** Proxies whose tables are audited line by line; what all proxies send is audited in any case. */
    int audited = 50;

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

    /** The words after {@code model}. */
    void take(Words w) {
        switch (w.oneOf(KEYS.toArray(String[]::new))) {
            case "network" -> networkNs = w.time("one way");
            case "pick" -> pick = Pick.valueOf(word(w.oneOf("weighted", "rotate", "two-choices")));
            case "work" -> sharing = Sharing.valueOf(word(w.oneOf("slots", "processor")));
            case "overdue" -> overdue = Overdue.valueOf(word(w.oneOf("dropped", "goes-on", "stops")));
            case "loss-when-full" -> {
                lossWhenFull = w.share("the part of its capacity that a full server loses");
                if (w.sound() && lossWhenFull > 0.95) {
                    w.wrong("a server that does no work when full", "0.95 at most");
                }
            }
            case "handshake" -> handshakeNs = w.time("a handshake's work at the server");
            case "connections" -> {
                connectionsPerCore = (int) w.whole("connections accepted for each core", 1, 1_000_000);
                if (w.take("kept")) {
                    keepNs = w.time("how long an idle one is kept");
                }
            }
            case "waiting-room" -> roomPerCore = (int) w.whole("flows that may wait for each core", 0, 1_000_000);
            case "warm-keys" -> {
                keysPerCore = (int) w.whole("keys remembered for each core", 0, 1_000_000);
                if (w.take("gain")) {
                    warmKeyGain = w.share("the work that a warm key saves");
                }
            }
            case "reports" -> {
                w.expect("every");
                reportEveryNs = Math.max(1, w.time("how often they are refreshed"));
                if (w.take("noise")) {
                    reportNoise = w.share("how far off at most");
                }
            }
            case "apply" -> applyNsPerLine = w.time("a proxy's standstill for each line");
            case "avoid" -> {
                failsToAvoid = (int) w.whole("failures in a row before a proxy avoids (0: never)", 0, 1000);
                if (w.take("for")) {
                    avoidNs = w.time("how long");
                }
            }
            case "hold" -> holdNs = w.time("how long a flow without a server is held");
            case "try" -> tryBudgets = w.number("budgets that a try takes that may be followed", 0.01, 100);
            case "cell" -> cell = (int) w.whole("backends of a cell", 1, 10_000);
            default -> audited = (int) w.whole("proxies whose tables are audited", 0, 10_000);
        }
    }

    private static String word(String word) {
        return word.replace('-', '_').toUpperCase(java.util.Locale.ROOT);
    }
}
