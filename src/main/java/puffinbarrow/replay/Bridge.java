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
import puffinbarrow.coordinator.Core;
import puffinbarrow.coordinator.Orca;
import puffinbarrow.net.HttpParser;
import puffinbarrow.net.Link;
import puffinbarrow.net.Net;
import puffinbarrow.proto.Frame;
import puffinbarrow.proto.FrameReader;
import puffinbarrow.proto.FrameWriter;

/**
 * Stands where the decisions stand on the bench's wire, but hands each event to a real coordinator over its real
 * listeners: as a registry, a store, proxies, peers and probed backends on sockets. The coordinator's clock is the
 * batch's. What its orders are is read at the far ends; its own timers and log lines never leave it and are not given.
 */
final class Bridge implements Controller, AutoCloseable {
    /** A loopback round trip is well under a millisecond; a machine that is busy may take long, a fault for ever. */
    private static final long PATIENCE_NS = 20_000_000_000L;

    private final Net net;
    private final Coordinator coordinator;
    private final Net.Listener registryAt, storeAt, backendsAt;
    private final Map<Integer, Far> proxies = new TreeMap<>();
    private final Map<Integer, Far> peers = new TreeMap<>();
    private final Map<String, ArrayDeque<Link>> probes = new HashMap<>();
    private final List<Order> asked = new ArrayList<>();
    private final List<String> probed = new ArrayList<>();
    private final AtomicLong received = new AtomicLong();
    private volatile Far registry, store;
    private long round;

    /** One end of a stream on our side. */
    private final class Far implements Link.Receiver {
        private final FrameReader reader = new FrameReader(16 << 20, this::frame);
        private final FrameWriter writer = new FrameWriter();
        private final Frame.Hello hello;
        final List<Order> orders = new ArrayList<>();
        volatile Link link;
        volatile boolean welcome;

        Far(Frame.Hello hello) {
            this.hello = hello;
        }

        @Override
        public void received(Link from, ByteBuffer bytes) {
            link = from;
            reader.feed(bytes);
        }

        private void frame(Frame frame) {
            if (frame instanceof Frame.Welcome) {
                welcome = true;
            } else if (frame instanceof Frame.Orders f && hello != null) {
                synchronized (orders) {
                    orders.addAll(f.orders().subList(0, f.orders().size() - f.carried()));
                }
                received.incrementAndGet();
            } else if (frame instanceof Frame.Hello from) {
                // Known before it is welcomed: once the welcome is out, events may be given to it.
                if (from.role() == Frame.Role.COORDINATOR) {
                    if (isRegistry) {
                        registry = this;
                    } else {
                        store = this;
                    }
                }
                send(new Frame.Welcome(Frame.MINOR, 0, 0));
            } else if (frame instanceof Frame.Follow f) {
                synchronized (asked) {
                    asked.add(new Order.Follow(f.on()));
                }
            } else if (frame instanceof Frame.Fetch) {
                synchronized (asked) {
                    asked.add(new Order.FetchList());
                }
            } else if (frame instanceof Frame.Ping f) {
                send(new Frame.Pong(f.number()));
            }
        }

        private boolean isRegistry;

        void send(Frame frame) {
            // Frames are small here; a writer of its own for each end keeps them apart.
            synchronized (writer) {
                link.send(writer.bytes(frame));
            }
        }

        @Override
        public void ended(Link from, Link.Cause cause, String detail) {}
    }

    /** A stream that the coordinator dialled. */
    private Far dialled(boolean isRegistry) {
        Far far = new Far(null);
        far.isRegistry = isRegistry;
        return far;
    }

    Bridge(Settings settings, long seed, Controller.Factory decisions) throws IOException {
        net = new Net("replay", 2);
        InetSocketAddress any = new InetSocketAddress("127.0.0.1", 0);
        registryAt = net.listen(any, 64 << 20, channel -> dialled(true));
        storeAt = net.listen(any, 64 << 20, channel -> dialled(false));
        backendsAt = net.listen(any, 1 << 20, channel -> new Probed());
        CoordinatorConfig config = CoordinatorConfig.of(settings, seed);
        config.registry = registryAt.address();
        config.store = settings.slices() > 0 ? storeAt.address() : null;
        // Turns are the batches, so no tick and no silence of streams stand between them.
        config.tickNs = 0;
        config.idleNs = Long.MAX_VALUE / 2;
        config.outboundBytes = 64 << 20;
        config.frameBytes = 16 << 20;
        coordinator = new Coordinator(config, decisions, Core.Tempo.FREE, server -> backendsAt.address()).startByHand();
        // The registry's and the store's streams stand once their inputs have come in.
        until("registry and store", () -> coordinator.offered() >= (settings.slices() > 0 ? 2 : 1));
        coordinator.turnAt(Long.MIN_VALUE / 4);
        if (!settings.listOnRequest()) {
            // Following is the coordinator's own doing at pushed lists, no decision.
            until("the follow request", () -> {
                synchronized (asked) {
                    return !asked.isEmpty();
                }
            });
        }
        synchronized (asked) {
            asked.clear();
        }
    }

    private static void until(String what, BooleanSupplier done) {
        long end = System.nanoTime() + PATIENCE_NS;
        for (int spins = 0; !done.getAsBoolean(); spins++) {
            if (System.nanoTime() > end) {
                throw new IllegalStateException("waited in vain for " + what);
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
            if (give(event)) {
                until(event.getClass().getSimpleName() + " to come in", () -> coordinator.offered() > before);
            }
        }
        coordinator.turnAt(nowNs);
        return collect();
    }

    /** Sends the event where it belongs; false if nothing comes of it (our own timers ring by themselves). */
    private boolean give(Event event) {
        if (event instanceof Event.Timer) {
            return false;
        } else if (event instanceof Event.ServerList e) {
            registry.send(new Frame.ServerList(e.kind(), 0, e.entries()));
        } else if (event instanceof Event.SliceCharge e) {
            store.send(new Frame.Charge(e.slice(), e.given()));
        } else if (event instanceof Event.StoredLine e) {
            store.send(new Frame.Stored(e.slice(), List.of(new Frame.Line(e.server(), e.weight()))));
        } else if (event instanceof Event.ProxyJoined e) {
            Far far = new Far(new Frame.Hello(
                    Frame.MAJOR,
                    Frame.MINOR,
                    Frame.Role.PROXY,
                    e.proxy(),
                    e.zone(),
                    e.proxy(),
                    e.fresh(),
                    e.flowsPerS()));
            proxies.put(e.proxy(), dial(far));
        } else if (event instanceof Event.ProxyLeft e) {
            Far far = proxies.remove(e.proxy());
            if (far == null) {
                return false;
            }
            far.link.close();
        } else if (event instanceof Event.ServerSums e) {
            far(e.server())
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
            far("slice " + e.slice())
                    .send(new Frame.Demand(
                            round++,
                            e.spanNs(),
                            List.of(new Frame.Came(e.slice(), e.group(), e.flows(), e.dropped()))));
        } else if (event instanceof Event.ProxyDemand e) {
            proxies.get(e.proxy())
                    .send(new Frame.Demand(
                            round++, e.spanNs(), List.of(new Frame.Came(-1, e.group(), e.flows(), e.dropped()))));
        } else if (event instanceof Event.InForce e) {
            Far far = proxies.get(e.proxy());
            if (far == null) {
                return false;
            }
            far.send(new Frame.Applied(e.mark(), e.tookNs()));
        } else if (event instanceof Event.PeerMessage e) {
            peer(e.sender()).send(new Frame.Peer(e.sender(), e.text()));
        } else if (event instanceof Event.Probed e) {
            answer(e);
        }
        return true;
    }

    private Far dial(Far far) {
        CompletableFuture<Link> up = new CompletableFuture<>();
        net.dial(
                coordinator.address(),
                far,
                1 << 20,
                link -> {
                    far.link = link;
                    far.send(far.hello);
                    up.complete(link);
                },
                up::completeExceptionally);
        try {
            up.get(20, TimeUnit.SECONDS);
        } catch (Exception failed) {
            throw new IllegalStateException("could not dial the coordinator", failed);
        }
        return far;
    }

    /** Some joined proxy; sums that come after all have left have no way over a socket. */
    private Far far(String what) {
        if (proxies.isEmpty()) {
            throw new IllegalStateException("sums of " + what + " with no proxy joined to bring them");
        }
        return proxies.values().iterator().next();
    }

    private Far peer(int number) {
        return peers.computeIfAbsent(number, n -> {
            Far far = dial(new Far(new Frame.Hello(Frame.MAJOR, Frame.MINOR, Frame.Role.PEER, n, 0, 1, true, 0)));
            until("the welcome", () -> far.welcome);
            return far;
        });
    }

    // ---- Probed backends: one listener plays them all, by the host that is asked for.

    private final class Probed implements Link.Receiver {
        private final HttpParser parser = new HttpParser(true, 4096, this::request);
        private Link link;

        @Override
        public void received(Link from, ByteBuffer bytes) {
            link = from;
            parser.feed(bytes);
        }

        private void request(HttpParser.Message request) {
            synchronized (probes) {
                probes.computeIfAbsent(request.header("host"), h -> new ArrayDeque<>())
                        .addLast(link);
                probed.add(request.header("host"));
            }
        }

        @Override
        public void ended(Link from, Link.Cause cause, String detail) {}
    }

    private void answer(Event.Probed event) {
        Link link;
        synchronized (probes) {
            ArrayDeque<Link> open = probes.get(event.server());
            link = open == null ? null : open.pollFirst();
        }
        if (link == null) {
            throw new IllegalStateException("an answer to a probe of " + event.server() + " that was never sent");
        }
        if (event.answered()) {
            link.send(ByteBuffer.wrap(("HTTP/1.1 200 OK\r\n" + Orca.HEADER + ": " + Orca.write(event.report())
                            + "\r\ncontent-length: 0\r\n\r\n")
                    .getBytes(StandardCharsets.US_ASCII)));
        } else {
            link.close();
        }
    }

    // ---- What came out.

    private List<Order> collect() {
        Map<String, Double> counts = coordinator.meters().values();
        double messages = counts.getOrDefault("channel.messages.sent", 0.0) - counts.getOrDefault("messages.lost", 0.0);
        until("orders to arrive", () -> received.get() >= messages);
        double questions = counts.getOrDefault("registry.asked", 0.0);
        until("questions to the registry", () -> {
            synchronized (asked) {
                return questionsBefore + asked.size() >= questions;
            }
        });
        double sounded = counts.getOrDefault("probes.sent", 0.0);
        until("probes", () -> {
            synchronized (probes) {
                return probesBefore + probed.size() >= sounded;
            }
        });
        List<Order> out = new ArrayList<>();
        List<Order> first = null;
        for (Map.Entry<Integer, Far> each : proxies.entrySet()) {
            List<Order> own;
            synchronized (each.getValue().orders) {
                own = new ArrayList<>(each.getValue().orders);
                each.getValue().orders.clear();
            }
            if (first == null) {
                first = own;
                out.addAll(own);
            } else if (!own.equals(first)) {
                throw new IllegalStateException("proxy " + each.getKey() + " was ordered " + own + ", others " + first);
            }
        }
        synchronized (asked) {
            questionsBefore += asked.size();
            out.addAll(asked);
            asked.clear();
        }
        synchronized (probes) {
            probesBefore += probed.size();
            probed.forEach(server -> out.add(new Order.Probe(server)));
            probed.clear();
        }
        return out;
    }

    private long questionsBefore, probesBefore;

    @Override
    public void close() {
        coordinator.kill();
        registryAt.close();
        storeAt.close();
        backendsAt.close();
        net.close();
    }
}
