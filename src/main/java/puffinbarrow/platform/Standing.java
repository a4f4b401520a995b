package puffinbarrow.platform;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import puffinbarrow.control.Event;
import puffinbarrow.control.Order;

/**
 * What stands at the relay as its news has told it: joined proxies, slices in our charge with their lines. Pure; one
 * thread. Each stream of news begins with all that stands and no mark tells where that ends, and a slice's giving comes
 * before its lines; so both are held until the owner says that the news has settled, and are then put to the decisions
 * as one: a slice without its lines would look like an orphan. After a gap only what differs is told again.
 */
final class Standing {
    private final Translation words;
    private final TreeMap<Integer, Event.ProxyJoined> joined = new TreeMap<>();
    private final TreeMap<Integer, TreeMap<String, Double>> slices = new TreeMap<>();
    /** While a stream of news begins: what it has told so far. */
    private TreeMap<Integer, Event.ProxyJoined> opening;
    /** Slices given whose lines may still be coming. */
    private final TreeMap<Integer, TreeMap<String, Double>> given = new TreeMap<>();

    Standing(Translation words) {
        this.words = words;
    }

    /** A stream of news begins. */
    void opened() {
        opening = new TreeMap<>();
        given.clear();
    }

    boolean unsettled() {
        return opening != null || !given.isEmpty();
    }

    boolean opening() {
        return opening != null;
    }

    int proxies() {
        return joined.size();
    }

    /** Takes one piece of news; what can be told at once goes to out. */
    void news(String kind, Map<String, String> fields, List<Event> out) {
        switch (kind) {
            case "attach" -> attach(words.joined(fields), out);
            case "detach" -> detach(words.proxy(fields), out);
            case "done" -> out.add(words.inForce(fields));
            case "owner" -> owner(words.slice(fields), words.flag(fields, "flag"), out);
            case "entry" -> entry(words.line(fields), out);
            default -> throw new Refused("news: no kind is named " + kind);
        }
    }

    private void attach(Event.ProxyJoined proxy, List<Event> out) {
        if (opening != null) {
            opening.put(proxy.proxy(), proxy);
        } else {
            if (joined.put(proxy.proxy(), proxy) != null) {
                out.add(new Event.ProxyLeft(proxy.proxy()));
            }
            out.add(proxy);
        }
    }

    private void detach(int proxy, List<Event> out) {
        if (opening != null) {
            opening.remove(proxy);
        } else if (joined.remove(proxy) != null) {
            out.add(new Event.ProxyLeft(proxy));
        }
    }

    private void owner(int slice, boolean ours, List<Event> out) {
        if (ours) {
            given.put(slice, new TreeMap<>());
        } else {
            given.remove(slice);
            if (opening == null && slices.remove(slice) != null) {
                out.add(new Event.SliceCharge(slice, false));
            }
        }
    }

    private void entry(Event.StoredLine line, List<Event> out) {
        TreeMap<String, Double> lines = given.get(line.slice());
        if (lines != null) {
            put(lines, line.server(), line.weight());
        } else if (opening == null && slices.containsKey(line.slice())) {
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
     * The news has settled.
     *
     * @param onTheWay orders that the news may not show yet and that will stand: told, or asked again until taken
     */
    void settle(List<Order> onTheWay, List<Event> out) {
        if (opening != null) {
            joined.keySet().forEach(proxy -> out.add(new Event.ProxyLeft(proxy)));
            joined.clear();
            joined.putAll(opening);
            out.addAll(joined.values());
            List.copyOf(slices.keySet()).stream().filter(slice -> !given.containsKey(slice)).forEach(slice -> {
                slices.remove(slice);
                out.add(new Event.SliceCharge(slice, false));
            });
        }
        Map<Integer, TreeMap<String, Double>> believed = copy(slices);
        Map<Integer, TreeMap<String, Double>> told = copy(given);
        onTheWay.forEach(order -> {
            carry(order, believed);
            carry(order, told);
        });
        for (Map.Entry<Integer, TreeMap<String, Double>> each : told.entrySet()) {
            int slice = each.getKey();
            boolean same = opening != null && same(each.getValue(), believed.get(slice));
            slices.put(slice, given.get(slice));
            if (!same) {
                out.add(new Event.SliceCharge(slice, true));
                each.getValue().forEach((server, weight) -> out.add(new Event.StoredLine(slice, server, weight)));
            }
        }
        given.clear();
        opening = null;
    }

    private static Map<Integer, TreeMap<String, Double>> copy(Map<Integer, TreeMap<String, Double>> of) {
        Map<Integer, TreeMap<String, Double>> copy = new TreeMap<>();
        of.forEach((slice, lines) -> copy.put(slice, new TreeMap<>(lines)));
        return copy;
    }

    /** A weight that went out and came back may have lost its last digits. */
    private static boolean same(TreeMap<String, Double> a, TreeMap<String, Double> b) {
        return b != null && a.keySet().equals(b.keySet())
                && new ArrayList<>(a.keySet()).stream().allMatch(id -> Math.abs(a.get(id) - b.get(id)) <= 1e-6 * b.get(id));
    }
}
