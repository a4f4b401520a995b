package puffinbarrow.load;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.zip.CRC32;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import puffinbarrow.config.Problem;

/**
 * Turns a recorded trace into flows in the order of their starts, scaled, cut and looped as the scenario specifies.
 * A log entry is written when its answer ends, so entries are slightly out of order: a window of bounded length sorts
 * them, and an entry older than the window is sent at once and counted as late. Entries timed to the whole second are
 * spread evenly over it in the file's order. Read by the feeder's thread during a run; not thread-safe.
 */
public final class TraceFlows implements FlowSource {
    /**
     * How much older than the newest entry read an entry may be and still be sorted: the longest that answers usually
     * take.
     */
    private static final long WINDOW_NS = 5_000_000_000L;
    /** Most entries in the window, some 20 MB: ten seconds at several thousand flows per second. */
    private static final int MAX_WINDOW_ENTRIES = 65_536;

    /** An entry in the window, ordered by time, then by its place in the file. */
    private record WindowEntry(Trace.Entry entry, long number) implements Comparable<WindowEntry> {
        @Override
        public int compareTo(WindowEntry other) {
            int byTime = Long.compare(entry.atNs(), other.entry.atNs());
            return byTime != 0 ? byTime : Long.compare(number, other.number);
        }
    }

    /** An entry with its start: by the trace's clock while sorting, from the run's start after scaling. */
    private record Timed(Trace.Entry entry, long atNs) {}

    private final Scenario scenario;
    private final Scenario.TraceSettings settings;
    private final UniformRandomProvider random;
    private final Map<String, Integer> groupIndexes = new HashMap<>();
    private final PriorityQueue<WindowEntry> window = new PriorityQueue<>();
    /** Entries that left the window in order. */
    private final ArrayDeque<Timed> ordered = new ArrayDeque<>();
    /** Flows of the present entry that are still to be returned. */
    private final ArrayDeque<Flow> copies = new ArrayDeque<>();

    private Trace trace;
    private boolean traceEnded;
    /** Entries read so far, over all loops. */
    private long entriesRead;

    /** Time of the newest entry read in this loop, by the trace's clock. */
    private long newestNs = Long.MIN_VALUE;

    /** Times of the first and the last entry over all loops, by the trace's clock. */
    private long firstNs = Long.MIN_VALUE;

    private long lastNs;
    private long nextNumber;
    /** Start of the last flow, from the run's start; starts never decrease. */
    private long startNs;
    /** The entry whose flows come next; read ahead to know the gap that its copies are spread over. */
    private Timed upcoming;

    private int loop;
    /** Start of the present loop, from the run's start. */
    private long loopStartNs;
    /** Newest time passed on in order during the first loop. */
    private long orderedUntilNs = Long.MIN_VALUE;

    private long lateEntries;
    private long unmatchedEntries;
    /** Lines of the loops before the present one; malformed and firstProblems are of those loops, too. */
    private long lines;

    private long malformed;
    private List<Problem> firstProblems = List.of();

    public TraceFlows(Scenario scenario) throws IOException {
        this.scenario = scenario;
        this.settings = scenario.trace;
        this.random = RandomSource.XO_RO_SHI_RO_128_PP.create(scenario.seed * 1_000_003 + 8);
        for (int i = 0; i < scenario.groups.size(); i++) {
            groupIndexes.put(scenario.groups.get(i).name(), i);
        }
        trace = new Trace(settings);
    }

    /** Returns the entries too old for the window to sort. */
    public long lateEntries() {
        return lateEntries;
    }

    /** Returns the entries that belong to no group; they are not sent. */
    public long unmatchedEntries() {
        return unmatchedEntries;
    }

    /** Returns the lines read over all loops so far, malformed ones included. */
    public long lines() {
        return lines + trace.lines();
    }

    /** Returns the malformed lines over all loops so far. */
    public long malformed() {
        return malformed + trace.malformed();
    }

    /** Returns the first malformed lines. */
    public List<Problem> firstProblems() {
        return firstProblems.isEmpty() ? trace.firstProblems() : firstProblems;
    }

    public Trace.Format format() {
        return trace.format();
    }

    @Override
    public Flow next() throws IOException {
        while (copies.isEmpty()) {
            if (upcoming == null) {
                upcoming = nextTimed();
                if (upcoming == null) {
                    return null;
                }
            }
            Timed current = upcoming;
            upcoming = nextTimed();
            addFlows(current, upcoming == null ? current.atNs : upcoming.atNs);
        }
        Flow flow = copies.pollFirst();
        return flow.startNs() > scenario.lengthNs ? null : flow;
    }

    /**
     * Adds the flows of an entry: as many as the integer part of the rate, and one more with a probability equal to its
     * fractional part, spread evenly until the next entry.
     */
    private void addFlows(Timed timed, long nextNs) {
        int group = group(timed.entry);
        if (group < 0) {
            unmatchedEntries++;
            return;
        }
        int count = (int) Math.floor(settings.rate);
        double fraction = settings.rate - count;
        count += fraction > 0 && random.nextDouble() < fraction ? 1 : 0;
        Scenario.Group trafficGroup = scenario.groups.get(group);
        Trace.Entry entry = timed.entry;
        for (int i = 0; i < count; i++) {
            startNs = Math.max(startNs, timed.atNs + Math.max(0, nextNs - timed.atNs) * i / count);
            int key = key(entry);
            // A numeric key is sent as such; any other text goes with the request.
            String text = entry.key() != null && !Integer.toString(key).equals(entry.key()) ? entry.key() : null;
            Flow.Request request = new Flow.Request(
                    entry.method() == null ? trafficGroup.method() : entry.method(),
                    entry.path() == null ? trafficGroup.path() : entry.path(),
                    entry.bodyBytes() < 0 ? trafficGroup.bodyBytes() : entry.bodyBytes(),
                    text);
            int targets = Math.max(1, scenario.targets.size());
            copies.addLast(new Flow(
                    nextNumber,
                    startNs,
                    group,
                    (int) ((entry.target() < 0 ? nextNumber : entry.target()) % targets),
                    key,
                    entry.workNs() < 0 ? trafficGroup.workNs() : entry.workNs(),
                    request));
            nextNumber++;
        }
    }

    /** Returns the entry's numeric key, or a hash of its key or path. */
    private int key(Trace.Entry entry) {
        String text = entry.key() != null ? entry.key() : entry.path() != null ? entry.path() : "";
        try {
            int key = Integer.parseInt(text);
            if (key >= 0) {
                return key;
            }
        } catch (NumberFormatException notNumeric) {
            // Hashed below, like a negative number.
        }
        CRC32 crc = new CRC32();
        crc.update(text.getBytes(StandardCharsets.UTF_8));
        return (int) (crc.getValue()
                % (scenario.slices > 0 ? scenario.slices * (long) scenario.keysPerSlice : scenario.keys));
    }

    /**
     * Returns the index of the group that the entry names, or of the one that matches the longest start of its path; -1
     * if none does.
     */
    private int group(Trace.Entry entry) {
        if (entry.group() != null) {
            return groupIndexes.getOrDefault(entry.group(), -1);
        }
        int best = -1;
        int length = -1;
        for (int i = 0; i < scenario.groups.size(); i++) {
            String match = scenario.groups.get(i).match();
            if (match.length() > length
                    && (entry.path() == null ? match.isEmpty() : entry.path().startsWith(match))) {
                best = i;
                length = match.length();
            }
        }
        return best;
    }

    /**
     * Returns the next entry within the cut, with its scaled start in the run; loops follow one another. Null at the
     * end.
     */
    private Timed nextTimed() throws IOException {
        while (true) {
            Timed next = nextSorted();
            if (next == null) {
                if (++loop >= settings.loops || firstNs == Long.MIN_VALUE) {
                    return null;
                }
                // The next loop starts where the entry after the last one would have been, by the mean gap.
                long spanNs = Math.min(settings.cutToNs, lastNs - firstNs) - settings.cutFromNs;
                loopStartNs += (long) ((spanNs + spanNs / Math.max(1, entriesRead / loop)) / settings.speed);
                reopen();
                continue;
            }
            if (firstNs == Long.MIN_VALUE) {
                firstNs = trace.relative() ? 0 : next.atNs;
            }
            lastNs = Math.max(lastNs, next.atNs);
            long offsetNs = next.atNs - firstNs;
            if (offsetNs >= settings.cutFromNs && offsetNs < settings.cutToNs) {
                return new Timed(next.entry, loopStartNs + (long) ((offsetNs - settings.cutFromNs) / settings.speed));
            }
        }
    }

    /** Opens the trace again from its beginning. */
    private void reopen() throws IOException {
        lines += trace.lines();
        malformed += trace.malformed();
        firstProblems = trace.firstProblems();
        trace.close();
        trace = new Trace(settings);
        traceEnded = false;
        newestNs = Long.MIN_VALUE;
    }

    /** Returns the next entry in order of time, or null at the end of the trace. */
    private Timed nextSorted() throws IOException {
        while (ordered.isEmpty()) {
            while (!traceEnded
                    && window.size() < MAX_WINDOW_ENTRIES
                    && (window.isEmpty() || newestNs - window.peek().entry.atNs() < WINDOW_NS)) {
                Trace.Entry entry = trace.next();
                if (entry == null) {
                    traceEnded = true;
                } else {
                    newestNs = Math.max(newestNs, entry.atNs());
                    window.add(new WindowEntry(entry, entriesRead++));
                }
            }
            if (window.isEmpty()) {
                return null;
            }
            Trace.Entry first = window.poll().entry;
            if (!first.coarse()) {
                ordered.addLast(checkOrder(first, first.atNs()));
                continue;
            }
            ArrayDeque<Trace.Entry> sameSecond = new ArrayDeque<>();
            sameSecond.addLast(first);
            while (!window.isEmpty() && window.peek().entry.atNs() == first.atNs()) {
                sameSecond.addLast(window.poll().entry);
            }
            long gapNs = 1_000_000_000L / sameSecond.size();
            long startInSecondNs = first.atNs() + gapNs / 2;
            for (Trace.Entry entry : sameSecond) {
                ordered.addLast(checkOrder(entry, startInSecondNs));
                startInSecondNs += gapNs;
            }
        }
        return ordered.pollFirst();
    }

    /** Counts the entry as late if it is older than one already passed on. */
    private Timed checkOrder(Trace.Entry entry, long atNs) {
        if (atNs < orderedUntilNs && loop == 0) {
            lateEntries++;
        }
        orderedUntilNs = loop == 0 ? Math.max(orderedUntilNs, atNs) : orderedUntilNs;
        return new Timed(entry, atNs);
    }

    @Override
    public void close() throws IOException {
        trace.close();
    }
}
