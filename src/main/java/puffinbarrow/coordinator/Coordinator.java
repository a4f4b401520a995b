package puffinbarrow.coordinator;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.locks.LockSupport;
import java.util.function.Consumer;
import java.util.function.Function;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import puffinbarrow.config.CoordinatorConfig;
import puffinbarrow.config.Problem;
import puffinbarrow.control.Controller;
import puffinbarrow.control.Event;
import puffinbarrow.memory.FactWriter;
import puffinbarrow.net.ClientMemory;
import puffinbarrow.net.Link;
import puffinbarrow.net.Net;
import puffinbarrow.proto.Frame;
import puffinbarrow.proto.FrameException;
import puffinbarrow.proto.FrameReader;
import puffinbarrow.proto.FrameWriter;

/**
 * The coordinator daemon: listeners, connections and the decision thread around one {@link CoordinatorCore}. Threads of
 * the channel group decode frames and put them into the core's inbox; only the decision thread calls the core
 * otherwise. Started by the command line, by days in one process, by replays and by tests.
 */
public final class Coordinator implements AutoCloseable, CoordinatorCore.Environment {
    private static final Logger LOG = LoggerFactory.getLogger("puffinbarrow.coordinator");
    /** Failed batches saved for replay; the first ones show the cause, later ones repeat it. */
    private static final int MAX_SAVED_BATCHES = 20;
    /** Facts that may wait to be written: those of 10,000 servers and their slices, some tens of megabytes. */
    private static final int MAX_PENDING_FACTS = 200_000;
    /** A replay answers probes in recorded time, so that they must not time out in real time. */
    private static final long REPLAY_PROBE_TIMEOUT_MS = 3_600_000;

    /**
     * How long an orderly shutdown waits for its slices to be handed on. Slices left after that have no coordinator
     * until the lease expires.
     */
    private static final long LEAVE_TIMEOUT_NS = 2_000_000_000L;
    /** How long an orderly shutdown waits for the decision thread to end. */
    private static final long DECISION_END_TIMEOUT_S = 2;
    /** How long an orderly shutdown waits for queued bytes to be sent. */
    private static final long FLUSH_TIMEOUT_NS = 1_000_000_000L;
    /** The longest sleep of the decision thread. */
    private static final long MAX_SLEEP_NS = 100_000_000L;
    /** How long a connected proxy has to answer a ping when another process claims its number. */
    private static final long CLAIMED_NUMBER_ANSWER_NS = 1_000_000_000L;
    /** Proxy numbers are below this. */
    private static final int MAX_PROXIES = 65_536;
    /** Lines of a report above which its sender is read on only once the decision thread has taken it. */
    private static final int MAX_ORDINARY_REPORT_LINES = 1000;
    /** The longest frame of a client that has not identified itself; a hello is short. */
    private static final int MAX_HELLO_BYTES = 1024;
    /** What a client that has not identified itself may hold however little memory is left. */
    private static final int UNIDENTIFIED_ALLOWANCE_BYTES = 4 * 1024;
    /** The same for proxies and peers: ordinary frames and texts, and some orders that are not sent yet. */
    private static final int IDENTIFIED_ALLOWANCE_BYTES = 64 * 1024;
    /** The longest request to the admin listener, in characters. */
    private static final int MAX_ADMIN_REQUEST = 1024;
    /** Send queue of an admin connection: far above the longest status answer. */
    private static final long ADMIN_QUEUE_BYTES = 1 << 20;
    /** Threads of the channel group. */
    private static final int IO_THREADS = 2;
    /** Bounds on the interval between checks for idle connections, which is otherwise a quarter of the idle limit. */
    private static final long MIN_IDLE_CHECK_MS = 50;

    private static final long MAX_IDLE_CHECK_MS = 1000;

    private final CoordinatorConfig config;
    private final Meters meters = new Meters();
    private final Net net;
    private final CoordinatorCore core;
    /** Null if the settings keep no memory across restarts. */
    private final FactWriter factWriter;
    /** Null if the store assigns slices to coordinators, instead of leases. */
    private final LeaseHolder leaseHolder;

    private final Prober prober;
    /** Distinguishes this process from earlier ones of the same coordinator number. */
    private final long incarnation;
    /** Connections of proxies by proxy number. */
    private final Map<Integer, ClientConnection> proxies = new ConcurrentHashMap<>();
    /** Accepted connections, whether welcomed or not. */
    private final Set<ClientConnection> connections = ConcurrentHashMap.newKeySet();
    /** Bounds what proxies, peers and whoever else connects together make the process hold. */
    private final ClientMemory clientMemory = ClientMemory.ofHeap();

    private final List<Dialer> dialers = new ArrayList<>();
    private final TreeMap<Integer, Dialer> peerDialers = new TreeMap<>();
    private final FailureWindow failureWindow = new FailureWindow();
    private final AtomicLong failedBatches = new AtomicLong();
    private final CountDownLatch decisionThreadEnded = new CountDownLatch(1);
    private Dialer storeDialer;
    private Dialer registryDialer;
    private Net.Listener listener;
    private Net.Listener admin;
    private Thread decisionThread;
    private volatile boolean running = true;
    private volatile boolean orderlyShutdown;
    private volatile Consumer<Integer> onFatalExit = code -> {};

    /** Creates a coordinator with the configured rates; {@link #start} makes it run. */
    public Coordinator(CoordinatorConfig config, Controller.Factory factory) throws IOException {
        this(config, factory, CoordinatorCore.RateLimits.of(config), null);
    }

    /**
     * Creates a coordinator for a replay, with rates and probe addresses of its own.
     *
     * @param addresses maps a server id to the address to probe; null if ids are addresses
     */
    public Coordinator(
            CoordinatorConfig config,
            Controller.Factory factory,
            CoordinatorCore.RateLimits rateLimits,
            Function<String, InetSocketAddress> addresses)
            throws IOException {
        this.config = config;
        this.incarnation = System.nanoTime() ^ (long) config.number << 48;
        this.net = new Net("c" + config.number, IO_THREADS);
        this.prober = addresses == null ? new Prober(net) : new Prober(net, addresses, REPLAY_PROBE_TIMEOUT_MS);
        this.factWriter =
                config.memory == null ? null : FactWriter.open(config.memory, config.memoryBytes, MAX_PENDING_FACTS);
        this.core = new CoordinatorCore(
                config,
                factory,
                this,
                factWriter == null ? CoordinatorCore.Memory.NONE : new CoordinatorMemory(factWriter, incarnation),
                meters,
                rateLimits);
        this.leaseHolder = config.leaseNs > 0 && config.slices > 0
                ? new LeaseHolder(config, incarnation, new SystemClock(), core::offer, meters)
                : null;
        if (leaseHolder != null) {
            core.setFence(leaseHolder);
        }
        if (factWriter != null) {
            meters.gauge("memory.well", factWriter, k -> k.healthy() ? 1 : 0);
            meters.gauge("memory.skipped", factWriter, FactWriter::skipped);
            meters.gauge("memory.commits", factWriter, FactWriter::commits);
            meters.gauge("memory.bytes", factWriter, FactWriter::bytes);
            meters.gauge("memory.failures", factWriter, FactWriter::failures);
        }
    }

    /** Opens all sockets and starts the decision thread. */
    public Coordinator start() throws IOException {
        open();
        decisionThread = new Thread(this::run, "decisions-" + config.number);
        decisionThread.setDaemon(true);
        core.setConsumer(decisionThread);
        decisionThread.start();
        return this;
    }

    /** Opens all sockets without a decision thread: the caller runs turns with {@link #turnAt}, by its own clock. */
    public Coordinator startManually() throws IOException {
        open();
        return this;
    }

    /** Runs one turn at the given time on the caller's thread; only after {@link #startManually}. */
    public void turnAt(long now) {
        core.turn(now);
    }

    /** Returns how many inputs the inbox has received so far. */
    public long offered() {
        return core.offered();
    }

    private void open() throws IOException {
        listener = net.listen(config.listen, config.maxOutboundBytes, channel -> new ClientConnection());
        admin = net.listen(config.admin, ADMIN_QUEUE_BYTES, channel -> new AdminConnection());
        Frame.Hello hello = new Frame.Hello(
                Frame.MAJOR,
                Frame.MINOR,
                Frame.Role.COORDINATOR,
                config.number,
                config.zoneIndex(),
                incarnation,
                true,
                0);
        if (config.store != null) {
            if (leaseHolder == null) {
                storeDialer = dialer(
                        "store",
                        config.store,
                        hello,
                        f -> core.offer(new Input.FromStore(f)),
                        up -> core.offer(new Input.StoreConnection(up)));
            } else {
                storeDialer = dialer("store", config.store, hello, leaseHolder::frame, up -> {
                    core.offer(new Input.StoreConnection(up));
                    leaseHolder.store(up == null ? null : frame -> up.send(FrameWriter.encode(frame)));
                });
                leaseHolder.start();
            }
        }
        if (config.registry != null) {
            registryDialer = dialer(
                    "registry",
                    config.registry,
                    hello,
                    frame -> {
                        if (frame instanceof Frame.ServerList list) {
                            core.offer(new Input.FromRegistry(list));
                        }
                    },
                    up -> core.offer(new Input.RegistryConnection(up)));
        }
        config.peers.forEach(this::connectPeer);
        net.schedule(MAX_IDLE_CHECK_MS, this::checkConnections);
        if (config.portFile != null) {
            new CoordinatorAddresses(listener.address(), admin.address()).write(config.portFile);
        }
        LOG.atInfo()
                .addKeyValue("coordinator", config.number)
                .addKeyValue("listen", listener.address())
                .addKeyValue("admin", admin.address())
                .log("ready");
    }

    /** Connects to a peer; for callers that learn its address only after the start. */
    public void connectPeer(int number, InetSocketAddress address) {
        Frame.Hello asPeer = new Frame.Hello(
                Frame.MAJOR, Frame.MINOR, Frame.Role.PEER, config.number, config.zoneIndex(), incarnation, true, 0);
        peerDialers.put(
                number,
                dialer(
                        "peer " + number,
                        address,
                        asPeer,
                        frame -> {},
                        up -> core.offer(new Input.PeerConnection(number, up))));
    }

    /** Creates and starts a connection to another daemon. */
    private Dialer dialer(
            String name,
            InetSocketAddress to,
            Frame.Hello hello,
            Consumer<Frame> frames,
            Consumer<FrameSink> connectionChanged) {
        Dialer dialer = new Dialer(
                net, name, to, () -> hello, config.maxOutboundBytes, config.maxFrameBytes, frames, connectionChanged);
        dialers.add(dialer);
        return dialer.start();
    }

    /** Runs the decision thread until the coordinator ends. */
    private void run() {
        // The decisions use the system's monotonic clock; its origin does not matter to them.
        while (running) {
            long now = System.nanoTime();
            long next = core.turn(now);
            long sleepNs = Math.min(next - System.nanoTime(), MAX_SLEEP_NS);
            if (sleepNs > 0 && running) {
                // With inputs waiting, sleeps no longer than a tick: they are decided at the next one.
                LockSupport.parkNanos(core.idle() ? sleepNs : Math.min(sleepNs, config.tickNs));
            }
        }
        if (orderlyShutdown) {
            core.sendBye();
            core.saveMemory();
        }
        decisionThreadEnded.countDown();
    }

    /** The clock and timer of the lease holder: monotonic time and the network timer. */
    private final class SystemClock implements LeaseHolder.Clock {
        @Override
        public long now() {
            return System.nanoTime();
        }

        @Override
        public void after(long ns, Runnable work) {
            net.schedule(Math.max(1, ns / 1_000_000), work);
        }
    }

    // ---- CoordinatorCore.Environment, on the decision thread.

    @Override
    public void probe(String server, Consumer<Event.Probed> answer) {
        prober.probe(server, answer);
    }

    @Override
    public void failed(long now, List<Event> batch, RuntimeException failure) {
        long number = failedBatches.incrementAndGet();
        String saved = "not kept";
        if (config.failedBatches != null && number <= MAX_SAVED_BATCHES) {
            try {
                Files.createDirectories(config.failedBatches);
                Path file = config.failedBatches.resolve("batch-" + number + ".json");
                FailedBatchFile.write(file, now, batch);
                saved = file.toString();
            } catch (IOException unwritable) {
                saved = "not kept: " + unwritable.getMessage();
            }
        }
        LOG.atError()
                .addKeyValue("batch", saved)
                .addKeyValue("events", batch.size())
                .setCause(failure)
                .log("decision turn failed; tables and levels stay as they are");
        if (failureWindow.tooMany(now)) {
            LOG.atError().addKeyValue("failures", FailureWindow.MAX_FAILURES).log("giving up");
            running = false;
            onFatalExit.accept(1);
        }
    }

    /** Sets what to call, with an exit code, once decisions have failed too often for this process to go on. */
    public void onFatalExit(Consumer<Integer> exit) {
        onFatalExit = exit;
    }

    // ---- Connections from proxies and peers.

    /** Pings or closes silent connections, several times within the idle limit. */
    private void checkConnections() {
        long now = System.nanoTime();
        for (ClientConnection connection : connections) {
            connection.checkIdle(now);
        }
        clientMemory.updateAll();
        if (running) {
            long shortestTimeoutNs = Math.min(config.idleTimeoutNs, config.helloTimeoutNs);
            net.schedule(
                    Math.max(MIN_IDLE_CHECK_MS, Math.min(MAX_IDLE_CHECK_MS, shortestTimeoutNs / 4_000_000)),
                    this::checkConnections);
        }
    }

    /** A connection from a proxy or a peer: handshake, dispatch of frames, and backpressure while the inbox is full. */
    private final class ClientConnection implements Link.Receiver, FrameSink, ClientMemory.Client {
        /** Null once the connection has ended, which the decision thread may hear of later. */
        private volatile FrameReader reader = new FrameReader(MAX_HELLO_BYTES, this::onFrame);

        private final long openedAtNs = System.nanoTime();
        private volatile Link link;
        /** The peer's hello, once it was accepted. */
        private volatile Frame.Hello hello;

        private volatile long lastReceivedNs = openedAtNs;
        /** Closed if nothing is received by then. */
        private volatile long answerDeadlineNs = Long.MAX_VALUE;
        /** Whether the inbox was full at the last input, so that reading must pause. */
        private volatile boolean inboxFull;

        /** Whether a refusal was sent; all further frames are ignored. */
        private volatile boolean refused;

        ClientConnection() {
            connections.add(this);
        }

        @Override
        public void opened(Link fresh) {
            fresh.growReadBuffer(false);
            link = fresh;
            clientMemory.update(this);
        }

        @Override
        public long heldBytes() {
            FrameReader current = reader;
            return current == null
                    ? 0
                    : ClientMemory.CONNECTION_OVERHEAD_BYTES + link.heldBytes() + current.heldBytes();
        }

        @Override
        public long allowanceBytes() {
            return hello == null ? UNIDENTIFIED_ALLOWANCE_BYTES : IDENTIFIED_ALLOWANCE_BYTES;
        }

        @Override
        public boolean expendable() {
            return hello == null;
        }

        @Override
        public void evict() {
            meters.count("streams.over_budget");
            close("too much held for all clients");
        }

        @Override
        public void received(Link from, ByteBuffer bytes) {
            lastReceivedNs = System.nanoTime();
            answerDeadlineNs = Long.MAX_VALUE;
            FrameReader current = reader;
            if (refused || current == null) {
                return;
            }
            try {
                current.feed(bytes);
            } catch (FrameException invalid) {
                meters.countCause("frames.refused", invalid.why());
                refuse(
                        invalid.why() == FrameException.Cause.VERSION
                                ? Frame.RefusalReason.VERSION
                                : Frame.RefusalReason.MALFORMED,
                        invalid.getMessage());
            }
            clientMemory.update(this);
            if (inboxFull) {
                inboxFull = false;
                from.pauseReading(true);
                core.readingPaused(this);
            }
        }

        private void onFrame(Frame frame) {
            if (refused) {
                return;
            }
            if (hello == null) {
                if (frame instanceof Frame.Hello first) {
                    onHello(first);
                } else {
                    refuse(Frame.RefusalReason.EXPECTED_HELLO, "the first frame was no hello");
                }
            } else if (frame instanceof Frame.Ping ping) {
                send(FrameWriter.encode(new Frame.Pong(ping.number())));
            } else if (frame instanceof Frame.Pong) {
                return;
            } else if (frame instanceof Frame.Bye) {
                link.closeWhenSent();
            } else if (hello.role() == Frame.Role.PROXY
                    && (frame instanceof Frame.Sums
                            || frame instanceof Frame.Demand
                            || frame instanceof Frame.Applied)) {
                inboxFull |= !core.offer(new Input.FromProxy(hello.number(), this, frame));
                // Long reports wait one at a time, as the inbox counts frames.
                inboxFull |= frame instanceof Frame.Sums sums && sums.met().size() > MAX_ORDINARY_REPORT_LINES
                        || frame instanceof Frame.Demand demand && demand.came().size() > MAX_ORDINARY_REPORT_LINES;
            } else if (hello.role() == Frame.Role.PROXY && frame instanceof Frame.Stale stale && leaseHolder != null) {
                leaseHolder.stale(stale.slice(), stale.term());
            } else if (hello.role() == Frame.Role.PEER
                    && frame instanceof Frame.Peer peer
                    && peer.sender() == hello.number()) {
                inboxFull |= !core.offer(new Input.FromPeer(peer.sender(), peer.text()));
            } else {
                meters.count("frames.unexpected");
                refuse(
                        Frame.RefusalReason.MALFORMED,
                        "a " + frame.getClass().getSimpleName() + " is not for " + hello.role() + " to send");
            }
        }

        private void onHello(Frame.Hello first) {
            if (first.major() != Frame.MAJOR) {
                refuse(
                        Frame.RefusalReason.VERSION,
                        "version " + first.major() + ", " + Frame.MAJOR + " is spoken here");
            } else if (first.role() == Frame.Role.PEER) {
                if (first.number() == config.number
                        || first.number() < 0
                        || first.number() >= config.coordinatorCount) {
                    refuse(Frame.RefusalReason.UNKNOWN_PEER, "no peer " + first.number());
                    return;
                }
                accept(first);
                welcome();
            } else if (first.role() == Frame.Role.PROXY && first.number() >= 0 && first.number() < MAX_PROXIES) {
                ClientConnection existing = proxies.get(first.number());
                if (existing != null && existing.hello.incarnation() != first.incarnation()) {
                    // The existing connection keeps the number as long as it answers pings.
                    existing.requireAnswerWithin(CLAIMED_NUMBER_ANSWER_NS);
                    refuse(Frame.RefusalReason.NUMBER_TAKEN, "proxy " + first.number() + " is joined already");
                    return;
                }
                accept(first);
                proxies.put(first.number(), this);
                inboxFull |= !core.offer(
                        new Input.Joined(first, this, new Frame.Welcome(Frame.MINOR, config.number, incarnation)));
            } else {
                refuse(Frame.RefusalReason.UNKNOWN_ROLE, first.role() + " " + first.number());
            }
        }

        /** Allows the frames of a client that has identified itself. */
        private void accept(Frame.Hello accepted) {
            hello = accepted;
            FrameReader current = reader;
            if (current != null) {
                current.limit(config.maxFrameBytes);
            }
            link.growReadBuffer(true);
        }

        private void welcome() {
            send(FrameWriter.encode(new Frame.Welcome(Frame.MINOR, config.number, incarnation)));
        }

        private void refuse(Frame.RefusalReason why, String text) {
            refused = true;
            meters.countCause("streams.refused", why);
            LOG.atWarn()
                    .addKeyValue("why", why)
                    .addKeyValue("proxy", hello == null ? -1 : hello.number())
                    .log(text);
            link.send(FrameWriter.encode(new Frame.Refusal(why, text)));
            link.closeWhenSent();
        }

        /** Sends a ping, and closes the connection if nothing is received within that time. */
        private void requireAnswerWithin(long ns) {
            answerDeadlineNs = System.nanoTime() + ns;
            send(FrameWriter.encode(new Frame.Ping(answerDeadlineNs)));
            net.schedule(ns / 1_000_000 + 10, () -> checkIdle(System.nanoTime()));
        }

        private void checkHello(long now) {
            if (!refused && now - openedAtNs > config.helloTimeoutNs) {
                refuse(Frame.RefusalReason.EXPECTED_HELLO, "no hello within " + config.helloTimeoutNs / 1e9 + " s");
            }
        }

        /** Pings a peer that has been silent for a third of the idle limit, and closes it after the full limit. */
        void checkIdle(long now) {
            Link open = link;
            if (open == null) {
                return;
            }
            if (hello == null) {
                checkHello(now);
                return;
            }
            if (now - lastReceivedNs > config.idleTimeoutNs || now > answerDeadlineNs) {
                meters.countCause("streams.refused", Frame.RefusalReason.TOO_SLOW);
                open.close(Link.Cause.CLOSED_HERE, "silent for " + (now - lastReceivedNs) / 1_000_000 + " ms");
            } else if (now - lastReceivedNs > config.idleTimeoutNs / 3) {
                send(FrameWriter.encode(new Frame.Ping(now)));
            }
        }

        @Override
        public void ended(Link from, Link.Cause cause, String detail) {
            connections.remove(this);
            reader = null;
            clientMemory.remove(this);
            if (cause == Link.Cause.SLOW_READER || cause == Link.Cause.BAD_INPUT) {
                meters.countCause("streams.cut", cause);
                LOG.atWarn()
                        .addKeyValue("proxy", hello == null ? -1 : hello.number())
                        .addKeyValue("cause", cause)
                        .log("connection closed: {}", detail);
            }
            if (hello != null && hello.role() == Frame.Role.PROXY) {
                proxies.remove(hello.number(), this);
                core.offer(new Input.Left(hello.number(), this));
            }
        }

        @Override
        public boolean send(ByteBuffer bytes) {
            Link open = link;
            return open != null && open.send(bytes);
        }

        @Override
        public void close(String why) {
            link.close(Link.Cause.CLOSED_HERE, why);
        }

        @Override
        public void resume() {
            link.pauseReading(false);
        }
    }

    // ---- Admin listener.

    /** A connection to the admin listener: one line of request, one answer, then it is closed. */
    private final class AdminConnection implements Link.Receiver {
        private final StringBuilder input = new StringBuilder();

        @Override
        public void received(Link link, ByteBuffer bytes) {
            input.append(StandardCharsets.UTF_8.decode(bytes));
            if (input.length() > MAX_ADMIN_REQUEST) {
                meters.count("admin.refused");
                link.close(Link.Cause.BAD_INPUT, "a request over 1024 bytes");
                return;
            }
            int end = input.indexOf("\n");
            if (end < 0) {
                return;
            }
            String request = input.substring(0, end).trim();
            input.setLength(0);
            if (request.equals("status")) {
                core.offer(new Input.StatusRequest(state -> answer(link, status(state))));
            } else if (request.equals("leave")) {
                leave();
                answer(link, leaseHolder == null ? "error leave: no leases are held here\n" : "ok\n");
            } else if (request.startsWith("pace ")) {
                answer(link, pace(request.substring(5)));
            } else {
                meters.count("admin.refused");
                answer(link, "error unknown request '" + request + "', expected status, leave or pace SHARE\n");
            }
        }

        private String pace(String text) {
            try {
                double fraction = Double.parseDouble(text);
                if (fraction > 0 && fraction <= 1) {
                    core.offer(new Input.SetPace(fraction));
                    return "ok\n";
                }
            } catch (NumberFormatException notANumber) {
                // Answered with the error below.
            }
            return "error pace: found '" + text + "', expected a share above 0 and up to 1\n";
        }

        private void answer(Link link, String text) {
            link.send(ByteBuffer.wrap(text.getBytes(StandardCharsets.UTF_8)));
            link.closeWhenSent();
        }

        @Override
        public void ended(Link link, Link.Cause cause, String detail) {}
    }

    /** Formats the status answer: a line for each state, then one for each meter. */
    private String status(Map<String, Object> state) {
        StringBuilder text = new StringBuilder();
        if (leaseHolder != null) {
            state.putAll(leaseHolder.state());
        }
        state.forEach(
                (name, value) -> text.append(name).append(": ").append(value).append('\n'));
        meters.values().forEach((name, value) -> text.append(name)
                .append(' ')
                .append(
                        value == Math.rint(value)
                                ? Long.toString(value.longValue())
                                : String.format(Locale.ROOT, "%.3f", value))
                .append('\n'));
        return text.toString();
    }

    // ---- For the command line, days and tests.

    /** Returns where proxies and peers connect. */
    public InetSocketAddress address() {
        return listener.address();
    }

    /** Returns where the admin listener is. */
    public InetSocketAddress adminAddress() {
        return admin.address();
    }

    /** Returns the counters and gauges of this coordinator. */
    public Meters meters() {
        return meters;
    }

    /** Slows the channel to the proxies to this fraction of its configured rate, above 0 and up to 1. */
    public void pace(double fraction) {
        core.offer(new Input.SetPace(fraction));
    }

    /** Cuts or restores the connection to a peer, as a network partition would. */
    public void cutPeer(int number, boolean on) {
        Dialer dialer = peerDialers.get(number);
        if (dialer != null) {
            dialer.cut(on);
        }
    }

    /** Cuts or restores the connection to the store. */
    public void cutStore(boolean on) {
        storeDialer.cut(on);
    }

    /** Cuts or restores the connection to the registry. */
    public void cutRegistry(boolean on) {
        registryDialer.cut(on);
    }

    /** Applies settings that were read again; returns the changes that need a restart, each with its line. */
    public List<Problem> reload(CoordinatorConfig again) {
        List<Problem> refused = config.refusedChanges(again);
        refused.forEach(p -> LOG.atWarn().log(p.toString()));
        config.applyReloadable(again);
        core.inboxLimit(config.inboxFrames);
        return refused;
    }

    /** Hands all slices on to other coordinators, so that none is without one until a lease expires. */
    public void leave() {
        if (leaseHolder != null) {
            leaseHolder.leave();
        }
    }

    /** Ends as a killed process would: without sending a Bye frame, with all sockets closed and unsaved state lost. */
    public void kill() {
        running = false;
        LockSupport.unpark(decisionThread);
        closeSockets();
        if (factWriter != null) {
            factWriter.kill();
        }
    }

    /** Shuts down in order: hands slices on, stops listening, sends Bye frames and flushes the send queues. */
    @Override
    public void close() {
        if (leaseHolder != null) {
            leaseHolder.leaveWithin(LEAVE_TIMEOUT_NS);
        }
        orderlyShutdown = true;
        running = false;
        listener.close();
        LockSupport.unpark(decisionThread);
        try {
            if (decisionThreadEnded.await(DECISION_END_TIMEOUT_S, TimeUnit.SECONDS)) {
                connections.forEach(c -> {
                    if (c.link != null) {
                        c.link.closeWhenSent();
                    }
                });
                long deadlineNs = System.nanoTime() + FLUSH_TIMEOUT_NS;
                while (!connections.isEmpty() && System.nanoTime() < deadlineNs) {
                    Thread.sleep(5);
                }
            }
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
        closeSockets();
        if (factWriter != null) {
            factWriter.close();
        }
        LOG.atInfo().addKeyValue("coordinator", config.number).log("ended");
    }

    private void closeSockets() {
        listener.close();
        admin.close();
        dialers.forEach(Dialer::close);
        connections.forEach(c -> {
            if (c.link != null) {
                c.link.close();
            }
        });
        net.close();
    }
}
