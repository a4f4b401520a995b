package puffinbarrow.emulator;

import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.IntConsumer;
import org.apache.commons.rng.UniformRandomProvider;
import puffinbarrow.audit.Seen;
import puffinbarrow.config.CoordinatorConfig;
import puffinbarrow.control.Event;
import puffinbarrow.control.Order;
import puffinbarrow.coordinator.Outlet;
import puffinbarrow.proto.Frame;

/**
 * A plain proxy in simulated time: it does as its tables say, keeps away from a server at which its own tries failed in a
 * row, tries again only as ordered, holds a flow without a server for a moment and then blocks it. Orders take effect
 * late and in order.
 */
final class Proxy {
    /** A flow as it came from a client. */
    static final class Flow {
        final long id;
        final int slice, group, key;
        final long workNs, cameAt, expiresAt;
        final IntConsumer answer;
        /** Few tries, so a list is as good as a set. */
        final List<Server> tried = new ArrayList<>(2);

        int attempt;
        private Attempt current;

        Flow(long id, int slice, int group, int key, long workNs, long cameAt, long expiresAt, IntConsumer answer) {
            this.id = id;
            this.slice = slice;
            this.group = group;
            this.key = key;
            this.workNs = workNs;
            this.cameAt = cameAt;
            this.expiresAt = expiresAt;
            this.answer = answer;
        }

        /** It has expired: an open try ends now. */
        void expire() {
            if (current != null) {
                current.timeOut();
            }
        }
    }

    /** One try at one server. */
    final class Attempt {
        final Flow flow;
        final Server server;
        final int number;
        final long sentAt;
        final int serverLife;
        boolean opened, connected, begun, stopped;
        private boolean over;
        /** Where the server keeps it among its open ones, or -1. */
        int place = -1;

        Attempt(Flow flow, Server server, int number, long sentAt) {
            this.flow = flow;
            this.server = server;
            this.number = number;
            this.sentAt = sentAt;
            this.serverLife = server.life();
        }

        long workNs() {
            return flow.workNs;
        }

        boolean done() {
            return over;
        }

        void ended(int code, Map<Event.Measure, Double> report) {
            if (!over) {
                over = true;
                leave(code > 0);
                Proxy.this.ended(this, code, report);
            }
        }

        private void leave(boolean whole) {
            if (connected) {
                pool(server).back(server, serverLife, whole, world.now());
            }
        }

        void timeOut() {
            if (!over) {
                over = true;
                leave(false);
                server.abandoned(this);
                Proxy.this.ended(this, Server.RESET, null);
            }
        }
    }

    /** Kept connections to one server. */
    private static final class Pool {
        int idle, life;
        long usedAt;

        /** A kept one, if there is one of the server's present life. */
        boolean take(int ofLife) {
            idle = life == ofLife ? idle : 0;
            life = ofLife;
            if (idle > 0) {
                idle--;
                return true;
            }
            return false;
        }

        void back(Server server, int ofLife, boolean whole, long now) {
            if (ofLife != server.life()) {
                return;
            }
            usedAt = now;
            if (whole && life == ofLife) {
                idle++;
            } else {
                server.closed(1, ofLife);
            }
        }
    }

    private static final class Avoid {
        int failures;
        long until;
    }

    private static final class Sum {
        long tries, dropped, tookNs;
        Map<Event.Measure, Double> report = Map.of();
    }

    private record Due(Frame.Orders orders, long atNs) {}

    /** The stream to one coordinator, and what that one ordered. */
    final class Voice implements Outlet {
        final Host host;
        final Set<String> masks = new HashSet<>();
        final Order.SetLevel[] levels = new Order.SetLevel[config.groups.size()];
        final ArrayDeque<Due> waiting = new ArrayDeque<>();
        long lastDue, lostAt = world.now();
        long life;
        Map<Server, Sum> sums = new LinkedHashMap<>();
        Map<Long, long[]> demand = new TreeMap<>();
        boolean applying, met, cut;
        /** Joined at the coordinator; heard of by the proxy; both end together but for the way. */
        boolean open, up;
        /** Counts dials: what belongs to an earlier stream is passed over. */
        int dial;

        private long pauseNs = Host.LEAST_PAUSE_NS;

        Voice(Host host) {
            this.host = host;
        }

        void dial() {
            if (cut) {
                later();
                return;
            }
            int mine = ++dial;
            world.after(2 * model.networkNs, () -> {
                if (mine == dial && !cut && host.accepts()) {
                    open = true;
                    host.join(
                            this,
                            new Frame.Hello(
                                    Frame.MAJOR, Frame.MINOR, Frame.Role.PROXY, number, zone, number + 1L, !met, 10));
                } else if (mine == dial) {
                    later();
                }
            });
        }

        private void later() {
            int mine = dial;
            world.after(pauseNs, () -> {
                if (mine == dial) {
                    dial();
                }
            });
            pauseNs = Math.min(Host.MOST_PAUSE_NS, 2 * pauseNs);
        }

        int number() {
            return number;
        }

        void cut(boolean on) {
            cut = on;
            if (on) {
                end();
            }
        }

        /** The stream breaks: the coordinator hears of it unless it is gone itself. */
        void end() {
            if (open) {
                open = false;
                host.left(this);
                int mine = ++dial;
                world.after(model.networkNs, () -> {
                    if (mine == dial) {
                        down();
                        later();
                    }
                });
            }
        }

        private void down() {
            if (up) {
                up = false;
                lostAt = world.now();
                waiting.clear();
                seen(new Seen.Stream(world.now(), number, host.number, false));
            }
        }

        @Override
        public boolean send(ByteBuffer bytes) {
            if (!open) {
                return false;
            }
            Frame frame = fleet.decode(bytes);
            int mine = dial;
            world.after(model.networkNs, () -> {
                if (mine == dial && open) {
                    heard(frame);
                }
            });
            return true;
        }

        @Override
        public void close(String why) {
            end();
        }

        private void heard(Frame frame) {
            if (frame instanceof Frame.Welcome w) {
                pauseNs = Host.LEAST_PAUSE_NS;
                welcomed(w.incarnation());
            } else if (frame instanceof Frame.Orders orders && up) {
                fleet.seen(new Seen.Arrived(
                        world.now(),
                        number,
                        host.number,
                        orders.turn(),
                        orders.orderedAtNs(),
                        orders.orders().size()));
                long way = (long) (transitNs * (0.5 + chance.nextDouble()));
                long at = Math.max(lastDue, world.now() + way) + orders.orders().size() * model.applyNsPerLine;
                lastDue = at;
                waiting.addLast(new Due(orders, at));
                applyNext();
            } else if (frame instanceof Frame.Bye) {
                end();
            }
        }

        private void welcomed(long incarnation) {
            if (incarnation != life) {
                // A killed coordinator's masks and levels are lost with it: its next life knows nothing of them.
                life = incarnation;
                List<Order> lifted = new ArrayList<>();
                masks.stream().sorted().forEach(server -> lifted.add(new Order.Mask(server, false)));
                masks.clear();
                Arrays.fill(levels, null);
                if (audited) {
                    fleet.seen(new Seen.Applied(world.now(), number, host.number, world.now(), lifted));
                }
            }
            up = met = true;
            waiting.clear();
            applying = false;
            seen(new Seen.Stream(world.now(), number, host.number, true));
            // Twice: what the coordinator wrote to the store just before its welcome may still be on its way there.
            fleet.store.ask(Proxy.this);
            world.after(READ_AGAIN_NS, () -> fleet.store.ask(Proxy.this));
        }

        private void applyNext() {
            if (applying || waiting.isEmpty()) {
                return;
            }
            applying = true;
            Due due = waiting.peekFirst();
            world.at(due.atNs, () -> {
                if (waiting.peekFirst() == due) {
                    applying = false;
                    waiting.pollFirst();
                    apply(due.orders);
                    applyNext();
                }
            });
        }

        private void apply(Frame.Orders orders) {
            Set<Integer> stale = fence(this, orders);
            for (Order order : orders.orders()) {
                if (order instanceof Order.SetLine o) {
                    if (owners[o.table()] != host.number) {
                        wrongVoice += stale.contains(o.table()) ? 0 : 1;
                    } else if (!stale.contains(o.table())) {
                        tables[o.table()] = tables[o.table()].with(o, fleet.server(o.server()), config.soleOwner);
                    }
                } else if (order instanceof Order.ClearTable o) {
                    if (owners[o.table()] == host.number && !stale.contains(o.table())) {
                        tables[o.table()] = Table.EMPTY;
                    }
                } else if (order instanceof Order.Mask o) {
                    if (o.out()) {
                        masks.add(o.server());
                    } else {
                        masks.remove(o.server());
                    }
                } else if (order instanceof Order.SetLevel o) {
                    int groups = o.groups() == 0 ? -1 : o.groups();
                    for (int group = 0; group < levels.length; group++) {
                        if ((groups & 1 << group) != 0) {
                            levels[group] = o;
                        }
                    }
                } else if (order instanceof Order.Mark o) {
                    toHost(new Frame.Applied(o.number(), world.now() - orders.orderedAtNs()));
                }
            }
            if (audited) {
                fleet.seen(new Seen.Applied(
                        world.now(),
                        number,
                        host.number,
                        orders.orderedAtNs(),
                        stale.isEmpty()
                                ? orders.orders()
                                : orders.orders().stream()
                                        .filter(o -> !(o instanceof Order.SetLine l && stale.contains(l.table())
                                                || o instanceof Order.ClearTable c && stale.contains(c.table())))
                                        .toList()));
            }
        }

        void toHost(Frame frame) {
            int mine = dial;
            world.after(model.networkNs, () -> {
                if (mine == dial && open) {
                    host.fromProxy(this, frame);
                }
            });
        }

        private void seen(Seen seen) {
            fleet.seen(seen);
        }
    }

    /** As the stand-in proxies do: within the second that WIRE gives a proxy to read the store. */
    private static final long READ_AGAIN_NS = 500_000_000L;

    private static final long LOOK_AGAIN_NS = 20_000_000L;
    /** With less left to its expiry a flow is not tried again. */
    private static final long TOO_LATE_NS = 50_000_000L;

    private final Fleet fleet;
    private final World world;
    private final Model model;
    private final CoordinatorConfig config;
    final int number, zone;
    private final boolean audited;
    private final long transitNs, sumsLateNs;
    private final UniformRandomProvider chance;
    private final Voice[] voices;
    private final Table[] tables;
    private final int[] owners;
    private final long[] terms;
    private final Map<Server, Avoid> avoided = new HashMap<>();
    private final Map<Server, Pool> pools = new LinkedHashMap<>();
    /** Tries in flight of its own, by server; for picks of two. */
    private final Map<Server, int[]> inFlight = new HashMap<>();

    private final Map<Integer, Integer> turns = new HashMap<>();
    private long nextFlow;
    boolean asking;
    long storeLostAt;
    long retried, wrongVoice, staleSeen;

    Proxy(Fleet fleet, int number, boolean audited) {
        this.fleet = fleet;
        this.world = fleet.world;
        this.model = fleet.model;
        this.config = fleet.judged;
        this.number = number;
        this.zone = number % fleet.script.zones;
        this.audited = audited;
        this.transitNs = fleet.script.transitNs;
        this.sumsLateNs = fleet.script.sumsLateNs;
        this.chance = world.chance("proxy", number);
        this.nextFlow = (long) number << 40;
        this.storeLostAt = world.now();
        int slices = fleet.script.slices;
        tables = new Table[slices];
        Arrays.fill(tables, Table.EMPTY);
        owners = new int[slices];
        Arrays.fill(owners, -1);
        terms = new long[slices];
        voices = new Voice[fleet.script.coordinators];
    }

    void start(List<Host> hosts) {
        for (Host host : hosts) {
            voices[host.number] = new Voice(host);
        }
        for (Voice voice : voices) {
            voice.dial();
        }
        fleet.store.ask(this);
        // Rounds begin anywhere, as proxies are not started together.
        world.after((long) (chance.nextDouble() * config.roundNs), this::report);
    }

    Voice voice(int coordinator) {
        return voices[coordinator];
    }

    boolean ready() {
        for (Table table : tables) {
            if (table.size() == 0) {
                return false;
            }
        }
        for (Voice voice : voices) {
            if (!voice.up) {
                return false;
            }
        }
        return true;
    }

    private Pool pool(Server server) {
        return pools.computeIfAbsent(server, s -> new Pool());
    }

    // ---- The store.

    /** The whole store as it stands; the arrays are the store's copy for this answer. */
    void read(int[] ownersThen, long[] termsThen, Table[] tablesThen) {
        asking = false;
        for (int slice = 0; slice < tables.length; slice++) {
            read(slice, ownersThen[slice], termsThen[slice], tablesThen[slice]);
        }
    }

    void read(int slice, int owner, long term, Table table) {
        if (term >= terms[slice]) {
            terms[slice] = term;
            if (owners[slice] != owner) {
                owners[slice] = owner;
                if (audited) {
                    fleet.seen(new Seen.OwnerRead(world.now(), number, slice, owner));
                }
            }
        }
        if (tables[slice] != table) {
            tables[slice] = table;
            if (audited) {
                List<Order.SetLine> lines = new ArrayList<>();
                for (int i = 0; i < table.size(); i++) {
                    lines.add(new Order.SetLine(slice, table.servers[i].id(), table.weights[i]));
                }
                fleet.seen(new Seen.TableRead(world.now(), number, slice, lines));
            }
        }
    }

    /** The slices for which these orders are of an older term than one that was seen; a newer one is taken up. */
    private Set<Integer> fence(Voice voice, Frame.Orders orders) {
        Set<Integer> stale = Set.of();
        for (Frame.Term term : orders.terms()) {
            int slice = term.slice();
            if (term.term() < terms[slice]) {
                stale = stale.isEmpty() ? new HashSet<>() : stale;
                stale.add(slice);
                staleSeen++;
                voice.toHost(new Frame.Stale(slice, terms[slice]));
                continue;
            }
            if (term.term() > terms[slice]) {
                terms[slice] = term.term();
                owners[slice] = voice.host.number;
                if (audited) {
                    fleet.seen(new Seen.OwnerRead(world.now(), number, slice, voice.host.number));
                }
            }
            if (audited) {
                fleet.seen(new Seen.Took(world.now(), number, voice.host.number, slice, term.term()));
            }
        }
        return stale;
    }

    // ---- Flows.

    /** A flow came from a client; the answer's code goes back by it. */
    Flow request(int slice, int group, int key, long workNs, long expiresAt, IntConsumer answer) {
        Flow flow = new Flow(nextFlow++, slice, group, key, workNs, world.now(), expiresAt, answer);
        Voice voice = voice(flow);
        if (voice != null) {
            voice.demand.computeIfAbsent((long) slice << 8 | group, k -> new long[2])[0]++;
        }
        Order.SetLevel level = voice == null ? null : voice.levels[group];
        if (level == null || level.level() >= 1 || chance.nextDouble() < level.level()) {
            send(flow);
        } else {
            flow.answer.accept(Server.TURNED_AWAY);
        }
        return flow;
    }

    private Voice voice(Flow flow) {
        int owner = owners[flow.slice];
        return owner < 0 ? null : voices[owner];
    }

    private Order.Retry retry(Flow flow) {
        Voice voice = voice(flow);
        Order.SetLevel level = voice == null ? null : voice.levels[flow.group];
        return level == null ? Order.Retry.NEVER : level.retry();
    }

    private static boolean mayFollow(Flow flow, Order.Retry retry) {
        return (retry == Order.Retry.ONCE || retry == Order.Retry.TWICE)
                && flow.attempt < (retry == Order.Retry.TWICE ? 3 : 2);
    }

    private void send(Flow flow) {
        long now = world.now();
        Voice voice = voice(flow);
        Server server = pick(flow, voice, now);
        if (server == null) {
            if (flow.attempt == 0 && now - flow.cameAt < model.holdNs) {
                world.after(LOOK_AGAIN_NS, () -> send(flow));
            } else {
                flow.answer.accept(Server.TURNED_AWAY);
            }
            return;
        }
        flow.tried.add(server);
        Attempt attempt = new Attempt(flow, server, flow.attempt, now);
        fleet.seen(new Seen.Sent(
                now,
                number,
                server.id(),
                flow.slice,
                flow.group,
                flow.id,
                flow.attempt,
                flow.workNs,
                voice == null ? -1 : voice.host.number));
        flow.attempt++;
        flow.current = attempt;
        // The client's own timer ends the last try with the flow; one that may be followed ends sooner.
        long soon = (long) (model.tryBudgets * config.groups.get(flow.group).budgetNs());
        if (soon < flow.expiresAt - now && mayFollow(flow, retry(flow))) {
            world.after(soon, attempt::timeOut);
        }
        if (model.pick == Model.Pick.TWO_CHOICES) {
            inFlight.computeIfAbsent(server, s -> new int[1])[0]++;
        }
        if (pool(server).take(server.life())) {
            attempt.connected = true;
            world.after(model.networkNs, () -> arrives(attempt));
        } else {
            attempt.opened = true;
            world.after(model.networkNs, () -> opens(attempt));
        }
    }

    private void opens(Attempt attempt) {
        if (attempt.over) {
            return;
        }
        if (attempt.serverLife == attempt.server.life() && attempt.server.accept()) {
            attempt.connected = true;
            // The answer to the handshake, then the request.
            world.after(2 * model.networkNs, () -> arrives(attempt));
        } else {
            world.after(model.networkNs, () -> {
                if (!attempt.over) {
                    attempt.over = true;
                    ended(attempt, Server.NOT_CONNECTED, null);
                }
            });
        }
    }

    private void arrives(Attempt attempt) {
        if (attempt.serverLife != attempt.server.life()) {
            world.after(model.networkNs, () -> attempt.ended(Server.RESET, null));
        } else if (!attempt.over || model.overdue == Model.Overdue.GOES_ON) {
            attempt.server.request(attempt);
        }
    }

    /** To a single owner only while its voice is heard and the store could tell of another, and a proxy lease longer. */
    private boolean mayWrite(Flow flow, Voice voice, long now) {
        return config.groups.get(flow.group).repeats() == CoordinatorConfig.Repeats.RETRIABLE
                || voice != null
                        && (voice.up || now - voice.lostAt < config.proxyLeaseNs)
                        && (!fleet.store.away() || now - storeLostAt < config.proxyLeaseNs);
    }

    private Server pick(Flow flow, Voice voice, long now) {
        if (config.soleOwner && !mayWrite(flow, voice, now)) {
            return null;
        }
        Table table = tables[flow.slice];
        int size = table.size();
        if (size == 1) {
            Server only = table.servers[0];
            return flow.tried.contains(only) || voice != null && voice.masks.contains(only.id()) ? null : only;
        }
        // With nothing else to pick, one that failed lately is better than none.
        Server[] from = new Server[size];
        double[] weights = new double[size];
        int count = 0;
        for (int pass = 0; pass < 2 && count == 0; pass++) {
            for (int i = 0; i < size; i++) {
                Server server = table.servers[i];
                Avoid avoid = avoided.get(server);
                if (table.weights[i] > 0
                        && (pass == 1 || avoid == null || avoid.until <= now)
                        && !flow.tried.contains(server)
                        && (voice == null || !voice.masks.contains(server.id()))) {
                    from[count] = server;
                    weights[count++] = table.weights[i];
                }
            }
        }
        if (count <= 1) {
            return count == 0 ? null : from[0];
        }
        return switch (model.pick) {
            case WEIGHTED -> from[draw(weights, count)];
            case ROTATE -> from[turns.merge(flow.slice, 1, Integer::sum) % count];
            case TWO_CHOICES -> {
                Server one = from[draw(weights, count)];
                Server other = from[draw(weights, count)];
                yield flying(other) < flying(one) ? other : one;
            }
        };
    }

    private int flying(Server server) {
        int[] count = inFlight.get(server);
        return count == null ? 0 : count[0];
    }

    private int draw(double[] weights, int count) {
        double sum = 0;
        for (int i = 0; i < count; i++) {
            sum += weights[i];
        }
        double at = chance.nextDouble() * sum;
        for (int i = 0; i < count; i++) {
            at -= weights[i];
            if (at < 0) {
                return i;
            }
        }
        return count - 1;
    }

    private void ended(Attempt attempt, int code, Map<Event.Measure, Double> report) {
        Flow flow = attempt.flow;
        long now = world.now();
        boolean good = code == Server.OK;
        boolean proof = code == Server.TURNED_AWAY || code == Server.NOT_CONNECTED;
        fleet.seen(new Seen.Ended(now, number, flow.id, attempt.number, good, proof));
        if (model.pick == Model.Pick.TWO_CHOICES) {
            inFlight.get(attempt.server)[0]--;
        }
        note(attempt, now, good, report);
        Order.Retry retry = retry(flow);
        boolean again = !good
                && now < flow.expiresAt - TOO_LATE_NS
                && switch (retry) {
                    case NEVER -> false;
                    case ON_PROOF -> proof && flow.attempt < 2;
                    case ONCE, TWICE -> mayFollow(flow, retry);
                }
                && tables[flow.slice].size() > 1;
        if (good) {
            flow.answer.accept(Server.OK);
        } else if (again) {
            retried++;
            send(flow);
        } else {
            flow.answer.accept(Server.ERROR);
        }
    }

    private void note(Attempt attempt, long now, boolean good, Map<Event.Measure, Double> report) {
        Voice voice = voice(attempt.flow);
        if (voice != null) {
            Sum sum = voice.sums.computeIfAbsent(attempt.server, s -> new Sum());
            sum.tries++;
            if (good) {
                sum.tookNs += now - attempt.sentAt;
            } else {
                sum.dropped++;
                voice.demand
                        .computeIfAbsent((long) attempt.flow.slice << 8 | attempt.flow.group, k -> new long[2])[1]++;
            }
            if (report != null) {
                sum.report = report;
            }
        }
        if (model.failsToAvoid > 0) {
            Avoid avoid = avoided.get(attempt.server);
            if (good) {
                if (avoid != null) {
                    avoid.failures = 0;
                }
                return;
            }
            if (avoid == null) {
                avoid = new Avoid();
                avoided.put(attempt.server, avoid);
            }
            if (++avoid.failures >= model.failsToAvoid) {
                avoid.failures = 0;
                avoid.until = now + model.avoidNs;
            }
        }
    }

    // ---- Sums.

    private void report() {
        long round = world.now() / config.roundNs;
        for (Voice voice : voices) {
            List<Frame.Met> met = new ArrayList<>(voice.sums.size());
            voice.sums.forEach((server, sum) ->
                    met.add(new Frame.Met(server.id(), sum.tries, sum.dropped, sum.tookNs, sum.report)));
            met.sort((a, b) -> a.server().compareTo(b.server()));
            List<Frame.Came> came = new ArrayList<>(voice.demand.size());
            voice.demand.forEach((key, counts) -> {
                if (counts[0] > 0) {
                    came.add(new Frame.Came(
                            (int) (key >> 8), (int) (key & 0xff), counts[0], Math.min(counts[0], counts[1])));
                }
            });
            voice.sums = new LinkedHashMap<>();
            voice.demand = new TreeMap<>();
            if (voice.up) {
                Frame sums = new Frame.Sums(zone, round, config.roundNs, met);
                Frame demand = new Frame.Demand(round, config.roundNs, came);
                world.after(sumsLateNs, () -> {
                    if (voice.up) {
                        voice.toHost(sums);
                        voice.toHost(demand);
                    }
                });
            }
        }
        pools.forEach((server, pool) -> {
            if (pool.idle > 0 && world.now() - pool.usedAt > model.keepNs) {
                server.closed(pool.idle, pool.life);
                pool.idle = 0;
            }
        });
        world.after(config.roundNs, this::report);
    }
}
