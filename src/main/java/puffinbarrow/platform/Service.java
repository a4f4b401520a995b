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
import puffinbarrow.coordinator.Failures;
import puffinbarrow.coordinator.Inbox;
import puffinbarrow.coordinator.Prober;
import puffinbarrow.net.Net;

/**
 * A coordinator in service on the platform. One thread, the caller of {@link #run}, owns the Controller and the clients
 * of relay and discovery: it takes what the channels' threads offered, hands the events over as one batch with its
 * time, and carries the orders out in their order, those for the relay as one call.
 */
public final class Service implements Host, AutoCloseable {
    /** Work that may wait before collectors are asked to stop: some seconds of reports at ten times their pace. */
    private static final int INBOX = 8192;
    /** The simulator's own tick: what comes within it is decided as one batch, which saves most of the work. */
    private static final long TICK_NS = 4_000_000;

    private static final long WATCH_NS = 250_000_000;
    /** A probe's answer may take as long as the platform waits for one. */
    private static final long PROBE_MS = 500;
    /** Until a configuration that can't be read is read again; doubles up to the second, six seconds in all. */
    private static final long REREAD_MS = 100, MOST_REREAD_MS = 3200;
    /** Handles that are not streams of strangers: the process's own, relay, discovery, collectors, probes. */
    private static final int OWN_HANDLES = 128;

    private final Path file;
    /** As it was at the start. */
    private final Configuration config;

    private final CounterRegistry counters;
    private final Inbox<Runnable> inbox = new Inbox<>(INBOX);
    private final Net net;
    private final Controller controller;
    private final RelayClient relay;
    private final DiscoveryClient discovery;
    private final Prober prober;
    private final Net.Listener listener;
    private final Failures failures = new Failures();
    private final PriorityQueue<Order.WakeAt> timers = new PriorityQueue<>((a, b) -> Long.compare(a.atNs(), b.atNs()));
    private List<Event> batch = new ArrayList<>();
    private volatile boolean running = true;
    private boolean gaveUp;
    /** Signals to read the configuration again. */
    private long reloads;

    /** Reads the configuration and opens its sockets; {@link #run} serves. */
    public Service(Path file, Controller.Factory factory) throws IOException {
        this(file, factory, new CounterRegistry(System.out));
    }

    Service(Path file, Controller.Factory factory, CounterRegistry counters) throws IOException {
        this.file = file;
        this.counters = counters;
        Translation.Clock clock = Translation.Clock.now();
        Configuration config = Configuration.read(Files.readAllBytes(file), clock);
        Translation words = new Translation(config.names(), clock);
        this.net = new Net("serve", 1);
        this.controller = factory.start(config.settings(), config.seed());
        this.relay = new RelayClient(net, this, words, config.relay(), (long)
                (config.settings().queueLimit() / Math.max(1, config.settings().linesPerS()) * 1e9));
        this.discovery = new DiscoveryClient(net, this, words, config.discovery(), config.known());
        this.prober = new Prober(
                net,
                discovery::address,
                PROBE_MS,
                new Prober.Question("/-/load", answer -> Translation.probed(new String(answer.body()))));
        happened(new Event.ServerList(
                Event.ListKind.STALE_COPY, config.known().list().entries()));
        int strangers = Math.max(32, config.sockets() - OWN_HANDLES);
        this.listener = new Collectors(net, words, new Reports(), counters, strangers).bind(config.listen());
        this.config = config;
    }

    private final class Reports implements Collectors.Sink {
        @Override
        public boolean offer(Event report) {
            return inbox.offer(() -> happened(report));
        }

        @Override
        public void stopped(Runnable resume) {
            counters.count("inbox.overflows");
            inbox.stopped(resume);
        }
    }

    /** Serves until it is closed; true if the decisions failed for good. */
    public boolean run() {
        inbox.reader(Thread.currentThread());
        relay.start();
        // Only then does anyone hear that it is up: what is known has been decided on, and all classes are loaded.
        decide(System.nanoTime());
        listener.accept();
        counters.say("ready name=" + config.name() + " listen=" + Net.text(listener.address()) + " sockets="
                + config.sockets() + " known=" + config.known().list().entries().size());
        long watchAt = System.nanoTime();
        long secondAt = watchAt;
        while (running) {
            inbox.drain().forEach(Runnable::run);
            long now = System.nanoTime();
            if (now >= watchAt) {
                relay.watch(now);
                watchAt = now + WATCH_NS;
            }
            if (now >= secondAt) {
                counters.second("proxies=" + relay.snapshot().proxies() + " slices="
                        + relay.snapshot().slices() + " calls=" + relay.waiting());
                secondAt = now + 1_000_000_000L;
            }
            while (!timers.isEmpty() && timers.peek().atNs() <= now) {
                happened(new Event.Timer(timers.poll().label()));
            }
            if (!batch.isEmpty()) {
                decide(now);
            }
            long next =
                    Math.min(watchAt, timers.isEmpty() ? watchAt : timers.peek().atNs());
            if (inbox.isEmpty()) {
                LockSupport.parkNanos(Math.max(0, next - System.nanoTime()));
            }
            long early = now + TICK_NS - System.nanoTime();
            if (early > 0 && running) {
                pause(early);
            }
        }
        return gaveUp;
    }

    private static void pause(long ns) {
        try {
            Thread.sleep(ns / 1_000_000, (int) (ns % 1_000_000));
        } catch (InterruptedException ending) {
            Thread.currentThread().interrupt();
        }
    }

    private void decide(long now) {
        List<Event> events = batch;
        batch = new ArrayList<>();
        List<Order> orders;
        try {
            orders = controller.handle(now, events);
        } catch (RuntimeException failure) {
            failed(now, events, failure);
            return;
        }
        List<Order> forRelay = new ArrayList<>();
        for (Order order : orders) {
            if (order instanceof Order.WakeAt o) {
                timers.add(o);
            } else if (order instanceof Order.Log o) {
                counters.say("decision " + o.text());
            } else if (order instanceof Order.Follow o) {
                discovery.follow(o.on());
            } else if (order instanceof Order.FetchList) {
                discovery.fetch();
            } else if (order instanceof Order.Probe o) {
                prober.probe(o.server(), probed -> offer(() -> happened(probed)));
            } else if (order instanceof Order.Bind || order instanceof Order.Tell) {
                counters.note("orders.unsaid", "the platform has no word for " + order);
            } else {
                forRelay.add(order);
            }
        }
        if (!forRelay.isEmpty()) {
            relay.order(forRelay);
        }
    }

    private void failed(long now, List<Event> events, RuntimeException failure) {
        counters.note(
                "decisions.failed",
                failure + " at "
                        + List.of(failure.getStackTrace()).subList(0, Math.min(6, failure.getStackTrace().length))
                        + " on " + events.size() + " events; what stands is left");
        // The decisions' own timer may have been lost with the batch.
        timers.add(new Order.WakeAt(now + WATCH_NS, 0));
        if (failures.tooMany(now)) {
            gaveUp = true;
            running = false;
        }
    }

    /** The configuration was replaced; any thread. What may change alive is where discovery and relay are. */
    public void reload() {
        offer(() -> reload(++reloads, REREAD_MS));
    }

    /** One that can't be read may be half written yet: it is read again for some seconds, or until the next signal. */
    private void reload(long which, long pauseMs) {
        if (which != reloads) {
            return;
        }
        try {
            Configuration fresh = Configuration.read(Files.readAllBytes(file), Translation.Clock.now());
            counters.note("reloads", "discovery=" + Net.text(fresh.discovery()) + " relay=" + Net.text(fresh.relay()));
            if (!fresh.settings().equals(config.settings()) || !fresh.names().equals(config.names())) {
                counters.note("reloads.settings_kept", "settings changed too; they are taken up at a restart");
            }
            discovery.moved(fresh.discovery());
            relay.moved(fresh.relay());
        } catch (IOException | RuntimeException wrong) {
            if (pauseMs == REREAD_MS) {
                counters.note("reloads.refused", String.valueOf(wrong.getMessage()));
            }
            if (pauseMs <= MOST_REREAD_MS) {
                net.schedule(pauseMs, () -> offer(() -> reload(which, 2 * pauseMs)));
            }
        }
    }

    InetSocketAddress address() {
        return listener.address();
    }

    @Override
    public void offer(Runnable work) {
        inbox.offer(work);
    }

    @Override
    public void happened(Event event) {
        batch.add(event);
    }

    @Override
    public CounterRegistry counters() {
        return counters;
    }

    /** Ends it from any thread; what the relay took stands. */
    @Override
    public void close() {
        running = false;
        offer(() -> {});
        listener.close();
        net.close();
    }
}
