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
import puffinbarrow.audit.Observation;
import puffinbarrow.audit.Recorder;
import puffinbarrow.config.CoordinatorConfig;
import puffinbarrow.control.Event;
import puffinbarrow.control.Order;
import puffinbarrow.coordinator.Dialer;
import puffinbarrow.coordinator.FrameSink;
import puffinbarrow.coordinator.OrcaReport;
import puffinbarrow.net.HttpParser;
import puffinbarrow.net.Link;
import puffinbarrow.net.Net;
import puffinbarrow.proto.Frame;
import puffinbarrow.proto.FrameWriter;

/**
 * A stand-in proxy for scripted days that follows its tables without further logic. It picks a server at random by
 * weight, avoids a server for some time after consecutive failures of its own attempts, retries only as ordered, and
 * holds a flow without a server for a moment before it blocks it and states when to retry. Orders take effect in order,
 * after a simulated transit and the time that their lines take. Frames and requests arrive on the threads of
 * {@link Net}; all state is guarded by {@code this}.
 */
public final class StandInProxy implements AutoCloseable {
    /**
     * Simulated delays of the proxy, and when it avoids a server or times out an attempt.
     *
     * @param transitNs mean transit time of orders
     * @param applyNsPerLine time in which one line of orders takes effect
     * @param reportDelayNs delay with which its reports are sent
     * @param failuresToAvoid consecutive failures after which it avoids a server; 0: never
     * @param avoidNs how long it avoids a server
     * @param holdNs how long it holds a flow while there is no server for it
     * @param attemptBudgets time-out of an attempt that a retry may follow, in latency budgets of the flow's group
     */
    public record Timings(
            long transitNs,
            long applyNsPerLine,
            long reportDelayNs,
            int failuresToAvoid,
            long avoidNs,
            long holdNs,
            double attemptBudgets) {}

    /** Far longer than a write takes to the store, and within the second that the protocol gives a proxy to read it. */
    private static final long REREAD_DELAY_MS = 500;
    /** Time between two checks for a server while a flow is held. */
    private static final long HOLD_CHECK_MS = 20;
    /** Shortest time-out of an attempt. */
    private static final long MIN_TIMEOUT_NS = 1_000_000;
    /** A flow that expires sooner is not retried. */
    private static final long MIN_TIME_FOR_RETRY_NS = 50_000_000;

    /** Orders that take effect at that time. */
    private record PendingOrders(Frame.Orders orders, long dueNs) {}

    /** A server that failed or is avoided. */
    private static final class AvoidedServer {
        /** Consecutive failures. */
        int failures;
        /** Time until which it is avoided. */
        long until;
    }

    /** Attempts at a server since the latest report. */
    private static final class ServerTotals {
        long attempts;
        long dropped;
        /** Total time of the successful attempts. */
        long latencyNs;
        /** The latest load report of the server. */
        Map<Event.Measure, Double> report = Map.of();
    }

    /** The stream to one coordinator, what that one ordered, and what is to be reported to it. */
    private final class CoordinatorSession {
        final int number;
        final Dialer dialer;
        final Set<String> masks = new TreeSet<>();
        /** Levels by traffic group. */
        final Map<Integer, Order.SetLevel> levels = new HashMap<>();

        final ArrayDeque<PendingOrders> pending = new ArrayDeque<>();
        /** When the last of the pending orders takes effect. */
        long lastDueNs;
        /** When the stream broke last. */
        long lostAt = System.nanoTime();
        /** Incarnation of the coordinator that masks and levels are from. */
        long incarnation;
        /** Totals by server, since the latest report. */
        TreeMap<String, ServerTotals> totals = new TreeMap<>();
        /** Flows and failures by slice and group ({@code slice << 8 | group}), since the latest report. */
        Map<Long, long[]> demand = new TreeMap<>();
        /** Where to send to; null while the stream is down. */
        FrameSink sink;
        /** The first of the pending orders is scheduled. */
        boolean applying;
        /** Whether a stream to this coordinator has been up since the proxy's start. */
        volatile boolean joinedBefore;

        CoordinatorSession(int number, InetSocketAddress address) {
            this.number = number;
            this.dialer = new Dialer(
                    net,
                    "coordinator " + number,
                    address,
                    () -> hello(Frame.Role.PROXY, !joinedBefore),
                    1 << 20,
                    1 << 22,
                    frame -> onFrame(this, frame),
                    up -> onStreamChange(this, up));
        }
    }

    private final Net net;
    private final int number;
    private final int zone;
    private final CoordinatorConfig config;
    private final Timings timings;
    private final Recorder recorder;
    private final UniformRandomProvider random;
    private final PooledHttpClient httpClient;
    private final Net.Listener listener;
    private final long incarnation;
    private final Map<Integer, CoordinatorSession> sessions = new TreeMap<>();
    /** Weights of servers, by slice. */
    private final Map<Integer, TreeMap<String, Double>> tables = new HashMap<>();
    /** The coordinator in charge, by slice. */
    private final Map<Integer, Integer> owners = new HashMap<>();
    /** The latest term seen of each slice, from the store or with orders; orders of older ones are refused. */
    private final Map<Integer, Long> terms = new HashMap<>();

    private final Map<String, AvoidedServer> avoided = new HashMap<>();
    /** Address of each server, by its identifier; guards itself. */
    private final Map<String, InetSocketAddress> addresses = new HashMap<>();

    private Dialer store;
    /** Where to send to the store; null while the stream is down. */
    private FrameSink storeSink;
    /** When the stream to the store broke last. */
    private long storeLostAt = System.nanoTime();
    /** Number of the latest report. */
    private long round;

    private long nextFlow;
    /** Orders are received but not applied. */
    private volatile boolean suspended;

    private volatile boolean closed;
    private long blocked;
    private long retried;
    private long linesNotInCharge;

    /** Listens at once; {@link #start} dials. */
    public StandInProxy(
            Net net,
            int number,
            int zone,
            CoordinatorConfig config,
            Timings timings,
            Recorder recorder,
            UniformRandomProvider random)
            throws IOException {
        this.net = net;
        this.number = number;
        this.zone = zone;
        this.config = config;
        this.timings = timings;
        this.recorder = recorder;
        this.random = random;
        this.httpClient = new PooledHttpClient(net);
        this.incarnation = random.nextLong();
        // Flow identifiers are unique within the fleet: the proxy's number in the high bits, its own count below.
        this.nextFlow = (long) number << 40;
        this.listener = net.listen(new InetSocketAddress("127.0.0.1", 0), 1 << 20, channel -> new Stream());
    }

    /** Dials the store and the coordinators, and reports to them regularly from now on. */
    public void start(InetSocketAddress storeAt, Map<Integer, InetSocketAddress> coordinators) {
        store = new Dialer(
                        net,
                        "store",
                        storeAt,
                        () -> hello(Frame.Role.PROXY_AT_STORE, true),
                        1 << 20,
                        1 << 22,
                        this::onStoreFrame,
                        this::onStoreStreamChange)
                .start();
        synchronized (this) {
            coordinators.forEach((n, address) -> sessions.put(n, new CoordinatorSession(n, address)));
        }
        sessions.values().forEach(session -> session.dialer.start());
        // Starts at a random time within a round, since real proxies do not report at the same time.
        net.timer().schedule(this::report, (long) (random.nextDouble() * config.roundNs), TimeUnit.NANOSECONDS);
    }

    private Frame.Hello hello(Frame.Role role, boolean fresh) {
        return new Frame.Hello(Frame.MAJOR, Frame.MINOR, role, number, zone, incarnation, fresh, 10);
    }

    public InetSocketAddress address() {
        return listener.address();
    }

    /** Cuts the streams to all coordinators, or restores them. */
    public void cut(boolean on) {
        sessions.values().forEach(session -> session.dialer.cut(on));
    }

    /** Cuts the stream to one coordinator, or restores it. */
    public void cut(int coordinator, boolean on) {
        sessions.get(coordinator).dialer.cut(on);
    }

    /** While suspended, orders are received but neither applied nor confirmed. */
    public void suspendOrders(boolean on) {
        suspended = on;
        if (!on) {
            sessions.values().forEach(this::applyNext);
        }
    }

    /** Returns the number of blocked flows. */
    public synchronized long blocked() {
        return blocked;
    }

    /** Returns the number of retries. */
    public synchronized long retried() {
        return retried;
    }

    /** Returns the number of lines ignored because their coordinator was not in charge of the slice. */
    public synchronized long linesNotInCharge() {
        return linesNotInCharge;
    }

    @Override
    public void close() {
        closed = true;
        listener.close();
        sessions.values().forEach(session -> session.dialer.close());
        if (store != null) {
            store.close();
        }
    }

    // ---- Orders.

    /** @param up where to send to; null: the stream broke */
    private void onStreamChange(CoordinatorSession session, FrameSink up) {
        synchronized (this) {
            if (up != null && session.dialer.incarnation() != session.incarnation) {
                // Masks and levels end with the coordinator's process, since its successor has no record of them.
                session.incarnation = session.dialer.incarnation();
                List<Order> lifted = new ArrayList<>();
                session.masks.forEach(server -> lifted.add(new Order.Mask(server, false)));
                session.masks.clear();
                session.levels.clear();
                recorder.add(new Observation.OrdersApplied(
                        System.nanoTime(), number, session.number, System.nanoTime(), lifted));
            }
            session.lostAt = up == null && session.sink != null ? System.nanoTime() : session.lostAt;
            session.sink = up;
            session.joinedBefore |= up != null;
            // Orders in transit are lost with the stream; applied ones stay.
            session.pending.clear();
            recorder.add(new Observation.StreamChanged(System.nanoTime(), number, session.number, up != null));
        }
        if (up != null) {
            // Reads twice: what the coordinator wrote to the store just before its welcome may not have arrived there.
            readStore(-1);
            net.schedule(REREAD_DELAY_MS, () -> readStore(-1));
        }
    }

    private void onFrame(CoordinatorSession session, Frame frame) {
        if (frame instanceof Frame.Orders orders) {
            recorder.add(new Observation.OrdersReceived(
                    System.nanoTime(),
                    number,
                    session.number,
                    orders.turn(),
                    orders.orderedAtNs(),
                    orders.orders().size()));
            synchronized (this) {
                // Transit takes 0.5 to 1.5 times the mean, but keeps the order; the time of the lines is added.
                long transit = (long) (timings.transitNs * (0.5 + random.nextDouble()));
                long dueNs = Math.max(session.lastDueNs, System.nanoTime() + transit)
                        + orders.orders().size() * timings.applyNsPerLine;
                session.lastDueNs = dueNs;
                session.pending.addLast(new PendingOrders(orders, dueNs));
            }
            applyNext(session);
        }
    }

    /** Schedules the first of the pending orders; messages take effect one after another. */
    private void applyNext(CoordinatorSession session) {
        PendingOrders next;
        synchronized (this) {
            if (session.applying || suspended || session.pending.isEmpty()) {
                return;
            }
            session.applying = true;
            next = session.pending.peekFirst();
        }
        net.timer()
                .schedule(
                        () -> {
                            apply(session, next);
                            applyNext(session);
                        },
                        Math.max(0, next.dueNs - System.nanoTime()),
                        TimeUnit.NANOSECONDS);
    }

    /** Applies the orders, unless they were lost meanwhile, and confirms their marks. */
    private void apply(CoordinatorSession session, PendingOrders next) {
        Frame.Orders orders = next.orders;
        final FrameSink to;
        List<Order> applied = new ArrayList<>();
        List<Frame.Stale> refusals = new ArrayList<>();
        List<Integer> marks = new ArrayList<>();
        synchronized (this) {
            session.applying = false;
            if (suspended || session.pending.peekFirst() != next) {
                return;
            }
            session.pending.pollFirst();
            Set<Integer> stale = fenceByTerm(session, orders, refusals);
            for (Order order : orders.orders()) {
                if (order instanceof Order.SetLine o && stale.contains(o.table())
                        || order instanceof Order.ClearTable c && stale.contains(c.table())) {
                    continue;
                }
                applied.add(order);
                if (order instanceof Order.SetLine o) {
                    if (owners.getOrDefault(o.table(), -1) != session.number) {
                        linesNotInCharge++;
                        continue;
                    }
                    TreeMap<String, Double> table = tables.computeIfAbsent(o.table(), t -> new TreeMap<>());
                    if (config.soleOwner && o.weight() > 0) {
                        table.clear();
                    }
                    table.compute(o.server(), (s, was) -> o.weight() > 0 ? o.weight() : null);
                } else if (order instanceof Order.ClearTable o) {
                    if (owners.getOrDefault(o.table(), -1) == session.number) {
                        tables.remove(o.table());
                    }
                } else if (order instanceof Order.Mask o) {
                    boolean changed = o.masked() ? session.masks.add(o.server()) : session.masks.remove(o.server());
                } else if (order instanceof Order.SetLevel o) {
                    int groups = o.groups() == 0 ? -1 : o.groups();
                    for (int group = 0; group < config.groups.size(); group++) {
                        if ((groups & 1 << group) != 0) {
                            session.levels.put(group, o);
                        }
                    }
                } else if (order instanceof Order.Mark o) {
                    marks.add(o.number());
                }
            }
            recorder.add(new Observation.OrdersApplied(
                    System.nanoTime(), number, session.number, orders.orderedAtNs(), applied));
            to = session.sink;
        }
        if (to != null) {
            refusals.forEach(refusal -> to.send(FrameWriter.encode(refusal)));
        }
        for (int mark : to == null ? List.<Integer>of() : marks) {
            to.send(FrameWriter.encode(new Frame.Applied(mark, System.nanoTime() - orders.orderedAtNs())));
        }
    }

    /**
     * Returns the slices for which the orders carry an older term than one seen before, and adds a refusal for each;
     * adopts newer terms.
     */
    private Set<Integer> fenceByTerm(CoordinatorSession session, Frame.Orders orders, List<Frame.Stale> refusals) {
        Set<Integer> stale = new HashSet<>();
        for (Frame.Term term : orders.terms()) {
            long known = terms.getOrDefault(term.slice(), 0L);
            if (term.term() < known) {
                stale.add(term.slice());
                refusals.add(new Frame.Stale(term.slice(), known));
                continue;
            }
            if (term.term() > known) {
                terms.put(term.slice(), term.term());
                owners.put(term.slice(), session.number);
                recorder.add(new Observation.OwnerRead(System.nanoTime(), number, term.slice(), session.number));
            }
            recorder.add(
                    new Observation.TermApplied(System.nanoTime(), number, session.number, term.slice(), term.term()));
        }
        return stale;
    }

    // ---- The store.

    private void onStoreStreamChange(FrameSink up) {
        synchronized (this) {
            storeLostAt = up == null && storeSink != null ? System.nanoTime() : storeLostAt;
            storeSink = up;
        }
        readStore(-1);
    }

    /** Requests from the store the table and owner of the slice; -1: of all. */
    private void readStore(int slice) {
        FrameSink to;
        synchronized (this) {
            to = storeSink;
        }
        if (to != null) {
            to.send(FrameWriter.encode(new Frame.ReadSlice(slice)));
        }
    }

    private void onStoreFrame(Frame frame) {
        if (frame instanceof Frame.Owner f) {
            synchronized (this) {
                if (f.term() < terms.getOrDefault(f.slice(), 0L)) {
                    // Orders of a newer term came before the store's answer about an older one.
                    return;
                }
                terms.put(f.slice(), f.term());
                owners.put(f.slice(), f.coordinator());
                recorder.add(new Observation.OwnerRead(System.nanoTime(), number, f.slice(), f.coordinator()));
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
                recorder.add(new Observation.TableRead(System.nanoTime(), number, f.slice(), lines));
            }
        }
    }

    // ---- Flows.

    /** A client's stream. */
    private final class Stream implements Link.Receiver {
        private final HttpParser parser = new HttpParser(true, 64 * 1024, this::onRequest);
        private Link link;

        @Override
        public void received(Link from, ByteBuffer bytes) {
            link = from;
            parser.feed(bytes);
        }

        private void onRequest(HttpParser.Message request) {
            Flow flow = new Flow(request, link);
            flow.begin();
        }

        @Override
        public void ended(Link from, Link.Cause cause, String detail) {}
    }

    /** A flow from its arrival to its answer. */
    private final class Flow {
        final HttpParser.Message request;
        final Link client;
        final long id;
        final int slice;
        final int group;
        final long workNs;
        final long expiresAt;
        /** Servers that it was sent to. */
        final Set<String> tried = new HashSet<>();

        final long receivedAt = System.nanoTime();
        /** Number of attempts so far. */
        int attempt;

        Flow(HttpParser.Message request, Link client) {
            this.request = request;
            this.client = client;
            this.slice = Integer.parseInt(request.header("x-slice"));
            this.group = Integer.parseInt(request.header("x-group"));
            this.workNs = Long.parseLong(request.header("x-work-ns"));
            this.expiresAt = receivedAt + Long.parseLong(request.header("x-expiry-ns"));
            synchronized (StandInProxy.this) {
                this.id = nextFlow++;
            }
        }

        /** Sends or blocks it, by the level of its group. */
        void begin() {
            boolean admitted;
            synchronized (StandInProxy.this) {
                CoordinatorSession session = session();
                if (session != null) {
                    session.demand.computeIfAbsent((long) slice << 8 | group, k -> new long[2])[0]++;
                }
                Order.SetLevel level = session == null ? null : session.levels.get(group);
                admitted = level == null || level.level() >= 1 || random.nextDouble() < level.level();
            }
            if (admitted) {
                send();
            } else {
                block();
            }
        }

        /** Returns the session with the coordinator in charge of the slice; null if there is none. */
        private CoordinatorSession session() {
            return sessions.get(owners.getOrDefault(slice, -1));
        }

        /** Sends an attempt; without a server holds the flow, and then blocks it. */
        private void send() {
            String server;
            int coordinator;
            long now = System.nanoTime();
            synchronized (StandInProxy.this) {
                CoordinatorSession session = session();
                coordinator = session == null ? -1 : session.number;
                server = pick(session, now);
                if (server != null) {
                    tried.add(server);
                    recorder.add(new Observation.AttemptSent(
                            now, number, server, slice, group, id, attempt, workNs, coordinator));
                }
            }
            if (server == null) {
                if (attempt == 0 && now - receivedAt < timings.holdNs) {
                    net.schedule(HOLD_CHECK_MS, this::send);
                } else {
                    block();
                }
                return;
            }
            attempt++;
            int attemptNumber = attempt;
            long timeout = expiresAt - now;
            Order.Retry retry = retry();
            boolean retryMayFollow = (retry == Order.Retry.ONCE || retry == Order.Retry.TWICE) && mayRetry(retry);
            if (retryMayFollow) {
                timeout = Math.min(timeout, (long)
                        (timings.attemptBudgets * config.groups.get(group).budgetNs()));
            }
            String text = "POST /flow HTTP/1.1\r\nhost: " + server + "\r\nx-flow: " + id + "\r\nx-slice: " + slice
                    + "\r\nx-group: " + group + "\r\nx-key: " + request.header("x-key") + "\r\nx-work-ns: " + workNs
                    + "\r\ncontent-length: 0\r\n\r\n";
            httpClient.call(
                    address(server),
                    text,
                    Math.max(MIN_TIMEOUT_NS, timeout),
                    result -> onEnd(server, attemptNumber, now, result));
        }

        /** Returns what retries the coordinator in charge allows. */
        private Order.Retry retry() {
            synchronized (StandInProxy.this) {
                CoordinatorSession session = session();
                Order.SetLevel level = session == null ? null : session.levels.get(group);
                return level == null ? Order.Retry.NEVER : level.retry();
            }
        }

        /** Returns whether the flow has had fewer attempts than the order allows. */
        private boolean mayRetry(Order.Retry retry) {
            return attempt < (retry == Order.Retry.TWICE ? 3 : 2);
        }

        /**
         * Returns whether a write may be sent to the slice's single owner: while the coordinator in charge could order
         * another owner and the store could name another coordinator, and for a proxy lease after either stream broke.
         */
        private boolean mayWrite(CoordinatorSession session, long now) {
            return config.groups.get(group).retrySafety() == CoordinatorConfig.RetrySafety.RETRIABLE
                    || session != null
                            && (session.sink != null || now - session.lostAt < config.proxyLeaseNs)
                            && (storeSink != null || now - storeLostAt < config.proxyLeaseNs);
        }

        /** Returns a random server by weight that was not tried yet; null if there is none. */
        private String pick(CoordinatorSession session, long now) {
            if (config.soleOwner && !mayWrite(session, now)) {
                return null;
            }
            TreeMap<String, Double> table = tables.getOrDefault(slice, new TreeMap<>());
            Set<String> masks = session == null ? Set.of() : session.masks;
            TreeMap<String, Double> usable = new TreeMap<>();
            TreeMap<String, Double> toAvoid = new TreeMap<>();
            table.forEach((server, weight) -> {
                if (weight > 0 && !masks.contains(server) && !tried.contains(server)) {
                    AvoidedServer state = avoided.get(server);
                    (state != null && state.until > now ? toAvoid : usable).put(server, weight);
                }
            });
            // An avoided server is better than none.
            TreeMap<String, Double> candidates = usable.isEmpty() ? toAvoid : usable;
            double totalWeight = candidates.values().stream()
                    .mapToDouble(Double::doubleValue)
                    .sum();
            double at = random.nextDouble() * totalWeight;
            String last = null;
            for (Map.Entry<String, Double> line : candidates.entrySet()) {
                last = line.getKey();
                at -= line.getValue();
                if (at < 0) {
                    return last;
                }
            }
            return last;
        }

        /** Records the end of an attempt; then answers or retries. */
        private void onEnd(String server, int attemptNumber, long sentAt, PooledHttpClient.Result result) {
            long now = System.nanoTime();
            boolean again;
            synchronized (StandInProxy.this) {
                recorder.add(new Observation.AttemptEnded(
                        now, number, id, attemptNumber - 1, result.good(), result.provenNotRun()));
                recordOutcome(server, sentAt, now, result);
                Order.Retry retry = retry();
                again = !result.good()
                        && now < expiresAt - MIN_TIME_FOR_RETRY_NS
                        && switch (retry) {
                            case NEVER -> false;
                            case ON_PROOF -> result.provenNotRun() && attempt < 2;
                            case ONCE, TWICE -> mayRetry(retry);
                        }
                        && tables.getOrDefault(slice, new TreeMap<>()).size() > 1;
                retried += again ? 1 : 0;
            }
            if (result.good()) {
                answer(200, "OK", "");
            } else if (again) {
                send();
            } else {
                answer(502, "Bad Gateway", result.provenNotRun() ? "x-proof: 1\r\n" : "");
            }
        }

        /** Adds the outcome of an attempt to the report, and decides whether to avoid the server. */
        private void recordOutcome(String server, long sentAt, long now, PooledHttpClient.Result result) {
            CoordinatorSession session = session();
            if (session != null) {
                ServerTotals totals = session.totals.computeIfAbsent(server, s -> new ServerTotals());
                totals.attempts++;
                if (result.good()) {
                    totals.latencyNs += now - sentAt;
                } else {
                    totals.dropped++;
                    session.demand.computeIfAbsent((long) slice << 8 | group, k -> new long[2])[1]++;
                }
                if (result.answer() != null
                        && !result.answer().header(OrcaReport.HEADER).isEmpty()) {
                    totals.report = OrcaReport.read(result.answer().header(OrcaReport.HEADER));
                }
            }
            AvoidedServer state = avoided.computeIfAbsent(server, s -> new AvoidedServer());
            state.failures = result.good() ? 0 : state.failures + 1;
            if (timings.failuresToAvoid > 0 && state.failures >= timings.failuresToAvoid) {
                state.failures = 0;
                state.until = now + timings.avoidNs;
            }
        }

        /** Answers at once and states when to retry, so that the client need not wait until the expiry. */
        private void block() {
            synchronized (StandInProxy.this) {
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
            return addresses.computeIfAbsent(server, Net::parseAddress);
        }
    }

    // ---- Reports.

    /** Sends totals and demand of the past round to each coordinator, after the delay of {@link Timings}. */
    private void report() {
        if (closed) {
            return;
        }
        List<Runnable> sends = new ArrayList<>();
        synchronized (this) {
            // Rounds are numbered by the clock, so that the same number means the same time at all proxies.
            round = System.nanoTime() / config.roundNs;
            for (CoordinatorSession session : sessions.values()) {
                List<Frame.Met> met = new ArrayList<>();
                session.totals.forEach((server, totals) -> met.add(
                        new Frame.Met(server, totals.attempts, totals.dropped, totals.latencyNs, totals.report)));
                List<Frame.Came> came = new ArrayList<>();
                session.demand.forEach((key, counts) -> {
                    if (counts[0] > 0) {
                        came.add(new Frame.Came(
                                (int) (key >> 8), (int) (key & 0xff), counts[0], Math.min(counts[0], counts[1])));
                    }
                });
                session.totals = new TreeMap<>();
                session.demand = new TreeMap<>();
                FrameSink to = session.sink;
                if (to != null && !closed) {
                    Frame sums = new Frame.Sums(zone, round, config.roundNs, met);
                    Frame demand = new Frame.Demand(round, config.roundNs, came);
                    sends.add(() -> {
                        to.send(FrameWriter.encode(sums));
                        to.send(FrameWriter.encode(demand));
                    });
                }
            }
        }
        sends.forEach(send -> net.schedule(timings.reportDelayNs / 1_000_000, send));
        net.timer().schedule(this::report, config.roundNs, TimeUnit.NANOSECONDS);
    }

    /** Returns the servers of the slice's table that the coordinator in charge does not mask. */
    public synchronized List<String> unmaskedServers(int slice) {
        CoordinatorSession session = sessions.get(owners.getOrDefault(slice, -1));
        return tables.getOrDefault(slice, new TreeMap<>()).keySet().stream()
                .filter(s -> session == null || !session.masks.contains(s))
                .toList();
    }
}
