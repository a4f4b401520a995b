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
 * Merges what the joined proxies met: one line for each round, zone and server, and one for each slice (or proxy)
 * and traffic group. Lines are handed on at no more than the intake rate, the oldest first; when more wait than
 * {@link #ROUNDS_WAITING} rounds' worth, new lines are added to waiting ones of the same kind whatever their round,
 * so memory is bounded by servers and slices, never by time. No I/O; the clock is passed in.
 */
final class Gather {
    private record Key(long round, int kind, int a, int b, String server) {}

    private static final class Sum {
        final long cameAtNs;
        long spanNs, tries, dropped, tookNs;
        Map<Event.Measure, Double> report = Map.of();

        Sum(long cameAtNs) {
            this.cameAtNs = cameAtNs;
        }
    }

    private static final int MET = 0, SLICE = 1, PROXY = 2;
    /** Two rounds may overlap when reports are late; a third waiting round means the intake is the limit. */
    private static final int ROUNDS_WAITING = 3;
    /** A round in which every joined proxy has reported waits no longer; a quarter of a round else. */
    private static final int HOLD_PART = 4;

    private final double perS;
    private final long holdNs;
    private final LinkedHashMap<Key, Sum> waiting = new LinkedHashMap<>();
    private final TreeMap<Long, TreeSet<Integer>> reported = new TreeMap<>();
    private double credit;
    private long creditAtNs;
    private long merged;

    /** @param perS lines a second; @param roundNs how often proxies report; 0 hands on at once */
    Gather(double perS, long roundNs) {
        this.perS = perS;
        this.holdNs = roundNs / HOLD_PART;
    }

    void sums(long now, int proxy, Frame.Sums sums) {
        for (Frame.Met met : sums.met()) {
            Sum sum = at(now, new Key(sums.round(), MET, sums.zone(), 0, met.server()), sums.spanNs());
            sum.tries += met.tries();
            sum.dropped += met.dropped();
            sum.tookNs += met.tookNs();
            if (!met.report().isEmpty()) {
                sum.report = met.report();
            }
        }
        noteRound(sums.round(), proxy);
    }

    void demand(long now, int proxy, boolean slices, Frame.Demand demand) {
        for (Frame.Came came : demand.came()) {
            int what = slices ? came.slice() : proxy;
            Sum sum = at(now, new Key(demand.round(), slices ? SLICE : PROXY, what, came.group(), ""), demand.spanNs());
            sum.tries += came.flows();
            sum.dropped += came.dropped();
        }
    }

    private void noteRound(long round, int proxy) {
        reported.computeIfAbsent(round, r -> new TreeSet<>()).add(proxy);
        while (reported.size() > ROUNDS_WAITING) {
            reported.pollFirstEntry();
        }
    }

    private Sum at(long now, Key key, long spanNs) {
        Sum sum = waiting.get(key);
        if (sum == null && waiting.size() > ROUNDS_WAITING * Math.max(100, perS)) {
            Key any = new Key(-1, key.kind, key.a, key.b, key.server);
            sum = waiting.get(any);
            if (sum == null) {
                sum = new Sum(now);
                waiting.put(any, sum);
            }
            merged++;
            // Two rounds in one line: its span is the sum of theirs.
            sum.spanNs += spanNs;
            return sum;
        }
        if (sum == null) {
            sum = new Sum(now);
            waiting.put(key, sum);
        }
        sum.spanNs = Math.max(sum.spanNs, spanNs);
        return sum;
    }

    /** Adds the lines that are due to the events, the oldest first. */
    void release(long now, int joined, List<Event> events) {
        // Unused credit lasts for one round: what came between two looks goes on together.
        credit = Math.min(Math.max(perS, 1), credit + perS * Math.max(0, now - creditAtNs) / 1e9);
        creditAtNs = now;
        Iterator<Map.Entry<Key, Sum>> lines = waiting.entrySet().iterator();
        while (lines.hasNext() && credit >= 1) {
            Map.Entry<Key, Sum> line = lines.next();
            Sum sum = line.getValue();
            TreeSet<Integer> all = reported.get(line.getKey().round);
            if (now - sum.cameAtNs < holdNs && (all == null || all.size() < joined)) {
                break;
            }
            events.add(event(line.getKey(), sum));
            lines.remove();
            credit--;
        }
    }

    /** When {@link #release} may have more; the end of time if nothing waits. */
    long nextAtNs() {
        if (waiting.isEmpty()) {
            return Long.MAX_VALUE;
        }
        long held = waiting.values().iterator().next().cameAtNs + holdNs;
        return credit >= 1 ? held : Math.max(held, creditAtNs + (long) ((1 - credit) / perS * 1e9) + 1);
    }

    int waitingLines() {
        return waiting.size();
    }

    long mergedLines() {
        return merged;
    }

    private static Event event(Key key, Sum sum) {
        return switch (key.kind) {
            case MET -> {
                long good = sum.tries - sum.dropped;
                yield new Event.ServerSums(
                        key.server,
                        key.a,
                        sum.spanNs,
                        good > 0 ? sum.tookNs / good : 0,
                        sum.dropped,
                        sum.tries,
                        sum.report);
            }
            case SLICE -> new Event.SliceDemand(key.a, key.b, sum.tries, sum.dropped, sum.spanNs);
            default -> new Event.ProxyDemand(key.a, key.b, sum.tries, sum.dropped, sum.spanNs);
        };
    }
}
