package puffinbarrow.platform;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.PriorityQueue;
import java.util.concurrent.locks.LockSupport;
import puffinbarrow.control.Controller;
import puffinbarrow.control.Event;
import puffinbarrow.control.Order;
import puffinbarrow.coordinator.FailureWindow;
import puffinbarrow.coordinator.Inbox;
import puffinbarrow.coordinator.Prober;
import puffinbarrow.net.ClientMemory;
import puffinbarrow.net.Net;

/**
 * A coordinator in service on the platform's protocol; started by the command {@code serve}. The thread that calls
 * {@link #run} is the decision thread. It owns the controller and the clients of relay and discovery: it runs the tasks
 * queued by the network threads, passes the collected events to the controller as one batch with a time, and carries
 * out the controller's orders in sequence; those for the relay go out as one call.
 */
public final class Service implements EventLoop, AutoCloseable {
    /** Queued tasks above which collectors are paused: some seconds of reports at ten times their usual rate. */
    private static final int INBOX_LIMIT = 8192;
    /** Events within this time go into one batch, which saves most of the work; equals the simulator's tick. */
    private static final long TICK_NS = 4_000_000;

    private static final long SECOND_NS = 1_000_000_000L;
    /** Interval at which the relay's event streams are checked for silence, and longest wait of the decision thread. */
    private static final long LIVENESS_CHECK_NS = 250_000_000;
    /** Time after a failed decision at which the controller is called again if no event comes before. */
    private static final long FAILURE_RETRY_NS = 250_000_000;
    /** Time-out of a probe, as long as the platform itself waits for an answer to one. */
    private static final long PROBE_TIMEOUT_MS = 500;
    /** Pause before an unreadable configuration is read again; it doubles with each attempt. */
    private static final long FIRST_REREAD_PAUSE_MS = 100;
    /** Longest pause before another attempt to read the configuration; all pauses together are about six seconds. */
    private static final long MAX_REREAD_PAUSE_MS = 3200;
    /** File descriptors not available to unjoined connections: the JVM's own, relay, discovery, collectors, probes. */
    private static final int RESERVED_DESCRIPTORS = 128;
    /** Unjoined connections allowed however low the limit on sockets is. */
    private static final int MIN_UNJOINED = 32;
    /** Stack frames of a failure that go into its log line. */
    private static final int LOGGED_FRAMES = 6;

    private final Path file;
    /** The configuration read at the start; reloads change addresses only. */
    private final Configuration config;

    private final CounterRegistry counters;
    private final Inbox<Runnable> inbox = new Inbox<>(INBOX_LIMIT);
    private final Net net;
    private final Controller controller;
    private final RelayClient relay;
    private final DiscoveryClient discovery;
    private final Prober prober;
    private final Net.Listener listener;
    private final FailureWindow failureWindow = new FailureWindow();
    private final PriorityQueue<Order.WakeAt> timers = new PriorityQueue<>((a, b) -> Long.compare(a.atNs(), b.atNs()));
    private List<Event> batch = new ArrayList<>();
    private volatile boolean running = true;
    /** Whether the controller failed so often that the process is to be restarted. */
    private boolean tooManyFailures;
    /** Number of reloads requested. */
    private long reloads;

    /** Reads the configuration from the file and binds the listening socket; {@link #run} serves. */
    public Service(Path file, Controller.Factory factory) throws IOException {
        this(file, factory, new CounterRegistry(System.out), ClientMemory.ofHeap());
    }

    /** @param clientMemory what all clients that connect together may make the process hold */
    Service(Path file, Controller.Factory factory, CounterRegistry counters, ClientMemory clientMemory)
            throws IOException {
        this.file = file;
        this.counters = counters;
        PlatformCodec.ClockOffset clock = PlatformCodec.ClockOffset.now();
        Configuration config = Configuration.read(Files.readAllBytes(file), clock);
        PlatformCodec codec = new PlatformCodec(config.names(), clock);
        this.net = new Net("serve", 1);
        this.controller = factory.start(config.settings(), config.seed());
        this.relay = new RelayClient(net, this, codec, config.relay(), config.settings());
        this.discovery = new DiscoveryClient(net, this, codec, config.discovery(), config.known());
        this.prober = new Prober(
                net,
                discovery::address,
                PROBE_TIMEOUT_MS,
                new Prober.ProbeSpec("/-/load", answer -> PlatformCodec.decodeProbe(new String(answer.body()))));
        enqueue(new Event.ServerList(
                Event.ListKind.STALE_COPY, config.known().list().entries()));
        int maxUnjoined = Math.max(MIN_UNJOINED, config.sockets() - RESERVED_DESCRIPTORS);
        this.listener = new CollectorListener(net, codec, new ReportSink(), counters, maxUnjoined, clientMemory)
                .bind(config.listen());
        this.config = config;
    }

    /** Queues collectors' reports for the decision thread. */
    private final class ReportSink implements CollectorListener.Sink {
        @Override
        public boolean offer(Event report) {
            return inbox.offer(() -> enqueue(report));
        }

        @Override
        public void resumeWhenDrained(Runnable resume) {
            counters.increment("inbox.overflows");
            inbox.resumeAfterDrain(resume);
        }
    }

    /** Serves until closed. Returns true if the controller failed too often for the service to go on. */
    public boolean run() {
        inbox.setConsumer(Thread.currentThread());
        relay.start();
        // The first decision, on the known servers, comes before the first client is accepted, so that heartbeats are
        // answered only once the coordinator is ready and its classes are loaded.
        decide(System.nanoTime());
        listener.accept();
        counters.log("ready name=" + config.name() + " listen=" + Net.formatAddress(listener.address()) + " sockets="
                + config.sockets() + " known=" + config.known().list().entries().size());
        long livenessCheckAt = System.nanoTime();
        long secondAt = livenessCheckAt;
        while (running) {
            inbox.drain().forEach(Runnable::run);
            long now = System.nanoTime();
            if (now >= livenessCheckAt) {
                relay.checkLiveness(now);
                livenessCheckAt = now + LIVENESS_CHECK_NS;
            }
            if (now >= secondAt) {
                counters.onSecond("proxies=" + relay.snapshot().proxyCount() + " slices="
                        + relay.snapshot().sliceCount() + " calls=" + relay.queuedCalls());
                secondAt = now + SECOND_NS;
            }
            while (!timers.isEmpty() && timers.peek().atNs() <= now) {
                enqueue(new Event.Timer(timers.poll().label()));
            }
            if (!batch.isEmpty()) {
                decide(now);
            }
            long next = Math.min(
                    livenessCheckAt,
                    timers.isEmpty() ? livenessCheckAt : timers.peek().atNs());
            if (inbox.isEmpty()) {
                LockSupport.parkNanos(Math.max(0, next - System.nanoTime()));
            }
            long tickRestNs = now + TICK_NS - System.nanoTime();
            if (tickRestNs > 0 && running) {
                sleep(tickRestNs);
            }
        }
        return tooManyFailures;
    }

    private static void sleep(long ns) {
        try {
            Thread.sleep(ns / 1_000_000, (int) (ns % 1_000_000));
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }

    /** Passes the batch to the controller and carries out its orders. */
    private void decide(long now) {
        List<Event> events = batch;
        batch = new ArrayList<>();
        List<Order> orders;
        try {
            orders = controller.handle(now, events);
        } catch (RuntimeException failure) {
            handleFailure(now, events, failure);
            return;
        }
        List<Order> forRelay = new ArrayList<>();
        for (Order order : orders) {
            if (order instanceof Order.WakeAt o) {
                timers.add(o);
            } else if (order instanceof Order.Log o) {
                counters.log("decision " + o.text());
            } else if (order instanceof Order.Follow o) {
                discovery.setWatching(o.on());
            } else if (order instanceof Order.FetchList) {
                discovery.fetchList();
            } else if (order instanceof Order.Probe o) {
                prober.probe(o.server(), result -> execute(() -> enqueue(result)));
            } else if (order instanceof Order.Bind || order instanceof Order.Tell) {
                counters.incrementAndLog("orders.unsaid", "not supported by the platform: " + order);
            } else {
                forRelay.add(order);
            }
        }
        if (!forRelay.isEmpty()) {
            relay.submit(forRelay);
        }
    }

    private void handleFailure(long now, List<Event> events, RuntimeException failure) {
        counters.incrementAndLog(
                "decisions.failed",
                failure + " at "
                        + List.of(failure.getStackTrace())
                                .subList(0, Math.min(LOGGED_FRAMES, failure.getStackTrace().length))
                        + " on " + events.size() + " events; the relay's state is left unchanged");
        // The controller's own timer may have been lost with the batch.
        timers.add(new Order.WakeAt(now + FAILURE_RETRY_NS, 0));
        if (failureWindow.tooMany(now)) {
            tooManyFailures = true;
            running = false;
        }
    }

    /**
     * Reads the configuration file again; may be called from any thread. Only changed addresses of discovery and relay
     * take effect; other changes need a restart.
     */
    public void reload() {
        execute(() -> reload(++reloads, FIRST_REREAD_PAUSE_MS));
    }

    /**
     * Reads the configuration, and again after a pause if that fails, since the file may be partly written. Stops after
     * {@link #MAX_REREAD_PAUSE_MS} or when another reload is requested.
     */
    private void reload(long reloadId, long pauseMs) {
        if (reloadId != reloads) {
            return;
        }
        try {
            Configuration updated = Configuration.read(Files.readAllBytes(file), PlatformCodec.ClockOffset.now());
            counters.incrementAndLog(
                    "reloads",
                    "discovery=" + Net.formatAddress(updated.discovery()) + " relay="
                            + Net.formatAddress(updated.relay()));
            if (!updated.settings().equals(config.settings())
                    || !updated.names().equals(config.names())) {
                counters.incrementAndLog(
                        "reloads.settings_kept", "settings changed as well; they take effect at a restart");
            }
            discovery.moveTo(updated.discovery());
            relay.moveTo(updated.relay());
        } catch (IOException | RuntimeException failure) {
            if (pauseMs == FIRST_REREAD_PAUSE_MS) {
                counters.incrementAndLog("reloads.refused", String.valueOf(failure.getMessage()));
            }
            if (pauseMs <= MAX_REREAD_PAUSE_MS) {
                net.schedule(pauseMs, () -> execute(() -> reload(reloadId, 2 * pauseMs)));
            }
        }
    }

    /** Returns the address on which collectors are accepted. */
    InetSocketAddress address() {
        return listener.address();
    }

    @Override
    public void execute(Runnable task) {
        inbox.offer(task);
    }

    @Override
    public void enqueue(Event event) {
        batch.add(event);
    }

    @Override
    public CounterRegistry counters() {
        return counters;
    }

    /** Stops the service; may be called from any thread. Orders that the relay accepted stay in effect. */
    @Override
    public void close() {
        running = false;
        execute(() -> {});
        listener.close();
        net.close();
    }
}
