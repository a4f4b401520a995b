package puffinbarrow.standin;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.concurrent.TimeUnit;
import org.apache.commons.rng.UniformRandomProvider;
import puffinbarrow.audit.Recorder;
import puffinbarrow.audit.Seen;
import puffinbarrow.config.CoordinatorConfig;
import puffinbarrow.control.Event;
import puffinbarrow.control.Order;
import puffinbarrow.coordinator.Dialer;
import puffinbarrow.coordinator.Orca;
import puffinbarrow.coordinator.Outlet;
import puffinbarrow.net.HttpParser;
import puffinbarrow.net.Link;
import puffinbarrow.net.Net;
import puffinbarrow.proto.Frame;
import puffinbarrow.proto.FrameWriter;

/**
 * A stand-in proxy: does as its tables say and no more. It picks a line at random by weight, keeps away for a while
 * from a server at which its own tries failed in a row, tries again only as ordered, holds a flow without a server for
 * a moment and then blocks it with a word when to come back. Orders take effect late and in order, each after the
 * time its lines take. All state is guarded by this.
 */
public final class PlainProxy implements AutoCloseable {
    /** How a proxy of the day behaves. */
    public record Habits(
            long transitNs,
            long applyNsPerLine,
            long sumsLateNs,
            int failsToAvoid,
            long avoidNs,
            long holdNs,
            double tryBudgets) {}

    /** Far above the way of a write to the store, within the second that WIRE gives a proxy to read it. */
    private static final long READ_AGAIN_MS = 500;

    private record Due(Frame.Orders orders, long atNs) {}

    private static final class Avoid {
        int failures;
        long until;
    }

    private static final class Sum {
        long tries, dropped, tookNs;
        Map<Event.Measure, Double> report = Map.of();
    }

    private final class Voice {
        final int number;
        final Dialer dialer;
        final Set<String> masks = new TreeSet<>();
        final Map<Integer, Order.SetLevel> levels = new HashMap<>();
        final ArrayDeque<Due> waiting = new ArrayDeque<>();
        long lastDue, lostAt = System.nanoTime();
        long life;
        TreeMap<String, Sum> sums = new TreeMap<>();
        Map<Long, long[]> demand = new TreeMap<>();
        Outlet outlet;
        boolean applying;
        /** Whether a stream to this coordinator stood since the proxy's start. */
        volatile boolean met;

        Voice(int number, InetSocketAddress address) {
            this.number = number;
            this.dialer = new Dialer(
                    net,
                    "coordinator " + number,
                    address,
                    () -> hello(Frame.Role.PROXY, !met),
                    1 << 20,
                    1 << 22,
                    frame -> heard(this, frame),
                    up -> stream(this, up));
        }
    }

    private final Net net;
    private final int number;
    private final int zone;
    private final CoordinatorConfig config;
    private final Habits habits;
    private final Recorder recorder;
    private final UniformRandomProvider chance;
    private final Caller caller;
    private final Net.Listener listener;
    private final long incarnation;
    private final Map<Integer, Voice> voices = new TreeMap<>();
    private final Map<Integer, TreeMap<String, Double>> tables = new HashMap<>();
    private final Map<Integer, Integer> owners = new HashMap<>();
    /** The latest term seen of each slice, from the store or with orders; older ones are refused. */
    private final Map<Integer, Long> terms = new HashMap<>();

    private final Map<String, Avoid> avoided = new HashMap<>();
    private final Map<String, InetSocketAddress> addresses = new HashMap<>();
    private Dialer store;
    private Outlet storeOutlet;
    private long storeLostAt = System.nanoTime();
    private long round;
    private long nextFlow;
    private volatile boolean deaf;
    private volatile boolean closed;
    private long blocked, retried, wrongVoice;

    public PlainProxy(
            Net net,
            int number,
            int zone,
            CoordinatorConfig config,
            Habits habits,
            Recorder recorder,
            UniformRandomProvider chance)
            throws IOException {
        this.net = net;
        this.number = number;
        this.zone = zone;
        this.config = config;
        this.habits = habits;
        this.recorder = recorder;
        this.chance = chance;
        this.caller = new Caller(net);
        this.incarnation = chance.nextLong();
        // Flow ids are unique over the fleet: the proxy's number above its own count.
        this.nextFlow = (long) number << 40;
        this.listener = net.listen(new InetSocketAddress("127.0.0.1", 0), 1 << 20, channel -> new Stream());
    }

    /** Dials store and coordinators and reports its sums from now on. */
    public void start(InetSocketAddress storeAt, Map<Integer, InetSocketAddress> coordinators) {
        store = new Dialer(
                        net,
                        "store",
                        storeAt,
                        () -> hello(Frame.Role.PROXY_AT_STORE, true),
                        1 << 20,
                        1 << 22,
                        this::fromStore,
                        this::storeUp)
                .start();
        synchronized (this) {
            coordinators.forEach((n, address) -> voices.put(n, new Voice(n, address)));
        }
        voices.values().forEach(v -> v.dialer.start());
        // Rounds begin anywhere, as proxies are not started together.
        net.timer().schedule(this::report, (long) (chance.nextDouble() * config.roundNs), TimeUnit.NANOSECONDS);
    }

    private Frame.Hello hello(Frame.Role role, boolean fresh) {
        return new Frame.Hello(Frame.MAJOR, Frame.MINOR, role, number, zone, incarnation, fresh, 10);
    }

    public InetSocketAddress address() {
        return listener.address();
    }

    /** Cuts the streams to all coordinators, or heals them. */
    public void cut(boolean on) {
        voices.values().forEach(v -> v.dialer.cut(on));
    }

    /** Cuts or heals the stream to one coordinator. */
    public void cut(int coordinator, boolean on) {
        voices.get(coordinator).dialer.cut(on);
    }

    /** While deaf it takes orders in but neither applies nor answers them. */
    public void deaf(boolean on) {
        deaf = on;
        if (!on) {
            voices.values().forEach(this::applyNext);
        }
    }

    public synchronized long blocked() {
        return blocked;
    }

    public synchronized long retried() {
        return retried;
    }

    /** Lines that came from a coordinator that was not in charge of their slice. */
    public synchronized long wrongVoice() {
        return wrongVoice;
    }

    @Override
    public void close() {
        closed = true;
        listener.close();
        voices.values().forEach(v -> v.dialer.close());
        if (store != null) {
            store.close();
        }
    }

    // ---- Orders.

    private void stream(Voice voice, Outlet up) {
        synchronized (this) {
            if (up != null && voice.dialer.incarnation() != voice.life) {
                // A killed coordinator's masks and levels are lost with it: its next life knows nothing of them.
                voice.life = voice.dialer.incarnation();
                List<Order> lifted = new ArrayList<>();
                voice.masks.forEach(server -> lifted.add(new Order.Mask(server, false)));
                voice.masks.clear();
                voice.levels.clear();
                recorder.add(new Seen.Applied(System.nanoTime(), number, voice.number, System.nanoTime(), lifted));
            }
            voice.lostAt = up == null && voice.outlet != null ? System.nanoTime() : voice.lostAt;
            voice.outlet = up;
            voice.met |= up != null;
            // What travelled when the stream broke is lost; what was applied stays.
            voice.waiting.clear();
            recorder.add(new Seen.Stream(System.nanoTime(), number, voice.number, up != null));
        }
        if (up != null) {
            // Twice: what the coordinator wrote to the store just before its welcome may still be on its way there.
            ask(-1);
            net.schedule(READ_AGAIN_MS, () -> ask(-1));
        }
    }

    private void heard(Voice voice, Frame frame) {
        if (frame instanceof Frame.Orders orders) {
            recorder.add(new Seen.Arrived(
                    System.nanoTime(),
                    number,
                    voice.number,
                    orders.turn(),
                    orders.orderedAtNs(),
                    orders.orders().size()));
            synchronized (this) {
                // Half to one and a half of the mean way; in order; the standstill for its lines comes on top.
                long way = (long) (habits.transitNs * (0.5 + chance.nextDouble()));
                long at = Math.max(voice.lastDue, System.nanoTime() + way)
                        + orders.orders().size() * habits.applyNsPerLine;
                voice.lastDue = at;
                voice.waiting.addLast(new Due(orders, at));
            }
            applyNext(voice);
        }
    }

    /** Orders take effect one message after the other, each after its way and the time of its lines. */
    private void applyNext(Voice voice) {
        Due due;
        synchronized (this) {
            if (voice.applying || deaf || voice.waiting.isEmpty()) {
                return;
            }
            voice.applying = true;
            due = voice.waiting.peekFirst();
        }
        net.timer()
                .schedule(
                        () -> {
                            apply(voice, due);
                            applyNext(voice);
                        },
                        Math.max(0, due.atNs - System.nanoTime()),
                        TimeUnit.NANOSECONDS);
    }

    private void apply(Voice voice, Due due) {
        Frame.Orders orders = due.orders;
        final Outlet to;
        List<Order> taken = new ArrayList<>();
        List<Frame.Stale> late = new ArrayList<>();
        List<Integer> marks = new ArrayList<>();
        synchronized (this) {
            voice.applying = false;
            if (deaf || voice.waiting.peekFirst() != due) {
                return;
            }
            voice.waiting.pollFirst();
            Set<Integer> stale = fence(voice, orders, late);
            for (Order order : orders.orders()) {
                if (order instanceof Order.SetLine o && stale.contains(o.table())
                        || order instanceof Order.ClearTable c && stale.contains(c.table())) {
                    continue;
                }
                taken.add(order);
                if (order instanceof Order.SetLine o) {
                    if (owners.getOrDefault(o.table(), -1) != voice.number) {
                        wrongVoice++;
                        continue;
                    }
                    TreeMap<String, Double> table = tables.computeIfAbsent(o.table(), t -> new TreeMap<>());
                    if (config.soleOwner && o.weight() > 0) {
                        table.clear();
                    }
                    table.compute(o.server(), (s, was) -> o.weight() > 0 ? o.weight() : null);
                } else if (order instanceof Order.ClearTable o) {
                    if (owners.getOrDefault(o.table(), -1) == voice.number) {
                        tables.remove(o.table());
                    }
                } else if (order instanceof Order.Mask o) {
                    boolean changed = o.out() ? voice.masks.add(o.server()) : voice.masks.remove(o.server());
                } else if (order instanceof Order.SetLevel o) {
                    int groups = o.groups() == 0 ? -1 : o.groups();
                    for (int group = 0; group < config.groups.size(); group++) {
                        if ((groups & 1 << group) != 0) {
                            voice.levels.put(group, o);
                        }
                    }
                } else if (order instanceof Order.Mark o) {
                    marks.add(o.number());
                }
            }
            recorder.add(new Seen.Applied(System.nanoTime(), number, voice.number, orders.orderedAtNs(), taken));
            to = voice.outlet;
        }
        if (to != null) {
            late.forEach(word -> to.send(FrameWriter.one(word)));
        }
        for (int mark : to == null ? List.<Integer>of() : marks) {
            to.send(FrameWriter.one(new Frame.Applied(mark, System.nanoTime() - orders.orderedAtNs())));
        }
    }

    /** The slices for which these orders are of an older term than one that was seen; a newer one is taken up. */
    private Set<Integer> fence(Voice voice, Frame.Orders orders, List<Frame.Stale> late) {
        Set<Integer> stale = new HashSet<>();
        for (Frame.Term term : orders.terms()) {
            long known = terms.getOrDefault(term.slice(), 0L);
            if (term.term() < known) {
                stale.add(term.slice());
                late.add(new Frame.Stale(term.slice(), known));
                continue;
            }
            if (term.term() > known) {
                terms.put(term.slice(), term.term());
                owners.put(term.slice(), voice.number);
                recorder.add(new Seen.OwnerRead(System.nanoTime(), number, term.slice(), voice.number));
            }
            recorder.add(new Seen.Took(System.nanoTime(), number, voice.number, term.slice(), term.term()));
        }
        return stale;
    }

    // ---- The store.

    private void storeUp(Outlet up) {
        synchronized (this) {
            storeLostAt = up == null && storeOutlet != null ? System.nanoTime() : storeLostAt;
            storeOutlet = up;
        }
        ask(-1);
    }

    private void ask(int slice) {
        Outlet to;
        synchronized (this) {
            to = storeOutlet;
        }
        if (to != null) {
            to.send(FrameWriter.one(new Frame.ReadSlice(slice)));
        }
    }

    private void fromStore(Frame frame) {
        if (frame instanceof Frame.Owner f) {
            synchronized (this) {
                if (f.term() < terms.getOrDefault(f.slice(), 0L)) {
                    // An order of a later voice came before the store's word of an earlier one.
                    return;
                }
                terms.put(f.slice(), f.term());
                owners.put(f.slice(), f.coordinator());
                recorder.add(new Seen.OwnerRead(System.nanoTime(), number, f.slice(), f.coordinator()));
            }
        } else if (frame instanceof Frame.Stored f) {
            synchronized (this) {
                TreeMap<String, Double> table = new TreeMap<>();
                List<Order.SetLine> lines = new ArrayList<>();
                for (Frame.Line line : f.lines()) {
                    table.put(line.server(), line.weight());
                    lines.add(new Order.SetLine(f.slice(), line.server(), line.weight()));
                }
                tables.put(f.slice(), table);
                recorder.add(new Seen.TableRead(System.nanoTime(), number, f.slice(), lines));
            }
        }
    }

    // ---- Flows.

    private final class Stream implements Link.Receiver {
        private final HttpParser parser = new HttpParser(true, 64 * 1024, this::request);
        private Link link;

        @Override
        public void received(Link from, ByteBuffer bytes) {
            link = from;
            parser.feed(bytes);
        }

        private void request(HttpParser.Message request) {
            Flow flow = new Flow(request, link);
            flow.begin();
        }

        @Override
        public void ended(Link from, Link.Cause cause, String detail) {}
    }

    private final class Flow {
        final HttpParser.Message request;
        final Link client;
        final long id;
        final int slice, group;
        final long workNs, expiresAt;
        final Set<String> tried = new HashSet<>();
        final long cameAt = System.nanoTime();
        int attempt;

        Flow(HttpParser.Message request, Link client) {
            this.request = request;
            this.client = client;
            this.slice = Integer.parseInt(request.header("x-slice"));
            this.group = Integer.parseInt(request.header("x-group"));
            this.workNs = Long.parseLong(request.header("x-work-ns"));
            this.expiresAt = cameAt + Long.parseLong(request.header("x-expiry-ns"));
            synchronized (PlainProxy.this) {
                this.id = nextFlow++;
            }
        }

        void begin() {
            boolean let;
            synchronized (PlainProxy.this) {
                Voice voice = voice();
                if (voice != null) {
                    voice.demand.computeIfAbsent((long) slice << 8 | group, k -> new long[2])[0]++;
                }
                Order.SetLevel level = voice == null ? null : voice.levels.get(group);
                let = level == null || level.level() >= 1 || chance.nextDouble() < level.level();
            }
            if (let) {
                send();
            } else {
                block();
            }
        }

        private Voice voice() {
            return voices.get(owners.getOrDefault(slice, -1));
        }

        private void send() {
            String server;
            int voiceNumber;
            long now = System.nanoTime();
            synchronized (PlainProxy.this) {
                Voice voice = voice();
                voiceNumber = voice == null ? -1 : voice.number;
                server = pick(voice, now);
                if (server != null) {
                    tried.add(server);
                    recorder.add(new Seen.Sent(now, number, server, slice, group, id, attempt, workNs, voiceNumber));
                }
            }
            if (server == null) {
                if (attempt == 0 && now - cameAt < habits.holdNs) {
                    net.schedule(20, this::send);
                } else {
                    block();
                }
                return;
            }
            attempt++;
            int mine = attempt;
            long timeout = expiresAt - now;
            Order.Retry retry = retry();
            boolean follow = (retry == Order.Retry.ONCE || retry == Order.Retry.TWICE) && mayFollow(retry);
            if (follow) {
                timeout = Math.min(timeout, (long)
                        (habits.tryBudgets * config.groups.get(group).budgetNs()));
            }
            String text = "POST /flow HTTP/1.1\r\nhost: " + server + "\r\nx-flow: " + id + "\r\nx-slice: " + slice
                    + "\r\nx-group: " + group + "\r\nx-key: " + request.header("x-key") + "\r\nx-work-ns: " + workNs
                    + "\r\ncontent-length: 0\r\n\r\n";
            caller.call(
                    address(server), text, Math.max(1_000_000, timeout), result -> ended(server, mine, now, result));
        }

        private Order.Retry retry() {
            synchronized (PlainProxy.this) {
                Voice voice = voice();
                Order.SetLevel level = voice == null ? null : voice.levels.get(group);
                return level == null ? Order.Retry.NEVER : level.retry();
            }
        }

        private boolean mayFollow(Order.Retry retry) {
            return attempt < (retry == Order.Retry.TWICE ? 3 : 2);
        }

        /** To a single owner only while its voice is heard and the store could tell of another, and a proxy lease longer. */
        private boolean mayWrite(Voice voice, long now) {
            return config.groups.get(group).repeats() == CoordinatorConfig.Repeats.RETRIABLE
                    || voice != null
                            && (voice.outlet != null || now - voice.lostAt < config.proxyLeaseNs)
                            && (storeOutlet != null || now - storeLostAt < config.proxyLeaseNs);
        }

        private String pick(Voice voice, long now) {
            if (config.soleOwner && !mayWrite(voice, now)) {
                return null;
            }
            TreeMap<String, Double> table = tables.getOrDefault(slice, new TreeMap<>());
            Set<String> masks = voice == null ? Set.of() : voice.masks;
            TreeMap<String, Double> open = new TreeMap<>();
            TreeMap<String, Double> shunned = new TreeMap<>();
            table.forEach((server, weight) -> {
                if (weight > 0 && !masks.contains(server) && !tried.contains(server)) {
                    Avoid avoid = avoided.get(server);
                    (avoid != null && avoid.until > now ? shunned : open).put(server, weight);
                }
            });
            // With nothing else to pick, one that failed lately is better than none.
            TreeMap<String, Double> from = open.isEmpty() ? shunned : open;
            double sum = from.values().stream().mapToDouble(Double::doubleValue).sum();
            double at = chance.nextDouble() * sum;
            String last = null;
            for (Map.Entry<String, Double> line : from.entrySet()) {
                last = line.getKey();
                at -= line.getValue();
                if (at < 0) {
                    return last;
                }
            }
            return last;
        }

        private void ended(String server, int mine, long sentAt, Caller.Result result) {
            long now = System.nanoTime();
            boolean again;
            synchronized (PlainProxy.this) {
                recorder.add(new Seen.Ended(now, number, id, mine - 1, result.good(), result.proof()));
                note(server, sentAt, now, result);
                Order.Retry retry = retry();
                again = !result.good()
                        && now < expiresAt - 50_000_000L
                        && switch (retry) {
                            case NEVER -> false;
                            case ON_PROOF -> result.proof() && attempt < 2;
                            case ONCE, TWICE -> mayFollow(retry);
                        }
                        && tables.getOrDefault(slice, new TreeMap<>()).size() > 1;
                retried += again ? 1 : 0;
            }
            if (result.good()) {
                answer(200, "OK", "");
            } else if (again) {
                send();
            } else {
                answer(502, "Bad Gateway", result.proof() ? "x-proof: 1\r\n" : "");
            }
        }

        private void note(String server, long sentAt, long now, Caller.Result result) {
            Voice voice = voice();
            if (voice != null) {
                Sum sum = voice.sums.computeIfAbsent(server, s -> new Sum());
                sum.tries++;
                if (result.good()) {
                    sum.tookNs += now - sentAt;
                } else {
                    sum.dropped++;
                    voice.demand.computeIfAbsent((long) slice << 8 | group, k -> new long[2])[1]++;
                }
                if (result.answer() != null
                        && !result.answer().header(Orca.HEADER).isEmpty()) {
                    sum.report = Orca.read(result.answer().header(Orca.HEADER));
                }
            }
            Avoid avoid = avoided.computeIfAbsent(server, s -> new Avoid());
            avoid.failures = result.good() ? 0 : avoid.failures + 1;
            if (habits.failsToAvoid > 0 && avoid.failures >= habits.failsToAvoid) {
                avoid.failures = 0;
                avoid.until = now + habits.avoidNs;
            }
        }

        /** Told at once, and when to come back: never held to its expiry. */
        private void block() {
            synchronized (PlainProxy.this) {
                blocked++;
            }
            answer(503, "Service Unavailable", "retry-after: 1\r\n");
        }

        private void answer(int code, String reason, String headers) {
            client.send(
                    ByteBuffer.wrap(("HTTP/1.1 " + code + " " + reason + "\r\n" + headers + "content-length: 0\r\n\r\n")
                            .getBytes(StandardCharsets.US_ASCII)));
        }
    }

    private InetSocketAddress address(String server) {
        synchronized (addresses) {
            return addresses.computeIfAbsent(server, Net::address);
        }
    }

    // ---- Sums.

    private void report() {
        if (closed) {
            return;
        }
        List<Runnable> late = new ArrayList<>();
        synchronized (this) {
            // Rounds are numbered by the clock, so that proxies mean the same time by the same number.
            round = System.nanoTime() / config.roundNs;
            for (Voice voice : voices.values()) {
                List<Frame.Met> met = new ArrayList<>();
                voice.sums.forEach((server, sum) ->
                        met.add(new Frame.Met(server, sum.tries, sum.dropped, sum.tookNs, sum.report)));
                List<Frame.Came> came = new ArrayList<>();
                voice.demand.forEach((key, counts) -> {
                    if (counts[0] > 0) {
                        came.add(new Frame.Came(
                                (int) (key >> 8), (int) (key & 0xff), counts[0], Math.min(counts[0], counts[1])));
                    }
                });
                voice.sums = new TreeMap<>();
                voice.demand = new TreeMap<>();
                Outlet to = voice.outlet;
                if (to != null && !closed) {
                    Frame sums = new Frame.Sums(zone, round, config.roundNs, met);
                    Frame demand = new Frame.Demand(round, config.roundNs, came);
                    late.add(() -> {
                        to.send(FrameWriter.one(sums));
                        to.send(FrameWriter.one(demand));
                    });
                }
            }
        }
        late.forEach(send -> net.schedule(habits.sumsLateNs / 1_000_000, send));
        net.timer().schedule(this::report, config.roundNs, TimeUnit.NANOSECONDS);
    }

    /** For tests: what it would pick from, for one slice, by the masks of its coordinator. */
    public synchronized List<String> open(int slice) {
        Voice voice = voices.get(owners.getOrDefault(slice, -1));
        return tables.getOrDefault(slice, new TreeMap<>()).keySet().stream()
                .filter(s -> voice == null || !voice.masks.contains(s))
                .toList();
    }
}
