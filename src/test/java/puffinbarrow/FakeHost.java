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

/**
 * A host for tests of {@link Logic}: advances a clock, applies the orders to tables and masks as proxies would, and
 * acknowledges pushes for two proxies.
 */
final class FakeHost {
    static final long SECOND = 1_000_000_000L;

    static final List<Group> GROUPS = List.of(new Group(1, SECOND), new Group(2, SECOND), new Group(3, SECOND));

    static final long STEP_NS = SECOND / 4;
    static final long GRACE_NS = 2 * SECOND;
    private static final long SEED = 7;

    long nowNs = 100 * SECOND;
    /** Mean time of a delivered attempt; a fifth of the latency budget unless a test changes it. */
    long tookNs = SECOND / 5;

    final Logic logic;
    /** Weight by server, by slice. */
    final TreeMap<Integer, TreeMap<String, Double>> tables = new TreeMap<>();

    final TreeSet<String> masks = new TreeSet<>();
    /** All orders so far. */
    final List<Order> orders = new ArrayList<>();
    /** The lines and masks of each push so far. */
    final List<List<Order>> pushes = new ArrayList<>();

    private final List<Event> pending = new ArrayList<>();
    /** Slices taken away by the store without an event yet: orders for them reach no proxy. */
    final TreeSet<Integer> takenAway = new TreeSet<>();

    private boolean acknowledging = true;

    FakeHost(Settings settings) {
        logic = new Logic(settings, SEED);
    }

    /** Returns settings with a queue of 8000 lines; {@code messagesAllowed} is per ten seconds, 0 for no limit. */
    static Settings settings(int slices, boolean listOnRequest, int messagesAllowed) {
        return settings(slices, listOnRequest, messagesAllowed, false);
    }

    static Settings settings(int slices, boolean listOnRequest, int messagesAllowed, boolean keepsDelisted) {
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
                messagesAllowed,
                10 * SECOND,
                SECOND,
                GRACE_NS,
                16 * SECOND,
                0.2,
                3,
                keepsDelisted,
                keepsDelisted,
                0);
    }

    /** Returns a host whose channel to the proxies holds few lines. */
    static FakeHost withQueueLimit(int slices, double queueLimit, int proxies) {
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
                GRACE_NS,
                16 * SECOND,
                0.2,
                3,
                false,
                false,
                proxies));
    }

    /** Returns a host with servers s0, s1 and so on, the slices spread over them evenly, and two proxies. */
    static FakeHost of(int servers, int slices) {
        FakeHost host = new FakeHost(settings(slices, false, 0));
        host.start(servers, slices);
        return host;
    }

    /** Lists the servers, gives the slices and joins the proxies. */
    void start(int servers, int slices) {
        List<Event.Entry> entries = new ArrayList<>();
        for (int i = 0; i < servers; i++) {
            entries.add(entry("s" + i, Listed.READY, 0));
        }
        queue(new Event.ServerList(Event.ListKind.STALE_COPY, entries));
        for (int i = 0; i < slices; i++) {
            give(i, "s" + i % servers);
        }
        queue(new Event.ProxyJoined(0, true, 1, 0), new Event.ProxyJoined(1, true, 1, 0));
        run(1);
    }

    /** Gives the coordinator a slice whose table has one line. */
    void give(int slice, String server) {
        tables.put(slice, new TreeMap<>(Map.of(server, 1.0)));
        queue(new Event.SliceCharge(slice, true), new Event.StoredLine(slice, server, 1));
    }

    static Event.Entry entry(String server, Listed listed, long startedNs) {
        return new Event.Entry(server, 0, 0, 0, listed, 1, startedNs);
    }

    /** Reports a change in the server list. */
    void list(String server, Listed listed, long startedNs) {
        queue(new Event.ServerList(Event.ListKind.PATCH, List.of(entry(server, listed, startedNs))));
    }

    /** Queues events for the next call of the decisions. */
    void queue(Event... events) {
        pending.addAll(List.of(events));
    }

    /** From now on no proxy acknowledges. */
    void stopAcknowledging() {
        acknowledging = false;
    }

    /** Queues one round of sums of a server; its report has the busy share, or nothing if that is negative. */
    void sums(String server, int tries, int dropped, double busy) {
        queue(new Event.ServerSums(
                server, 0, SECOND, tookNs, dropped, tries, busy < 0 ? Map.of() : Map.of(Event.Measure.BUSY, busy)));
    }

    void demand(int slice, int flows) {
        queue(new Event.SliceDemand(slice, 0, flows, 0, SECOND));
    }

    /** Passes the queued events on, then lets time pass in steps, each with a timer event. */
    void run(double seconds) {
        for (long untilNs = nowNs + (long) (seconds * SECOND); nowNs < untilNs; nowNs += STEP_NS) {
            List<Event> events = new ArrayList<>(pending);
            events.add(new Event.Timer(0));
            pending.clear();
            List<Order> newOrders = logic.handle(nowNs, events);
            orders.addAll(newOrders);
            apply(newOrders);
        }
    }

    private void apply(List<Order> newOrders) {
        List<Order> push = new ArrayList<>();
        for (Order order : newOrders) {
            if (order instanceof Order.SetLine o) {
                push.add(o);
                if (takenAway.contains(o.table())) {
                    continue;
                }
                if (o.weight() > 0) {
                    tables.computeIfAbsent(o.table(), t -> new TreeMap<>()).put(o.server(), o.weight());
                } else {
                    tables.get(o.table()).remove(o.server());
                }
            } else if (order instanceof Order.Mask o) {
                push.add(o);
                boolean changed = o.masked() ? masks.add(o.server()) : masks.remove(o.server());
            } else if (order instanceof Order.Mark o) {
                pushes.add(push);
                boolean reached = o.everyProxy()
                        || push.stream()
                                .anyMatch(v -> !(v instanceof Order.SetLine line && takenAway.contains(line.table())));
                for (int proxy = 0; acknowledging && reached && proxy < 2; proxy++) {
                    queue(new Event.InForce(proxy, o.number(), SECOND / 5));
                }
            }
        }
    }

    /** Returns the unmasked servers of a slice's table, the heaviest line first. */
    List<String> usableServers(int slice) {
        TreeMap<String, Double> lines = tables.get(slice);
        return lines.keySet().stream()
                .filter(s -> !masks.contains(s))
                .sorted((a, b) -> Double.compare(lines.get(b), lines.get(a)))
                .toList();
    }

    /** Returns the number of slices with a primary line to the server. */
    long primariesOn(String server) {
        return tables.values().stream()
                .filter(table -> table.getOrDefault(server, 0.0) > 0.5)
                .count();
    }

    /** Returns all orders of one kind so far. */
    <T extends Order> List<T> ordersOf(Class<T> kind) {
        return orders.stream().filter(kind::isInstance).map(kind::cast).toList();
    }
}
