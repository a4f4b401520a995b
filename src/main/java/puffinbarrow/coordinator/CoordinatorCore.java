package puffinbarrow.coordinator;

import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
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
import puffinbarrow.lease.OwnerChangePause;
import puffinbarrow.proto.Frame;
import puffinbarrow.proto.FrameWriter;

/**
 * The decision loop of a coordinator, without sockets, threads or a clock of its own. {@link #offer} accepts inputs
 * from any thread; all other methods run on the decision thread, which calls {@link #turn} with the current time and
 * sleeps until the time that it returns. The core contains no policy: it passes events to the {@link Controller},
 * carries out the returned orders in sequence, and enforces the limits of the channel to the proxies. {@link
 * Coordinator} drives it over sockets, the emulator in virtual time.
 */
public final class CoordinatorCore {
    /** What the core needs from its host besides connections; called on the decision thread. */
    public interface Environment {
        /** Probes a server; the answer may come on any thread. */
        void probe(String server, Consumer<Event.Probed> answer);

        /** Called when the Controller threw an exception, with the batch of events it was given. */
        void failed(long now, List<Event> batch, RuntimeException failure);
    }

    /**
     * Rate limits for messages to proxies and for reports from them.
     *
     * @param linesPerS lines that the channel sends a second
     * @param intakePerS merged report lines passed to the Controller a second
     * @param reportIntervalNs the proxies' reporting interval; 0 passes reports on without waiting for the rest of a
     *     round
     */
    public record RateLimits(double linesPerS, double intakePerS, long reportIntervalNs) {
        /** No limits: for a replay, whose recorded run was subject to them already. */
        public static final RateLimits UNLIMITED = new RateLimits(1e15, 1e15, 0);

        static RateLimits of(CoordinatorConfig config) {
            return new RateLimits(config.linesPerS, config.reportLinesPerS, config.roundNs);
        }
    }

    /** State that outlives a restart; called on the decision thread, which no method may block. */
    public interface Memory {
        /** Returns what an earlier process learned and is still valid, given the first server list of this process. */
        List<Event.Recalled> recall(List<Event.Entry> list);

        /** Records the events and orders of a turn. */
        void recordTurn(long now, List<Event> events, List<Order> orders, Controller controller);

        /** Called at an orderly shutdown. */
        default void shutDown(Controller controller) {}

        /** Stores nothing. */
        Memory NONE = new Memory() {
            @Override
            public List<Event.Recalled> recall(List<Event.Entry> list) {
                return List.of();
            }

            @Override
            public void recordTurn(long now, List<Event> events, List<Order> orders, Controller controller) {}
        };
    }

    /** Fences off a coordinator that has lost its lease; called on the decision thread. */
    public interface Fence {
        /** Returns whether this coordinator's lease is valid, so that it may send orders. */
        boolean mayWrite(long now);

        /** Returns the lease term of a slice, or 0 if this coordinator may not write to it. */
        long term(int slice);
    }

    /** A timer that the Controller asked for; {@code sequence} keeps timers of the same time in their order. */
    private record PendingTimer(long atNs, long label, long sequence) implements Comparable<PendingTimer> {
        @Override
        public int compareTo(PendingTimer other) {
            return atNs != other.atNs ? Long.compare(atNs, other.atNs) : Long.compare(sequence, other.sequence);
        }
    }

    /** A joined proxy. */
    private static final class Proxy {
        final FrameSink sink;
        /** Marks sent and not acknowledged yet, oldest first; bounded by the channel's limits. */
        final ArrayDeque<Integer> marks = new ArrayDeque<>();
        /** For sites without slices: the table that each traffic group (by its bit number) is bound to. */
        final TreeMap<Integer, Integer> tableByGroup = new TreeMap<>();

        Proxy(FrameSink sink) {
            this.sink = sink;
        }
    }

    /** A table of a site without slices: weights by server, and levels by their set of traffic groups. */
    private static final class Table {
        final TreeMap<String, Double> lines = new TreeMap<>();
        final TreeMap<Integer, Order.SetLevel> levels = new TreeMap<>();
    }

    /** How often to check for a valid lease while the channel is stopped without one. */
    private static final long LEASE_CHECK_NS = 10_000_000;

    private static final Logger LOG = LoggerFactory.getLogger("puffinbarrow.coordinator");
    private static final Logger DECISIONS = LoggerFactory.getLogger("puffinbarrow.decision");

    private final CoordinatorConfig config;
    private final Controller controller;
    private final Environment environment;
    private final Memory memory;
    /** Whether the memory has been queried, which happens once, at the first server list. */
    private boolean recalled;

    private final Meters meters;
    /** Whether tables are those of slices, kept in the store; otherwise proxies are bound to tables kept here. */
    private final boolean sliced;

    private final Inbox<Input> inbox;
    private final PacedChannel channel;
    private final ReportAggregator aggregator;
    private final ReportSubjects reportSubjects;
    private final FrameWriter writer = new FrameWriter();
    /** Joined proxies by number. */
    private final TreeMap<Integer, Proxy> proxies = new TreeMap<>();
    /** Connected peer coordinators by number. */
    private final TreeMap<Integer, FrameSink> peers = new TreeMap<>();

    private final PriorityQueue<PendingTimer> timers = new PriorityQueue<>();
    /** Slices that this coordinator is in charge of. */
    private final TreeSet<Integer> ownedSlices = new TreeSet<>();
    /** Tables by number; for sites without slices only. */
    private final TreeMap<Integer, Table> tables = new TreeMap<>();
    /**
     * Levels in force for all tables, by their set of traffic groups; restated in each message that does not change
     * them.
     */
    private final TreeMap<Integer, Order.SetLevel> globalLevels = new TreeMap<>();

    private final TreeSet<String> masked = new TreeSet<>();
    /** Orders not sent to the store yet, by slice and server; bounded by the size of the tables. */
    private final Map<Integer, TreeMap<String, Order>> pendingStoreWrites = new TreeMap<>();
    /** Null if the store assigns slices to coordinators; orders then carry no lease terms. */
    private Fence fence;
    /** Delays a change of a slice's only owner; null where a slice may have several owners. */
    private OwnerChangePause ownerPause;

    /** The connection to the registry, or null while there is none. */
    private FrameSink registry;
    /** The connection to the store, or null while there is none. */
    private FrameSink store;
    /** The last subscription ordered; null if none was, or if it ended with its connection. */
    private Boolean subscribed;

    private long timerSequence;
    /** Number of the latest decision turn. */
    private long turn;
    /** Nothing is decided before this time. */
    private long tickAtNs = Long.MIN_VALUE;

    /** Creates the core and starts a Controller with the configured settings and seed. */
    public CoordinatorCore(
            CoordinatorConfig config,
            Controller.Factory factory,
            Environment environment,
            Memory memory,
            Meters meters,
            RateLimits rateLimits) {
        this.memory = memory;
        this.config = config;
        this.environment = environment;
        this.meters = meters;
        this.sliced = config.slices > 0;
        this.inbox = new Inbox<>(config.inboxFrames);
        this.channel =
                new PacedChannel(config.queueLines, rateLimits.linesPerS(), config.maxMessages, config.messagesSpanNs);
        this.aggregator = new ReportAggregator(rateLimits.intakePerS(), rateLimits.reportIntervalNs());
        this.reportSubjects = new ReportSubjects(config.slices);
        this.controller = factory.start(config.settings(), config.seed);
        meters.gauge("streams.joined", this, c -> c.proxies.size());
        meters.gauge("inbox.waiting", inbox, Inbox::size);
        meters.gauge("inbox.overflows", inbox, Inbox::overflows);
        meters.gauge("channel.lines.waiting", channel, PacedChannel::waitingLines);
        meters.gauge("channel.lines.most", channel, PacedChannel::peakWaitingLines);
        meters.gauge("channel.messages.sent", channel, PacedChannel::sentMessages);
        meters.gauge("channel.lines.sent", channel, PacedChannel::sentLines);
        meters.gauge("intake.lines.waiting", aggregator, ReportAggregator::waitingLines);
        meters.gauge("intake.lines.merged", aggregator, ReportAggregator::mergedLines);
        meters.gauge("slices.charge", ownedSlices, TreeSet::size);
    }

    /** Makes sending depend on a lease; called before the first turn. */
    public void setFence(Fence fence) {
        this.fence = fence;
        if (config.soleOwner) {
            ownerPause = new OwnerChangePause(
                    config.proxyLeaseNs,
                    config.groups.stream()
                            .filter(g -> g.retrySafety() != CoordinatorConfig.RetrySafety.RETRIABLE)
                            .mapToLong(CoordinatorConfig.Group::expiryNs)
                            .max()
                            .orElse(0));
            meters.gauge("slices.pausing", ownerPause, OwnerChangePause::pausing);
            meters.gauge("slices.owner_changes", ownerPause, OwnerChangePause::ownerChanges);
        }
    }

    /** Queues an input, from any thread; if false, the caller stops reading and calls {@link #readingPaused}. */
    public boolean offer(Input input) {
        return inbox.offer(input);
    }

    /** Records a connection that stopped reading; it is resumed once the inbox has been drained. */
    public void readingPaused(FrameSink sink) {
        inbox.resumeAfterDrain(sink::resume);
    }

    /** Sets the thread to wake when an input is offered. */
    void setConsumer(Thread thread) {
        inbox.setConsumer(thread);
    }

    long offered() {
        return inbox.offered();
    }

    /** Changes the inbox limit, when settings were reloaded. */
    void inboxLimit(int frames) {
        inbox.limit(frames);
    }

    /** Returns the time before which {@link #turn} decides nothing. */
    public long nextTickNs() {
        return tickAtNs;
    }

    /** Returns whether the inbox is empty. */
    boolean idle() {
        return inbox.isEmpty();
    }

    /**
     * Runs one turn: sends what is due and, once a tick, passes all inputs to the Controller and carries out its
     * orders. Returns the time of the next call at the latest; a new input in the inbox is a reason to call earlier.
     */
    public long turn(long now) {
        send(now);
        // Events are decided once a tick; between ticks only the channel runs.
        if (now < tickAtNs) {
            return Math.min(tickAtNs, nextSendNs(now));
        }
        long startedNs = System.nanoTime();
        List<Event> events = new ArrayList<>();
        for (Input input : inbox.drain()) {
            process(now, input, events);
        }
        aggregator.release(now, proxies.size(), events);
        while (!timers.isEmpty() && timers.peek().atNs <= now) {
            events.add(new Event.Timer(timers.poll().label));
        }
        if (!events.isEmpty()) {
            tickAtNs = now + config.tickNs;
            decide(now, events);
            meters.turn(System.nanoTime() - startedNs);
            send(now);
        }
        if (ownerPause != null) {
            List<Order> due = ownerPause.dueLines(now);
            if (!due.isEmpty()) {
                carryOut(now, due);
                send(now);
            }
        }
        long next = Math.min(nextSendNs(now), aggregator.nextAtNs());
        next = ownerPause == null ? next : Math.min(next, ownerPause.nextAtNs());
        next = timers.isEmpty() ? next : Math.min(next, timers.peek().atNs);
        return Math.max(next, Math.min(tickAtNs, nextSendNs(now)));
    }

    /** Returns when the channel may have the next message to send. */
    private long nextSendNs(long now) {
        return fence == null || fence.mayWrite(now)
                ? channel.nextAtNs()
                : Math.max(channel.nextAtNs(), now + LEASE_CHECK_NS);
    }

    /** Passes the events to the Controller and carries out its orders. */
    private void decide(long now, List<Event> events) {
        List<Order> orders;
        try {
            orders = controller.handle(now, events);
        } catch (RuntimeException failure) {
            meters.count("decision.failures");
            environment.failed(now, events, failure);
            // The timers of the failed turn are lost with its orders, so the Controller is called after a round anyway.
            timers.add(new PendingTimer(now + config.roundNs, 0, timerSequence++));
            return;
        }
        turn++;
        LOG.debug("turn {}: events {}", turn, events);
        LOG.debug("turn {}: orders {}", turn, orders);
        carryOut(now, ownerPause == null ? orders : ownerPause.delayOwnerChanges(now, orders, proxies.keySet()));
        memory.recordTurn(now, events, orders, controller);
    }

    /** Sends the messages that the channel releases by now, while the lease is valid. */
    private void send(long now) {
        if (fence != null && !fence.mayWrite(now)) {
            return;
        }
        for (PacedChannel.Message next = channel.poll(now); next != null; next = channel.poll(now)) {
            if (!next.to().send(next.bytes())) {
                meters.count("messages.lost");
            }
        }
    }

    // ---- Inputs.

    /** Turns one input into events, or handles it here. */
    private void process(long now, Input input, List<Event> events) {
        if (input instanceof Input.FromProxy in) {
            Proxy proxy = proxies.get(in.proxy());
            if (proxy == null || proxy.sink != in.sink()) {
                // The connection was replaced or cut off while this frame waited.
                meters.count("frames.late");
                return;
            }
            onProxyFrame(now, in.proxy(), proxy, in.frame(), events);
        } else if (input instanceof Input.Joined in) {
            onJoined(now, in, events);
        } else if (input instanceof Input.Left in) {
            Proxy proxy = proxies.get(in.proxy());
            if (proxy != null && proxy.sink == in.sink()) {
                onLeft(now, in.proxy(), events);
            }
        } else if (input instanceof Input.FromRegistry in) {
            events.add(new Event.ServerList(in.list().kind(), in.list().entries()));
            in.list().entries().forEach(entry -> reportSubjects.addKnownServer(entry.server()));
            if (!recalled && in.list().kind() != Event.ListKind.BROKEN) {
                recalled = true;
                events.addAll(memory.recall(in.list().entries()));
            }
            meters.count("lists." + in.list().kind().name().toLowerCase(Locale.ROOT));
        } else if (input instanceof Input.RegistryConnection in) {
            onRegistryConnection(in.sink(), events);
        } else if (input instanceof Input.StoreConnection in) {
            store = in.sink();
            if (store != null) {
                flushStoreWrites(now);
            }
        } else if (input instanceof Input.FromStore in) {
            onStoreFrame(now, in.frame(), events);
        } else if (input instanceof Input.FromPeer in) {
            events.add(new Event.PeerMessage(in.sender(), in.text()));
        } else if (input instanceof Input.PeerConnection in) {
            if (in.sink() == null) {
                peers.remove(in.peer());
            } else {
                peers.put(in.peer(), in.sink());
            }
        } else if (input instanceof Input.ProbeEnded in) {
            events.add(in.probed());
        } else if (input instanceof Input.StatusRequest in) {
            in.answer().accept(status());
        } else if (input instanceof Input.SetPace in) {
            channel.setPace(now, in.fraction());
            LOG.atWarn().addKeyValue("part", in.fraction()).log("channel pace changed");
        }
    }

    private void onJoined(long now, Input.Joined in, List<Event> events) {
        int number = in.hello().number();
        Proxy previous = proxies.get(number);
        if (previous != null) {
            onLeft(now, number, events);
            previous.sink.close("replaced by a new connection of the same proxy");
        }
        // The welcome is sent only now, as the proxy joins: a proxy reads the store when it is welcomed, and an order
        // carried out between that read and the join would be missing from both the read and the connection.
        in.sink().send(writer.encodeCopy(in.welcome()));
        proxies.put(number, new Proxy(in.sink()));
        events.add(new Event.ProxyJoined(
                number, in.hello().fresh(), in.hello().flowsPerS(), in.hello().zone()));
        meters.count("streams.joins");
        LOG.atInfo()
                .addKeyValue("proxy", number)
                .addKeyValue("zone", in.hello().zone())
                .addKeyValue("fresh", in.hello().fresh())
                .log("proxy joined");
    }

    private void onLeft(long now, int number, List<Event> events) {
        proxies.remove(number);
        channel.removeProxy(number);
        if (ownerPause != null) {
            ownerPause.proxyLeft(now, number);
        }
        events.add(new Event.ProxyLeft(number));
        meters.count("streams.leaves");
        LOG.atInfo().addKeyValue("proxy", number).log("proxy left");
    }

    private void onProxyFrame(long now, int number, Proxy proxy, Frame frame, List<Event> events) {
        if (frame instanceof Frame.Sums f) {
            aggregator.addSums(now, number, acceptedPart(f));
        } else if (frame instanceof Frame.Demand f) {
            aggregator.addDemand(now, number, sliced, acceptedPart(f));
        } else if (frame instanceof Frame.Applied f) {
            if (f.mark() < 0 && ownerPause != null) {
                ownerPause.markConfirmed(now, number, f.mark());
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

    private Frame.Sums acceptedPart(Frame.Sums sums) {
        List<Frame.Met> accepted = sums.met().stream()
                .filter(met -> reportSubjects.acceptsSums(sums.zone(), met.server()))
                .toList();
        countRefused(sums.met().size() - accepted.size());
        return new Frame.Sums(sums.zone(), sums.round(), sums.spanNs(), accepted);
    }

    private Frame.Demand acceptedPart(Frame.Demand demand) {
        List<Frame.Came> accepted = demand.came().stream()
                .filter(came -> reportSubjects.acceptsDemand(came.slice(), came.group()))
                .toList();
        countRefused(demand.came().size() - accepted.size());
        return new Frame.Demand(demand.round(), demand.spanNs(), accepted);
    }

    private void countRefused(int lines) {
        if (lines > 0) {
            meters.add("intake.lines.refused", lines);
        }
    }

    private void onRegistryConnection(FrameSink sink, List<Event> events) {
        boolean lost = registry != null && sink == null;
        registry = sink;
        if (sink == null) {
            if (lost && config.listOnRequest) {
                events.add(new Event.ServerList(Event.ListKind.BROKEN, List.of()));
            }
        } else if (!config.listOnRequest) {
            sink.send(writer.encodeCopy(new Frame.Follow(true)));
        } else if (Boolean.TRUE.equals(subscribed)) {
            // The subscription ended with the connection; the Controller orders a new one when needed.
            subscribed = null;
        }
    }

    private void onStoreFrame(long now, Frame frame, List<Event> events) {
        if (frame instanceof Frame.Charge f && f.slice() >= 0 && f.slice() < config.slices) {
            if (f.given()) {
                ownedSlices.add(f.slice());
            } else {
                ownedSlices.remove(f.slice());
                if (ownerPause != null) {
                    ownerPause.sliceLost(f.slice());
                }
                pendingStoreWrites.remove(f.slice());
            }
            events.add(new Event.SliceCharge(f.slice(), f.given()));
        } else if (frame instanceof Frame.Stored f && f.slice() >= 0 && f.slice() < config.slices) {
            if (ownerPause != null) {
                ownerPause.sliceAcquired(
                        now,
                        f.slice(),
                        f.lines().isEmpty() ? null : f.lines().get(0).server());
            }
            for (Frame.Line line : f.lines()) {
                events.add(new Event.StoredLine(f.slice(), line.server(), line.weight()));
                reportSubjects.addKnownServer(line.server());
            }
        } else {
            meters.count("store.odd");
        }
    }

    // ---- Orders.

    /** Sorts the orders by receiver and carries them out; orders for proxies become one message for each proxy. */
    private void carryOut(long now, List<Order> orders) {
        List<Order> common = new ArrayList<>();
        Map<Integer, List<Order>> perProxy = new HashMap<>();
        List<Order> storeWrites = new ArrayList<>();
        Order.Mark mark = null;
        boolean levelsChanged = false;
        for (Order order : orders) {
            if (order instanceof Order.SetLine o) {
                if (sliced && (!ownedSlices.contains(o.table()) || fence != null && fence.term(o.table()) == 0)) {
                    meters.count("orders.not_in_charge");
                    continue;
                }
                if (sliced) {
                    common.add(o);
                    storeWrites.add(o);
                } else {
                    TreeMap<String, Double> lines = table(o.table()).lines;
                    lines.compute(o.server(), (server, previous) -> o.weight() > 0 ? o.weight() : null);
                    proxiesBoundTo(o.table()).forEach(p -> perProxy.computeIfAbsent(p, n -> new ArrayList<>())
                            .add(o));
                }
            } else if (order instanceof Order.ClearTable o) {
                if (sliced && fence != null && fence.term(o.table()) == 0) {
                    meters.count("orders.not_in_charge");
                } else if (sliced) {
                    common.add(o);
                    storeWrites.add(o);
                } else {
                    tables.remove(o.table());
                    proxiesBoundTo(o.table()).forEach(p -> perProxy.computeIfAbsent(p, n -> new ArrayList<>())
                            .add(o));
                }
            } else if (order instanceof Order.Bind o) {
                bind(o, perProxy);
            } else if (order instanceof Order.Mask o) {
                boolean changed = o.masked() ? masked.add(o.server()) : masked.remove(o.server());
                common.add(o);
                meters.count(changed ? "orders.masks" : "orders.masks.restated");
            } else if (order instanceof Order.SetLevel o) {
                if (o.table() == Order.ALL_TABLES) {
                    if (!levelsChanged) {
                        globalLevels.clear();
                    }
                    levelsChanged = true;
                    globalLevels.put(o.groups(), o);
                    common.add(o);
                } else if (sliced) {
                    common.add(o);
                } else {
                    table(o.table()).levels.put(o.groups(), o);
                    proxiesBoundTo(o.table()).forEach(p -> perProxy.computeIfAbsent(p, n -> new ArrayList<>())
                            .add(o));
                }
            } else if (order instanceof Order.Mark o) {
                if (o.number() < 0) {
                    // A mark of the owner change itself; it is sent along with the lines that it follows.
                    common.add(o);
                } else {
                    mark = o;
                }
            } else {
                carryOutLocally(now, order);
            }
        }
        if (!storeWrites.isEmpty()) {
            writeToStore(now, storeWrites);
        }
        enqueueMessages(now, common, perProxy, mark, levelsChanged);
    }

    private Table table(int number) {
        return tables.computeIfAbsent(number, n -> new Table());
    }

    private List<Integer> proxiesBoundTo(int table) {
        return proxies.entrySet().stream()
                .filter(e -> e.getValue().tableByGroup.containsValue(table))
                .map(Map.Entry::getKey)
                .toList();
    }

    /** Binds a proxy to a table, and sends it the full table: its lines, its levels and the masks on its servers. */
    private void bind(Order.Bind order, Map<Integer, List<Order>> perProxy) {
        Proxy proxy = proxies.get(order.proxy());
        if (proxy == null || sliced) {
            meters.count("orders.bind_odd");
            return;
        }
        int groupBits = order.groups() == 0 ? -1 : order.groups();
        for (int group = 0; group < config.groups.size(); group++) {
            if ((groupBits & 1 << group) != 0) {
                proxy.tableByGroup.put(group, order.table());
            }
        }
        List<Order> list = perProxy.computeIfAbsent(order.proxy(), p -> new ArrayList<>());
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

    /**
     * Enqueues one message for each proxy that the orders concern; proxies without orders of their own share its
     * bytes.
     */
    private void enqueueMessages(
            long now, List<Order> common, Map<Integer, List<Order>> perProxy, Order.Mark mark, boolean levelsChanged) {
        if (common.isEmpty() && perProxy.isEmpty() && (mark == null || !mark.everyProxy())) {
            // Most turns order nothing, and then need not iterate over a thousand proxies.
            return;
        }
        List<Order> restated = levelsChanged ? List.of() : List.copyOf(globalLevels.values());
        ByteBuffer sharedBytes = null;
        int sharedLines = 0;
        for (Map.Entry<Integer, Proxy> each : List.copyOf(proxies.entrySet())) {
            List<Order> ownOrders = perProxy.getOrDefault(each.getKey(), List.of());
            boolean noOrders = common.isEmpty() && ownOrders.isEmpty();
            if (noOrders && !(mark != null && mark.everyProxy())) {
                continue;
            }
            ByteBuffer bytes;
            int lines;
            if (ownOrders.isEmpty()) {
                if (sharedBytes == null) {
                    List<Order> all = concatenate(common, ownOrders, mark, restated);
                    sharedLines = all.size();
                    sharedBytes = writer.encodeCopy(new Frame.Orders(turn, now, restated.size(), all, terms(all)));
                }
                bytes = sharedBytes.duplicate();
                lines = sharedLines;
            } else {
                List<Order> all = concatenate(ownOrders, common, mark, restated);
                bytes = writer.encodeCopy(new Frame.Orders(turn, now, restated.size(), all, terms(all)));
                lines = all.size();
            }
            enqueue(now, each.getKey(), each.getValue(), bytes, config.messageOverheadLines + lines, mark);
        }
        meters.add("orders.lines", common.size());
    }

    /** Returns the lease term of each slice that the orders write to. */
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

    /** Joins the parts of one message; the restated levels come last, behind the mark. */
    private static List<Order> concatenate(
            List<Order> first, List<Order> second, Order.Mark mark, List<Order> restated) {
        List<Order> all = new ArrayList<>(first);
        all.addAll(second);
        if (mark != null) {
            all.add(mark);
        }
        all.addAll(restated);
        return all;
    }

    /** Queues a message to a proxy; disconnects the proxy if the message is over a limit. */
    private void enqueue(long now, int number, Proxy proxy, ByteBuffer bytes, double lines, Order.Mark mark) {
        PacedChannel.OfferResult result =
                channel.offer(now, new PacedChannel.Message(number, proxy.sink, bytes, lines, now));
        if (result == PacedChannel.OfferResult.QUEUED) {
            if (mark != null) {
                proxy.marks.addLast(mark.number());
            }
            return;
        }
        // Enforces the limits regardless of the orders; the proxy reconnects and is sent the full state again.
        meters.countCause("channel.cut_off", result);
        LOG.atError()
                .addKeyValue("proxy", number)
                .addKeyValue("lines", lines)
                .addKeyValue("waiting", channel.waitingLines())
                .addKeyValue("cause", result)
                .log("message over the limits of the channel to the proxies; disconnecting its proxy");
        channel.removeProxy(number);
        proxy.sink.close("message over the limits of the channel");
    }

    /** Carries out an order that does not go to proxies. */
    private void carryOutLocally(long now, Order order) {
        if (order instanceof Order.WakeAt o) {
            timers.add(new PendingTimer(o.atNs(), o.label(), timerSequence++));
        } else if (order instanceof Order.Log o) {
            DECISIONS.atInfo().addKeyValue("turn", turn).log(o.text());
        } else if (order instanceof Order.Follow o) {
            subscribed = o.on();
            askRegistry(new Frame.Follow(o.on()));
        } else if (order instanceof Order.FetchList) {
            askRegistry(new Frame.Fetch());
        } else if (order instanceof Order.Probe o) {
            meters.count("probes.sent");
            if (config.probes) {
                environment.probe(o.server(), probed -> offer(new Input.ProbeEnded(probed)));
            }
        } else if (order instanceof Order.Tell o) {
            ByteBuffer bytes = writer.encodeCopy(new Frame.Peer(config.number, o.text()));
            peers.forEach((number, sink) -> {
                if (o.peer() == number || o.peer() < 0) {
                    sink.send(bytes.duplicate());
                    meters.count("peers.told");
                }
            });
        }
    }

    /** Sends a request to the registry. */
    private void askRegistry(Frame frame) {
        if (registry != null && registry.send(writer.encodeCopy(frame))) {
            meters.count("registry.asked");
        } else {
            meters.count("registry.unreachable");
            // Answered as a broken list, so that the Controller asks again after its own delay.
            offer(new Input.FromRegistry(new Frame.ServerList(Event.ListKind.BROKEN, 0, List.of())));
        }
    }

    /** Sends table changes to the store; if they cannot be sent, the latest one for each line is kept for later. */
    private void writeToStore(long now, List<Order> lines) {
        if (store != null
                && pendingStoreWrites.isEmpty()
                && store.send(writer.encodeCopy(new Frame.Orders(turn, now, 0, lines, terms(lines))))) {
            return;
        }
        for (Order order : lines) {
            if (order instanceof Order.SetLine o) {
                pendingStoreWrites
                        .computeIfAbsent(o.table(), t -> new TreeMap<>())
                        .put(o.server(), o);
            } else if (order instanceof Order.ClearTable o) {
                pendingStoreWrites.put(o.table(), new TreeMap<>(Map.of("", o)));
            }
        }
        meters.count("store.delayed");
        flushStoreWrites(now);
    }

    /** Sends the pending writes to the store, if it is connected. */
    private void flushStoreWrites(long now) {
        List<Order> all = new ArrayList<>();
        pendingStoreWrites.values().forEach(slice -> all.addAll(slice.values()));
        if (!all.isEmpty()
                && store != null
                && store.send(writer.encodeCopy(new Frame.Orders(turn, now, 0, all, terms(all))))) {
            pendingStoreWrites.clear();
        }
    }

    /** Sends a Bye frame on all connections; on the decision thread, at an orderly shutdown. */
    void sendBye() {
        ByteBuffer bytes = writer.encodeCopy(new Frame.Bye());
        proxies.values().forEach(p -> p.sink.send(bytes.duplicate()));
        peers.values().forEach(p -> p.send(bytes.duplicate()));
    }

    /** Lets the memory save its final state; on the decision thread, at an orderly shutdown. */
    void saveMemory() {
        memory.shutDown(controller);
    }

    /** Returns the lines of the admin listener's status answer. */
    private Map<String, Object> status() {
        Map<String, Object> status = new TreeMap<>();
        status.put("coordinator", config.number + " of " + config.coordinatorCount);
        status.put("proxies", List.copyOf(proxies.keySet()));
        status.put("slices in charge", ownedSlices.size() + " of " + config.slices);
        status.put("masked", List.copyOf(masked));
        status.put("registry", registry != null ? "up" : "down");
        status.put("store", store != null ? "up" : config.store == null ? "none" : "down");
        status.put("peers", List.copyOf(peers.keySet()));
        status.put("turn", turn);
        return status;
    }
}
