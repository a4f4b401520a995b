package puffinbarrow.platform;

import java.io.PrintStream;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Counters and log lines of a coordinator in service; any thread. Lines are {@code key=value} pairs on one stream: a
 * logging library and a meter registry together would take a third of the least memory the platform gives. Lines are
 * bounded a second, and what is left out is counted.
 */
final class CounterRegistry {
    /** Enough for the decisions' own words; a flood of bad clients says the rest by its counters. */
    private static final int LINES_PER_S = 40;

    private final PrintStream out;
    private final long startedNs = System.nanoTime();
    private final Map<String, AtomicLong> counters = new ConcurrentHashMap<>();
    private final AtomicInteger linesNow = new AtomicInteger();
    private String told = "";
    private long seconds;

    CounterRegistry(PrintStream out) {
        this.out = out;
    }

    /** How often it has come to now. */
    long count(String name) {
        return counters.computeIfAbsent(name, n -> new AtomicLong()).incrementAndGet();
    }

    long value(String name) {
        AtomicLong counter = counters.get(name);
        return counter == null ? 0 : counter.get();
    }

    /** Counts and says it, the first times and then every hundredth: one cause may come by the thousand. */
    void note(String name, String line) {
        long times = count(name);
        if (times <= 5 || times % 100 == 0) {
            say(name + " times=" + times + " " + line);
        }
    }

    void say(String line) {
        if (linesNow.incrementAndGet() > LINES_PER_S) {
            count("log.left_out");
            return;
        }
        out.println("t=" + (System.nanoTime() - startedNs) / 1_000_000 + " " + line.replace('\n', ' '));
    }

    /** Once a second: lines are to be had again, and now and then changed counters are told. */
    void second(String gauges) {
        linesNow.set(0);
        if (++seconds % 5 != 0) {
            return;
        }
        String now = gauges + " " + new TreeMap<>(counters);
        if (!now.equals(told)) {
            told = now;
            say("counters " + now);
        }
    }
}
