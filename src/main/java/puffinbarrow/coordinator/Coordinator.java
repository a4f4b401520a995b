package puffinbarrow.coordinator;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
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
import puffinbarrow.control.Controller;
import puffinbarrow.control.Event;
import puffinbarrow.memory.Keeper;
import puffinbarrow.net.Link;
import puffinbarrow.net.Net;
import puffinbarrow.proto.Frame;
import puffinbarrow.proto.FrameException;
import puffinbarrow.proto.FrameReader;
import puffinbarrow.proto.FrameWriter;

/**
 * A running coordinator: listeners, streams and the decision thread around one {@link Core}. Threads of the channel
 * group parse what comes and put it into the core's inbox; only the decision thread touches the core.
 */
public final class Coordinator implements AutoCloseable, Core.Surroundings {
    private static final Logger LOG = LoggerFactory.getLogger("puffinbarrow.coordinator");
    /** Batches kept for replay; the first ones tell the cause, the rest repeat it. */
    private static final int BATCHES_KEPT = 20;
    /** Facts that may wait for the disk: ten thousand servers with their slices, some tens of megabytes. */
    private static final int MEMORY_KEYS = 200_000;
    /** A replay answers a probe when its record does, in whatever real time that takes. */
    private static final long REPLAY_PROBE_MS = 3_600_000;

    /** An ordered end hands its charges on, for so long at most: what is left falls silent for a lease. */
    private static final long LEAVE_NS = 2_000_000_000L;

    private final CoordinatorConfig config;
    private final Meters meters = new Meters();
    private final Net net;
    private final Core core;
    private final Keeper keeper;
    /** Null where the store deals the charges. */
    private final Holder holder;

    private final Prober prober;
    private final long incarnation;
    private final Map<Integer, Stream> proxies = new ConcurrentHashMap<>();
    private final Set<Stream> streams = ConcurrentHashMap.newKeySet();
    private final List<Dialer> dialers = new ArrayList<>();
    private final TreeMap<Integer, Dialer> peerDialers = new TreeMap<>();
    private final Failures failures = new Failures();
    private final AtomicLong batches = new AtomicLong();
    private final CountDownLatch ended = new CountDownLatch(1);
    private Dialer storeDialer;
    private Dialer registryDialer;
    private Net.Listener listener;
    private Net.Listener admin;
    private Thread thread;
    private volatile boolean running = true;
    private volatile boolean orderly;
    private volatile Consumer<Integer> onGivingUp = code -> {};

    public Coordinator(CoordinatorConfig config, Controller.Factory factory) throws IOException {
        this(config, factory, Core.Tempo.of(config), null);
    }

    /**
     * For a replay: its own tempo, and its own way from a backend's id to where it is probed.
     *
     * @param addresses null: ids are addresses
     */
    public Coordinator(
            CoordinatorConfig config,
            Controller.Factory factory,
            Core.Tempo tempo,
            Function<String, InetSocketAddress> addresses)
            throws IOException {
        this.config = config;
        this.incarnation = System.nanoTime() ^ (long) config.number << 48;
        this.net = new Net("c" + config.number, 2);
        this.prober = addresses == null ? new Prober(net) : new Prober(net, addresses, REPLAY_PROBE_MS);
        this.keeper = config.memory == null ? null : Keeper.open(config.memory, config.memoryBytes, MEMORY_KEYS);
        this.core = new Core(
                config,
                factory,
                this,
                keeper == null ? Core.Memory.NONE : new Remembering(keeper, incarnation),
                meters,
                tempo);
        this.holder = config.leaseNs > 0 && config.slices > 0
                ? new Holder(config, incarnation, new SystemTiming(), core::offer, meters)
                : null;
        if (holder != null) {
            core.fence(holder);
        }
        if (keeper != null) {
            meters.gauge("memory.well", keeper, k -> k.well() ? 1 : 0);
            meters.gauge("memory.skipped", keeper, Keeper::skipped);
            meters.gauge("memory.commits", keeper, Keeper::commits);
            meters.gauge("memory.bytes", keeper, Keeper::bytes);
            meters.gauge("memory.failures", keeper, Keeper::failures);
        }
    }

    /** Listens, dials and decides from now on. */
    public Coordinator start() throws IOException {
        open();
        thread = new Thread(this::run, "decisions-" + config.number);
        thread.setDaemon(true);
        core.reader(thread);
        thread.start();
        return this;
    }

    /** Opens all sockets but leaves the decisions to {@link #turnAt}: the caller's clock is the only one. */
    public Coordinator startByHand() throws IOException {
        open();
        return this;
    }

    /** One turn at that time, on the caller's thread; only after {@link #startByHand}. */
    public void turnAt(long now) {
        core.turn(now);
    }

    /** How many inputs have come into the inbox so far. */
    public long offered() {
        return core.offered();
    }

    private void open() throws IOException {
        listener = net.listen(config.listen, config.outboundBytes, channel -> new Stream());
        admin = net.listen(config.admin, 1 << 20, channel -> new Admin());
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
            if (holder == null) {
                storeDialer = dialer(
                        "store",
                        config.store,
                        hello,
                        f -> core.offer(new Input.FromStore(f)),
                        up -> core.offer(new Input.StoreUp(up)));
            } else {
                storeDialer = dialer("store", config.store, hello, holder::frame, up -> {
                    core.offer(new Input.StoreUp(up));
                    holder.store(up == null ? null : frame -> up.send(FrameWriter.one(frame)));
                });
                holder.start();
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
                    up -> core.offer(new Input.RegistryUp(up)));
        }
        config.peers.forEach(this::connectPeer);
        net.schedule(1000, this::watchStreams);
        if (config.portFile != null) {
            new Ports(listener.address(), admin.address()).write(config.portFile);
        }
        LOG.atInfo()
                .addKeyValue("coordinator", config.number)
                .addKeyValue("listen", listener.address())
                .addKeyValue("admin", admin.address())
                .log("ready");
    }

    /** Dials a peer; called by those that learn its address after the start. */
    public void connectPeer(int number, InetSocketAddress address) {
        Frame.Hello asPeer = new Frame.Hello(
                Frame.MAJOR, Frame.MINOR, Frame.Role.PEER, config.number, config.zoneIndex(), incarnation, true, 0);
        peerDialers.put(
                number,
                dialer("peer " + number, address, asPeer, frame -> {}, up -> core.offer(new Input.PeerUp(number, up))));
    }

    private Dialer dialer(
            String name, InetSocketAddress to, Frame.Hello hello, Consumer<Frame> frames, Consumer<Outlet> upOrDown) {
        Dialer dialer =
                new Dialer(net, name, to, () -> hello, config.outboundBytes, config.frameBytes, frames, upOrDown);
        dialers.add(dialer);
        return dialer.start();
    }

    private void run() {
        // Times are counted from the system's monotonic clock; the epoch does not matter to the decisions.
        while (running) {
            long now = System.nanoTime();
            long next = core.turn(now);
            long pause = Math.min(next - System.nanoTime(), 100_000_000L);
            if (pause > 0 && running) {
                // Something new is decided at the next tick, so a wake-up costs one look.
                LockSupport.parkNanos(core.idle() ? pause : Math.min(pause, config.tickNs));
            }
        }
        if (orderly) {
            core.bye();
            core.remember();
        }
        ended.countDown();
    }

    private final class SystemTiming implements Holder.Timing {
        @Override
        public long now() {
            return System.nanoTime();
        }

        @Override
        public void after(long ns, Runnable work) {
            net.schedule(Math.max(1, ns / 1_000_000), work);
        }
    }

    // ---- What the core asks for.

    @Override
    public void probe(String server, Consumer<Event.Probed> answer) {
        prober.probe(server, answer);
    }

    @Override
    public void failed(long now, List<Event> batch, RuntimeException failure) {
        long number = batches.incrementAndGet();
        String saved = "not kept";
        if (config.failedBatches != null && number <= BATCHES_KEPT) {
            try {
                Files.createDirectories(config.failedBatches);
                Path file = config.failedBatches.resolve("batch-" + number + ".json");
                BatchFile.write(file, now, batch);
                saved = file.toString();
            } catch (IOException unwritable) {
                saved = "not kept: " + unwritable.getMessage();
            }
        }
        LOG.atError()
                .addKeyValue("batch", saved)
                .addKeyValue("events", batch.size())
                .setCause(failure)
                .log("the decisions failed; what stands is left");
        if (failures.tooMany(now)) {
            LOG.atError().addKeyValue("failures", Failures.MOST).log("giving up");
            running = false;
            onGivingUp.accept(1);
        }
    }

    public void onGivingUp(Consumer<Integer> exit) {
        onGivingUp = exit;
    }

    // ---- Streams of proxies and peers.

    private void watchStreams() {
        long now = System.nanoTime();
        for (Stream stream : streams) {
            stream.watch(now);
        }
        if (running) {
            net.schedule(Math.max(50, Math.min(1000, config.idleNs / 4_000_000)), this::watchStreams);
        }
    }

    private final class Stream implements Link.Receiver, Outlet {
        private final FrameReader reader = new FrameReader(config.frameBytes, this::frame);
        private final long openedAt = System.nanoTime();
        private volatile Link link;
        private volatile Frame.Hello hello;
        private volatile long heardAt = openedAt;
        private volatile long mustSpeakBy = Long.MAX_VALUE;
        private volatile boolean full;
        private boolean refused;

        Stream() {
            streams.add(this);
            net.schedule(config.helloNs / 1_000_000 + 1, () -> {
                if (hello == null && link != null) {
                    refuse(Frame.RefusalReason.EXPECTED_HELLO, "no hello within " + config.helloNs / 1e9 + " s");
                }
            });
        }

        @Override
        public void opened(Link fresh) {
            link = fresh;
        }

        @Override
        public void received(Link from, ByteBuffer bytes) {
            heardAt = System.nanoTime();
            mustSpeakBy = Long.MAX_VALUE;
            if (refused) {
                return;
            }
            try {
                reader.feed(bytes);
            } catch (FrameException wrong) {
                meters.cause("frames.refused", wrong.why());
                refuse(
                        wrong.why() == FrameException.Cause.VERSION
                                ? Frame.RefusalReason.VERSION
                                : Frame.RefusalReason.MALFORMED,
                        wrong.getMessage());
            }
            if (full) {
                full = false;
                from.pauseReading(true);
                core.stopped(this);
            }
        }

        private void frame(Frame frame) {
            if (refused) {
                return;
            }
            if (hello == null) {
                if (frame instanceof Frame.Hello first) {
                    hello(first);
                } else {
                    refuse(Frame.RefusalReason.EXPECTED_HELLO, "the first frame was no hello");
                }
            } else if (frame instanceof Frame.Ping ping) {
                send(FrameWriter.one(new Frame.Pong(ping.number())));
            } else if (frame instanceof Frame.Pong) {
                return;
            } else if (frame instanceof Frame.Bye) {
                link.closeWhenSent();
            } else if (hello.role() == Frame.Role.PROXY
                    && (frame instanceof Frame.Sums
                            || frame instanceof Frame.Demand
                            || frame instanceof Frame.Applied)) {
                full |= !core.offer(new Input.FromProxy(hello.number(), this, frame));
            } else if (hello.role() == Frame.Role.PROXY && frame instanceof Frame.Stale stale && holder != null) {
                holder.stale(stale.slice(), stale.term());
            } else if (hello.role() == Frame.Role.PEER
                    && frame instanceof Frame.Peer peer
                    && peer.sender() == hello.number()) {
                full |= !core.offer(new Input.FromPeer(peer.sender(), peer.text()));
            } else {
                meters.count("frames.unexpected");
                refuse(
                        Frame.RefusalReason.MALFORMED,
                        "a " + frame.getClass().getSimpleName() + " is not for " + hello.role() + " to send");
            }
        }

        private void hello(Frame.Hello first) {
            if (first.major() != Frame.MAJOR) {
                refuse(
                        Frame.RefusalReason.VERSION,
                        "version " + first.major() + ", " + Frame.MAJOR + " is spoken here");
            } else if (first.role() == Frame.Role.PEER) {
                if (first.number() == config.number || first.number() < 0 || first.number() >= config.of) {
                    refuse(Frame.RefusalReason.UNKNOWN_PEER, "no peer " + first.number());
                    return;
                }
                hello = first;
                welcome();
            } else if (first.role() == Frame.Role.PROXY && first.number() >= 0 && first.number() < 65_536) {
                Stream before = proxies.get(first.number());
                if (before != null && before.hello.incarnation() != first.incarnation()) {
                    // The first one keeps the number while it lives; it is asked whether it does.
                    before.mustAnswerWithin(1_000_000_000L);
                    refuse(Frame.RefusalReason.NUMBER_TAKEN, "proxy " + first.number() + " is joined already");
                    return;
                }
                hello = first;
                proxies.put(first.number(), this);
                full |= !core.offer(
                        new Input.Joined(first, this, new Frame.Welcome(Frame.MINOR, config.number, incarnation)));
            } else {
                refuse(Frame.RefusalReason.UNKNOWN_ROLE, first.role() + " " + first.number());
            }
        }

        private void welcome() {
            send(FrameWriter.one(new Frame.Welcome(Frame.MINOR, config.number, incarnation)));
        }

        private void refuse(Frame.RefusalReason why, String text) {
            refused = true;
            meters.cause("streams.refused", why);
            LOG.atWarn()
                    .addKeyValue("why", why)
                    .addKeyValue("proxy", hello == null ? -1 : hello.number())
                    .log(text);
            link.send(FrameWriter.one(new Frame.Refusal(why, text)));
            link.closeWhenSent();
        }

        private void mustAnswerWithin(long ns) {
            mustSpeakBy = System.nanoTime() + ns;
            send(FrameWriter.one(new Frame.Ping(mustSpeakBy)));
            net.schedule(ns / 1_000_000 + 10, () -> watch(System.nanoTime()));
        }

        void watch(long now) {
            Link open = link;
            if (open == null || hello == null) {
                return;
            }
            if (now - heardAt > config.idleNs || now > mustSpeakBy) {
                meters.cause("streams.refused", Frame.RefusalReason.TOO_SLOW);
                open.close(Link.Cause.CLOSED_HERE, "silent for " + (now - heardAt) / 1_000_000 + " ms");
            } else if (now - heardAt > config.idleNs / 3) {
                send(FrameWriter.one(new Frame.Ping(now)));
            }
        }

        @Override
        public void ended(Link from, Link.Cause cause, String detail) {
            streams.remove(this);
            if (cause == Link.Cause.SLOW_READER || cause == Link.Cause.BAD_INPUT) {
                meters.cause("streams.cut", cause);
                LOG.atWarn()
                        .addKeyValue("proxy", hello == null ? -1 : hello.number())
                        .addKeyValue("cause", cause)
                        .log("stream cut off: {}", detail);
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

    // ---- Status requests: one line in, lines out, then the end.

    private final class Admin implements Link.Receiver {
        private final StringBuilder asked = new StringBuilder();

        @Override
        public void received(Link link, ByteBuffer bytes) {
            asked.append(StandardCharsets.UTF_8.decode(bytes));
            if (asked.length() > 1024) {
                meters.count("admin.refused");
                link.close(Link.Cause.BAD_INPUT, "a request over 1024 bytes");
                return;
            }
            int end = asked.indexOf("\n");
            if (end < 0) {
                return;
            }
            String request = asked.substring(0, end).trim();
            asked.setLength(0);
            if (request.equals("status")) {
                core.offer(new Input.Ask(state -> answer(link, status(state))));
            } else if (request.equals("leave")) {
                leave();
                answer(link, holder == null ? "error leave: no leases are held here\n" : "ok\n");
            } else if (request.startsWith("pace ")) {
                answer(link, pace(request.substring(5)));
            } else {
                meters.count("admin.refused");
                answer(link, "error unknown request '" + request + "', expected status, leave or pace SHARE\n");
            }
        }

        private String pace(String text) {
            try {
                double part = Double.parseDouble(text);
                if (part > 0 && part <= 1) {
                    core.offer(new Input.Pace(part));
                    return "ok\n";
                }
            } catch (NumberFormatException notOne) {
                // Said below.
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

    private String status(Map<String, Object> state) {
        StringBuilder text = new StringBuilder();
        if (holder != null) {
            state.putAll(holder.state());
        }
        state.forEach(
                (name, value) -> text.append(name).append(": ").append(value).append('\n'));
        meters.values().forEach((name, value) -> text.append(name)
                .append(' ')
                .append(
                        value == Math.rint(value)
                                ? Long.toString(value.longValue())
                                : String.format(java.util.Locale.ROOT, "%.3f", value))
                .append('\n'));
        return text.toString();
    }

    // ---- For the daemon, the day and tests.

    public InetSocketAddress address() {
        return listener.address();
    }

    public InetSocketAddress adminAddress() {
        return admin.address();
    }

    public Meters meters() {
        return meters;
    }

    /** The channel sends at this part of its pace from now on. */
    public void pace(double part) {
        core.offer(new Input.Pace(part));
    }

    /** Cuts or heals the stream to a peer, the store or the registry: a partition seen from here. */
    public void cutPeer(int number, boolean on) {
        Dialer dialer = peerDialers.get(number);
        if (dialer != null) {
            dialer.cut(on);
        }
    }

    public void cutStore(boolean on) {
        storeDialer.cut(on);
    }

    public void cutRegistry(boolean on) {
        registryDialer.cut(on);
    }

    /** The settings read again: what may change alive is taken up, the rest is told with its line. */
    public List<puffinbarrow.config.Problem> reload(CoordinatorConfig again) {
        List<puffinbarrow.config.Problem> refused = config.refusedChanges(again);
        refused.forEach(p -> LOG.atWarn().log(p.toString()));
        config.adopt(again);
        core.inboxLimit(config.inbox);
        return refused;
    }

    /** Hands all charges on, so that this coordinator can end without a slice falling silent for a lease. */
    public void leave() {
        if (holder != null) {
            holder.leave();
        }
    }

    /** As a killed process: no goodbye, all sockets closed, all state gone. */
    public void kill() {
        running = false;
        LockSupport.unpark(thread);
        end();
        if (keeper != null) {
            keeper.kill();
        }
    }

    /** In order: no new streams, a goodbye on each, what is queued is sent. */
    @Override
    public void close() {
        if (holder != null) {
            holder.leaveWithin(LEAVE_NS);
        }
        orderly = true;
        running = false;
        listener.close();
        LockSupport.unpark(thread);
        try {
            if (ended.await(2, TimeUnit.SECONDS)) {
                streams.forEach(s -> {
                    if (s.link != null) {
                        s.link.closeWhenSent();
                    }
                });
                long until = System.nanoTime() + 1_000_000_000L;
                while (!streams.isEmpty() && System.nanoTime() < until) {
                    Thread.sleep(5);
                }
            }
        } catch (InterruptedException hurried) {
            Thread.currentThread().interrupt();
        }
        end();
        if (keeper != null) {
            keeper.close();
        }
        LOG.atInfo().addKeyValue("coordinator", config.number).log("ended");
    }

    private void end() {
        listener.close();
        admin.close();
        dialers.forEach(Dialer::close);
        streams.forEach(s -> {
            if (s.link != null) {
                s.link.close();
            }
        });
        net.close();
    }
}
