package puffinbarrow.emulator;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import puffinbarrow.config.CoordinatorConfig;
import puffinbarrow.control.Controller;
import puffinbarrow.control.Event;
import puffinbarrow.control.Order;
import puffinbarrow.coordinator.CoordinatorCore;
import puffinbarrow.coordinator.FrameSink;
import puffinbarrow.coordinator.Input;
import puffinbarrow.coordinator.LeaseHolder;
import puffinbarrow.coordinator.Meters;
import puffinbarrow.memory.FactCollector;
import puffinbarrow.memory.Facts;
import puffinbarrow.memory.RecallFilter;
import puffinbarrow.proto.Frame;

/**
 * A coordinator in simulated time: the product's own core, paced channel, demand collection and lease holder, with
 * simulated streams to proxies, peers, store and registry around them. Its controller comes from the policy under
 * test.
 */
final class CoordinatorModel implements CoordinatorCore.Environment, LeaseHolder.Clock {
    /**
     * Pause between attempts to connect, doubling from the first to the second value; the same as in the product's
     * dialler.
     */
    static final long MIN_REDIAL_PAUSE_NS = 50_000_000L;

    static final long MAX_REDIAL_PAUSE_NS = 1_000_000_000L;
    /** Least time between turns: a wake-up time that is rounded down to now must not stop the simulated clock. */
    private static final long MIN_TURN_GAP_NS = 1_000;

    private static final long SECOND = 1_000_000_000L;

    /**
     * Replaces the memory folder: keeps facts between incarnations, written twice a second as the product does.
     */
    private final class MemoryModel implements CoordinatorCore.Memory {
        private static final long WRITE_INTERVAL_NS = SECOND / 2;
        private final FactCollector factCollector = new FactCollector(incarnation);
        private long nextWriteAtNs = Long.MIN_VALUE;

        MemoryModel() {
            factCollector.resume(savedFacts);
        }

        @Override
        public List<Event.Recalled> recall(List<Event.Entry> list) {
            List<Event.Recalled> events = RecallFilter.recalledEvents(savedFacts, list, now(), new ArrayList<>());
            recalledFacts += events.size();
            return events;
        }

        @Override
        public void recordTurn(long at, List<Event> events, List<Order> orders, Controller controller) {
            factCollector.recordEvents(at, events);
            factCollector.recordOrders(orders);
            if (at >= nextWriteAtNs) {
                nextWriteAtNs = at + WRITE_INTERVAL_NS;
                factCollector
                        .takeChangedFacts(at, at, false, controller.rememberedState())
                        .forEach(savedFacts::put);
            }
        }
    }

    private final Fleet fleet;
    private final Simulation simulation;
    final int number;
    private final Controller.Factory controllerFactory;
    /** What the memory folder would hold; survives the incarnation. */
    private final Facts.Image savedFacts = new Facts.Image();

    private final Set<Proxy.CoordinatorStream> proxyStreams = new LinkedHashSet<>();
    /** Peers that this coordinator is cut off from, by number. */
    private final boolean[] peerCut;

    private CoordinatorConfig config;
    private CoordinatorCore core;
    private LeaseHolder leaseHolder;
    private Meters meters;
    private boolean up;
    private boolean suspended;
    private boolean registryCut;
    /** Counts starts and kills; scheduled work of an earlier incarnation is ignored. */
    private int incarnation;

    private long nextTurnAtNs = Long.MAX_VALUE;
    private long storeRedialPauseNs;
    private long registryRedialPauseNs;
    /** Work that arrived while the coordinator was suspended, in order of arrival. */
    private final List<Runnable> deferred = new ArrayList<>();

    private String failure;
    /** Real time spent in decisions. */
    long decisionNs;
    /** Events that the controllers were given. */
    long decisionEvents;
    /** Calls of the controllers. */
    long turns;
    /** Proxies cut off by a full channel in earlier incarnations; the metrics count the present one. */
    long cutOffs;

    /** Facts recalled after restarts. */
    long recalledFacts;

    CoordinatorModel(Fleet fleet, int number, Controller.Factory controllerFactory) {
        this.fleet = fleet;
        this.simulation = fleet.simulation;
        this.number = number;
        this.controllerFactory = controllerFactory;
        this.peerCut = new boolean[fleet.script.coordinators];
    }

    /** Returns whether a proxy can connect. */
    boolean acceptsProxies() {
        return up && !suspended;
    }

    /** Returns why the coordinator cannot continue, or null. */
    String failure() {
        return failure;
    }

    // ---- Start, kill and suspend.

    /** Starts a new incarnation. */
    void start() {
        incarnation++;
        up = true;
        suspended = false;
        deferred.clear();
        config = fleet.plan.configWithoutAddresses(number, List.of());
        meters = new Meters();
        core = new CoordinatorCore(
                config,
                (settings, seed) -> measured(controllerFactory.start(settings, seed)),
                this,
                fleet.script.keepsMemory ? new MemoryModel() : CoordinatorCore.Memory.NONE,
                meters,
                new CoordinatorCore.RateLimits(config.linesPerS, config.reportLinesPerS, config.roundNs));
        leaseHolder = null;
        if (config.leaseNs > 0) {
            leaseHolder = new LeaseHolder(
                    config,
                    (long) number << 32 | incarnation,
                    this,
                    input -> {
                        offer(input);
                        return true;
                    },
                    meters);
            core.setFence(leaseHolder);
            // Timers of an earlier lease holder have no effect, see after().
            leaseHolder.start();
        }
        storeRedialPauseNs = registryRedialPauseNs = MIN_REDIAL_PAUSE_NS;
        dialStore(incarnation);
        dialRegistry(incarnation);
        for (CoordinatorModel peer : fleet.coordinators) {
            if (peer != this) {
                connectPeer(peer);
                peer.connectPeer(this);
            }
        }
        scheduleTurn();
    }

    /** Measures the real time that decisions take; the simulated clock does not include it. */
    private Controller measured(Controller controller) {
        return new Controller() {
            @Override
            public List<Order> handle(long nowNs, List<Event> events) {
                long beganNs = System.nanoTime();
                List<Order> orders = controller.handle(nowNs, events);
                decisionNs += System.nanoTime() - beganNs;
                decisionEvents += events.size();
                turns++;
                return orders;
            }

            @Override
            public List<Event.Recalled> rememberedState() {
                return controller.rememberedState();
            }
        };
    }

    /** Ends the process: all streams break and unsaved state is lost. */
    void kill() {
        if (!up) {
            return;
        }
        up = false;
        suspended = false;
        incarnation++;
        nextTurnAtNs = Long.MAX_VALUE;
        deferred.clear();
        cutOffs += (long) metric("channel.cut_off");
        List<Proxy.CoordinatorStream> openStreams = new ArrayList<>(proxyStreams);
        proxyStreams.clear();
        openStreams.forEach(Proxy.CoordinatorStream::end);
        fleet.store.coordinatorStopped(this);
        fleet.registry.disconnect(this);
        fleet.coordinators.forEach(c -> c.peerLost(number));
    }

    /** Suspends the process (on) or resumes it; its streams stay open meanwhile. */
    void setSuspended(boolean on) {
        if (up) {
            suspended = on;
            if (!on) {
                List<Runnable> actions = new ArrayList<>(deferred);
                deferred.clear();
                actions.forEach(Runnable::run);
                nextTurnAtNs = Long.MAX_VALUE;
                scheduleTurn();
            }
        }
    }

    /** Runs the action now, or after the coordinator is resumed. */
    private void runWhenAwake(Runnable action) {
        if (suspended) {
            deferred.add(action);
        } else {
            action.run();
        }
    }

    /** Returns the sum of all metrics whose name begins with the prefix. */
    double metric(String prefix) {
        return meters.values().entrySet().stream()
                .filter(e -> e.getKey().startsWith(prefix))
                .mapToDouble(Map.Entry::getValue)
                .sum();
    }

    /** Sets the pace of the paced channel, as a share of the configured one. */
    void pace(double part) {
        if (up) {
            offer(new Input.SetPace(part));
        }
    }

    /** Hands its slices over, if it holds leases. */
    void leave() {
        if (up && leaseHolder != null) {
            leaseHolder.leave();
        }
    }

    // ---- The decision thread.

    /** Puts an input into the inbox of the core. */
    private void offer(Input input) {
        if (up) {
            core.offer(input);
            scheduleTurn();
        }
    }

    private void scheduleTurn() {
        scheduleTurnAt(core.nextTickNs());
    }

    /** Schedules the next turn of the core, unless an earlier one is scheduled. */
    private void scheduleTurnAt(long atNs) {
        long at = Math.max(simulation.now(), atNs);
        if (at < nextTurnAtNs && at < Long.MAX_VALUE / 2) {
            nextTurnAtNs = at;
            int expectedIncarnation = incarnation;
            simulation.at(at, () -> {
                if (expectedIncarnation == incarnation && nextTurnAtNs == at && !suspended) {
                    nextTurnAtNs = Long.MAX_VALUE;
                    long next = core.turn(simulation.now());
                    scheduleTurnAt(Math.max(next, simulation.now() + MIN_TURN_GAP_NS));
                }
            });
        }
    }

    @Override
    public long now() {
        return simulation.now();
    }

    /** Timer of the lease holder; it does not survive the coordinator's incarnation. */
    @Override
    public void after(long ns, Runnable work) {
        int expectedIncarnation = incarnation;
        simulation.after(ns, () -> {
            if (expectedIncarnation == incarnation) {
                runWhenAwake(work);
            }
        });
    }

    @Override
    public void probe(String server, Consumer<Event.Probed> answer) {
        long beganNs = simulation.now();
        int expectedIncarnation = incarnation;
        Server target = fleet.server(server);
        simulation.after(
                fleet.model.networkDelayNs,
                () -> target.probe(report -> {
                    if (expectedIncarnation == incarnation) {
                        runWhenAwake(() -> answer.accept(new Event.Probed(
                                server,
                                report != null,
                                simulation.now() - beganNs,
                                report == null ? Map.of() : report)));
                    }
                }));
    }

    @Override
    public void failed(long now, List<Event> batch, RuntimeException thrown) {
        failure = "the decisions of coordinator " + number + " threw " + thrown;
        fleet.stop();
    }

    // ---- Proxies.

    /** A proxy has connected. */
    void join(Proxy.CoordinatorStream stream, Frame.Hello hello) {
        proxyStreams.add(stream);
        offer(new Input.Joined(
                hello, stream, new Frame.Welcome(Frame.MINOR, number, (long) number << 32 | incarnation)));
    }

    /** The stream of a proxy has ended. */
    void left(Proxy.CoordinatorStream stream) {
        if (proxyStreams.remove(stream) && up) {
            runWhenAwake(() -> offer(new Input.Left(stream.number(), stream)));
        }
    }

    /** A frame arrived from a proxy. */
    void fromProxy(Proxy.CoordinatorStream stream, Frame frame) {
        if (!up) {
            return;
        }
        if (frame instanceof Frame.Stale stale) {
            if (leaseHolder != null) {
                runWhenAwake(() -> leaseHolder.stale(stale.slice(), stale.term()));
            }
        } else {
            runWhenAwake(() -> offer(new Input.FromProxy(stream.number(), stream, frame)));
        }
    }

    // ---- Store and registry: connected to again after a pause, as by the product's dialler.

    /** Connects to the store, again and again until it succeeds. */
    private void dialStore(int expectedIncarnation) {
        simulation.after(2 * fleet.model.networkDelayNs, () -> {
            if (expectedIncarnation != incarnation) {
                return;
            }
            StoreModel.Stream sink = fleet.store.connect(this);
            if (sink == null) {
                runLater(storeRedialPauseNs, () -> dialStore(expectedIncarnation), expectedIncarnation);
                storeRedialPauseNs = Math.min(MAX_REDIAL_PAUSE_NS, 2 * storeRedialPauseNs);
                return;
            }
            storeRedialPauseNs = MIN_REDIAL_PAUSE_NS;
            runWhenAwake(() -> {
                offer(new Input.StoreConnection(sink));
                if (leaseHolder != null) {
                    leaseHolder.store(sink::receive);
                }
            });
        });
    }

    /** Runs the action after a delay, unless the incarnation has ended. */
    private void runLater(long ns, Runnable action, int expectedIncarnation) {
        simulation.after(ns, () -> {
            if (expectedIncarnation == incarnation) {
                action.run();
            }
        });
    }

    /** The stream to the store has ended; connects again after a pause. */
    void storeDown() {
        if (!up) {
            return;
        }
        int expectedIncarnation = incarnation;
        runWhenAwake(() -> {
            offer(new Input.StoreConnection(null));
            if (leaseHolder != null) {
                leaseHolder.store(null);
            }
        });
        runLater(storeRedialPauseNs, () -> dialStore(expectedIncarnation), expectedIncarnation);
    }

    void fromStore(Frame frame) {
        int expectedIncarnation = incarnation;
        runWhenAwake(() -> {
            if (expectedIncarnation != incarnation || !up) {
                return;
            }
            if (leaseHolder == null) {
                offer(new Input.FromStore(frame));
            } else {
                leaseHolder.frame(frame);
            }
        });
    }

    /** Connects to the registry, again and again until it succeeds. */
    private void dialRegistry(int expectedIncarnation) {
        simulation.after(2 * fleet.model.networkDelayNs, () -> {
            if (expectedIncarnation != incarnation) {
                return;
            }
            if (registryCut) {
                runLater(registryRedialPauseNs, () -> dialRegistry(expectedIncarnation), expectedIncarnation);
                registryRedialPauseNs = Math.min(MAX_REDIAL_PAUSE_NS, 2 * registryRedialPauseNs);
                return;
            }
            registryRedialPauseNs = MIN_REDIAL_PAUSE_NS;
            FrameSink sink = fleet.registry.connect(this);
            runWhenAwake(() -> offer(new Input.RegistryConnection(sink)));
        });
    }

    /** The stream to the registry has ended; connects again after a pause. */
    void registryDown() {
        if (up) {
            int expectedIncarnation = incarnation;
            runWhenAwake(() -> offer(new Input.RegistryConnection(null)));
            runLater(registryRedialPauseNs, () -> dialRegistry(expectedIncarnation), expectedIncarnation);
        }
    }

    void fromRegistry(Frame.ServerList list) {
        runWhenAwake(() -> offer(new Input.FromRegistry(list)));
    }

    // ---- Peers.

    /** Returns whether messages pass between this coordinator and the peer. */
    private boolean reaches(CoordinatorModel peer) {
        return up && peer.up && !peerCut[peer.number] && !peer.peerCut[number];
    }

    /** Opens the stream to a peer, if it can be reached. */
    private void connectPeer(CoordinatorModel peer) {
        if (!reaches(peer)) {
            return;
        }
        int expectedIncarnation = incarnation;
        int peerIncarnation = peer.incarnation;
        runWhenAwake(() -> offer(new Input.PeerConnection(peer.number, new FrameSink() {
            @Override
            public boolean send(ByteBuffer bytes) {
                if (expectedIncarnation != incarnation || peerIncarnation != peer.incarnation || !reaches(peer)) {
                    return false;
                }
                if (fleet.decode(bytes) instanceof Frame.Peer message) {
                    simulation.after(fleet.model.networkDelayNs, () -> {
                        if (peerIncarnation == peer.incarnation && peer.up) {
                            peer.runWhenAwake(() -> peer.offer(new Input.FromPeer(message.sender(), message.text())));
                        }
                    });
                }
                return true;
            }

            @Override
            public void close(String why) {}
        })));
    }

    /** The stream to a peer has ended. */
    private void peerLost(int peer) {
        if (up && peer != number) {
            runWhenAwake(() -> offer(new Input.PeerConnection(peer, null)));
        }
    }

    /** Cuts this coordinator off from all peers, or connects it again. */
    void cutPeers(boolean on) {
        for (CoordinatorModel peer : fleet.coordinators) {
            if (peer != this) {
                peerCut[peer.number] = on;
                if (on) {
                    peerLost(peer.number);
                    peer.peerLost(number);
                } else {
                    connectPeer(peer);
                    peer.connectPeer(this);
                }
            }
        }
    }

    /** Cuts this coordinator off from the registry, or lets it connect again. */
    void cutRegistry(boolean on) {
        registryCut = on;
        if (on) {
            fleet.registry.disconnect(this);
        }
    }
}
