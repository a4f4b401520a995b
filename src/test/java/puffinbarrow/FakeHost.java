package puffinbarrow;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.TreeSet;
import puffinbarrow.control.Event;
import puffinbarrow.control.Event.Listed;
import puffinbarrow.control.Order;
import puffinbarrow.control.Settings;
import puffinbarrow.control.Settings.Group;

/** A tiny host: it keeps a clock, the store's tables and the masks, and applies orders as they come. */
final class FakeHost {
    static final long SECOND = 1_000_000_000L;

    static final List<Group> GROUPS = List.of(new Group(1, SECOND), new Group(2, SECOND), new Group(3, SECOND));

    long now = 100 * SECOND;
    /** What a good answer takes: a fifth of the latency budget in good times. */
    long tookNs = SECOND / 5;

    final Logic logic;
    final TreeMap<Integer, TreeMap<String, Double>> tables = new TreeMap<>();
    final TreeSet<String> masks = new TreeSet<>();
    final List<Order> seen = new ArrayList<>();
    final List<List<Order>> turns = new ArrayList<>();
    private final List<Event> pending = new ArrayList<>();
    /** Slices that the store took away, which the decisions have not heard yet: orders for them reach nobody. */
    final TreeSet<Integer> takenAway = new TreeSet<>();

    private boolean acknowledge = true;

    FakeHost(Settings settings) {
        logic = new Logic(settings, 7);
    }

    static Settings settings(int slices, boolean listOnRequest, int messages) {
        return settings(slices, listOnRequest, messages, false);
    }

    static Settings settings(int slices, boolean listOnRequest, int messages, boolean droppedStay) {
        return new Settings(
                listOnRequest,
                false,
                true,
                GROUPS,
                slices,
                false,
                8000,
                4000,
                10,
                messages,
                10 * SECOND,
                SECOND,
                2 * SECOND,
                16 * SECOND,
                0.2,
                3,
                droppedStay,
                droppedStay,
                0);
    }

    /** A channel that holds little. */
    static FakeHost narrow(int slices, double queueLimit, int proxies) {
        return new FakeHost(new Settings(
                false,
                false,
                true,
                GROUPS,
                slices,
                false,
                queueLimit,
                4000,
                10,
                0,
                10 * SECOND,
                SECOND,
                2 * SECOND,
                16 * SECOND,
                0.2,
                3,
                false,
                false,
                proxies));
    }

    /** Servers s0.. listed, slices spread over them in turn, two proxies. */
    static FakeHost of(int servers, int slices) {
        FakeHost host = new FakeHost(settings(slices, false, 0));
        host.begin(servers, slices);
        return host;
    }

    void begin(int servers, int slices) {
        List<Event.Entry> entries = new ArrayList<>();
        for (int i = 0; i < servers; i++) {
            entries.add(entry("s" + i, Listed.READY, 0));
        }
        tell(new Event.ServerList(Event.ListKind.STALE_COPY, entries));
        for (int i = 0; i < slices; i++) {
            give(i, "s" + i % servers);
        }
        tell(new Event.ProxyJoined(0, true, 1, 0), new Event.ProxyJoined(1, true, 1, 0));
        run(1);
    }

    void give(int slice, String server) {
        tables.put(slice, new TreeMap<>(Map.of(server, 1.0)));
        tell(new Event.SliceCharge(slice, true), new Event.StoredLine(slice, server, 1));
    }

    static Event.Entry entry(String server, Listed listed, long startedNs) {
        return new Event.Entry(server, 0, 0, 0, listed, 1, startedNs);
    }

    void list(String server, Listed listed, long startedNs) {
        tell(new Event.ServerList(Event.ListKind.PATCH, List.of(entry(server, listed, startedNs))));
    }

    void tell(Event... events) {
        pending.addAll(List.of(events));
    }

    void deaf() {
        acknowledge = false;
    }

    /** A round of sums from one server. */
    void sums(String server, int tries, int dropped, double busy) {
        tell(new Event.ServerSums(
                server, 0, SECOND, tookNs, dropped, tries, busy < 0 ? Map.of() : Map.of(Event.Measure.BUSY, busy)));
    }

    void demand(int slice, int flows) {
        tell(new Event.SliceDemand(slice, 0, flows, 0, SECOND));
    }

    /** Hands over what is pending, then lets a quarter of a second go by at a time. */
    void run(double seconds) {
        for (long until = now + (long) (seconds * SECOND); now < until; now += SECOND / 4) {
            List<Event> events = new ArrayList<>(pending);
            events.add(new Event.Timer(0));
            pending.clear();
            List<Order> orders = logic.handle(now, events);
            seen.addAll(orders);
            apply(orders);
        }
    }

    private void apply(List<Order> orders) {
        List<Order> turn = new ArrayList<>();
        for (Order order : orders) {
            if (order instanceof Order.SetLine o) {
                turn.add(o);
                if (takenAway.contains(o.table())) {
                    continue;
                }
                if (o.weight() > 0) {
                    tables.computeIfAbsent(o.table(), t -> new TreeMap<>()).put(o.server(), o.weight());
                } else {
                    tables.get(o.table()).remove(o.server());
                }
            } else if (order instanceof Order.Mask o) {
                turn.add(o);
                boolean changed = o.out() ? masks.add(o.server()) : masks.remove(o.server());
            } else if (order instanceof Order.Mark o) {
                turns.add(turn);
                boolean reached = o.everyProxy()
                        || turn.stream()
                                .anyMatch(v -> !(v instanceof Order.SetLine line && takenAway.contains(line.table())));
                for (int proxy = 0; acknowledge && reached && proxy < 2; proxy++) {
                    tell(new Event.InForce(proxy, o.number(), SECOND / 5));
                }
            }
        }
    }

    /** The servers a slice's flows can reach, the heaviest line first. */
    List<String> open(int slice) {
        TreeMap<String, Double> lines = tables.get(slice);
        return lines.keySet().stream()
                .filter(s -> !masks.contains(s))
                .sorted((a, b) -> Double.compare(lines.get(b), lines.get(a)))
                .toList();
    }

    <T extends Order> List<T> all(Class<T> kind) {
        return seen.stream().filter(kind::isInstance).map(kind::cast).toList();
    }
}
