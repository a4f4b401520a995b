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
import puffinbarrow.audit.Observation;
import puffinbarrow.config.CoordinatorConfig;
import puffinbarrow.control.Event;
import puffinbarrow.control.Order;
import puffinbarrow.coordinator.FrameSink;
import puffinbarrow.proto.Frame;

/**
 * A proxy in simulated time. It picks servers from the tables it is sent, avoids a server after several failed
 * attempts in a row, retries only as its orders allow, and holds a flow without a server for a moment before it
 * blocks it. Orders take effect after a delay and in order.
 */
final class Proxy {
    /**
     * A flow from its arrival at the proxy to its answer; {@code answer} takes the status code, one of the constants
     * of {@link Server}.
     */
    static final class Flow {
        final long id;
        final int slice;
        final int group;
        final int key;
        final long workNs;
        final long arrivedAtNs;
        final long expiresAtNs;
        final IntConsumer answer;
        /** Servers tried so far: few, so a list is as fast as a set. */
        final List<Server> tried = new ArrayList<>(2);

        /** Number of attempts so far. */
        int attempt;

        private Attempt current;

        Flow(
                long id,
                int slice,
                int group,
                int key,
                long workNs,
                long arrivedAtNs,
                long expiresAtNs,
                IntConsumer answer) {
            this.id = id;
            this.slice = slice;
            this.group = group;
            this.key = key;
            this.workNs = workNs;
            this.arrivedAtNs = arrivedAtNs;
            this.expiresAtNs = expiresAtNs;
            this.answer = answer;
        }

        /** The flow has expired: ends its open attempt. */
        void expire() {
            if (current != null) {
                current.timeOut();
            }
        }
    }

    /** One attempt of a flow at one server. */
    final class Attempt {
        final Flow flow;
        final Server server;
        final int number;
        final long sentAtNs;
        final int serverIncarnation;
        boolean newConnection;
        boolean connected;
        boolean begun;
        boolean cancelled;
        private boolean finished;
        /** Index in the server's list of open attempts, or -1 if it is not in there. */
        int openIndex = -1;

        Attempt(Flow flow, Server server, int number, long sentAtNs) {
            this.flow = flow;
            this.server = server;
            this.number = number;
            this.sentAtNs = sentAtNs;
            this.serverIncarnation = server.incarnation();
        }

        long workNs() {
            return flow.workNs;
        }

        boolean finished() {
            return finished;
        }

        /** Completes the attempt with a status code and, if one came, a load report. */
        void complete(int code, Map<Event.Measure, Double> report) {
            if (!finished) {
                finished = true;
                releaseConnection(code > 0);
                Proxy.this.attemptEnded(this, code, report);
            }
        }

        private void releaseConnection(boolean reusable) {
            if (connected) {
                pool(server).giveBack(server, serverIncarnation, reusable, simulation.now());
            }
        }

        /** Ends the attempt without an answer. */
        void timeOut() {
            if (!finished) {
                finished = true;
                releaseConnection(false);
                server.abandon(this);
                Proxy.this.attemptEnded(this, Server.RESET, null);
            }
        }
    }

    /** Idle connections to one server, kept for reuse. */
    private static final class ConnectionPool {
        /** Number of idle connections. */
        int idle;
        /** Incarnation of the server that the idle connections lead to. */
        int poolIncarnation;

        long usedAtNs;

        /** Takes an idle connection to the given incarnation of the server; false if there is none. */
        boolean takeIdle(int incarnation) {
            idle = poolIncarnation == incarnation ? idle : 0;
            poolIncarnation = incarnation;
            if (idle > 0) {
                idle--;
                return true;
            }
            return false;
        }

        /** Returns a connection after an attempt; closes it if it cannot be used again. */
        void giveBack(Server server, int incarnation, boolean reusable, long now) {
            if (incarnation != server.incarnation()) {
                return;
            }
            usedAtNs = now;
            if (reusable && poolIncarnation == incarnation) {
                idle++;
            } else {
                server.connectionsClosed(1, incarnation);
            }
        }
    }

    /** Failures in a row at one server, and the end of its avoidance. */
    private static final class FailureStreak {
        int failures;
        long avoidUntilNs;
    }

    /** Attempts at one server since the last report round. */
    private static final class ServerCounts {
        long attempts;
        long dropped;
        long latencySumNs;
        Map<Event.Measure, Double> report = Map.of();
    }

    /** Orders that take effect at a stated time. */
    private record ScheduledOrders(Frame.Orders orders, long atNs) {}

    /** The stream to one coordinator, and the masks and levels that it ordered. */
    final class CoordinatorStream implements FrameSink {
        final CoordinatorModel coordinator;
        final Set<String> masks = new HashSet<>();
        final Order.SetLevel[] levels = new Order.SetLevel[config.groups.size()];
        /** Orders that have arrived but not taken effect, in order. */
        final ArrayDeque<ScheduledOrders> pendingOrders = new ArrayDeque<>();

        /** When the last of the pending orders takes effect; later ones do not overtake it. */
        long lastApplyAtNs;
        /** When the stream last ended, as seen by the proxy; the start of the proxy before the first stream. */
        long lostAtNs = simulation.now();
        /** The incarnation that the masks and levels are from. */
        long coordinatorIncarnation;

        Map<Server, ServerCounts> serverCounts = new LinkedHashMap<>();
        /**
         * Flows by slice and group since the last report round (key: slice shifted left by 8, plus group): arrivals,
         * dropped attempts.
         */
        Map<Long, long[]> demand = new TreeMap<>();

        /** Whether the first of the pending orders is scheduled to take effect. */
        boolean applying;
        /** Whether this coordinator has welcomed the proxy before. */
        boolean welcomedBefore;

        boolean cut;
        /**
         * {@code joined}: the coordinator regards the stream as open; {@code up}: the proxy does. They differ only
         * for the network delay.
         */
        boolean joined;

        boolean up;
        /** Number of attempts to connect; events that belong to an earlier stream are ignored. */
        int dialCount;

        private long redialPauseNs = CoordinatorModel.MIN_REDIAL_PAUSE_NS;

        CoordinatorStream(CoordinatorModel coordinator) {
            this.coordinator = coordinator;
        }

        void dial() {
            if (cut) {
                redial();
                return;
            }
            int expectedDial = ++dialCount;
            simulation.after(2 * model.networkDelayNs, () -> {
                if (expectedDial == dialCount && !cut && coordinator.acceptsProxies()) {
                    joined = true;
                    coordinator.join(
                            this,
                            new Frame.Hello(
                                    Frame.MAJOR,
                                    Frame.MINOR,
                                    Frame.Role.PROXY,
                                    number,
                                    zone,
                                    number + 1L,
                                    !welcomedBefore,
                                    10));
                } else if (expectedDial == dialCount) {
                    redial();
                }
            });
        }

        /** Connects again after a pause that doubles with each attempt. */
        private void redial() {
            int expectedDial = dialCount;
            simulation.after(redialPauseNs, () -> {
                if (expectedDial == dialCount) {
                    dial();
                }
            });
            redialPauseNs = Math.min(CoordinatorModel.MAX_REDIAL_PAUSE_NS, 2 * redialPauseNs);
        }

        int number() {
            return number;
        }

        /** Cuts the proxy off from the coordinator, or lets it connect again. */
        void cut(boolean on) {
            cut = on;
            if (on) {
                end();
            }
        }

        /** Breaks the stream and notifies the coordinator, unless that is down itself. */
        void end() {
            if (joined) {
                joined = false;
                coordinator.left(this);
                int expectedDial = ++dialCount;
                simulation.after(model.networkDelayNs, () -> {
                    if (expectedDial == dialCount) {
                        markDown();
                        redial();
                    }
                });
            }
        }

        /** The proxy notices the end of the stream. */
        private void markDown() {
            if (up) {
                up = false;
                lostAtNs = simulation.now();
                pendingOrders.clear();
                observe(new Observation.StreamChanged(simulation.now(), number, coordinator.number, false));
            }
        }

        @Override
        public boolean send(ByteBuffer bytes) {
            if (!joined) {
                return false;
            }
            Frame frame = fleet.decode(bytes);
            int expectedDial = dialCount;
            simulation.after(model.networkDelayNs, () -> {
                if (expectedDial == dialCount && joined) {
                    handle(frame);
                }
            });
            return true;
        }

        @Override
        public void close(String why) {
            end();
        }

        private void handle(Frame frame) {
            if (frame instanceof Frame.Welcome w) {
                redialPauseNs = CoordinatorModel.MIN_REDIAL_PAUSE_NS;
                welcomed(w.incarnation());
            } else if (frame instanceof Frame.Orders orders && up) {
                fleet.observe(new Observation.OrdersReceived(
                        simulation.now(),
                        number,
                        coordinator.number,
                        orders.turn(),
                        orders.orderedAtNs(),
                        orders.orders().size()));
                long delayNs = (long) (transitNs * (0.5 + random.nextDouble()));
                long applyAtNs = Math.max(lastApplyAtNs, simulation.now() + delayNs)
                        + orders.orders().size() * model.applyNsPerLine;
                lastApplyAtNs = applyAtNs;
                pendingOrders.addLast(new ScheduledOrders(orders, applyAtNs));
                applyNext();
            } else if (frame instanceof Frame.Bye) {
                end();
            }
        }

        /** The coordinator has accepted the stream. */
        private void welcomed(long incarnation) {
            if (incarnation != coordinatorIncarnation) {
                // Masks and levels end with the coordinator's incarnation: the next one has no record of them.
                coordinatorIncarnation = incarnation;
                List<Order> liftedMasks = new ArrayList<>();
                masks.stream().sorted().forEach(server -> liftedMasks.add(new Order.Mask(server, false)));
                masks.clear();
                Arrays.fill(levels, null);
                if (audited) {
                    fleet.observe(new Observation.OrdersApplied(
                            simulation.now(), number, coordinator.number, simulation.now(), liftedMasks));
                }
            }
            up = welcomedBefore = true;
            pendingOrders.clear();
            applying = false;
            observe(new Observation.StreamChanged(simulation.now(), number, coordinator.number, true));
            // Read twice: what the coordinator wrote to the store just before its welcome may still be in transit.
            fleet.store.readAll(Proxy.this);
            simulation.after(STORE_REREAD_DELAY_NS, () -> fleet.store.readAll(Proxy.this));
        }

        /** Schedules the first pending orders, one frame at a time. */
        private void applyNext() {
            if (applying || pendingOrders.isEmpty()) {
                return;
            }
            applying = true;
            ScheduledOrders next = pendingOrders.peekFirst();
            simulation.at(next.atNs, () -> {
                if (pendingOrders.peekFirst() == next) {
                    applying = false;
                    pendingOrders.pollFirst();
                    apply(next.orders);
                    applyNext();
                }
            });
        }

        /** Puts orders into effect. */
        private void apply(Frame.Orders orders) {
            Set<Integer> stale = fence(this, orders);
            for (Order order : orders.orders()) {
                if (order instanceof Order.SetLine o) {
                    if (owners[o.table()] != coordinator.number) {
                        wrongOwnerLines += stale.contains(o.table()) ? 0 : 1;
                    } else if (!stale.contains(o.table())) {
                        tables[o.table()] = tables[o.table()].with(o, fleet.server(o.server()), config.soleOwner);
                    }
                } else if (order instanceof Order.ClearTable o) {
                    if (owners[o.table()] == coordinator.number && !stale.contains(o.table())) {
                        tables[o.table()] = Table.EMPTY;
                    }
                } else if (order instanceof Order.Mask o) {
                    if (o.masked()) {
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
                    toCoordinator(new Frame.Applied(o.number(), simulation.now() - orders.orderedAtNs()));
                }
            }
            if (audited) {
                fleet.observe(new Observation.OrdersApplied(
                        simulation.now(),
                        number,
                        coordinator.number,
                        orders.orderedAtNs(),
                        stale.isEmpty()
                                ? orders.orders()
                                : orders.orders().stream()
                                        .filter(o -> !(o instanceof Order.SetLine l && stale.contains(l.table())
                                                || o instanceof Order.ClearTable c && stale.contains(c.table())))
                                        .toList()));
            }
        }

        void toCoordinator(Frame frame) {
            int expectedDial = dialCount;
            simulation.after(model.networkDelayNs, () -> {
                if (expectedDial == dialCount && joined) {
                    coordinator.fromProxy(this, frame);
                }
            });
        }

        private void observe(Observation observation) {
            fleet.observe(observation);
        }
    }

    /** As in the stand-in proxies: within the second that the protocol gives a proxy to read the store. */
    private static final long STORE_REREAD_DELAY_NS = 500_000_000L;

    /** Interval at which a held flow looks for a server again. */
    private static final long HOLD_POLL_NS = 20_000_000L;
    /** A flow with less time than this left to its expiry is not retried. */
    private static final long MIN_RETRY_TIME_LEFT_NS = 50_000_000L;

    private final Fleet fleet;
    private final Simulation simulation;
    private final ModelParameters model;
    private final CoordinatorConfig config;
    final int number;
    final int zone;
    /** Whether changes of this proxy's tables are reported to the audit. */
    private final boolean audited;

    private final long transitNs;
    private final long sumsLateNs;
    private final UniformRandomProvider random;
    private final CoordinatorStream[] streams;
    private final Table[] tables;
    /** Owning coordinator by slice, or -1. */
    private final int[] owners;
    /** Latest term seen, by slice. */
    private final long[] terms;

    private final Map<Server, FailureStreak> failureStreaks = new HashMap<>();
    private final Map<Server, ConnectionPool> pools = new LinkedHashMap<>();
    /** This proxy's attempts in flight by server; counted only for picks of two choices. */
    private final Map<Server, int[]> inFlight = new HashMap<>();

    /** Number of picks by slice; for picks in turn. */
    private final Map<Integer, Integer> rotations = new HashMap<>();

    private long nextFlow;
    /** Whether a read of the complete store is under way. */
    boolean storeReadPending;

    long storeLostAtNs;
    long retries;
    /** Lines ignored because the sender does not own the slice. */
    long wrongOwnerLines;
    /** Terms of orders that were older than one already seen. */
    long staleOrders;

    Proxy(Fleet fleet, int number, boolean audited) {
        this.fleet = fleet;
        this.simulation = fleet.simulation;
        this.model = fleet.model;
        this.config = fleet.config;
        this.number = number;
        this.zone = number % fleet.script.zones;
        this.audited = audited;
        this.transitNs = fleet.script.transitNs;
        this.sumsLateNs = fleet.script.sumsLateNs;
        this.random = simulation.random("proxy", number);
        this.nextFlow = (long) number << 40;
        this.storeLostAtNs = simulation.now();
        int slices = fleet.script.slices;
        tables = new Table[slices];
        Arrays.fill(tables, Table.EMPTY);
        owners = new int[slices];
        Arrays.fill(owners, -1);
        terms = new long[slices];
        streams = new CoordinatorStream[fleet.script.coordinators];
    }

    void start(List<CoordinatorModel> coordinators) {
        for (CoordinatorModel coordinator : coordinators) {
            streams[coordinator.number] = new CoordinatorStream(coordinator);
        }
        for (CoordinatorStream stream : streams) {
            stream.dial();
        }
        fleet.store.readAll(this);
        // Report rounds are not aligned, as proxies are not started together.
        simulation.after((long) (random.nextDouble() * config.roundNs), this::reportRound);
    }

    CoordinatorStream coordinatorStream(int coordinator) {
        return streams[coordinator];
    }

    /** Returns whether every slice has a server and every coordinator is connected. */
    boolean ready() {
        for (Table table : tables) {
            if (table.size() == 0) {
                return false;
            }
        }
        for (CoordinatorStream stream : streams) {
            if (!stream.up) {
                return false;
            }
        }
        return true;
    }

    private ConnectionPool pool(Server server) {
        return pools.computeIfAbsent(server, s -> new ConnectionPool());
    }

    // ---- The store.

    /** Takes over the complete contents of the store; the arrays are copies made for this answer. */
    void read(int[] storedOwners, long[] storedTerms, Table[] storedTables) {
        storeReadPending = false;
        for (int slice = 0; slice < tables.length; slice++) {
            read(slice, storedOwners[slice], storedTerms[slice], storedTables[slice]);
        }
    }

    /** Takes over the owner and the table of a slice from the store; the owner of an older term is ignored. */
    void read(int slice, int owner, long term, Table table) {
        if (term >= terms[slice]) {
            terms[slice] = term;
            if (owners[slice] != owner) {
                owners[slice] = owner;
                if (audited) {
                    fleet.observe(new Observation.OwnerRead(simulation.now(), number, slice, owner));
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
                fleet.observe(new Observation.TableRead(simulation.now(), number, slice, lines));
            }
        }
    }

    /**
     * Returns the slices for which these orders carry an older term than one already seen, and takes over newer
     * terms.
     */
    private Set<Integer> fence(CoordinatorStream stream, Frame.Orders orders) {
        Set<Integer> stale = Set.of();
        for (Frame.Term term : orders.terms()) {
            int slice = term.slice();
            if (term.term() < terms[slice]) {
                stale = stale.isEmpty() ? new HashSet<>() : stale;
                stale.add(slice);
                staleOrders++;
                stream.toCoordinator(new Frame.Stale(slice, terms[slice]));
                continue;
            }
            if (term.term() > terms[slice]) {
                terms[slice] = term.term();
                owners[slice] = stream.coordinator.number;
                if (audited) {
                    fleet.observe(
                            new Observation.OwnerRead(simulation.now(), number, slice, stream.coordinator.number));
                }
            }
            if (audited) {
                fleet.observe(new Observation.TermApplied(
                        simulation.now(), number, stream.coordinator.number, slice, term.term()));
            }
        }
        return stale;
    }

    // ---- Flows.

    /** Accepts a flow from a client; {@code answer} is called once with its status code. */
    Flow request(int slice, int group, int key, long workNs, long expiresAtNs, IntConsumer answer) {
        Flow flow = new Flow(nextFlow++, slice, group, key, workNs, simulation.now(), expiresAtNs, answer);
        CoordinatorStream stream = ownerStream(flow);
        if (stream != null) {
            stream.demand.computeIfAbsent((long) slice << 8 | group, k -> new long[2])[0]++;
        }
        Order.SetLevel level = stream == null ? null : stream.levels[group];
        if (level == null || level.level() >= 1 || random.nextDouble() < level.level()) {
            send(flow);
        } else {
            flow.answer.accept(Server.REJECTED);
        }
        return flow;
    }

    /** Returns the stream of the coordinator that owns the slice, or null. */
    private CoordinatorStream ownerStream(Flow flow) {
        int owner = owners[flow.slice];
        return owner < 0 ? null : streams[owner];
    }

    /** Returns what retries the owner allows for the group of the flow. */
    private Order.Retry retryMode(Flow flow) {
        CoordinatorStream stream = ownerStream(flow);
        Order.SetLevel level = stream == null ? null : stream.levels[flow.group];
        return level == null ? Order.Retry.NEVER : level.retry();
    }

    /** Returns whether another attempt is allowed even if the last one may have run. */
    private static boolean retryAllowed(Flow flow, Order.Retry retry) {
        return (retry == Order.Retry.ONCE || retry == Order.Retry.TWICE)
                && flow.attempt < (retry == Order.Retry.TWICE ? 3 : 2);
    }

    /** Sends the next attempt of a flow, or holds or blocks the flow if there is no server. */
    private void send(Flow flow) {
        long now = simulation.now();
        CoordinatorStream stream = ownerStream(flow);
        Server server = pickServer(flow, stream, now);
        if (server == null) {
            if (flow.attempt == 0 && now - flow.arrivedAtNs < model.holdNs) {
                simulation.after(HOLD_POLL_NS, () -> send(flow));
            } else {
                flow.answer.accept(Server.REJECTED);
            }
            return;
        }
        flow.tried.add(server);
        Attempt attempt = new Attempt(flow, server, flow.attempt, now);
        fleet.observe(new Observation.AttemptSent(
                now,
                number,
                server.id(),
                flow.slice,
                flow.group,
                flow.id,
                flow.attempt,
                flow.workNs,
                stream == null ? -1 : stream.coordinator.number));
        flow.attempt++;
        flow.current = attempt;
        // The last attempt ends with the flow, by the timer of the client; one that may be retried times out sooner.
        long timeoutNs =
                (long) (model.attemptBudgets * config.groups.get(flow.group).budgetNs());
        if (timeoutNs < flow.expiresAtNs - now && retryAllowed(flow, retryMode(flow))) {
            simulation.after(timeoutNs, attempt::timeOut);
        }
        if (model.pick == ModelParameters.Pick.TWO_CHOICES) {
            inFlight.computeIfAbsent(server, s -> new int[1])[0]++;
        }
        if (pool(server).takeIdle(server.incarnation())) {
            attempt.connected = true;
            simulation.after(model.networkDelayNs, () -> arrive(attempt));
        } else {
            attempt.newConnection = true;
            simulation.after(model.networkDelayNs, () -> openConnection(attempt));
        }
    }

    /** The request for a connection arrives at the server. */
    private void openConnection(Attempt attempt) {
        if (attempt.finished) {
            return;
        }
        if (attempt.serverIncarnation == attempt.server.incarnation() && attempt.server.acceptConnection()) {
            attempt.connected = true;
            // One delay for the answer to the handshake, one for the request.
            simulation.after(2 * model.networkDelayNs, () -> arrive(attempt));
        } else {
            simulation.after(model.networkDelayNs, () -> {
                if (!attempt.finished) {
                    attempt.finished = true;
                    attemptEnded(attempt, Server.CONNECT_FAILED, null);
                }
            });
        }
    }

    /** The request arrives at the server. */
    private void arrive(Attempt attempt) {
        if (attempt.serverIncarnation != attempt.server.incarnation()) {
            simulation.after(model.networkDelayNs, () -> attempt.complete(Server.RESET, null));
        } else if (!attempt.finished || model.overdue == ModelParameters.Overdue.GOES_ON) {
            attempt.server.request(attempt);
        }
    }

    /**
     * Whether a flow may be sent under the single-owner rule: one that is not safe to repeat is sent only while the
     * stream to the coordinator and the store are up, or went down less than a proxy lease ago; otherwise a new owner
     * might have been named unnoticed.
     */
    private boolean maySend(Flow flow, CoordinatorStream stream, long now) {
        return config.groups.get(flow.group).retrySafety() == CoordinatorConfig.RetrySafety.RETRIABLE
                || stream != null
                        && (stream.up || now - stream.lostAtNs < config.proxyLeaseNs)
                        && (!fleet.store.unavailable() || now - storeLostAtNs < config.proxyLeaseNs);
    }

    /** Picks a server for the next attempt by the slice's table, or returns null. */
    private Server pickServer(Flow flow, CoordinatorStream stream, long now) {
        if (config.soleOwner && !maySend(flow, stream, now)) {
            return null;
        }
        Table table = tables[flow.slice];
        int size = table.size();
        if (size == 1) {
            Server only = table.servers[0];
            return flow.tried.contains(only) || stream != null && stream.masks.contains(only.id()) ? null : only;
        }
        // First pass: servers that are not being avoided. Second pass: a server that failed lately is better than
        // none.
        Server[] candidates = new Server[size];
        double[] weights = new double[size];
        int count = 0;
        for (int pass = 0; pass < 2 && count == 0; pass++) {
            for (int i = 0; i < size; i++) {
                Server server = table.servers[i];
                FailureStreak streak = failureStreaks.get(server);
                if (table.weights[i] > 0
                        && (pass == 1 || streak == null || streak.avoidUntilNs <= now)
                        && !flow.tried.contains(server)
                        && (stream == null || !stream.masks.contains(server.id()))) {
                    candidates[count] = server;
                    weights[count++] = table.weights[i];
                }
            }
        }
        if (count <= 1) {
            return count == 0 ? null : candidates[0];
        }
        return switch (model.pick) {
            case WEIGHTED -> candidates[draw(weights, count)];
            case ROTATE -> candidates[rotations.merge(flow.slice, 1, Integer::sum) % count];
            case TWO_CHOICES -> {
                Server one = candidates[draw(weights, count)];
                Server other = candidates[draw(weights, count)];
                yield attemptsInFlight(other) < attemptsInFlight(one) ? other : one;
            }
        };
    }

    private int attemptsInFlight(Server server) {
        int[] count = inFlight.get(server);
        return count == null ? 0 : count[0];
    }

    /** Draws an index with a probability in proportion to its weight. */
    private int draw(double[] weights, int count) {
        double sum = 0;
        for (int i = 0; i < count; i++) {
            sum += weights[i];
        }
        double at = random.nextDouble() * sum;
        for (int i = 0; i < count; i++) {
            at -= weights[i];
            if (at < 0) {
                return i;
            }
        }
        return count - 1;
    }

    /** Answers the flow or retries it, as its orders allow. */
    private void attemptEnded(Attempt attempt, int code, Map<Event.Measure, Double> report) {
        Flow flow = attempt.flow;
        long now = simulation.now();
        boolean succeeded = code == Server.OK;
        boolean provenNotRun = code == Server.REJECTED || code == Server.CONNECT_FAILED;
        fleet.observe(new Observation.AttemptEnded(now, number, flow.id, attempt.number, succeeded, provenNotRun));
        if (model.pick == ModelParameters.Pick.TWO_CHOICES) {
            inFlight.get(attempt.server)[0]--;
        }
        recordAttempt(attempt, now, succeeded, report);
        Order.Retry retry = retryMode(flow);
        boolean retrying = !succeeded
                && now < flow.expiresAtNs - MIN_RETRY_TIME_LEFT_NS
                && switch (retry) {
                    case NEVER -> false;
                    case ON_PROOF -> provenNotRun && flow.attempt < 2;
                    case ONCE, TWICE -> retryAllowed(flow, retry);
                }
                && tables[flow.slice].size() > 1;
        if (succeeded) {
            flow.answer.accept(Server.OK);
        } else if (retrying) {
            retries++;
            send(flow);
        } else {
            flow.answer.accept(Server.ERROR);
        }
    }

    /** Records an attempt for the next report and for the avoidance of failing servers. */
    private void recordAttempt(Attempt attempt, long now, boolean succeeded, Map<Event.Measure, Double> report) {
        CoordinatorStream stream = ownerStream(attempt.flow);
        if (stream != null) {
            ServerCounts counts = stream.serverCounts.computeIfAbsent(attempt.server, s -> new ServerCounts());
            counts.attempts++;
            if (succeeded) {
                counts.latencySumNs += now - attempt.sentAtNs;
            } else {
                counts.dropped++;
                stream.demand
                        .computeIfAbsent((long) attempt.flow.slice << 8 | attempt.flow.group, k -> new long[2])[1]++;
            }
            if (report != null) {
                counts.report = report;
            }
        }
        if (model.failuresToAvoid > 0) {
            FailureStreak streak = failureStreaks.get(attempt.server);
            if (succeeded) {
                if (streak != null) {
                    streak.failures = 0;
                }
                return;
            }
            if (streak == null) {
                streak = new FailureStreak();
                failureStreaks.put(attempt.server, streak);
            }
            if (++streak.failures >= model.failuresToAvoid) {
                streak.failures = 0;
                streak.avoidUntilNs = now + model.avoidNs;
            }
        }
    }

    // ---- Reports to coordinators.

    /**
     * Sends sums and demand of the last round to the coordinators, and closes connections that were idle for too
     * long.
     */
    private void reportRound() {
        long round = simulation.now() / config.roundNs;
        for (CoordinatorStream stream : streams) {
            List<Frame.Met> serverSums = new ArrayList<>(stream.serverCounts.size());
            stream.serverCounts.forEach((server, counts) -> serverSums.add(
                    new Frame.Met(server.id(), counts.attempts, counts.dropped, counts.latencySumNs, counts.report)));
            serverSums.sort((a, b) -> a.server().compareTo(b.server()));
            List<Frame.Came> arrivals = new ArrayList<>(stream.demand.size());
            stream.demand.forEach((key, counts) -> {
                if (counts[0] > 0) {
                    arrivals.add(new Frame.Came(
                            (int) (key >> 8), (int) (key & 0xff), counts[0], Math.min(counts[0], counts[1])));
                }
            });
            stream.serverCounts = new LinkedHashMap<>();
            stream.demand = new TreeMap<>();
            if (stream.up) {
                Frame sums = new Frame.Sums(zone, round, config.roundNs, serverSums);
                Frame demand = new Frame.Demand(round, config.roundNs, arrivals);
                simulation.after(sumsLateNs, () -> {
                    if (stream.up) {
                        stream.toCoordinator(sums);
                        stream.toCoordinator(demand);
                    }
                });
            }
        }
        pools.forEach((server, pool) -> {
            if (pool.idle > 0 && simulation.now() - pool.usedAtNs > model.idleConnectionNs) {
                server.connectionsClosed(pool.idle, pool.poolIncarnation);
                pool.idle = 0;
            }
        });
        simulation.after(config.roundNs, this::reportRound);
    }
}
