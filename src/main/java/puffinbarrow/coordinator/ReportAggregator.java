package puffinbarrow.coordinator;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.TreeSet;
import puffinbarrow.control.Event;
import puffinbarrow.proto.Frame;

/**
 * Aggregates the reports of all joined proxies: one line for each round, zone and server, and one for each round, slice
 * (or proxy) and traffic group. Lines are released at no more than the intake rate, oldest first. When more than {@link
 * #MAX_WAITING_ROUNDS} seconds' worth of lines wait, new reports are added to a line of the same kind for any round, so
 * that memory is bounded by servers and slices, which {@link ReportSubjects} bounds, whatever the delay. Used by {@link CoordinatorCore} on the decision
 * thread; the time is passed in.
 */
final class ReportAggregator {
    /** What a line is about; {@code subject} is a zone, slice or proxy, depending on the kind. */
    private record Key(long round, int kind, int subject, int group, String server) {}

    /** One line that waits to be released, with the sums over all reports added to it. */
    private static final class Line {
        final long arrivedAtNs;
        long spanNs;
        /** Attempts at a server, or flows. */
        long tries;

        long dropped;
        long tookNs;
        Map<Event.Measure, Double> report = Map.of();

        Line(long arrivedAtNs) {
            this.arrivedAtNs = arrivedAtNs;
        }
    }

    private static final int SERVER_SUMS = 0;
    private static final int SLICE_DEMAND = 1;
    private static final int PROXY_DEMAND = 2;

    /** Key round of lines that merge several rounds. */
    private static final long ANY_ROUND = -1;
    /** Late reports make two rounds overlap; with a third one waiting, the intake rate is the bottleneck. */
    private static final int MAX_WAITING_ROUNDS = 3;
    /** The waiting lines allowed for each round are at least this many, however low the intake rate. */
    private static final double MIN_LINES_PER_ROUND = 100;
    /** A line waits for the missing proxies of its round for a quarter of the reporting interval at most. */
    private static final int HOLD_DIVISOR = 4;

    private final double linesPerS;
    private final long holdNs;
    /** In order of arrival. */
    private final LinkedHashMap<Key, Line> waiting = new LinkedHashMap<>();
    /** The proxies that have reported, by round. */
    private final TreeMap<Long, TreeSet<Integer>> reported = new TreeMap<>();
    /** Lines that may be released now: a token bucket filled at the intake rate. */
    private double credit;

    private long creditAtNs;
    private long merged;

    /**
     * @param linesPerS lines released a second
     * @param roundNs the proxies' reporting interval; 0 releases lines without waiting for the rest of a round
     */
    ReportAggregator(double linesPerS, long roundNs) {
        this.linesPerS = linesPerS;
        this.holdNs = roundNs / HOLD_DIVISOR;
    }

    /** Adds a proxy's measurements at servers. */
    void addSums(long now, int proxy, Frame.Sums sums) {
        for (Frame.Met met : sums.met()) {
            Line line = lineFor(now, new Key(sums.round(), SERVER_SUMS, sums.zone(), 0, met.server()), sums.spanNs());
            line.tries += met.tries();
            line.dropped += met.dropped();
            line.tookNs += met.tookNs();
            if (!met.report().isEmpty()) {
                line.report = met.report();
            }
        }
        noteReported(sums.round(), proxy);
    }

    /** Adds a proxy's demand, by slice or for the proxy as a whole. */
    void addDemand(long now, int proxy, boolean bySlice, Frame.Demand demand) {
        for (Frame.Came came : demand.came()) {
            int subject = bySlice ? came.slice() : proxy;
            Line line = lineFor(
                    now,
                    new Key(demand.round(), bySlice ? SLICE_DEMAND : PROXY_DEMAND, subject, came.group(), ""),
                    demand.spanNs());
            line.tries += came.flows();
            line.dropped += came.dropped();
        }
    }

    private void noteReported(long round, int proxy) {
        reported.computeIfAbsent(round, r -> new TreeSet<>()).add(proxy);
        while (reported.size() > MAX_WAITING_ROUNDS) {
            reported.pollFirstEntry();
        }
    }

    /** Returns the waiting line to add a report to. */
    private Line lineFor(long now, Key key, long spanNs) {
        Line line = waiting.get(key);
        if (line == null && waiting.size() > MAX_WAITING_ROUNDS * Math.max(MIN_LINES_PER_ROUND, linesPerS)) {
            Key anyRound = new Key(ANY_ROUND, key.kind, key.subject, key.group, key.server);
            line = waiting.get(anyRound);
            if (line == null) {
                line = new Line(now);
                waiting.put(anyRound, line);
            }
            merged++;
            // The span of several rounds in one line is the sum of theirs.
            line.spanNs += spanNs;
            return line;
        }
        if (line == null) {
            line = new Line(now);
            waiting.put(key, line);
        }
        line.spanNs = Math.max(line.spanNs, spanNs);
        return line;
    }

    /**
     * Releases the lines that are due as events, oldest first. A line is due once all proxies have reported on its
     * round, or when it has waited long enough.
     *
     * @param joined how many proxies are joined
     */
    void release(long now, int joined, List<Event> events) {
        // Unused credit is capped at one second's worth, so that lines from between two calls are released together.
        credit = Math.min(Math.max(linesPerS, 1), credit + linesPerS * Math.max(0, now - creditAtNs) / 1e9);
        creditAtNs = now;
        Iterator<Map.Entry<Key, Line>> lines = waiting.entrySet().iterator();
        while (lines.hasNext() && credit >= 1) {
            Map.Entry<Key, Line> entry = lines.next();
            Line line = entry.getValue();
            TreeSet<Integer> reporters = reported.get(entry.getKey().round);
            if (now - line.arrivedAtNs < holdNs && (reporters == null || reporters.size() < joined)) {
                break;
            }
            events.add(event(entry.getKey(), line));
            lines.remove();
            credit--;
        }
    }

    /** Returns when {@link #release} may have more lines; Long.MAX_VALUE if none wait. */
    long nextAtNs() {
        if (waiting.isEmpty()) {
            return Long.MAX_VALUE;
        }
        long heldUntilNs = waiting.values().iterator().next().arrivedAtNs + holdNs;
        return credit >= 1
                ? heldUntilNs
                : Math.max(heldUntilNs, creditAtNs + (long) ((1 - credit) / linesPerS * 1e9) + 1);
    }

    int waitingLines() {
        return waiting.size();
    }

    /** Returns how many reports were added to a line of any round, as too many lines waited. */
    long mergedLines() {
        return merged;
    }

    private static Event event(Key key, Line line) {
        return switch (key.kind) {
            case SERVER_SUMS -> {
                long delivered = line.tries - line.dropped;
                yield new Event.ServerSums(
                        key.server,
                        key.subject,
                        line.spanNs,
                        delivered > 0 ? line.tookNs / delivered : 0,
                        line.dropped,
                        line.tries,
                        line.report);
            }
            case SLICE_DEMAND -> new Event.SliceDemand(key.subject, key.group, line.tries, line.dropped, line.spanNs);
            default -> new Event.ProxyDemand(key.subject, key.group, line.tries, line.dropped, line.spanNs);
        };
    }
}
