package puffinbarrow.load;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.HdrHistogram.Histogram;

/**
 * What came of a run. Latency is counted from the intended start; the service time from the sending stands beside it,
 * and what a closed loop would have reported. Every intended flow has exactly one outcome.
 */
public final class Result {
    public enum Outcome {
        IN_BUDGET,
        LATE,
        BLOCKED,
        FAILED,
        TIMED_OUT,
        REFUSED,
        RESET,
        MALFORMED,
        NEVER_SENT
    }

    /** Why a flow was never sent. */
    public enum Unsent {
        IN_FLIGHT_BOUND,
        NO_CONNECTION_FREE,
        NO_HANDLE
    }

    /** The most that is told apart: a minute, in microseconds to three digits. */
    private static final long MOST_US = 60_000_000;
    /** Longer runs are kept in as many longer steps. */
    private static final int MOST_STEPS = 3600;

    private static final long SECOND = 1_000_000_000L;

    /** Of one group or target. */
    public static final class Part {
        public final Histogram latency = new Histogram(MOST_US, 3);
        public final Histogram service = new Histogram(MOST_US, 3);
        public final Histogram firstByte = new Histogram(MOST_US, 3);
        public final EnumMap<Outcome, Long> outcomes = new EnumMap<>(Outcome.class);

        void add(Outcome outcome) {
            outcomes.merge(outcome, 1L, Long::sum);
        }

        public long count(Outcome outcome) {
            return outcomes.getOrDefault(outcome, 0L);
        }

        public long ended() {
            return outcomes.values().stream().mapToLong(Long::longValue).sum();
        }

        void add(Part other) {
            latency.add(other.latency);
            service.add(other.service);
            firstByte.add(other.firstByte);
            other.outcomes.forEach((outcome, count) -> outcomes.merge(outcome, count, Long::sum));
        }
    }

    /** One step of the run, a second unless the run is longer than an hour. */
    public static final class Step {
        public long intended, lagMaxUs, hiccupMaxUs;
        public final long[] outcomes = new long[Outcome.values().length];
        public final Histogram latency = new Histogram(2);

        public long count(Outcome outcome) {
            return outcomes[outcome.ordinal()];
        }

        public long sent() {
            return ended() - count(Outcome.NEVER_SENT);
        }

        public long ended() {
            return java.util.Arrays.stream(outcomes).sum();
        }

        void add(Step other) {
            intended += other.intended;
            lagMaxUs = Math.max(lagMaxUs, other.lagMaxUs);
            hiccupMaxUs = Math.max(hiccupMaxUs, other.hiccupMaxUs);
            for (int i = 0; i < outcomes.length; i++) {
                outcomes[i] += other.outcomes[i];
            }
            latency.add(other.latency);
        }
    }

    public final Part all = new Part();
    public final Part[] groups;
    public final Map<String, Part> targets = new TreeMap<>();
    public final List<Step> steps = new ArrayList<>();
    public final long stepNs;
    /** How late flows left, against their intended start. */
    public final Histogram lag = new Histogram(MOST_US, 3);

    public final Histogram hiccups = new Histogram(MOST_US, 3);
    public final EnumMap<Unsent, Long> unsent = new EnumMap<>(Unsent.class);
    public long intended, retries;
    /** Blocked answers that said when to come back. */
    public long toldWhen;
    /** Bytes of an answer that no flow was waiting for: longer than promised, doubled or out of order. */
    public long stray;
    /** Connections that the system had no handle or port for. */
    public long noHandle;

    public long connections;
    /** All connections that the system's handles allowed, if fewer than asked for; else 0. */
    public int handleLimit;

    public long gcPauseMs;
    public double utilityAsked, utilityGot;
    /** Why the flows ended before their time, or null. */
    public String cutShort;

    Result(int groups, long lengthNs) {
        this.groups = new Part[groups];
        for (int i = 0; i < groups; i++) {
            this.groups[i] = new Part();
        }
        // Whole seconds, as few as keep to the most steps.
        stepNs = SECOND * Math.max(1, (lengthNs + SECOND * MOST_STEPS - 1) / (SECOND * MOST_STEPS));
    }

    Step step(long sinceStartNs) {
        int at = (int) Math.max(0, Math.min(MOST_STEPS, sinceStartNs / stepNs));
        while (steps.size() <= at) {
            steps.add(new Step());
        }
        return steps.get(at);
    }

    void add(Result other) {
        all.add(other.all);
        for (int i = 0; i < groups.length; i++) {
            groups[i].add(other.groups[i]);
        }
        other.targets.forEach(
                (name, part) -> targets.computeIfAbsent(name, n -> new Part()).add(part));
        for (int i = 0; i < other.steps.size(); i++) {
            step(i * stepNs).add(other.steps.get(i));
        }
        lag.add(other.lag);
        other.unsent.forEach((why, count) -> unsent.merge(why, count, Long::sum));
        intended += other.intended;
        retries += other.retries;
        toldWhen += other.toldWhen;
        stray += other.stray;
        noHandle += other.noHandle;
        connections += other.connections;
        utilityAsked += other.utilityAsked;
        utilityGot += other.utilityGot;
    }

    static long micros(long ns) {
        return Math.max(0, Math.min(MOST_US, ns / 1000));
    }

    /** Whether no flow was lost from sight. */
    public boolean whole() {
        return intended == all.ended()
                && intended == steps.stream().mapToLong(Step::ended).sum();
    }

    /** A sender or the whole process that stood still for this long shows in the tail: the target is not to blame. */
    static final long HOST_LATE_US = 10_000;

    /** The seconds in which this host was the bottleneck. */
    public List<Integer> hostBusy() {
        List<Integer> busy = new ArrayList<>();
        for (int i = 0; i < steps.size(); i++) {
            if (steps.get(i).lagMaxUs > HOST_LATE_US || steps.get(i).hiccupMaxUs > HOST_LATE_US) {
                busy.add((int) (i * stepNs / SECOND));
            }
        }
        return busy;
    }
}
