package puffinbarrow.memory;

import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;

/** What a coordinator learned, as values. Times are wall time in nanoseconds since 1970; 0 means never. Pure. */
public final class Facts {
    private Facts() {}

    /** One thing known; {@link #key} names what it is about, and a newer fact of that key replaces it. */
    public sealed interface Fact {
        String key();

        long atNs();
    }

    /**
     * A server. {@code starts} are the starts that the list stated (on its own clock), newest last; {@code falls} and
     * {@code returns} when it left and came back; {@code standing} its state in the health table.
     */
    public record OfServer(
            String id,
            long atNs,
            long drainingSinceNs,
            List<Long> starts,
            List<Long> falls,
            List<Long> returns,
            String standing,
            long holdNs,
            double size,
            double tookNs,
            double load)
            implements Fact {
        /** Enough to tell flapping from a release: a server that fell more often has told all it can. */
        public static final int TIMES = 8;

        @Override
        public String key() {
            return "server " + id;
        }
    }

    public record Line(String server, double weight) {}

    public record OfSlice(int slice, long atNs, List<Line> lines, double demand, long version) implements Fact {
        @Override
        public String key() {
            return "slice " + slice;
        }
    }

    /** The coordinator itself. {@code runNs} is its own monotonic clock, so that a jump of the wall clock shows. */
    public record OfSelf(
            long atNs,
            long runNs,
            long incarnation,
            boolean cleanEnd,
            List<Integer> charges,
            double calmLoad,
            double calmWhole,
            double shed,
            boolean strained)
            implements Fact {
        @Override
        public String key() {
            return "self";
        }
    }

    /** All that is known, by key. */
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

        public OfSelf self() {
            return facts.get("self") instanceof OfSelf self ? self : null;
        }
    }
}
