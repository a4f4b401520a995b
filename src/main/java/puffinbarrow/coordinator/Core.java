package puffinbarrow.coordinator;

import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import puffinbarrow.config.CoordinatorConfig;
import puffinbarrow.control.Controller;
import puffinbarrow.control.Event;
import puffinbarrow.control.Order;
import puffinbarrow.lease.Pause;
import puffinbarrow.proto.Frame;
import puffinbarrow.proto.FrameWriter;

/**
 * The one place where what came meets the decisions. {@link #offer} takes inputs from any thread; all else runs on
 * the decision thread, which calls {@link #turn} with the time and sleeps until the time it answers. The core keeps
 * no policy: it hands events to the Controller, carries its orders out in their order, and holds the channel's limits.
 */
public final class Core {
    /** Where the core reaches what is not a proxy's stream. */
    public interface Surroundings {
        void probe(String server, Consumer<Event.Probed> answer);

        /** The Controller threw; the batch is given as it was. */
        void failed(long now, List<Event> batch, RuntimeException failure);
    }

    /** How fast the channel sends and sums are handed on; a replay, whose recorder did both, sets them free. */
    public record Tempo(double linesPerS, double intakePerS, long gatherNs) {
        public static final Tempo FREE = new Tempo(1e15, 1e15, 0);

        static Tempo of(CoordinatorConfig config) {
            return new Tempo(config.linesPerS, config.intakePerS, config.roundNs);
        }
    }

    /** What outlives a restart; all calls come on the decision thread and none may wait. */
    public interface Memory {
        /** What a former life knew that is still worth something, given the first list of this one. */
        List<Event.Recalled> recall(List<Event.Entry> list);

        void decided(long now, List<Event> events, List<Order> orders, Controller controller);

        /** An ordered end. */
        default void ends(Controller controller) {}

        Memory NONE = new Memory() {
            @Override
            public List<Event.Recalled> recall(List<Event.Entry> list) {
                return List.of();
            }

            @Override
            public void decided(long now, List<Event> events, List<Order> orders, Controller controller) {}
        };
    }

    /** Whether this coordinator may speak, and under which terms; asked on the decision thread. */
    public interface Fence {
        boolean open(long now);

        /** Of a slice, or 0 where it may not be spoken for. */
        long term(int slice);
    }

    private record Wake(long atNs, long label, long number) implements Comparable<Wake> {
        @Override
        public int compareTo(Wake other) {
            return atNs != other.atNs ? Long.compare(atNs, other.atNs) : Long.compare(number, other.number);
        }
    }

    private static final class Proxy {
        final Outlet outlet;
        /** Marks sent and not answered yet, oldest first; the queue's limit bounds them. */
        final ArrayDeque<Integer> marks = new ArrayDeque<>();
        /** Sites without slices: the table for each traffic group (by its bit). */
        final TreeMap<Integer, Integer> bound = new TreeMap<>();

        Proxy(Outlet outlet) {
            this.outlet = outlet;
        }
    }

    private static final class Table {
        final TreeMap<String, Double> lines = new TreeMap<>();
        final TreeMap<Integer, Order.SetLevel> levels = new TreeMap<>();
    }

    private static final Logger LOG = LoggerFactory.getLogger("puffinbarrow.coordinator");
    private static final Logger DECISIONS = LoggerFactory.getLogger("puffinbarrow.decision");

    private final CoordinatorConfig config;
    private final Controller controller;
    private final Surroundings around;
    private final Memory memory;
    private boolean recalled;
    private final Meters meters;
    private final boolean sliced;
    private final Inbox<Input> inbox;
    private final PacedChannel channel;
    private final Gather gather;
    private final FrameWriter writer = new FrameWriter();
    private final TreeMap<Integer, Proxy> joined = new TreeMap<>();
    private final TreeMap<Integer, Outlet> peers = new TreeMap<>();
    private final PriorityQueue<Wake> wakes = new PriorityQueue<>();
    private final TreeSet<Integer> mine = new TreeSet<>();
    private final TreeMap<Integer, Table> tables = new TreeMap<>();
    private final TreeMap<Integer, Order.SetLevel> standing = new TreeMap<>();
    private final TreeSet<String> masked = new TreeSet<>();
    /** Lines that the store has not been given yet, by slice and server; bounded by what tables can hold. */
    private final Map<Integer, TreeMap<String, Order>> unstored = new TreeMap<>();
    /** Null: charges come from the store and carry no terms. */
    private Fence fence;
    /** Between two owners of a slice; null where slices have several. */
    private Pause pause;

    private Outlet registry;
    private Outlet store;
    private Boolean following;
    private long wakeNumber;
    private long turn;
    private long tickAt = Long.MIN_VALUE;

    public Core(
            CoordinatorConfig config,
            Controller.Factory factory,
            Surroundings around,
            Memory memory,
            Meters meters,
            Tempo tempo) {
        this.memory = memory;
        this.config = config;
        this.around = around;
        this.meters = meters;
        this.sliced = config.slices > 0;
        this.inbox = new Inbox<>(config.inbox);
        this.channel = new PacedChannel(config.queueLines, tempo.linesPerS(), config.messages, config.messagesSpanNs);
        this.gather = new Gather(tempo.intakePerS(), tempo.gatherNs());
        this.controller = factory.start(config.settings(), config.seed);
        meters.gauge("streams.joined", this, c -> c.joined.size());
        meters.gauge("inbox.waiting", inbox, Inbox::size);
        meters.gauge("inbox.overflows", inbox, Inbox::overflows);
        meters.gauge("channel.lines.waiting", channel, PacedChannel::waitingLines);
        meters.gauge("channel.lines.most", channel, PacedChannel::mostWaiting);
        meters.gauge("channel.messages.sent", channel, PacedChannel::sentMessages);
        meters.gauge("channel.lines.sent", channel, PacedChannel::sentLines);
        meters.gauge("intake.lines.waiting", gather, Gather::waitingLines);
        meters.gauge("intake.lines.merged", gather, Gather::mergedLines);
        meters.gauge("slices.charge", mine, TreeSet::size);
    }

    public void fence(Fence with) {
        fence = with;
        if (config.soleOwner) {
            pause = new Pause(
                    config.proxyLeaseNs,
                    config.groups.stream()
                            .filter(g -> g.repeats() != CoordinatorConfig.Repeats.RETRIABLE)
                            .mapToLong(CoordinatorConfig.Group::expiryNs)
                            .max()
                            .orElse(0));
            meters.gauge("slices.pausing", pause, Pause::pausing);
            meters.gauge("slices.owner_changes", pause, Pause::changes);
        }
    }

    /** From any thread; false asks the caller's stream to stop reading, see {@link #stopped}. */
    public boolean offer(Input input) {
        return inbox.offer(input);
    }

    public void stopped(Outlet outlet) {
        inbox.stopped(outlet::resume);
    }

    void reader(Thread thread) {
        inbox.reader(thread);
    }

    long offered() {
        return inbox.offered();
    }

    void inboxLimit(int frames) {
        inbox.limit(frames);
    }

    /** No earlier than this will {@link #turn} decide anything. */
    public long nextTickNs() {
        return tickAt;
    }

    boolean idle() {
        return inbox.isEmpty();
    }

    /** One turn; the time to be called again at the latest. Something in the inbox is a reason to come sooner. */
    public long turn(long now) {
        send(now);
        // Events are decided on at the tick, as on the bench; between ticks only the channel runs.
        if (now < tickAt) {
            return Math.min(tickAt, channelNext(now));
        }
        long began = System.nanoTime();
        List<Event> events = new ArrayList<>();
        for (Input input : inbox.drain()) {
            take(now, input, events);
        }
        gather.release(now, joined.size(), events);
        while (!wakes.isEmpty() && wakes.peek().atNs <= now) {
            events.add(new Event.Timer(wakes.poll().label));
        }
        if (!events.isEmpty()) {
            tickAt = now + config.tickNs;
            decide(now, events);
            meters.turn(System.nanoTime() - began);
            send(now);
        }
        if (pause != null) {
            List<Order> due = pause.due(now);
            if (!due.isEmpty()) {
                carryOut(now, due);
                send(now);
            }
        }
        long next = Math.min(channelNext(now), gather.nextAtNs());
        next = pause == null ? next : Math.min(next, pause.nextAtNs());
        next = wakes.isEmpty() ? next : Math.min(next, wakes.peek().atNs);
        return Math.max(next, Math.min(tickAt, channelNext(now)));
    }

    /** While it may not speak the channel stands; whether it may is looked at this often. */
    private static final long SILENT_NS = 10_000_000;

    private long channelNext(long now) {
        return fence == null || fence.open(now) ? channel.nextAtNs() : Math.max(channel.nextAtNs(), now + SILENT_NS);
    }

    private void decide(long now, List<Event> events) {
        List<Order> orders;
        try {
            orders = controller.handle(now, events);
        } catch (RuntimeException failure) {
            meters.count("decision.failures");
            around.failed(now, events, failure);
            // The timer it would have asked for is lost with its orders: it is woken after a round all the same.
            wakes.add(new Wake(now + config.roundNs, 0, wakeNumber++));
            return;
        }
        turn++;
        LOG.debug("turn {}: events {}", turn, events);
        LOG.debug("turn {}: orders {}", turn, orders);
        carryOut(now, pause == null ? orders : pause.orders(now, orders, joined.keySet()));
        memory.decided(now, events, orders, controller);
    }

    private void send(long now) {
        if (fence != null && !fence.open(now)) {
            return;
        }
        for (PacedChannel.Message next = channel.poll(now); next != null; next = channel.poll(now)) {
            if (!next.to().send(next.bytes())) {
                meters.count("messages.lost");
            }
        }
    }

    // ---- What came.

    private void take(long now, Input input, List<Event> events) {
        if (input instanceof Input.FromProxy in) {
            Proxy proxy = joined.get(in.proxy());
            if (proxy == null || proxy.outlet != in.outlet()) {
                // The stream was replaced or cut off while this waited.
                meters.count("frames.late");
                return;
            }
            fromProxy(now, in.proxy(), proxy, in.frame(), events);
        } else if (input instanceof Input.Joined in) {
            joined(now, in, events);
        } else if (input instanceof Input.Left in) {
            Proxy proxy = joined.get(in.proxy());
            if (proxy != null && proxy.outlet == in.outlet()) {
                left(now, in.proxy(), events);
            }
        } else if (input instanceof Input.FromRegistry in) {
            events.add(new Event.ServerList(in.list().kind(), in.list().entries()));
            if (!recalled && in.list().kind() != Event.ListKind.BROKEN) {
                recalled = true;
                events.addAll(memory.recall(in.list().entries()));
            }
            meters.count("lists." + in.list().kind().name().toLowerCase(java.util.Locale.ROOT));
        } else if (input instanceof Input.RegistryUp in) {
            registryUp(in.outlet(), events);
        } else if (input instanceof Input.StoreUp in) {
            store = in.outlet();
            if (store != null) {
                flushStore(now);
            }
        } else if (input instanceof Input.FromStore in) {
            fromStore(now, in.frame(), events);
        } else if (input instanceof Input.FromPeer in) {
            events.add(new Event.PeerMessage(in.sender(), in.text()));
        } else if (input instanceof Input.PeerUp in) {
            if (in.outlet() == null) {
                peers.remove(in.peer());
            } else {
                peers.put(in.peer(), in.outlet());
            }
        } else if (input instanceof Input.ProbeEnded in) {
            events.add(in.probed());
        } else if (input instanceof Input.Ask in) {
            in.answer().accept(state());
        } else if (input instanceof Input.Pace in) {
            channel.pace(now, in.part());
            LOG.atWarn().addKeyValue("part", in.part()).log("channel pace changed");
        }
    }

    private void joined(long now, Input.Joined in, List<Event> events) {
        int number = in.hello().number();
        Proxy before = joined.get(number);
        if (before != null) {
            left(now, number, events);
            before.outlet.close("a new stream of the same proxy");
        }
        // Welcomed only now that it is joined: a proxy reads the store at its welcome, and an order carried out
        // between that reading and the joining would have reached neither the reading nor the stream.
        in.outlet().send(writer.bytes(in.welcome()));
        joined.put(number, new Proxy(in.outlet()));
        events.add(new Event.ProxyJoined(
                number, in.hello().fresh(), in.hello().flowsPerS(), in.hello().zone()));
        meters.count("streams.joins");
        LOG.atInfo()
                .addKeyValue("proxy", number)
                .addKeyValue("zone", in.hello().zone())
                .addKeyValue("fresh", in.hello().fresh())
                .log("proxy joined");
    }

    private void left(long now, int number, List<Event> events) {
        joined.remove(number);
        channel.forget(number);
        if (pause != null) {
            pause.left(now, number);
        }
        events.add(new Event.ProxyLeft(number));
        meters.count("streams.leaves");
        LOG.atInfo().addKeyValue("proxy", number).log("proxy left");
    }

    private void fromProxy(long now, int number, Proxy proxy, Frame frame, List<Event> events) {
        if (frame instanceof Frame.Sums f) {
            gather.sums(now, number, f);
        } else if (frame instanceof Frame.Demand f) {
            gather.demand(now, number, sliced, f);
        } else if (frame instanceof Frame.Applied f) {
            if (f.mark() < 0 && pause != null) {
                pause.applied(now, number, f.mark());
                return;
            }
            if (!proxy.marks.contains(f.mark())) {
                meters.count("applied.unknown");
                return;
            }
            while (proxy.marks.pollFirst() != f.mark()) {
                meters.count("applied.skipped");
            }
            events.add(new Event.InForce(number, f.mark(), f.tookNs()));
        }
    }

    private void registryUp(Outlet outlet, List<Event> events) {
        boolean lost = registry != null && outlet == null;
        registry = outlet;
        if (outlet == null) {
            if (lost && config.listOnRequest) {
                events.add(new Event.ServerList(Event.ListKind.BROKEN, List.of()));
            }
        } else if (!config.listOnRequest) {
            outlet.send(writer.bytes(new Frame.Follow(true)));
        } else if (Boolean.TRUE.equals(following)) {
            // The subscription ended with the stream; the decisions ask again when they see fit.
            following = null;
        }
    }

    private void fromStore(long now, Frame frame, List<Event> events) {
        if (frame instanceof Frame.Charge f && f.slice() >= 0 && f.slice() < config.slices) {
            if (f.given()) {
                mine.add(f.slice());
            } else {
                mine.remove(f.slice());
                if (pause != null) {
                    pause.lost(f.slice());
                }
                unstored.remove(f.slice());
            }
            events.add(new Event.SliceCharge(f.slice(), f.given()));
        } else if (frame instanceof Frame.Stored f && f.slice() >= 0 && f.slice() < config.slices) {
            if (pause != null) {
                pause.charged(
                        now,
                        f.slice(),
                        f.lines().isEmpty() ? null : f.lines().get(0).server());
            }
            for (Frame.Line line : f.lines()) {
                events.add(new Event.StoredLine(f.slice(), line.server(), line.weight()));
            }
        } else {
            meters.count("store.odd");
        }
    }

    // ---- What was decided.

    private void carryOut(long now, List<Order> orders) {
        List<Order> common = new ArrayList<>();
        Map<Integer, List<Order>> own = new HashMap<>();
        List<Order> stored = new ArrayList<>();
        Order.Mark mark = null;
        boolean levels = false;
        for (Order order : orders) {
            if (order instanceof Order.SetLine o) {
                if (sliced && (!mine.contains(o.table()) || fence != null && fence.term(o.table()) == 0)) {
                    meters.count("orders.not_in_charge");
                    continue;
                }
                if (sliced) {
                    common.add(o);
                    stored.add(o);
                } else {
                    TreeMap<String, Double> lines = table(o.table()).lines;
                    lines.compute(o.server(), (s, was) -> o.weight() > 0 ? o.weight() : null);
                    bound(o.table()).forEach(p -> own.computeIfAbsent(p, n -> new ArrayList<>())
                            .add(o));
                }
            } else if (order instanceof Order.ClearTable o) {
                if (sliced && fence != null && fence.term(o.table()) == 0) {
                    meters.count("orders.not_in_charge");
                } else if (sliced) {
                    common.add(o);
                    stored.add(o);
                } else {
                    tables.remove(o.table());
                    bound(o.table()).forEach(p -> own.computeIfAbsent(p, n -> new ArrayList<>())
                            .add(o));
                }
            } else if (order instanceof Order.Bind o) {
                bind(o, own);
            } else if (order instanceof Order.Mask o) {
                boolean changed = o.out() ? masked.add(o.server()) : masked.remove(o.server());
                common.add(o);
                meters.count(changed ? "orders.masks" : "orders.masks.restated");
            } else if (order instanceof Order.SetLevel o) {
                if (o.table() == Order.ALL_TABLES) {
                    if (!levels) {
                        standing.clear();
                    }
                    levels = true;
                    standing.put(o.groups(), o);
                    common.add(o);
                } else if (sliced) {
                    common.add(o);
                } else {
                    table(o.table()).levels.put(o.groups(), o);
                    bound(o.table()).forEach(p -> own.computeIfAbsent(p, n -> new ArrayList<>())
                            .add(o));
                }
            } else if (order instanceof Order.Mark o) {
                if (o.number() < 0) {
                    // The pause's own; it goes along with the lines it is about.
                    common.add(o);
                } else {
                    mark = o;
                }
            } else {
                elsewhere(now, order);
            }
        }
        if (!stored.isEmpty()) {
            keep(now, stored);
        }
        messages(now, common, own, mark, levels);
    }

    private Table table(int number) {
        return tables.computeIfAbsent(number, n -> new Table());
    }

    private List<Integer> bound(int table) {
        return joined.entrySet().stream()
                .filter(e -> e.getValue().bound.containsValue(table))
                .map(Map.Entry::getKey)
                .toList();
    }

    /** A binding brings the whole table along: its lines, its levels and the masks on its servers. */
    private void bind(Order.Bind order, Map<Integer, List<Order>> own) {
        Proxy proxy = joined.get(order.proxy());
        if (proxy == null || sliced) {
            meters.count("orders.bind_odd");
            return;
        }
        int bits = order.groups() == 0 ? -1 : order.groups();
        for (int group = 0; group < config.groups.size(); group++) {
            if ((bits & 1 << group) != 0) {
                proxy.bound.put(group, order.table());
            }
        }
        List<Order> list = own.computeIfAbsent(order.proxy(), p -> new ArrayList<>());
        list.add(order);
        Table table = table(order.table());
        table.lines.forEach((server, weight) -> {
            list.add(new Order.SetLine(order.table(), server, weight));
            if (masked.contains(server)) {
                list.add(new Order.Mask(server, true));
            }
        });
        list.addAll(table.levels.values());
    }

    private void messages(
            long now, List<Order> common, Map<Integer, List<Order>> own, Order.Mark mark, boolean levels) {
        if (common.isEmpty() && own.isEmpty() && (mark == null || !mark.everyProxy())) {
            // Most turns order nothing: a thousand proxies need not be looked at for that.
            return;
        }
        List<Order> carried = levels ? List.of() : List.copyOf(standing.values());
        ByteBuffer shared = null;
        int sharedLines = 0;
        for (Map.Entry<Integer, Proxy> each : List.copyOf(joined.entrySet())) {
            List<Order> mineToo = own.getOrDefault(each.getKey(), List.of());
            boolean nothing = common.isEmpty() && mineToo.isEmpty();
            if (nothing && !(mark != null && mark.everyProxy())) {
                continue;
            }
            ByteBuffer bytes;
            int lines;
            if (mineToo.isEmpty()) {
                if (shared == null) {
                    List<Order> all = join(common, mineToo, mark, carried);
                    sharedLines = all.size();
                    shared = writer.bytes(new Frame.Orders(turn, now, carried.size(), all, terms(all)));
                }
                bytes = shared.duplicate();
                lines = sharedLines;
            } else {
                List<Order> all = join(mineToo, common, mark, carried);
                bytes = writer.bytes(new Frame.Orders(turn, now, carried.size(), all, terms(all)));
                lines = all.size();
            }
            post(now, each.getKey(), each.getValue(), bytes, config.headLines + lines, mark);
        }
        meters.add("orders.lines", common.size());
    }

    /** The term of each slice that the orders write to. */
    private List<Frame.Term> terms(List<Order> orders) {
        if (fence == null) {
            return List.of();
        }
        TreeSet<Integer> slices = new TreeSet<>();
        for (Order order : orders) {
            if (order instanceof Order.SetLine o) {
                slices.add(o.table());
            } else if (order instanceof Order.ClearTable o) {
                slices.add(o.table());
            }
        }
        return slices.stream()
                .map(slice -> new Frame.Term(slice, fence.term(slice)))
                .toList();
    }

    private static List<Order> join(List<Order> first, List<Order> second, Order.Mark mark, List<Order> carried) {
        List<Order> all = new ArrayList<>(first);
        all.addAll(second);
        if (mark != null) {
            all.add(mark);
        }
        all.addAll(carried);
        return all;
    }

    private void post(long now, int number, Proxy proxy, ByteBuffer bytes, double lines, Order.Mark mark) {
        PacedChannel.Taken taken =
                channel.offer(now, new PacedChannel.Message(number, proxy.outlet, bytes, lines, now));
        if (taken == PacedChannel.Taken.QUEUED) {
            if (mark != null) {
                proxy.marks.addLast(mark.number());
            }
            return;
        }
        // Guards the limits against any orders whatever; the proxy joins again and is told anew.
        meters.cause("channel.cut_off", taken);
        LOG.atError()
                .addKeyValue("proxy", number)
                .addKeyValue("lines", lines)
                .addKeyValue("waiting", channel.waitingLines())
                .addKeyValue("cause", taken)
                .log("a message would break the channel's limit, its proxy is cut off");
        channel.forget(number);
        proxy.outlet.close("the channel is full");
    }

    private void elsewhere(long now, Order order) {
        if (order instanceof Order.WakeAt o) {
            wakes.add(new Wake(o.atNs(), o.label(), wakeNumber++));
        } else if (order instanceof Order.Log o) {
            DECISIONS.atInfo().addKeyValue("turn", turn).log(o.text());
        } else if (order instanceof Order.Follow o) {
            following = o.on();
            ask(new Frame.Follow(o.on()));
        } else if (order instanceof Order.FetchList) {
            ask(new Frame.Fetch());
        } else if (order instanceof Order.Probe o) {
            meters.count("probes.sent");
            if (config.probes) {
                around.probe(o.server(), probed -> offer(new Input.ProbeEnded(probed)));
            }
        } else if (order instanceof Order.Tell o) {
            ByteBuffer bytes = writer.bytes(new Frame.Peer(config.number, o.text()));
            peers.forEach((number, outlet) -> {
                if (o.peer() == number || o.peer() < 0) {
                    outlet.send(bytes.duplicate());
                    meters.count("peers.told");
                }
            });
        }
    }

    private void ask(Frame frame) {
        if (registry != null && registry.send(writer.bytes(frame))) {
            meters.count("registry.asked");
        } else {
            meters.count("registry.unreachable");
            // Answered as a call that failed, so that the decisions ask again in their own time.
            offer(new Input.FromRegistry(new Frame.ServerList(Event.ListKind.BROKEN, 0, List.of())));
        }
    }

    private void keep(long now, List<Order> lines) {
        if (store != null
                && unstored.isEmpty()
                && store.send(writer.bytes(new Frame.Orders(turn, now, 0, lines, terms(lines))))) {
            return;
        }
        for (Order order : lines) {
            if (order instanceof Order.SetLine o) {
                unstored.computeIfAbsent(o.table(), t -> new TreeMap<>()).put(o.server(), o);
            } else if (order instanceof Order.ClearTable o) {
                unstored.put(o.table(), new TreeMap<>(Map.of("", o)));
            }
        }
        meters.count("store.delayed");
        flushStore(now);
    }

    private void flushStore(long now) {
        List<Order> all = new ArrayList<>();
        unstored.values().forEach(slice -> all.addAll(slice.values()));
        if (!all.isEmpty()
                && store != null
                && store.send(writer.bytes(new Frame.Orders(turn, now, 0, all, terms(all))))) {
            unstored.clear();
        }
    }

    /** Says goodbye to all; on the decision thread, at an ordered end. */
    void bye() {
        ByteBuffer bytes = writer.bytes(new Frame.Bye());
        joined.values().forEach(p -> p.outlet.send(bytes.duplicate()));
        peers.values().forEach(p -> p.send(bytes.duplicate()));
    }

    /** The last word to memory; on the decision thread, at an ordered end. */
    void remember() {
        memory.ends(controller);
    }

    private Map<String, Object> state() {
        Map<String, Object> state = new TreeMap<>();
        state.put("coordinator", config.number + " of " + config.of);
        state.put("proxies", List.copyOf(joined.keySet()));
        state.put("slices in charge", mine.size() + " of " + config.slices);
        state.put("masked", List.copyOf(masked));
        state.put("registry", registry != null ? "up" : "down");
        state.put("store", store != null ? "up" : config.store == null ? "none" : "down");
        state.put("peers", List.copyOf(peers.keySet()));
        state.put("turn", turn);
        return state;
    }
}
