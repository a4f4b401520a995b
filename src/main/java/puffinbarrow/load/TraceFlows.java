package puffinbarrow.load;

import java.io.IOException;
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
 * The flows of a recorded trace, in the order of their starts, scaled, cut and looped as the scenario says. Logs are
 * written when answers end, so entries come a little out of order: a bounded window sorts them, what comes later than
 * that leaves at once and is counted. Seconds without a fraction are filled evenly, in the file's order.
 */
public final class TraceFlows implements Source {
    /** How far back an entry may come, against the newest read: the longest that answers commonly take. */
    private static final long WINDOW_NS = 5_000_000_000L;
    /** What the window holds at most, some 20 MB: ten seconds at several thousand flows a second. */
    private static final int WINDOW = 65_536;

    private record Held(Trace.Entry entry, long number) implements Comparable<Held> {
        @Override
        public int compareTo(Held other) {
            int by = Long.compare(entry.atNs(), other.entry.atNs());
            return by != 0 ? by : Long.compare(number, other.number);
        }
    }

    private record Timed(Trace.Entry entry, long atNs) {}

    private final Scenario scenario;
    private final Scenario.FromTrace plan;
    private final UniformRandomProvider chance;
    private final Map<String, Integer> groupNames = new HashMap<>();
    private final PriorityQueue<Held> window = new PriorityQueue<>();
    private final ArrayDeque<Timed> ordered = new ArrayDeque<>();
    private final ArrayDeque<Flow> copies = new ArrayDeque<>();
    private Trace trace;
    private boolean ended;
    private long read, newestNs = Long.MIN_VALUE;
    private long firstNs = Long.MIN_VALUE, lastNs;
    private long number, startNs;
    private Timed held;
    private int loop;
    private long loopNs;
    private long orderedNs = Long.MIN_VALUE;
    private long late, unmatched, lines, malformed;
    private List<Problem> shown = List.of();

    public TraceFlows(Scenario scenario) throws IOException {
        this.scenario = scenario;
        this.plan = scenario.trace;
        this.chance = RandomSource.XO_RO_SHI_RO_128_PP.create(scenario.seed * 1_000_003 + 8);
        for (int i = 0; i < scenario.groups.size(); i++) {
            groupNames.put(scenario.groups.get(i).name(), i);
        }
        trace = new Trace(plan);
    }

    /** Entries older than the window could put in order. */
    public long late() {
        return late;
    }

    /** Entries that no group takes; they are not sent. */
    public long unmatched() {
        return unmatched;
    }

    /** Over all loops so far. */
    public long lines() {
        return lines + trace.lines();
    }

    public long malformed() {
        return malformed + trace.malformed();
    }

    public List<Problem> shown() {
        return shown.isEmpty() ? trace.shown() : shown;
    }

    public Trace.Format format() {
        return trace.format();
    }

    @Override
    public Flow next() throws IOException {
        while (copies.isEmpty()) {
            if (held == null) {
                held = timed();
                if (held == null) {
                    return null;
                }
            }
            Timed now = held;
            held = timed();
            emit(now, held == null ? now.atNs : held.atNs);
        }
        Flow flow = copies.pollFirst();
        return flow.startNs() > scenario.lengthNs ? null : flow;
    }

    /** As often as the rate asks: whole copies, and one more by the chance of the rest, spread until the next entry. */
    private void emit(Timed timed, long nextNs) {
        int group = group(timed.entry);
        if (group < 0) {
            unmatched++;
            return;
        }
        int count = (int) Math.floor(plan.rate);
        double rest = plan.rate - count;
        count += rest > 0 && chance.nextDouble() < rest ? 1 : 0;
        Scenario.Group of = scenario.groups.get(group);
        Trace.Entry e = timed.entry;
        for (int i = 0; i < count; i++) {
            startNs = Math.max(startNs, timed.atNs + Math.max(0, nextNs - timed.atNs) * i / count);
            int key = key(e);
            // A key in digits is sent as such; any other text goes with the request.
            String text = e.key() != null && !Integer.toString(key).equals(e.key()) ? e.key() : null;
            Flow.Ask ask = new Flow.Ask(
                    e.method() == null ? of.method() : e.method(),
                    e.path() == null ? of.path() : e.path(),
                    e.bodyBytes() < 0 ? of.bodyBytes() : e.bodyBytes(),
                    text);
            int targets = Math.max(1, scenario.targets.size());
            copies.addLast(new Flow(
                    number,
                    startNs,
                    group,
                    (int) ((e.target() < 0 ? number : e.target()) % targets),
                    key,
                    e.workNs() < 0 ? of.workNs() : e.workNs(),
                    ask));
            number++;
        }
    }

    private int key(Trace.Entry e) {
        String text = e.key() != null ? e.key() : e.path() != null ? e.path() : "";
        try {
            int key = Integer.parseInt(text);
            if (key >= 0) {
                return key;
            }
        } catch (NumberFormatException words) {
            // Hashed below.
        }
        CRC32 crc = new CRC32();
        crc.update(text.getBytes(java.nio.charset.StandardCharsets.UTF_8));
        return (int)
                (crc.getValue() % (scenario.slices > 0 ? scenario.slices * (long) scenario.keysEach : scenario.keys));
    }

    /** By its name, or by the longest beginning of its path that a group matches. */
    private int group(Trace.Entry entry) {
        if (entry.group() != null) {
            return groupNames.getOrDefault(entry.group(), -1);
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

    /** The next entry with its start in the run: cut and scaled, loops one after the other. */
    private Timed timed() throws IOException {
        while (true) {
            Timed next = sorted();
            if (next == null) {
                if (++loop >= plan.loops || firstNs == Long.MIN_VALUE) {
                    return null;
                }
                // A loop begins where the last entry's follower would have been.
                long span = Math.min(plan.cutToNs, lastNs - firstNs) - plan.cutFromNs;
                loopNs += (long) ((span + span / Math.max(1, read / loop)) / plan.speed);
                again();
                continue;
            }
            if (firstNs == Long.MIN_VALUE) {
                firstNs = trace.relative() ? 0 : next.atNs;
            }
            lastNs = Math.max(lastNs, next.atNs);
            long in = next.atNs - firstNs;
            if (in >= plan.cutFromNs && in < plan.cutToNs) {
                return new Timed(next.entry, loopNs + (long) ((in - plan.cutFromNs) / plan.speed));
            }
        }
    }

    private void again() throws IOException {
        lines += trace.lines();
        malformed += trace.malformed();
        shown = trace.shown();
        trace.close();
        trace = new Trace(plan);
        ended = false;
        newestNs = Long.MIN_VALUE;
    }

    private Timed sorted() throws IOException {
        while (ordered.isEmpty()) {
            while (!ended
                    && window.size() < WINDOW
                    && (window.isEmpty() || newestNs - window.peek().entry.atNs() < WINDOW_NS)) {
                Trace.Entry entry = trace.next();
                if (entry == null) {
                    ended = true;
                } else {
                    newestNs = Math.max(newestNs, entry.atNs());
                    window.add(new Held(entry, read++));
                }
            }
            if (window.isEmpty()) {
                return null;
            }
            Trace.Entry first = window.poll().entry;
            if (!first.coarse()) {
                ordered.addLast(inOrder(first, first.atNs()));
                continue;
            }
            ArrayDeque<Trace.Entry> second = new ArrayDeque<>();
            second.addLast(first);
            while (!window.isEmpty() && window.peek().entry.atNs() == first.atNs()) {
                second.addLast(window.poll().entry);
            }
            long each = 1_000_000_000L / second.size();
            long at = first.atNs() + each / 2;
            for (Trace.Entry entry : second) {
                ordered.addLast(inOrder(entry, at));
                at += each;
            }
        }
        return ordered.pollFirst();
    }

    private Timed inOrder(Trace.Entry entry, long atNs) {
        if (atNs < orderedNs && loop == 0) {
            late++;
        }
        orderedNs = loop == 0 ? Math.max(orderedNs, atNs) : orderedNs;
        return new Timed(entry, atNs);
    }

    @Override
    public void close() throws IOException {
        trace.close();
    }
}
