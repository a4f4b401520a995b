package puffinbarrow.memory;

import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;

/**
 * Immutable values that a coordinator stores across restarts: its knowledge about servers, slices and itself. Times are
 * wall time in nanoseconds since 1970; 0 means never.
 */
public final class Facts {
    private Facts() {}

    /** A stored value. {@link #key} names its subject; a newer fact with the same key replaces an older one. */
    public sealed interface Fact {
        String key();

        long atNs();
    }

    /**
     * A server.
     *
     * @param id the server's address, as in the discovery list
     * @param atNs when the fact was recorded
     * @param drainingSinceNs since when the server is draining, or 0
     * @param starts the start times that the discovery list stated, on that list's clock, newest last
     * @param falls when the server left the list or was found restarted, newest last
     * @param returns when it came back, newest last
     * @param state one of {@code well}, {@code held}, {@code draining}, {@code gone}
     * @param holdNs length of the latest hold, during which a failed server gets no traffic, or 0; doubles while
     *     trials fail
     * @param size the server's capacity weight as listed
     * @param latencyNs the mean latency in the latest report, in nanoseconds
     * @param load the latest reported value of {@code Measure.BUSY}, or NaN if unknown
     */
    public record ServerFact(
            String id,
            long atNs,
            long drainingSinceNs,
            List<Long> starts,
            List<Long> falls,
            List<Long> returns,
            String state,
            long holdNs,
            double size,
            double latencyNs,
            double load)
            implements Fact {
        /** The most times kept in each list; enough to distinguish flapping from a release. */
        public static final int TIMES = 8;

        @Override
        public String key() {
            return "server " + id;
        }
    }

    /** A server's weight in a slice's table. */
    public record Line(String server, double weight) {}

    /**
     * A slice.
     *
     * @param slice the slice's number
     * @param atNs when the fact was recorded
     * @param lines the slice's table
     * @param demand the flows of the slice in the latest report
     * @param version how many lines have been ordered for the slice by this process
     */
    public record SliceFact(int slice, long atNs, List<Line> lines, double demand, long version) implements Fact {
        @Override
        public String key() {
            return "slice " + slice;
        }
    }

    /**
     * The coordinator itself.
     *
     * @param atNs when the fact was recorded
     * @param monotonicNs the same moment on the coordinator's monotonic clock, which reveals jumps of the wall clock
     * @param incarnation the coordinator's incarnation
     * @param cleanShutdown whether this was written by an orderly shutdown
     * @param heldSlices the slices that the coordinator held
     * @param calmLoad the highest demand per unit of available capacity that the fleet has handled without overload
     * @param calmWhole the same per unit of the whole fleet's capacity
     * @param shed the amount of traffic being shed, in traffic groups, with fractions
     * @param overloaded whether the fleet was overloaded
     */
    public record CoordinatorFact(
            long atNs,
            long monotonicNs,
            long incarnation,
            boolean cleanShutdown,
            List<Integer> heldSlices,
            double calmLoad,
            double calmWhole,
            double shed,
            boolean overloaded)
            implements Fact {
        @Override
        public String key() {
            return "self";
        }
    }

    /** A mutable set of facts, at most one a key. Not thread-safe. */
    public static final class Image {
        private final TreeMap<String, Fact> facts = new TreeMap<>();

        public void put(Fact fact) {
            facts.put(fact.key(), fact);
        }

        public void remove(String key) {
            facts.remove(key);
        }

        public Fact get(String key) {
            return facts.get(key);
        }

        public List<Fact> all() {
            return new ArrayList<>(facts.values());
        }

        public int size() {
            return facts.size();
        }

        /** The coordinator's own fact, or null. */
        public CoordinatorFact self() {
            return facts.get("self") instanceof CoordinatorFact self ? self : null;
        }
    }
}
