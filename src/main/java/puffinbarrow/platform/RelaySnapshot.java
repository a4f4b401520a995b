package puffinbarrow.platform;

import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import puffinbarrow.control.Event;
import puffinbarrow.control.Order;

/**
 * Local copy of the relay's state, built from its event stream: the attached proxies, and the slices assigned to this
 * coordinator with their lines.
 *
 * <p>Each event stream begins with the full state and does not mark its end, and the assignment of a slice comes before
 * its lines. Both are therefore held back until {@link RelayClient} decides that the stream has settled, and are then
 * reported together: the controller would treat a slice without its lines as an orphan. A new stream that replaces the
 * current one collects its state in an {@link InitialState}; when that settles, only the differences are reported.
 *
 * <p>Does no I/O; used on the decision thread only.
 */
final class RelaySnapshot {
    /** Relative difference up to which weights count as equal: the relay's text format may lose digits. */
    private static final double WEIGHT_TOLERANCE = 1e-6;

    private final PlatformCodec codec;
    private final TreeSet<Integer> attachedProxies = new TreeSet<>();
    /** Lines (weight by server) of the slices reported as assigned, by slice. */
    private final TreeMap<Integer, TreeMap<String, Double>> slices = new TreeMap<>();
    /** Lines of the slices just assigned that are not reported yet, as more of their lines may follow. */
    private final TreeMap<Integer, TreeMap<String, Double>> pendingSlices = new TreeMap<>();

    RelaySnapshot(PlatformCodec codec) {
        this.codec = codec;
    }

    int proxyCount() {
        return attachedProxies.size();
    }

    int sliceCount() {
        return slices.size();
    }

    /** Returns whether newly assigned slices still wait for their lines. */
    boolean hasPendingSlices() {
        return !pendingSlices.isEmpty();
    }

    /** Applies one relay event and adds to {@code out} what can be reported to the controller at once. */
    void apply(String type, Map<String, String> fields, List<Event> out) {
        switch (type) {
            case "attach" -> {
                Event.ProxyJoined proxy = codec.proxyJoined(fields);
                removeProxy(proxy.proxy(), out);
                attachedProxies.add(proxy.proxy());
                out.add(proxy);
            }
            case "detach" -> removeProxy(codec.proxy(fields), out);
            case "done" -> out.add(codec.inForce(fields));
            case "owner" -> setOwner(codec.slice(fields), codec.flag(fields, "flag"), out);
            case "entry" -> setLine(codec.storedLine(fields), out);
            default -> throw new ProtocolException("unknown relay event type " + type);
        }
    }

    private void removeProxy(int proxy, List<Event> out) {
        if (attachedProxies.remove(proxy)) {
            out.add(new Event.ProxyLeft(proxy));
        }
    }

    private void setOwner(int slice, boolean ours, List<Event> out) {
        if (ours) {
            pendingSlices.put(slice, new TreeMap<>());
        } else {
            pendingSlices.remove(slice);
            removeSlice(slice, out);
        }
    }

    private void removeSlice(int slice, List<Event> out) {
        if (slices.remove(slice) != null) {
            out.add(new Event.SliceCharge(slice, false));
        }
    }

    private void setLine(Event.StoredLine line, List<Event> out) {
        TreeMap<String, Double> lines = pendingSlices.get(line.slice());
        if (lines != null) {
            putLine(lines, line.server(), line.weight());
        } else if (slices.containsKey(line.slice())) {
            putLine(slices.get(line.slice()), line.server(), line.weight());
            out.add(line);
        }
    }

    /** Sets a line; weight 0 removes it. */
    private static void putLine(TreeMap<String, Double> lines, String server, double weight) {
        if (weight > 0) {
            lines.put(server, weight);
        } else {
            lines.remove(server);
        }
    }

    /** Applies an order that the relay has accepted. */
    void orderAccepted(Order order) {
        applyOrder(order, slices);
    }

    private static void applyOrder(Order order, Map<Integer, TreeMap<String, Double>> target) {
        if (order instanceof Order.SetLine o && target.containsKey(o.table())) {
            putLine(target.get(o.table()), o.server(), o.weight());
        } else if (order instanceof Order.ClearTable o && target.containsKey(o.table())) {
            target.get(o.table()).clear();
        }
    }

    /**
     * Reports the pending slices with their lines, which are complete now.
     *
     * @param inFlight orders that the event stream may not show yet; they count as applied, since they are sent until
     *     they are accepted
     * @return the slices reported
     */
    Set<Integer> commitPendingSlices(List<Order> inFlight, List<Event> out) {
        Map<Integer, TreeMap<String, Double>> reported = copy(pendingSlices);
        inFlight.forEach(order -> applyOrder(order, reported));
        reported.forEach((slice, lines) -> reportSlice(slice, lines, out));
        Set<Integer> committed = Set.copyOf(pendingSlices.keySet());
        slices.putAll(pendingSlices);
        pendingSlices.clear();
        return committed;
    }

    private static void reportSlice(int slice, TreeMap<String, Double> lines, List<Event> out) {
        out.add(new Event.SliceCharge(slice, true));
        lines.forEach((server, weight) -> out.add(new Event.StoredLine(slice, server, weight)));
    }

    /** The full state at the beginning of a new event stream, collected until the stream has settled. */
    final class InitialState {
        private final TreeMap<Integer, Event.ProxyJoined> proxies = new TreeMap<>();
        private final TreeMap<Integer, TreeMap<String, Double>> tables = new TreeMap<>();

        /** Applies one relay event; only acknowledgements of marks are reported at once. */
        void apply(String type, Map<String, String> fields, List<Event> out) {
            switch (type) {
                case "attach" -> proxies.put(codec.proxy(fields), codec.proxyJoined(fields));
                case "detach" -> proxies.remove(codec.proxy(fields));
                case "done" -> out.add(codec.inForce(fields));
                case "owner" -> {
                    tables.remove(codec.slice(fields));
                    if (codec.flag(fields, "flag")) {
                        tables.put(codec.slice(fields), new TreeMap<>());
                    }
                }
                case "entry" -> {
                    Event.StoredLine line = codec.storedLine(fields);
                    if (tables.containsKey(line.slice())) {
                        putLine(tables.get(line.slice()), line.server(), line.weight());
                    }
                }
                default -> throw new ProtocolException("unknown relay event type " + type);
            }
        }

        /**
         * Replaces the snapshot by this state and reports the differences; the stream has settled. A proxy that was
         * attached before and is now may have detached and attached again meanwhile, which the state does not tell.
         *
         * @param inFlight orders that were in flight when the stream was requested, or were added since
         * @param rejoinProxies whether all such proxies are reported as having left and joined; otherwise as uncertain.
         *     This must not be done while messages for one that stayed attached may wait in the channel: the controller
         *     would count them as lost
         * @return the slices reported: new ones, and those whose lines differ from the snapshot
         */
        Set<Integer> commit(List<Order> inFlight, boolean rejoinProxies, List<Event> out) {
            List.copyOf(attachedProxies).stream()
                    .filter(id -> rejoinProxies || !proxies.containsKey(id))
                    .forEach(id -> removeProxy(id, out));
            proxies.forEach((id, proxy) -> out.add(attachedProxies.add(id) ? proxy : new Event.ProxyUncertain(id)));
            List.copyOf(slices.keySet()).stream()
                    .filter(slice -> !tables.containsKey(slice))
                    .forEach(slice -> removeSlice(slice, out));
            Map<Integer, TreeMap<String, Double>> previous = copy(slices);
            Map<Integer, TreeMap<String, Double>> reported = copy(tables);
            inFlight.forEach(order -> {
                applyOrder(order, previous);
                applyOrder(order, reported);
            });
            reported.entrySet().removeIf(table -> sameLines(table.getValue(), previous.get(table.getKey())));
            reported.forEach((slice, lines) -> reportSlice(slice, lines, out));
            pendingSlices.clear();
            slices.putAll(tables);
            return reported.keySet();
        }
    }

    private static Map<Integer, TreeMap<String, Double>> copy(Map<Integer, TreeMap<String, Double>> tables) {
        Map<Integer, TreeMap<String, Double>> copy = new TreeMap<>();
        tables.forEach((slice, lines) -> copy.put(slice, new TreeMap<>(lines)));
        return copy;
    }

    private static boolean sameLines(TreeMap<String, Double> a, TreeMap<String, Double> b) {
        return b != null
                && a.keySet().equals(b.keySet())
                && a.keySet().stream().allMatch(id -> Math.abs(a.get(id) - b.get(id)) <= WEIGHT_TOLERANCE * b.get(id));
    }
}
