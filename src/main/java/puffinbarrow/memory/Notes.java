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
 * Watches what a coordinator hears and orders, and makes facts of it. On the decision thread; a few map operations an
 * event. Pure: the wall time is passed in.
 */
public final class Notes {
    private static final class Server {
        boolean listed;
        long drainingSince;
        final List<Long> starts = new ArrayList<>();
        final List<Long> falls = new ArrayList<>();
        final List<Long> returns = new ArrayList<>();
        double size = 1, took, load = Double.NaN, holdNs;
    }

    private static final class Slice {
        final TreeMap<String, Double> lines = new TreeMap<>();
        double demand;
        long version;
    }

    private final Map<String, Server> servers = new HashMap<>();
    private final Map<Integer, Slice> slices = new HashMap<>();
    private final TreeSet<Integer> charges = new TreeSet<>();
    private final Set<String> dirtyServers = new HashSet<>();
    private final Set<Integer> dirtySlices = new HashSet<>();
    private final long incarnation;

    public Notes(long incarnation) {
        this.incarnation = incarnation;
    }

    /** Goes on from what a former life remembered of the servers. */
    public void resume(Facts.Image image) {
        for (Facts.Fact fact : image.all()) {
            if (fact instanceof Facts.OfServer f) {
                Server server = new Server();
                server.listed = !f.starts().isEmpty();
                server.starts.addAll(f.starts());
                server.falls.addAll(f.falls());
                server.returns.addAll(f.returns());
                server.size = f.size();
                servers.put(f.id(), server);
            }
        }
    }

    public void heard(long wallNs, Collection<Event> events) {
        for (Event event : events) {
            if (event instanceof Event.ServerList e && e.kind() != Event.ListKind.BROKEN) {
                list(wallNs, e);
            } else if (event instanceof Event.ServerSums e) {
                Server server = servers.get(e.server());
                if (server != null) {
                    server.took = e.tookNs();
                    server.load = e.report().getOrDefault(Event.Measure.BUSY, server.load);
                    dirtyServers.add(e.server());
                }
            } else if (event instanceof Event.SliceDemand e) {
                slice(e.slice()).demand = e.flows();
            } else if (event instanceof Event.SliceCharge e) {
                boolean changed = e.given() ? charges.add(e.slice()) : charges.remove(e.slice());
                slice(e.slice()).lines.clear();
            } else if (event instanceof Event.StoredLine e) {
                slice(e.slice()).lines.put(e.server(), e.weight());
            }
        }
    }

    private void list(long wallNs, Event.ServerList list) {
        Set<String> named = new HashSet<>();
        for (Event.Entry entry : list.entries()) {
            named.add(entry.server());
            Server server = servers.computeIfAbsent(entry.server(), s -> new Server());
            dirtyServers.add(entry.server());
            if (entry.listed() == Event.Listed.READY) {
                boolean newStart =
                        server.starts.isEmpty() || server.starts.get(server.starts.size() - 1) != entry.startedNs();
                if (newStart && server.listed) {
                    // It fell and came back between two lists.
                    add(server.falls, wallNs);
                }
                if (newStart) {
                    add(server.starts, entry.startedNs());
                }
                if (newStart && server.starts.size() > 1 || !server.listed && !server.falls.isEmpty()) {
                    add(server.returns, wallNs);
                }
                server.listed = true;
                server.drainingSince = 0;
                server.size = entry.size();
            } else if (entry.listed() == Event.Listed.DRAINING) {
                server.drainingSince = server.drainingSince == 0 ? wallNs : server.drainingSince;
            } else {
                leaves(wallNs, server);
            }
        }
        if (list.kind() != Event.ListKind.PATCH) {
            servers.forEach((id, server) -> {
                if (!named.contains(id) && server.listed) {
                    leaves(wallNs, server);
                    dirtyServers.add(id);
                }
            });
        }
    }

    private static void leaves(long wallNs, Server server) {
        if (server.listed) {
            add(server.falls, wallNs);
        }
        server.listed = false;
        server.drainingSince = 0;
    }

    private static void add(List<Long> times, long at) {
        times.add(at);
        if (times.size() > Facts.OfServer.TIMES) {
            times.remove(0);
        }
    }

    private Slice slice(int number) {
        return slices.computeIfAbsent(number, n -> new Slice());
    }

    public void ordered(Collection<Order> orders) {
        for (Order order : orders) {
            if (order instanceof Order.SetLine o) {
                Slice slice = slice(o.table());
                slice.lines.compute(o.server(), (s, was) -> o.weight() > 0 ? o.weight() : null);
                slice.version++;
                dirtySlices.add(o.table());
            }
        }
    }

    /** What has changed since the last call, and the coordinator itself; {@code known} is the decisions' own word. */
    public List<Facts.Fact> changed(long wallNs, long runNs, boolean cleanEnd, List<Event.Recalled> known) {
        double[] own = new double[Event.Recall.values().length];
        Map<String, Double> holds = new HashMap<>();
        for (Event.Recalled each : known) {
            if (each.server().isEmpty()) {
                own[each.kind().ordinal()] = each.value();
            } else if (each.kind() == Event.Recall.HOLD_NS) {
                holds.put(each.server(), each.value());
            }
        }
        servers.forEach((id, server) -> {
            double hold = holds.getOrDefault(id, 0.0);
            if (hold != server.holdNs) {
                server.holdNs = hold;
                dirtyServers.add(id);
            }
        });
        List<Facts.Fact> facts = new ArrayList<>(dirtyServers.size() + dirtySlices.size() + 1);
        for (String id : dirtyServers) {
            Server s = servers.get(id);
            facts.add(new Facts.OfServer(
                    id,
                    wallNs,
                    s.drainingSince,
                    List.copyOf(s.starts),
                    List.copyOf(s.falls),
                    List.copyOf(s.returns),
                    s.drainingSince > 0 ? "draining" : !s.listed ? "gone" : s.holdNs > 0 ? "held" : "well",
                    (long) s.holdNs,
                    s.size,
                    s.took,
                    s.load));
        }
        for (int number : dirtySlices) {
            Slice s = slices.get(number);
            List<Facts.Line> lines = new ArrayList<>(s.lines.size());
            s.lines.forEach((server, weight) -> lines.add(new Facts.Line(server, weight)));
            facts.add(new Facts.OfSlice(number, wallNs, lines, s.demand, s.version));
        }
        dirtyServers.clear();
        dirtySlices.clear();
        facts.add(new Facts.OfSelf(
                wallNs,
                runNs,
                incarnation,
                cleanEnd,
                List.copyOf(charges),
                own[Event.Recall.CALM_LOAD.ordinal()],
                own[Event.Recall.CALM_WHOLE.ordinal()],
                own[Event.Recall.SHED.ordinal()],
                own[Event.Recall.STRAINED.ordinal()] > 0));
        return facts;
    }
}
