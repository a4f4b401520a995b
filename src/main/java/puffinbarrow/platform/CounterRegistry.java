package puffinbarrow.platform;

import java.io.PrintStream;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Counters and log lines of a coordinator in service. Lines are {@code key=value} pairs on one output stream: a logging
 * library and a meter registry together would need a third of the smallest memory limit that the platform sets. The
 * number of lines per second is limited, and suppressed lines are counted. Callable from any thread, except
 * {@link #onSecond}.
 */
final class CounterRegistry {
    /** Enough for the controller's decision log; a flood of bad clients shows in its counters instead. */
    private static final int MAX_LINES_PER_SECOND = 40;

    /** The first increments of a counter that {@link #incrementAndLog} logs one by one. */
    private static final int LOGGED_FIRST = 5;
    /** After those, one in so many increments is logged. */
    private static final int LOGGED_EVERY = 100;
    /** Interval at which changed counters are logged. */
    private static final int COUNTERS_LOG_INTERVAL_S = 5;

    private final PrintStream out;
    private final long startedNs = System.nanoTime();
    private final Map<String, AtomicLong> counters = new ConcurrentHashMap<>();
    /** Lines written or suppressed in the current second. */
    private final AtomicInteger linesThisSecond = new AtomicInteger();

    private String lastLoggedCounters = "";
    private long seconds;

    CounterRegistry(PrintStream out) {
        this.out = out;
    }

    /** Increments the counter and returns its new value. */
    long increment(String name) {
        return counters.computeIfAbsent(name, n -> new AtomicLong()).incrementAndGet();
    }

    long value(String name) {
        AtomicLong counter = counters.get(name);
        return counter == null ? 0 : counter.get();
    }

    /** Increments the counter and logs its first five and then every hundredth increment, as causes may repeat. */
    void incrementAndLog(String name, String detail) {
        long times = increment(name);
        if (times <= LOGGED_FIRST || times % LOGGED_EVERY == 0) {
            log(name + " times=" + times + " " + detail);
        }
    }

    void log(String line) {
        if (linesThisSecond.incrementAndGet() > MAX_LINES_PER_SECOND) {
            increment("log.left_out");
            return;
        }
        out.println("t=" + (System.nanoTime() - startedNs) / 1_000_000 + " " + line.replace('\n', ' '));
    }

    /** Called once a second on the decision thread: resets the line limit and, at intervals, logs changed counters. */
    void onSecond(String gauges) {
        linesThisSecond.set(0);
        if (++seconds % COUNTERS_LOG_INTERVAL_S != 0) {
            return;
        }
        String current = gauges + " " + new TreeMap<>(counters);
        if (!current.equals(lastLoggedCounters)) {
            lastLoggedCounters = current;
            log("counters " + current);
        }
    }
}
