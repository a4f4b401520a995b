package puffinbarrow.load;

import java.util.EnumMap;
import java.util.Map;
import org.HdrHistogram.Histogram;

/**
 * What came of a run. Latency is counted from the intended start; the service time from the sending stands beside it,
 * and what a closed loop would have reported. Every intended flow has exactly one outcome.
 */
public final class Result {
    public enum Outcome { IN_BUDGET, LATE, BLOCKED, FAILED, TIMED_OUT, REFUSED, RESET, MALFORMED, NEVER_SENT }

    /** The most that is told apart: a minute, in microseconds to three digits. */
    private static final long MOST_US = 60_000_000;

    /** Of one group, target or second. */
    public static final class Part {
        public final Histogram latency = new Histogram(MOST_US, 3);
        public final Histogram service = new Histogram(MOST_US, 3);
        public final Histogram firstByte = new Histogram(MOST_US, 3);
        public final EnumMap<Outcome, Long> outcomes = new EnumMap<>(Outcome.class);
        public long retries;

        void add(Outcome outcome) {
            outcomes.merge(outcome, 1L, Long::sum);
        }

        public long count(Outcome outcome) {
            return outcomes.getOrDefault(outcome, 0L);
        }

        public long ended() {
            return outcomes.values().stream().mapToLong(Long::longValue).sum();
        }
    }

    /** One second of the run. */
    public static final class Second {
        public long intended, sent, inBudget, other;
        public long latencyMaxUs, lagMaxUs, hiccupMaxUs;
        public final Histogram latency = new Histogram(MOST_US, 2);
    }

    public final Part all = new Part();
    public final Part[] groups;
    public final Map<String, Part> targets = new java.util.TreeMap<>();
    public final Second[] seconds;
    /** How late flows left, against their intended start. */
    public final Histogram lag = new Histogram(MOST_US, 3);
    public final Histogram hiccups = new Histogram(MOST_US, 3);
    public long intended;
    public long gcPauseMs;
    public double utilityAsked, utilityGot;

    Result(int groups, int seconds) {
        this.groups = new Part[groups];
        for (int i = 0; i < groups; i++) {
            this.groups[i] = new Part();
        }
        this.seconds = new Second[seconds];
        for (int i = 0; i < seconds; i++) {
            this.seconds[i] = new Second();
        }
    }

    static long micros(long ns) {
        return Math.max(0, Math.min(MOST_US, ns / 1000));
    }

    /** Whether no flow was lost from sight. */
    public boolean whole() {
        return intended == all.ended();
    }

    /** A sender or the whole process that stood still for this long shows in the tail: the target is not to blame. */
    static final long HOST_LATE_US = 10_000;

    /** The seconds in which this host was the bottleneck. */
    public java.util.List<Integer> hostBusy() {
        java.util.List<Integer> busy = new java.util.ArrayList<>();
        for (int i = 0; i < seconds.length; i++) {
            if (seconds[i].lagMaxUs > HOST_LATE_US || seconds[i].hiccupMaxUs > HOST_LATE_US) {
                busy.add(i);
            }
        }
        return busy;
    }
}
