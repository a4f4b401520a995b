package puffinbarrow.memory;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import puffinbarrow.control.Event;
import puffinbarrow.control.Order;

/**
 * Derives facts from a coordinator's events and orders. The coordinator calls it on the decision thread, the emulator
 * in simulated time; an event costs a few map operations. Does no I/O; the wall time is passed in, in nanoseconds.
 */
public final class FactCollector {
    /** The collected state of a server; see {@link Facts.ServerFact} for the fields. */
    private static final class ServerState {
        boolean listed;
        long drainingSinceNs;
        final List<Long> starts = new ArrayList<>();
        final List<Long> falls = new ArrayList<>();
        final List<Long> returns = new ArrayList<>();
        double size = 1;
        double latencyNs;
        double load = Double.NaN;
        double holdNs;
    }

    private static final class SliceState {
        final TreeMap<String, Double> lines = new TreeMap<>();
        double demand;
        long version;
    }

    private final Map<String, ServerState> servers = new HashMap<>();
    private final Map<Integer, SliceState> slices = new HashMap<>();
    private final TreeSet<Integer> heldSlices = new TreeSet<>();
    private final Set<String> dirtyServers = new HashSet<>();
    private final Set<Integer> dirtySlices = new HashSet<>();
    private final long incarnation;

    /** Starts empty; {@code incarnation} goes into the coordinator's own fact. */
    public FactCollector(long incarnation) {
        this.incarnation = incarnation;
    }

    /** Takes over the servers' facts of the previous run. */
    public void resume(Facts.Image image) {
        for (Facts.Fact fact : image.all()) {
            if (fact instanceof Facts.ServerFact f) {
                ServerState server = new ServerState();
                server.listed = !f.starts().isEmpty();
                server.starts.addAll(f.starts());
                server.falls.addAll(f.falls());
                server.returns.addAll(f.returns());
                server.size = f.size();
                servers.put(f.id(), server);
            }
        }
    }

    /** Updates the collected state from events that the coordinator received. */
    public void recordEvents(long wallNs, Collection<Event> events) {
        for (Event event : events) {
            if (event instanceof Event.ServerList e && e.kind() != Event.ListKind.BROKEN) {
                applyList(wallNs, e);
            } else if (event instanceof Event.ServerSums e) {
                ServerState server = servers.get(e.server());
                if (server != null) {
                    server.latencyNs = e.tookNs();
                    server.load = e.report().getOrDefault(Event.Measure.BUSY, server.load);
                    dirtyServers.add(e.server());
                }
            } else if (event instanceof Event.SliceDemand e) {
                sliceState(e.slice()).demand = e.flows();
            } else if (event instanceof Event.SliceCharge e) {
                boolean changed = e.given() ? heldSlices.add(e.slice()) : heldSlices.remove(e.slice());
                sliceState(e.slice()).lines.clear();
            } else if (event instanceof Event.StoredLine e) {
                sliceState(e.slice()).lines.put(e.server(), e.weight());
            }
        }
    }

    private void applyList(long wallNs, Event.ServerList list) {
        Set<String> listedIds = new HashSet<>();
        for (Event.Entry entry : list.entries()) {
            listedIds.add(entry.server());
            ServerState server = servers.computeIfAbsent(entry.server(), s -> new ServerState());
            dirtyServers.add(entry.server());
            if (entry.listed() == Event.Listed.READY) {
                boolean newStart =
                        server.starts.isEmpty() || server.starts.get(server.starts.size() - 1) != entry.startedNs();
                if (newStart && server.listed) {
                    // It restarted between two lists.
                    addTime(server.falls, wallNs);
                }
                if (newStart) {
                    addTime(server.starts, entry.startedNs());
                }
                if (newStart && server.starts.size() > 1 || !server.listed && !server.falls.isEmpty()) {
                    addTime(server.returns, wallNs);
                }
                server.listed = true;
                server.drainingSinceNs = 0;
                server.size = entry.size();
            } else if (entry.listed() == Event.Listed.DRAINING) {
                server.drainingSinceNs = server.drainingSinceNs == 0 ? wallNs : server.drainingSinceNs;
            } else {
                recordDeparture(wallNs, server);
            }
        }
        if (list.kind() != Event.ListKind.PATCH) {
            servers.forEach((id, server) -> {
                if (!listedIds.contains(id) && server.listed) {
                    recordDeparture(wallNs, server);
                    dirtyServers.add(id);
                }
            });
        }
    }

    private static void recordDeparture(long wallNs, ServerState server) {
        if (server.listed) {
            addTime(server.falls, wallNs);
        }
        server.listed = false;
        server.drainingSinceNs = 0;
    }

    private static void addTime(List<Long> times, long timeNs) {
        times.add(timeNs);
        if (times.size() > Facts.ServerFact.TIMES) {
            times.remove(0);
        }
    }

    private SliceState sliceState(int number) {
        return slices.computeIfAbsent(number, n -> new SliceState());
    }

    /** Updates the tables of slices from lines that the coordinator ordered. */
    public void recordOrders(Collection<Order> orders) {
        for (Order order : orders) {
            if (order instanceof Order.SetLine o) {
                SliceState slice = sliceState(o.table());
                slice.lines.compute(o.server(), (s, was) -> o.weight() > 0 ? o.weight() : null);
                slice.version++;
                dirtySlices.add(o.table());
            }
        }
    }

    /**
     * Returns the facts changed since the last call, and the coordinator's own fact.
     *
     * @param wallNs the wall time
     * @param monotonicNs the same moment on the coordinator's monotonic clock
     * @param cleanShutdown whether the coordinator is shutting down in order
     * @param known the values that the decision logic wants remembered
     */
    public List<Facts.Fact> takeChangedFacts(
            long wallNs, long monotonicNs, boolean cleanShutdown, List<Event.Recalled> known) {
        double[] fleetValues = new double[Event.Recall.values().length];
        Map<String, Double> holdNsByServer = new HashMap<>();
        for (Event.Recalled recalled : known) {
            if (recalled.server().isEmpty()) {
                fleetValues[recalled.kind().ordinal()] = recalled.value();
            } else if (recalled.kind() == Event.Recall.HOLD_NS) {
                holdNsByServer.put(recalled.server(), recalled.value());
            }
        }
        servers.forEach((id, server) -> {
            double holdNs = holdNsByServer.getOrDefault(id, 0.0);
            if (holdNs != server.holdNs) {
                server.holdNs = holdNs;
                dirtyServers.add(id);
            }
        });
        List<Facts.Fact> facts = new ArrayList<>(dirtyServers.size() + dirtySlices.size() + 1);
        for (String id : dirtyServers) {
            ServerState server = servers.get(id);
            facts.add(new Facts.ServerFact(
                    id,
                    wallNs,
                    server.drainingSinceNs,
                    List.copyOf(server.starts),
                    List.copyOf(server.falls),
                    List.copyOf(server.returns),
                    server.drainingSinceNs > 0
                            ? "draining"
                            : !server.listed ? "gone" : server.holdNs > 0 ? "held" : "well",
                    (long) server.holdNs,
                    server.size,
                    server.latencyNs,
                    server.load));
        }
        for (int number : dirtySlices) {
            SliceState slice = slices.get(number);
            List<Facts.Line> lines = new ArrayList<>(slice.lines.size());
            slice.lines.forEach((server, weight) -> lines.add(new Facts.Line(server, weight)));
            facts.add(new Facts.SliceFact(number, wallNs, lines, slice.demand, slice.version));
        }
        dirtyServers.clear();
        dirtySlices.clear();
        facts.add(new Facts.CoordinatorFact(
                wallNs,
                monotonicNs,
                incarnation,
                cleanShutdown,
                List.copyOf(heldSlices),
                fleetValues[Event.Recall.CALM_LOAD.ordinal()],
                fleetValues[Event.Recall.CALM_WHOLE.ordinal()],
                fleetValues[Event.Recall.SHED.ordinal()],
                fleetValues[Event.Recall.STRAINED.ordinal()] > 0));
        return facts;
    }
}
