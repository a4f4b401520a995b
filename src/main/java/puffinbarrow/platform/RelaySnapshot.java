package puffinbarrow.platform;

import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import puffinbarrow.control.Event;
import puffinbarrow.control.Order;

/**
 * What stands at the relay as its news has told it: joined proxies, slices in our charge with their lines. Pure; one
 * thread. Each stream of news begins with all that stands and no mark tells where that ends, and a slice's giving comes
 * before its lines; so both are held until the owner says that the news has settled, and are then put to the decisions
 * as one: a slice without its lines would look like an orphan. A stream that follows another is an {@link Opening} of
 * its own meanwhile, and when it has settled only what differs is told.
 */
final class RelaySnapshot {
    private final Translation words;
    private final TreeSet<Integer> joined = new TreeSet<>();
    private final TreeMap<Integer, TreeMap<String, Double>> slices = new TreeMap<>();
    /** Slices given whose lines may still be coming. */
    private final TreeMap<Integer, TreeMap<String, Double>> given = new TreeMap<>();

    RelaySnapshot(Translation words) {
        this.words = words;
    }

    int proxies() {
        return joined.size();
    }

    int slices() {
        return slices.size();
    }

    /** Whether slices given wait for their lines. */
    boolean unsettled() {
        return !given.isEmpty();
    }

    /** Takes one piece of news; what can be told at once goes to out. */
    void news(String kind, Map<String, String> fields, List<Event> out) {
        switch (kind) {
            case "attach" -> {
                Event.ProxyJoined proxy = words.joined(fields);
                left(proxy.proxy(), out);
                joined.add(proxy.proxy());
                out.add(proxy);
            }
            case "detach" -> left(words.proxy(fields), out);
            case "done" -> out.add(words.inForce(fields));
            case "owner" -> owner(words.slice(fields), words.flag(fields, "flag"), out);
            case "entry" -> entry(words.line(fields), out);
            default -> throw new ProtocolException("news: no kind is named " + kind);
        }
    }

    private void left(int proxy, List<Event> out) {
        if (joined.remove(proxy)) {
            out.add(new Event.ProxyLeft(proxy));
        }
    }

    private void owner(int slice, boolean ours, List<Event> out) {
        if (ours) {
            given.put(slice, new TreeMap<>());
        } else {
            given.remove(slice);
            taken(slice, out);
        }
    }

    private void taken(int slice, List<Event> out) {
        if (slices.remove(slice) != null) {
            out.add(new Event.SliceCharge(slice, false));
        }
    }

    private void entry(Event.StoredLine line, List<Event> out) {
        TreeMap<String, Double> lines = given.get(line.slice());
        if (lines != null) {
            put(lines, line.server(), line.weight());
        } else if (slices.containsKey(line.slice())) {
            put(slices.get(line.slice()), line.server(), line.weight());
            out.add(line);
        }
    }

    private static void put(TreeMap<String, Double> lines, String server, double weight) {
        if (weight > 0) {
            lines.put(server, weight);
        } else {
            lines.remove(server);
        }
    }

    /** The relay took that order. */
    void took(Order order) {
        carry(order, slices);
    }

    private static void carry(Order order, Map<Integer, TreeMap<String, Double>> to) {
        if (order instanceof Order.SetLine o && to.containsKey(o.table())) {
            put(to.get(o.table()), o.server(), o.weight());
        } else if (order instanceof Order.ClearTable o && to.containsKey(o.table())) {
            to.get(o.table()).clear();
        }
    }

    /**
     * The lines of slices given have come.
     *
     * @param onTheWay orders that the news may not show yet and that will stand: they are asked again until taken
     * @return the slices given
     */
    Set<Integer> settle(List<Order> onTheWay, List<Event> out) {
        Map<Integer, TreeMap<String, Double>> told = copy(given);
        onTheWay.forEach(order -> carry(order, told));
        told.forEach((slice, lines) -> give(slice, lines, out));
        Set<Integer> settled = Set.copyOf(given.keySet());
        slices.putAll(given);
        given.clear();
        return settled;
    }

    private static void give(int slice, TreeMap<String, Double> lines, List<Event> out) {
        out.add(new Event.SliceCharge(slice, true));
        lines.forEach((server, weight) -> out.add(new Event.StoredLine(slice, server, weight)));
    }

    /** The beginning of a stream of news: all that stands, until it has settled. */
    final class Opening {
        private final TreeMap<Integer, Event.ProxyJoined> proxies = new TreeMap<>();
        private final TreeMap<Integer, TreeMap<String, Double>> tables = new TreeMap<>();

        void news(String kind, Map<String, String> fields, List<Event> out) {
            switch (kind) {
                case "attach" -> proxies.put(words.proxy(fields), words.joined(fields));
                case "detach" -> proxies.remove(words.proxy(fields));
                case "done" -> out.add(words.inForce(fields));
                case "owner" -> {
                    tables.remove(words.slice(fields));
                    if (words.flag(fields, "flag")) {
                        tables.put(words.slice(fields), new TreeMap<>());
                    }
                }
                case "entry" -> {
                    Event.StoredLine line = words.line(fields);
                    if (tables.containsKey(line.slice())) {
                        put(tables.get(line.slice()), line.server(), line.weight());
                    }
                }
                default -> throw new ProtocolException("news: no kind is named " + kind);
            }
        }

        /**
         * The stream has settled and is the one that counts.
         *
         * @param onTheWay orders that were on the way when the stream was asked for, or since
         * @param anew whether proxies may have gone and come back unseen: they are told as joined anew. A proxy
         *     that stayed must not be: what waits for it in the channel would count as gone
         * @return the slices given: new ones, and those whose lines are not as they were believed
         */
        Set<Integer> settle(List<Order> onTheWay, boolean anew, List<Event> out) {
            List.copyOf(joined).stream()
                    .filter(id -> anew || !proxies.containsKey(id))
                    .forEach(id -> left(id, out));
            proxies.forEach((id, proxy) -> {
                if (joined.add(id)) {
                    out.add(proxy);
                }
            });
            List.copyOf(slices.keySet()).stream()
                    .filter(slice -> !tables.containsKey(slice))
                    .forEach(slice -> taken(slice, out));
            Map<Integer, TreeMap<String, Double>> believed = copy(slices);
            Map<Integer, TreeMap<String, Double>> told = copy(tables);
            onTheWay.forEach(order -> {
                carry(order, believed);
                carry(order, told);
            });
            told.entrySet().removeIf(table -> same(table.getValue(), believed.get(table.getKey())));
            told.forEach((slice, lines) -> give(slice, lines, out));
            given.clear();
            slices.putAll(tables);
            return told.keySet();
        }
    }

    private static Map<Integer, TreeMap<String, Double>> copy(Map<Integer, TreeMap<String, Double>> of) {
        Map<Integer, TreeMap<String, Double>> copy = new TreeMap<>();
        of.forEach((slice, lines) -> copy.put(slice, new TreeMap<>(lines)));
        return copy;
    }

    /** A weight that went out and came back may have lost its last digits. */
    private static boolean same(TreeMap<String, Double> a, TreeMap<String, Double> b) {
        return b != null
                && a.keySet().equals(b.keySet())
                && a.keySet().stream().allMatch(id -> Math.abs(a.get(id) - b.get(id)) <= 1e-6 * b.get(id));
    }
}
