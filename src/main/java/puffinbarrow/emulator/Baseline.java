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
 * What the textbook policies share: each slice in charge has one line; one whose server is not listed as ready gets
 * another; changes leave in messages that the channel bears. They know neither cold servers nor masks nor levels but
 * for a second try on proof. They exist to be measured against.
 */
abstract class Baseline implements Controller {
    /** Of the queue's limit, filled by one batch at most. */
    private static final double OF_QUEUE = 0.5;
    /** Messages are spaced a little wider than the limit on them asks. */
    private static final double SPACED = 1.1;

    final Settings settings;
    final UniformRandomProvider chance;
    final TreeMap<String, Event.Entry> ready = new TreeMap<>();
    final TreeMap<Integer, String> mine = new TreeMap<>();
    final Map<String, Double> busy = new HashMap<>();
    final Map<Integer, Double> demand = new HashMap<>();
    private final TreeSet<Integer> joined = new TreeSet<>();
    /** Changes that have not left, in the order they came up. */
    private final LinkedHashMap<Integer, String> wanted = new LinkedHashMap<>();
    /** Where those stand at the proxies. */
    private final Map<Integer, String> leaving = new HashMap<>();

    private long cycleAt = Long.MIN_VALUE, messageAt = Long.MIN_VALUE;

    Baseline(Settings settings, long seed) {
        this.settings = settings;
        this.chance = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
    }

    /** A server for a slice that has none; null leaves it for now. */
    abstract String place(int slice);

    /** Changes for the better, once a round; {@link #move} takes them. */
    void better() {}

    /** A server is of use now. */
    boolean open(String server) {
        return ready.containsKey(server);
    }

    final void move(int slice, String to) {
        wanted.put(slice, to);
        leaving.putIfAbsent(slice, mine.get(slice));
        mine.put(slice, to);
    }

    @Override
    public List<Order> handle(long now, List<Event> events) {
        List<Order> orders = new ArrayList<>();
        boolean levels = false;
        boolean changed = false;
        for (Event event : events) {
            if (event instanceof Event.ServerList e && e.kind() != Event.ListKind.BROKEN) {
                changed = true;
                if (e.kind() != Event.ListKind.PATCH) {
                    ready.clear();
                }
                for (Event.Entry entry : e.entries()) {
                    if (entry.listed() == Event.Listed.READY) {
                        ready.put(entry.server(), entry);
                    } else {
                        ready.remove(entry.server());
                    }
                }
            } else if (event instanceof Event.ProxyJoined e) {
                joined.add(e.proxy());
                levels = true;
            } else if (event instanceof Event.ProxyLeft e) {
                joined.remove(e.proxy());
            } else if (event instanceof Event.SliceCharge e) {
                changed = true;
                wanted.remove(e.slice());
                leaving.remove(e.slice());
                if (e.given()) {
                    mine.put(e.slice(), "");
                } else {
                    mine.remove(e.slice());
                }
            } else if (event instanceof Event.StoredLine e && mine.containsKey(e.slice())) {
                mine.put(e.slice(), e.server());
            } else if (event instanceof Event.ServerSums e && e.report().containsKey(Event.Measure.BUSY)) {
                busy.put(e.server(), e.report().get(Event.Measure.BUSY));
            } else if (event instanceof Event.SliceDemand e) {
                demand.merge(e.slice(), e.flows() * 1e9 / e.spanNs(), (was, is) -> 0.7 * was + 0.3 * is);
            }
        }
        if (settings.listOnRequest() && now >= cycleAt) {
            orders.add(new Order.FetchList());
        } else if (cycleAt == Long.MIN_VALUE) {
            orders.add(new Order.Follow(true));
        }
        if (changed || now >= cycleAt) {
            orphans();
        }
        if (now >= cycleAt) {
            cycleAt = now + settings.roundNs();
            better();
        }
        if (levels) {
            orders.add(new Order.SetLevel(Order.ALL_TABLES, 0, 1, Order.Retry.ON_PROOF));
        }
        send(now, orders);
        orders.add(new Order.WakeAt(wanted.isEmpty() ? cycleAt : Math.min(cycleAt, messageAt), 1));
        return orders;
    }

    private void orphans() {
        if (ready.isEmpty()) {
            return;
        }
        for (Map.Entry<Integer, String> slice : new TreeMap<>(mine).entrySet()) {
            if (!open(slice.getValue())) {
                String to = place(slice.getKey());
                if (to != null && !to.equals(slice.getValue())) {
                    move(slice.getKey(), to);
                }
            }
        }
    }

    private void send(long now, List<Order> orders) {
        if (now < messageAt || wanted.isEmpty()) {
            return;
        }
        double fits = joined.isEmpty()
                ? Double.MAX_VALUE
                : OF_QUEUE * settings.queueLimit() / joined.size() - settings.head();
        int lines = 0;
        while (!wanted.isEmpty() && lines + 2 <= Math.max(2, fits)) {
            int slice = wanted.keySet().iterator().next();
            String to = wanted.remove(slice);
            String from = leaving.remove(slice);
            if (mine.containsKey(slice)) {
                orders.add(new Order.SetLine(slice, to, 1));
                lines++;
                if (from != null && !from.isEmpty() && !from.equals(to) && !settings.soleOwner()) {
                    orders.add(new Order.SetLine(slice, from, 0));
                    lines++;
                }
            }
        }
        double takes = joined.size() * (settings.head() + lines) / settings.linesPerS() * 1e9;
        double spaced =
                settings.messagesAllowed() > 0 ? SPACED * settings.messagesSpanNs() / settings.messagesAllowed() : 0;
        messageAt = now + (long) Math.max(takes, spaced);
    }

    final String any() {
        List<String> all = new ArrayList<>(ready.keySet());
        return all.get(chance.nextInt(all.size()));
    }

    // ---- The policies.

    /** Anywhere, and there it stays. */
    static final class AtRandom extends Baseline {
        AtRandom(Settings settings, long seed) {
            super(settings, seed);
        }

        @Override
        String place(int slice) {
            return any();
        }
    }

    /** The less busy of two drawn, by their last reports. */
    static final class TwoChoices extends Baseline {
        TwoChoices(Settings settings, long seed) {
            super(settings, seed);
        }

        @Override
        String place(int slice) {
            String one = any();
            String other = any();
            return busy.getOrDefault(other, 0.0) < busy.getOrDefault(one, 0.0) ? other : one;
        }
    }

    /** The least busy by last reports and what was placed since; once a round one slice from the busiest to it. */
    static final class LeastLoaded extends Baseline {
        /** A move must be worth its line: a fifth of a server's cores. */
        private static final double GAP = 0.2;

        LeastLoaded(Settings settings, long seed) {
            super(settings, seed);
        }

        private String extreme(boolean most) {
            String best = null;
            for (String server : ready.keySet()) {
                if (best == null
                        || (busy.getOrDefault(server, 0.0) > busy.getOrDefault(best, 0.0)) == most
                                && !busy.getOrDefault(server, 0.0).equals(busy.getOrDefault(best, 0.0))) {
                    best = server;
                }
            }
            return best;
        }

        private double part(int slice) {
            double all =
                    demand.values().stream().mapToDouble(Double::doubleValue).sum();
            double load = ready.keySet().stream()
                    .mapToDouble(s -> busy.getOrDefault(s, 0.0))
                    .sum();
            return all == 0 ? 0.01 : load * demand.getOrDefault(slice, 0.0) / all;
        }

        @Override
        String place(int slice) {
            String to = extreme(false);
            busy.merge(to, part(slice), Double::sum);
            return to;
        }

        @Override
        void better() {
            if (ready.size() < 2) {
                return;
            }
            String from = extreme(true);
            String to = extreme(false);
            double gap = busy.getOrDefault(from, 0.0) - busy.getOrDefault(to, 0.0);
            if (gap < GAP) {
                return;
            }
            int best = -1;
            for (Map.Entry<Integer, String> slice : mine.entrySet()) {
                if (slice.getValue().equals(from)
                        && part(slice.getKey()) < gap / 2
                        && (best < 0 || part(slice.getKey()) > part(best))) {
                    best = slice.getKey();
                }
            }
            if (best >= 0) {
                busy.merge(from, -part(best), Double::sum);
                busy.merge(to, part(best), Double::sum);
                move(best, to);
            }
        }
    }

    /** Rendezvous hashing of slices onto ready servers, none with over so many times its even part. */
    static final class BoundedHash extends Baseline {
        private static final double ROOM = 1.25;
        private static final Hasher64 HASH = Hashing.komihash5_0();
        private List<String> servers = List.of();

        BoundedHash(Settings settings, long seed) {
            super(settings, seed);
        }

        @Override
        String place(int slice) {
            // The round's whole laying does it; until then a slice goes where it ranks first.
            return ready.keySet().stream()
                    .max((a, b) -> Long.compareUnsigned(rank(slice, a), rank(slice, b)))
                    .orElse(null);
        }

        private static long rank(int slice, String server) {
            return HASH.hashStream().putInt(slice).putString(server).getAsLong();
        }

        @Override
        void better() {
            List<String> now = new ArrayList<>(ready.keySet());
            if (now.equals(servers) || now.isEmpty()) {
                return;
            }
            servers = now;
            int most = (int) Math.ceil(ROOM * mine.size() / now.size());
            Map<String, Integer> held = new HashMap<>();
            for (int slice : List.copyOf(mine.keySet())) {
                String best = null;
                long rank = 0;
                for (String server : now) {
                    long own = rank(slice, server);
                    if (held.getOrDefault(server, 0) < most && (best == null || Long.compareUnsigned(own, rank) > 0)) {
                        best = server;
                        rank = own;
                    }
                }
                held.merge(best, 1, Integer::sum);
                if (!best.equals(mine.get(slice))) {
                    move(slice, best);
                }
            }
        }
    }

    /** Sees what every server can do now and what every slice asks for; orders go by the same channel. */
    static final class Oracle extends Baseline {
        /** Moves a round; enough to empty a lost server within one. */
        private static final int MOVES = 40;
        /** A move must bring the busier of the two down by this part. */
        private static final double GAIN = 0.05;

        private final Truth truth;
        private final Map<String, Double> planned = new HashMap<>();

        Oracle(Settings settings, long seed, Truth truth) {
            super(settings, seed);
            this.truth = truth;
        }

        @Override
        public List<Order> handle(long now, List<Event> events) {
            planned.clear();
            return super.handle(now, events);
        }

        @Override
        boolean open(String server) {
            return ready.containsKey(server) && truth.capacity(server) > 0;
        }

        private double load(String server, double more) {
            double can = truth.capacity(server);
            return can <= 0
                    ? Double.MAX_VALUE
                    : (truth.assigned(server) + planned.getOrDefault(server, 0.0) + more) / can;
        }

        @Override
        String place(int slice) {
            String best = null;
            double least = Double.MAX_VALUE;
            double work = Math.max(0.01, truth.work(slice));
            for (String server : ready.keySet()) {
                double load = load(server, work);
                if (load < least) {
                    least = load;
                    best = server;
                }
            }
            if (best != null) {
                planned.merge(best, work, Double::sum);
            }
            return best;
        }

        @Override
        void better() {
            for (int i = 0; i < MOVES; i++) {
                String hot = null;
                for (String server : ready.keySet()) {
                    if (truth.capacity(server) > 0
                            && mine.containsValue(server)
                            && (hot == null || load(server, 0) > load(hot, 0))) {
                        hot = server;
                    }
                }
                if (hot == null) {
                    return;
                }
                double now = load(hot, 0);
                int best = -1;
                String to = null;
                double least = now * (1 - GAIN);
                String cold = null;
                for (String server : ready.keySet()) {
                    if (!server.equals(hot) && (cold == null || load(server, 0) < load(cold, 0))) {
                        cold = server;
                    }
                }
                if (cold == null) {
                    return;
                }
                for (Map.Entry<Integer, String> slice : mine.entrySet()) {
                    if (slice.getValue().equals(hot)) {
                        double work = truth.work(slice.getKey());
                        double after = Math.max(load(hot, -work), load(cold, work));
                        if (work > 0 && after < least) {
                            least = after;
                            best = slice.getKey();
                            to = cold;
                        }
                    }
                }
                if (best < 0) {
                    return;
                }
                planned.merge(hot, -truth.work(best), Double::sum);
                planned.merge(to, truth.work(best), Double::sum);
                move(best, to);
            }
        }
    }
}
