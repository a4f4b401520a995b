package puffinbarrow.replay;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.BooleanSupplier;
import puffinbarrow.config.CoordinatorConfig;
import puffinbarrow.control.Controller;
import puffinbarrow.control.Event;
import puffinbarrow.control.Order;
import puffinbarrow.control.Settings;
import puffinbarrow.coordinator.Coordinator;
import puffinbarrow.coordinator.CoordinatorCore;
import puffinbarrow.coordinator.OrcaReport;
import puffinbarrow.net.HttpParser;
import puffinbarrow.net.Link;
import puffinbarrow.net.Net;
import puffinbarrow.proto.Frame;
import puffinbarrow.proto.FrameReader;
import puffinbarrow.proto.FrameWriter;

/**
 * A {@link Controller} that passes each event to a real coordinator through sockets, taking the part of registry,
 * store, proxies, peers and probed backends, and returns the orders that arrive there. {@link Replay} creates one for
 * each recorded instance and calls it from one thread; frames arrive on the threads of {@link Net}. The coordinator's
 * clock is the time of the batch. Its timers and log lines never leave it and are not returned.
 */
final class CoordinatorAdapter implements Controller, AutoCloseable {
    /** A loopback round trip takes well under a millisecond, on a busy machine far longer, after a fault forever. */
    private static final long TIMEOUT_NS = 20_000_000_000L;

    private final Net net;
    private final Coordinator coordinator;
    private final Net.Listener registryListener;
    private final Net.Listener storeListener;
    private final Net.Listener backendsListener;
    /** Streams that the adapter opened as a proxy, by proxy. */
    private final Map<Integer, StreamEnd> proxies = new TreeMap<>();
    /** Streams that the adapter opened as a peer, by coordinator. */
    private final Map<Integer, StreamEnd> peers = new TreeMap<>();
    /** Streams of probes that wait for their answer, by server; guards itself and {@link #probed}. */
    private final Map<String, ArrayDeque<Link>> openProbes = new HashMap<>();
    /** Requests that reached the registry since the last batch; guards itself. */
    private final List<Order> registryRequests = new ArrayList<>();
    /** Servers probed since the last batch. */
    private final List<String> probed = new ArrayList<>();
    /** Messages with orders that the adapter received. */
    private final AtomicLong messagesReceived = new AtomicLong();

    private volatile StreamEnd registry;
    private volatile StreamEnd store;
    /** Number of the next report to the coordinator. */
    private long round;
    /** Requests that reached the registry in former batches. */
    private long registryRequestsBefore;
    /** Probes that arrived in former batches. */
    private long probesBefore;

    /** The adapter's end of a stream to the coordinator, as registry, store, proxy or peer. */
    private final class StreamEnd implements Link.Receiver {
        private final FrameReader reader = new FrameReader(16 << 20, this::onFrame);
        private final FrameWriter writer = new FrameWriter();
        /** The hello to send; null if the coordinator dialled the stream. */
        private final Frame.Hello hello;
        /** Orders received since the last batch; guards itself. */
        final List<Order> orders = new ArrayList<>();

        volatile Link link;
        volatile boolean welcomed;
        /** Whether the coordinator dialled the registry; otherwise the store. */
        private boolean isRegistry;

        StreamEnd(Frame.Hello hello) {
            this.hello = hello;
        }

        @Override
        public void received(Link from, ByteBuffer bytes) {
            link = from;
            reader.feed(bytes);
        }

        private void onFrame(Frame frame) {
            if (frame instanceof Frame.Welcome) {
                welcomed = true;
            } else if (frame instanceof Frame.Orders f && hello != null) {
                synchronized (orders) {
                    orders.addAll(f.orders().subList(0, f.orders().size() - f.restated()));
                }
                messagesReceived.incrementAndGet();
            } else if (frame instanceof Frame.Hello from) {
                // Set before the welcome is sent, since events may follow as soon as the coordinator is welcomed.
                if (from.role() == Frame.Role.COORDINATOR) {
                    if (isRegistry) {
                        registry = this;
                    } else {
                        store = this;
                    }
                }
                send(new Frame.Welcome(Frame.MINOR, 0, 0));
            } else if (frame instanceof Frame.Follow f) {
                synchronized (registryRequests) {
                    registryRequests.add(new Order.Follow(f.on()));
                }
            } else if (frame instanceof Frame.Fetch) {
                synchronized (registryRequests) {
                    registryRequests.add(new Order.FetchList());
                }
            } else if (frame instanceof Frame.Ping f) {
                send(new Frame.Pong(f.number()));
            }
        }

        void send(Frame frame) {
            // A writer encodes one frame at a time; both the calling thread and those of the network send.
            synchronized (writer) {
                link.send(writer.encodeCopy(frame));
            }
        }

        @Override
        public void ended(Link from, Link.Cause cause, String detail) {}
    }

    /** Returns the adapter's end of a stream that the coordinator dials. */
    private StreamEnd accept(boolean isRegistry) {
        StreamEnd end = new StreamEnd(null);
        end.isRegistry = isRegistry;
        return end;
    }

    CoordinatorAdapter(Settings settings, long seed, Controller.Factory decisions) throws IOException {
        net = new Net("replay", 2);
        InetSocketAddress any = new InetSocketAddress("127.0.0.1", 0);
        registryListener = net.listen(any, 64 << 20, channel -> accept(true));
        storeListener = net.listen(any, 64 << 20, channel -> accept(false));
        backendsListener = net.listen(any, 1 << 20, channel -> new ProbeReceiver());
        CoordinatorConfig config = CoordinatorConfig.fromSettings(settings, seed);
        config.registry = registryListener.address();
        config.store = settings.slices() > 0 ? storeListener.address() : null;
        // Each batch is a turn; no tick and no idle time-out may come between.
        config.tickNs = 0;
        config.idleTimeoutNs = Long.MAX_VALUE / 2;
        config.maxOutboundBytes = 64 << 20;
        config.maxFrameBytes = 16 << 20;
        coordinator = new Coordinator(
                        config, decisions, CoordinatorCore.RateLimits.UNLIMITED, server -> backendsListener.address())
                .startManually();
        // The streams to registry and store are up once the inputs that they cause have arrived.
        awaitUntil("registry and store", () -> coordinator.offered() >= (settings.slices() > 0 ? 2 : 1));
        coordinator.turnAt(Long.MIN_VALUE / 4);
        if (!settings.listOnRequest()) {
            // With pushed lists the coordinator follows the registry by itself; no decision orders it.
            awaitUntil("the follow request", () -> {
                synchronized (registryRequests) {
                    return !registryRequests.isEmpty();
                }
            });
        }
        synchronized (registryRequests) {
            registryRequests.clear();
        }
    }

    /** Blocks until the condition holds; throws after the time-out. */
    private static void awaitUntil(String what, BooleanSupplier done) {
        long deadline = System.nanoTime() + TIMEOUT_NS;
        for (int spins = 0; !done.getAsBoolean(); spins++) {
            if (System.nanoTime() > deadline) {
                throw new IllegalStateException("timed out waiting for " + what);
            }
            if (spins > 2000) {
                Thread.yield();
            } else {
                Thread.onSpinWait();
            }
        }
    }

    @Override
    public List<Order> handle(long nowNs, List<Event> events) {
        for (Event event : events) {
            long before = coordinator.offered();
            if (deliver(event)) {
                awaitUntil(
                        event.getClass().getSimpleName() + " to reach the coordinator",
                        () -> coordinator.offered() > before);
            }
        }
        coordinator.turnAt(nowNs);
        return collect();
    }

    /** Sends the event to the coordinator; returns false if it needs no sending, such as a timer, which is its own. */
    private boolean deliver(Event event) {
        if (event instanceof Event.Timer) {
            return false;
        } else if (event instanceof Event.ServerList e) {
            registry.send(new Frame.ServerList(e.kind(), 0, e.entries()));
        } else if (event instanceof Event.SliceCharge e) {
            store.send(new Frame.Charge(e.slice(), e.given()));
        } else if (event instanceof Event.StoredLine e) {
            store.send(new Frame.Stored(e.slice(), List.of(new Frame.Line(e.server(), e.weight()))));
        } else if (event instanceof Event.ProxyJoined e) {
            StreamEnd end = new StreamEnd(new Frame.Hello(
                    Frame.MAJOR,
                    Frame.MINOR,
                    Frame.Role.PROXY,
                    e.proxy(),
                    e.zone(),
                    e.proxy(),
                    e.fresh(),
                    e.flowsPerS()));
            proxies.put(e.proxy(), dial(end));
        } else if (event instanceof Event.ProxyLeft e) {
            StreamEnd end = proxies.remove(e.proxy());
            if (end == null) {
                return false;
            }
            end.link.close();
        } else if (event instanceof Event.ServerSums e) {
            anyProxy(e.server())
                    .send(new Frame.Sums(
                            e.zone(),
                            round++,
                            e.spanNs(),
                            List.of(new Frame.Met(
                                    e.server(),
                                    e.tries(),
                                    e.dropped(),
                                    e.tookNs() * Math.max(0, e.tries() - e.dropped()),
                                    e.report()))));
        } else if (event instanceof Event.SliceDemand e) {
            anyProxy("slice " + e.slice())
                    .send(new Frame.Demand(
                            round++,
                            e.spanNs(),
                            List.of(new Frame.Came(e.slice(), e.group(), e.flows(), e.dropped()))));
        } else if (event instanceof Event.ProxyDemand e) {
            proxies.get(e.proxy())
                    .send(new Frame.Demand(
                            round++, e.spanNs(), List.of(new Frame.Came(-1, e.group(), e.flows(), e.dropped()))));
        } else if (event instanceof Event.InForce e) {
            StreamEnd end = proxies.get(e.proxy());
            if (end == null) {
                return false;
            }
            end.send(new Frame.Applied(e.mark(), e.tookNs()));
        } else if (event instanceof Event.PeerMessage e) {
            peer(e.sender()).send(new Frame.Peer(e.sender(), e.text()));
        } else if (event instanceof Event.Probed e) {
            answer(e);
        }
        return true;
    }

    /** Blocks until the stream is up and its hello sent. */
    private StreamEnd dial(StreamEnd end) {
        CompletableFuture<Link> up = new CompletableFuture<>();
        net.connect(
                coordinator.address(),
                end,
                1 << 20,
                link -> {
                    end.link = link;
                    end.send(end.hello);
                    up.complete(link);
                },
                up::completeExceptionally);
        try {
            up.get(20, TimeUnit.SECONDS);
        } catch (Exception failed) {
            throw new IllegalStateException("could not dial the coordinator", failed);
        }
        return end;
    }

    /** Returns any joined proxy to send a report through; without one a report cannot reach the coordinator. */
    private StreamEnd anyProxy(String what) {
        if (proxies.isEmpty()) {
            throw new IllegalStateException("report on " + what + " but no proxy is joined to send it");
        }
        return proxies.values().iterator().next();
    }

    /** Returns the stream to the coordinator as that peer, which is dialled at first use. */
    private StreamEnd peer(int number) {
        return peers.computeIfAbsent(number, n -> {
            StreamEnd end =
                    dial(new StreamEnd(new Frame.Hello(Frame.MAJOR, Frame.MINOR, Frame.Role.PEER, n, 0, 1, true, 0)));
            awaitUntil("the welcome", () -> end.welcomed);
            return end;
        });
    }

    // ---- Probed backends: one listener serves them all and distinguishes them by the host header.

    private final class ProbeReceiver implements Link.Receiver {
        private final HttpParser parser = new HttpParser(true, 4096, this::onRequest);
        private Link link;

        @Override
        public void received(Link from, ByteBuffer bytes) {
            link = from;
            parser.feed(bytes);
        }

        private void onRequest(HttpParser.Message request) {
            synchronized (openProbes) {
                openProbes
                        .computeIfAbsent(request.header("host"), h -> new ArrayDeque<>())
                        .addLast(link);
                probed.add(request.header("host"));
            }
        }

        @Override
        public void ended(Link from, Link.Cause cause, String detail) {}
    }

    /** Answers the oldest open probe of the server, or breaks its stream if the recorded probe failed. */
    private void answer(Event.Probed event) {
        Link link;
        synchronized (openProbes) {
            ArrayDeque<Link> open = openProbes.get(event.server());
            link = open == null ? null : open.pollFirst();
        }
        if (link == null) {
            throw new IllegalStateException("answer to a probe of " + event.server() + " that was never sent");
        }
        if (event.answered()) {
            link.send(ByteBuffer.wrap(("HTTP/1.1 200 OK\r\n" + OrcaReport.HEADER + ": "
                            + OrcaReport.write(event.report()) + "\r\ncontent-length: 0\r\n\r\n")
                    .getBytes(StandardCharsets.US_ASCII)));
        } else {
            link.close();
        }
    }

    // ---- Orders.

    /** Waits for all that the coordinator counts as sent, and returns it: to proxies, to the registry, probes. */
    private List<Order> collect() {
        Map<String, Double> counts = coordinator.meters().values();
        double messages = counts.getOrDefault("channel.messages.sent", 0.0) - counts.getOrDefault("messages.lost", 0.0);
        awaitUntil("orders to arrive", () -> messagesReceived.get() >= messages);
        double requests = counts.getOrDefault("registry.asked", 0.0);
        awaitUntil("requests to the registry", () -> {
            synchronized (registryRequests) {
                return registryRequestsBefore + registryRequests.size() >= requests;
            }
        });
        double probesSent = counts.getOrDefault("probes.sent", 0.0);
        awaitUntil("probes", () -> {
            synchronized (openProbes) {
                return probesBefore + probed.size() >= probesSent;
            }
        });
        List<Order> out = new ArrayList<>();
        List<Order> first = null;
        for (Map.Entry<Integer, StreamEnd> proxy : proxies.entrySet()) {
            List<Order> own;
            synchronized (proxy.getValue().orders) {
                own = new ArrayList<>(proxy.getValue().orders);
                proxy.getValue().orders.clear();
            }
            if (first == null) {
                first = own;
                out.addAll(own);
            } else if (!own.equals(first)) {
                throw new IllegalStateException("proxy " + proxy.getKey() + " received " + own + ", others " + first);
            }
        }
        synchronized (registryRequests) {
            registryRequestsBefore += registryRequests.size();
            out.addAll(registryRequests);
            registryRequests.clear();
        }
        synchronized (openProbes) {
            probesBefore += probed.size();
            probed.forEach(server -> out.add(new Order.Probe(server)));
            probed.clear();
        }
        return out;
    }

    @Override
    public void close() {
        coordinator.kill();
        registryListener.close();
        storeListener.close();
        backendsListener.close();
        net.close();
    }
}
