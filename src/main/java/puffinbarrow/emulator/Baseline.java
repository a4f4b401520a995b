package puffinbarrow.emulator;

import com.dynatrace.hash4j.hashing.Hasher64;
import com.dynatrace.hash4j.hashing.Hashing;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.TreeSet;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import puffinbarrow.control.Controller;
import puffinbarrow.control.Event;
import puffinbarrow.control.Order;
import puffinbarrow.control.Settings;

/**
 * Common part of the reference policies that the product is measured against. Each owned slice has one line; a slice
 * whose server is not listed as ready is moved to another; changes leave in messages of a size and spacing that the
 * channel can carry. The policies handle neither cold servers nor masks, and their only level allows a second attempt
 * after one that provably did not run. Called on the simulation thread by the core, like any controller.
 */
abstract class Baseline implements Controller {
    /** Largest share of the queue limit that one batch may fill. */
    private static final double MAX_QUEUE_SHARE = 0.5;
    /** Messages are spaced this much wider than the limit on their number requires. */
    private static final double SPACING_FACTOR = 1.1;

    final Settings settings;
    final UniformRandomProvider random;
    final TreeMap<String, Event.Entry> readyServers = new TreeMap<>();
    /** Owned slices with their servers; empty text if none. */
    final TreeMap<Integer, String> assignments = new TreeMap<>();
    /** Busy share of the cores as last reported, 0 to 1, by server. */
    final Map<String, Double> busyByServer = new HashMap<>();
    /** Smoothed flows per second, by slice. */
    final Map<Integer, Double> demandBySlice = new HashMap<>();

    private final TreeSet<Integer> joinedProxies = new TreeSet<>();
    /** Moves that have not been sent, in the order in which they were decided. */
    private final LinkedHashMap<Integer, String> pendingMoves = new LinkedHashMap<>();
    /** Servers that the proxies still use for the slices of pending moves. */
    private final Map<Integer, String> previousServers = new HashMap<>();

    private long nextRoundAtNs = Long.MIN_VALUE;
    private long nextMessageAtNs = Long.MIN_VALUE;

    Baseline(Settings settings, long seed) {
        this.settings = settings;
        this.random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
    }

    /** Returns a server for a slice that has none; null leaves the slice for now. */
    abstract String chooseServer(int slice);

    /** Improves the assignment by calling {@link #move}; called once a round. */
    void rebalance() {}

    /** Returns whether slices may be assigned to the server now. */
    boolean usable(String server) {
        return readyServers.containsKey(server);
    }

    /** Moves a slice to another server; sent with the next message. */
    final void move(int slice, String to) {
        pendingMoves.put(slice, to);
        previousServers.putIfAbsent(slice, assignments.get(slice));
        assignments.put(slice, to);
    }

    @Override
    public List<Order> handle(long now, List<Event> events) {
        List<Order> orders = new ArrayList<>();
        boolean sendLevels = false;
        boolean checkOrphans = false;
        for (Event event : events) {
            if (event instanceof Event.ServerList e && e.kind() != Event.ListKind.BROKEN) {
                checkOrphans = true;
                if (e.kind() != Event.ListKind.PATCH) {
                    readyServers.clear();
                }
                for (Event.Entry entry : e.entries()) {
                    if (entry.listed() == Event.Listed.READY) {
                        readyServers.put(entry.server(), entry);
                    } else {
                        readyServers.remove(entry.server());
                    }
                }
            } else if (event instanceof Event.ProxyJoined e) {
                joinedProxies.add(e.proxy());
                sendLevels = true;
            } else if (event instanceof Event.ProxyLeft e) {
                joinedProxies.remove(e.proxy());
            } else if (event instanceof Event.SliceCharge e) {
                checkOrphans = true;
                pendingMoves.remove(e.slice());
                previousServers.remove(e.slice());
                if (e.given()) {
                    assignments.put(e.slice(), "");
                } else {
                    assignments.remove(e.slice());
                }
            } else if (event instanceof Event.StoredLine e && assignments.containsKey(e.slice())) {
                assignments.put(e.slice(), e.server());
            } else if (event instanceof Event.ServerSums e && e.report().containsKey(Event.Measure.BUSY)) {
                busyByServer.put(e.server(), e.report().get(Event.Measure.BUSY));
            } else if (event instanceof Event.SliceDemand e) {
                demandBySlice.merge(e.slice(), e.flows() * 1e9 / e.spanNs(), (was, is) -> 0.7 * was + 0.3 * is);
            }
        }
        if (settings.listOnRequest() && now >= nextRoundAtNs) {
            orders.add(new Order.FetchList());
        } else if (nextRoundAtNs == Long.MIN_VALUE) {
            orders.add(new Order.Follow(true));
        }
        if (checkOrphans || now >= nextRoundAtNs) {
            assignOrphans();
        }
        if (now >= nextRoundAtNs) {
            nextRoundAtNs = now + settings.roundNs();
            rebalance();
        }
        if (sendLevels) {
            orders.add(new Order.SetLevel(Order.ALL_TABLES, 0, 1, Order.Retry.ON_PROOF));
        }
        send(now, orders);
        orders.add(
                new Order.WakeAt(pendingMoves.isEmpty() ? nextRoundAtNs : Math.min(nextRoundAtNs, nextMessageAtNs), 1));
        return orders;
    }

    /** Assigns slices whose server cannot be used. */
    private void assignOrphans() {
        if (readyServers.isEmpty()) {
            return;
        }
        for (Map.Entry<Integer, String> slice : new TreeMap<>(assignments).entrySet()) {
            if (!usable(slice.getValue())) {
                String to = chooseServer(slice.getKey());
                if (to != null && !to.equals(slice.getValue())) {
                    move(slice.getKey(), to);
                }
            }
        }
    }

    /** Sends pending moves, as many as the channel takes now. */
    private void send(long now, List<Order> orders) {
        if (now < nextMessageAtNs || pendingMoves.isEmpty()) {
            return;
        }
        double maxLines = joinedProxies.isEmpty()
                ? Double.MAX_VALUE
                : MAX_QUEUE_SHARE * settings.queueLimitLines() / joinedProxies.size() - settings.messageOverheadLines();
        int lines = 0;
        while (!pendingMoves.isEmpty() && lines + 2 <= Math.max(2, maxLines)) {
            int slice = pendingMoves.keySet().iterator().next();
            String to = pendingMoves.remove(slice);
            String from = previousServers.remove(slice);
            if (assignments.containsKey(slice)) {
                orders.add(new Order.SetLine(slice, to, 1));
                lines++;
                if (from != null && !from.isEmpty() && !from.equals(to) && !settings.soleOwner()) {
                    orders.add(new Order.SetLine(slice, from, 0));
                    lines++;
                }
            }
        }
        double sendNs = joinedProxies.size() * (settings.messageOverheadLines() + lines) / settings.linesPerS() * 1e9;
        double spacingNs = settings.messagesAllowed() > 0
                ? SPACING_FACTOR * settings.messagesSpanNs() / settings.messagesAllowed()
                : 0;
        nextMessageAtNs = now + (long) Math.max(sendNs, spacingNs);
    }

    /** Returns a random ready server. */
    final String randomServer() {
        List<String> all = new ArrayList<>(readyServers.keySet());
        return all.get(random.nextInt(all.size()));
    }

    // ---- The policies.

    /** Assigns a slice to a random server and leaves it there. */
    static final class AtRandom extends Baseline {
        AtRandom(Settings settings, long seed) {
            super(settings, seed);
        }

        @Override
        String chooseServer(int slice) {
            return randomServer();
        }
    }

    /** Assigns a slice to the less busy of two random servers, by their last reports. */
    static final class TwoChoices extends Baseline {
        TwoChoices(Settings settings, long seed) {
            super(settings, seed);
        }

        @Override
        String chooseServer(int slice) {
            String one = randomServer();
            String other = randomServer();
            return busyByServer.getOrDefault(other, 0.0) < busyByServer.getOrDefault(one, 0.0) ? other : one;
        }
    }

    /**
     * Assigns a slice to the least busy server, by last reports and what was assigned since; once a round moves one
     * slice from the busiest server to the least busy one.
     */
    static final class LeastLoaded extends Baseline {
        /** Least difference in busyness that justifies a move: a fifth of a server's cores. */
        private static final double MIN_GAP = 0.2;

        LeastLoaded(Settings settings, long seed) {
            super(settings, seed);
        }

        /** Returns the most or the least busy ready server. */
        private String extremeByBusy(boolean mostBusy) {
            String best = null;
            for (String server : readyServers.keySet()) {
                if (best == null
                        || (busyByServer.getOrDefault(server, 0.0) > busyByServer.getOrDefault(best, 0.0)) == mostBusy
                                && !busyByServer
                                        .getOrDefault(server, 0.0)
                                        .equals(busyByServer.getOrDefault(best, 0.0))) {
                    best = server;
                }
            }
            return best;
        }

        /** Estimates the busy share that a slice causes, from its share of the demand. */
        private double loadShare(int slice) {
            double all = demandBySlice.values().stream()
                    .mapToDouble(Double::doubleValue)
                    .sum();
            double load = readyServers.keySet().stream()
                    .mapToDouble(s -> busyByServer.getOrDefault(s, 0.0))
                    .sum();
            return all == 0 ? 0.01 : load * demandBySlice.getOrDefault(slice, 0.0) / all;
        }

        @Override
        String chooseServer(int slice) {
            String to = extremeByBusy(false);
            busyByServer.merge(to, loadShare(slice), Double::sum);
            return to;
        }

        @Override
        void rebalance() {
            if (readyServers.size() < 2) {
                return;
            }
            String from = extremeByBusy(true);
            String to = extremeByBusy(false);
            double gap = busyByServer.getOrDefault(from, 0.0) - busyByServer.getOrDefault(to, 0.0);
            if (gap < MIN_GAP) {
                return;
            }
            int best = -1;
            for (Map.Entry<Integer, String> slice : assignments.entrySet()) {
                if (slice.getValue().equals(from)
                        && loadShare(slice.getKey()) < gap / 2
                        && (best < 0 || loadShare(slice.getKey()) > loadShare(best))) {
                    best = slice.getKey();
                }
            }
            if (best >= 0) {
                busyByServer.merge(from, -loadShare(best), Double::sum);
                busyByServer.merge(to, loadShare(best), Double::sum);
                move(best, to);
            }
        }
    }

    /**
     * Rendezvous hashing of slices onto ready servers; no server gets more than {@link #CAPACITY_FACTOR} times its even
     * share.
     */
    static final class BoundedHash extends Baseline {
        /** Bound on the slices of a server, relative to its even share. */
        private static final double CAPACITY_FACTOR = 1.25;

        private static final Hasher64 HASH = Hashing.komihash5_0();
        /** Ready servers at the last rebalancing; nothing is done until they change. */
        private List<String> lastServers = List.of();

        BoundedHash(Settings settings, long seed) {
            super(settings, seed);
        }

        @Override
        String chooseServer(int slice) {
            // The bound is applied by the rebalancing of the round; until then a slice goes to its highest-ranked
            // server.
            return readyServers.keySet().stream()
                    .max((a, b) -> Long.compareUnsigned(rank(slice, a), rank(slice, b)))
                    .orElse(null);
        }

        /** Returns the rank of a server for a slice; the highest rank wins. */
        private static long rank(int slice, String server) {
            return HASH.hashStream().putInt(slice).putString(server).getAsLong();
        }

        @Override
        void rebalance() {
            List<String> current = new ArrayList<>(readyServers.keySet());
            if (current.equals(lastServers) || current.isEmpty()) {
                return;
            }
            lastServers = current;
            int maxSlices = (int) Math.ceil(CAPACITY_FACTOR * assignments.size() / current.size());
            Map<String, Integer> slicesByServer = new HashMap<>();
            for (int slice : List.copyOf(assignments.keySet())) {
                String best = null;
                long rank = 0;
                for (String server : current) {
                    long ownRank = rank(slice, server);
                    if (slicesByServer.getOrDefault(server, 0) < maxSlices
                            && (best == null || Long.compareUnsigned(ownRank, rank) > 0)) {
                        best = server;
                        rank = ownRank;
                    }
                }
                slicesByServer.merge(best, 1, Integer::sum);
                if (!best.equals(assignments.get(slice))) {
                    move(slice, best);
                }
            }
        }
    }

    /** Sees the true capacity of every server and the true work of every slice; its orders use the same channel. */
    static final class Oracle extends Baseline {
        /** Moves per round; enough to empty a lost server within one. */
        private static final int MOVES_PER_ROUND = 40;
        /** A move must lower the load of the busier of its two servers by this share. */
        private static final double MIN_GAIN = 0.05;

        private final TrueState trueState;
        private final Map<String, Double> plannedWork = new HashMap<>();

        Oracle(Settings settings, long seed, TrueState trueState) {
            super(settings, seed);
            this.trueState = trueState;
        }

        @Override
        public List<Order> handle(long now, List<Event> events) {
            plannedWork.clear();
            return super.handle(now, events);
        }

        @Override
        boolean usable(String server) {
            return readyServers.containsKey(server) && trueState.capacity(server) > 0;
        }

        /** Returns the load of a server relative to its capacity, with planned moves and some extra work. */
        private double load(String server, double extraWork) {
            double capacity = trueState.capacity(server);
            return capacity <= 0
                    ? Double.MAX_VALUE
                    : (trueState.assigned(server) + plannedWork.getOrDefault(server, 0.0) + extraWork) / capacity;
        }

        @Override
        String chooseServer(int slice) {
            String best = null;
            double lowestLoad = Double.MAX_VALUE;
            double work = Math.max(0.01, trueState.work(slice));
            for (String server : readyServers.keySet()) {
                double load = load(server, work);
                if (load < lowestLoad) {
                    lowestLoad = load;
                    best = server;
                }
            }
            if (best != null) {
                plannedWork.merge(best, work, Double::sum);
            }
            return best;
        }

        @Override
        void rebalance() {
            for (int i = 0; i < MOVES_PER_ROUND; i++) {
                String busiest = null;
                for (String server : readyServers.keySet()) {
                    if (trueState.capacity(server) > 0
                            && assignments.containsValue(server)
                            && (busiest == null || load(server, 0) > load(busiest, 0))) {
                        busiest = server;
                    }
                }
                if (busiest == null) {
                    return;
                }
                double busiestLoad = load(busiest, 0);
                int best = -1;
                String to = null;
                double lowestLoad = busiestLoad * (1 - MIN_GAIN);
                String leastLoaded = null;
                for (String server : readyServers.keySet()) {
                    if (!server.equals(busiest) && (leastLoaded == null || load(server, 0) < load(leastLoaded, 0))) {
                        leastLoaded = server;
                    }
                }
                if (leastLoaded == null) {
                    return;
                }
                for (Map.Entry<Integer, String> slice : assignments.entrySet()) {
                    if (slice.getValue().equals(busiest)) {
                        double work = trueState.work(slice.getKey());
                        double loadAfter = Math.max(load(busiest, -work), load(leastLoaded, work));
                        if (work > 0 && loadAfter < lowestLoad) {
                            lowestLoad = loadAfter;
                            best = slice.getKey();
                            to = leastLoaded;
                        }
                    }
                }
                if (best < 0) {
                    return;
                }
                plannedWork.merge(busiest, -trueState.work(best), Double::sum);
                plannedWork.merge(to, trueState.work(best), Double::sum);
                move(best, to);
            }
        }
    }
}
