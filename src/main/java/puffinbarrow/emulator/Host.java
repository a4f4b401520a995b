package puffinbarrow.emulator;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;
import puffinbarrow.config.CoordinatorConfig;
import puffinbarrow.control.Controller;
import puffinbarrow.control.Event;
import puffinbarrow.control.Order;
import puffinbarrow.coordinator.Core;
import puffinbarrow.coordinator.Holder;
import puffinbarrow.coordinator.Input;
import puffinbarrow.coordinator.Meters;
import puffinbarrow.coordinator.Outlet;
import puffinbarrow.memory.Facts;
import puffinbarrow.memory.Notes;
import puffinbarrow.memory.Recall;
import puffinbarrow.proto.Frame;

/**
 * A coordinator in simulated time: the product's own core, paced channel, gathering and lease holder, with streams that
 * take simulated time around them. What it decides with is given.
 */
final class Host implements Core.Surroundings, Holder.Timing {
    /** How long who dials in vain waits, doubling; as the product's dialler does. */
    static final long LEAST_PAUSE_NS = 50_000_000L, MOST_PAUSE_NS = 1_000_000_000L;
    /** Turns are never nearer: a rounding in a time that was answered must not stop the clock. */
    private static final long STEP_NS = 1_000;

    private static final long SECOND = 1_000_000_000L;

    /** What memory keeps between lives, in place of its folder; written twice a second as there. */
    private final class Remembers implements Core.Memory {
        private static final long EVERY_NS = SECOND / 2;
        private final Notes notes = new Notes(life);
        private long nextAt = Long.MIN_VALUE;

        Remembers() {
            notes.resume(image);
        }

        @Override
        public List<Event.Recalled> recall(List<Event.Entry> list) {
            List<Event.Recalled> events = Recall.of(image, list, now(), new ArrayList<>());
            recalled += events.size();
            return events;
        }

        @Override
        public void decided(long at, List<Event> events, List<Order> orders, Controller controller) {
            notes.heard(at, events);
            notes.ordered(orders);
            if (at >= nextAt) {
                nextAt = at + EVERY_NS;
                notes.changed(at, at, false, controller.known()).forEach(image::put);
            }
        }
    }

    private final Fleet fleet;
    private final World world;
    final int number;
    private final Controller.Factory decisions;
    private final Facts.Image image = new Facts.Image();
    private final Set<Proxy.Voice> joined = new LinkedHashSet<>();
    private final boolean[] peerCut;
    private CoordinatorConfig config;
    private Core core;
    private Holder holder;
    private Meters meters;
    private boolean up, frozen, registryCut;
    private int life;
    private long wakeAt = Long.MAX_VALUE;
    private long storePauseNs, registryPauseNs;
    /** What came while it stood still, in order. */
    private final List<Runnable> kept = new ArrayList<>();

    private String failure;
    long decisionNs, decisionEvents, turns, cutOff, recalled;

    Host(Fleet fleet, int number, Controller.Factory decisions) {
        this.fleet = fleet;
        this.world = fleet.world;
        this.number = number;
        this.decisions = decisions;
        this.peerCut = new boolean[fleet.script.coordinators];
    }

    boolean accepts() {
        return up && !frozen;
    }

    /** Why it cannot go on, or null. */
    String failure() {
        return failure;
    }

    // ---- Life and death.

    void start() {
        life++;
        up = true;
        frozen = false;
        kept.clear();
        config = fleet.plan.config(number, List.of());
        meters = new Meters();
        core = new Core(
                config,
                (settings, seed) -> timed(decisions.start(settings, seed)),
                this,
                fleet.script.memory ? new Remembers() : Core.Memory.NONE,
                meters,
                new Core.Tempo(config.linesPerS, config.intakePerS, config.roundNs));
        holder = null;
        if (config.leaseNs > 0) {
            int mine = life;
            holder = new Holder(
                    config,
                    (long) number << 32 | life,
                    this,
                    input -> {
                        offer(input);
                        return true;
                    },
                    meters);
            core.fence(holder);
            // The timer of a former life finds another one and ends.
            holder.start();
        }
        storePauseNs = registryPauseNs = LEAST_PAUSE_NS;
        dialStore(life);
        dialRegistry(life);
        for (Host peer : fleet.hosts) {
            if (peer != this) {
                meet(peer);
                peer.meet(this);
            }
        }
        wake();
    }

    /** Counts what decisions cost on this machine; the simulated clock does not see it. */
    private Controller timed(Controller controller) {
        return new Controller() {
            @Override
            public List<Order> handle(long nowNs, List<Event> events) {
                long began = System.nanoTime();
                List<Order> orders = controller.handle(nowNs, events);
                decisionNs += System.nanoTime() - began;
                decisionEvents += events.size();
                turns++;
                return orders;
            }

            @Override
            public List<Event.Recalled> known() {
                return controller.known();
            }
        };
    }

    void kill() {
        if (!up) {
            return;
        }
        up = false;
        frozen = false;
        life++;
        wakeAt = Long.MAX_VALUE;
        kept.clear();
        cutOff += (long) figure("channel.cut_off");
        List<Proxy.Voice> streams = new ArrayList<>(joined);
        joined.clear();
        streams.forEach(Proxy.Voice::end);
        fleet.store.gone(this);
        fleet.registry.end(this);
        fleet.hosts.forEach(h -> h.lost(number));
    }

    void freeze(boolean on) {
        if (up) {
            frozen = on;
            if (!on) {
                List<Runnable> all = new ArrayList<>(kept);
                kept.clear();
                all.forEach(Runnable::run);
                wakeAt = Long.MAX_VALUE;
                wake();
            }
        }
    }

    /** Now, or once it goes on again. */
    private void awake(Runnable what) {
        if (frozen) {
            kept.add(what);
        } else {
            what.run();
        }
    }

    double figure(String prefix) {
        return meters.values().entrySet().stream()
                .filter(e -> e.getKey().startsWith(prefix))
                .mapToDouble(java.util.Map.Entry::getValue)
                .sum();
    }

    void pace(double part) {
        if (up) {
            offer(new Input.Pace(part));
        }
    }

    void leave() {
        if (up && holder != null) {
            holder.leave();
        }
    }

    // ---- The decision thread.

    private void offer(Input input) {
        if (up) {
            core.offer(input);
            wake();
        }
    }

    private void wake() {
        schedule(core.nextTickNs());
    }

    private void schedule(long atNs) {
        long at = Math.max(world.now(), atNs);
        if (at < wakeAt && at < Long.MAX_VALUE / 2) {
            wakeAt = at;
            int mine = life;
            world.at(at, () -> {
                if (mine == life && wakeAt == at && !frozen) {
                    wakeAt = Long.MAX_VALUE;
                    long next = core.turn(world.now());
                    schedule(Math.max(next, world.now() + STEP_NS));
                }
            });
        }
    }

    @Override
    public long now() {
        return world.now();
    }

    /** The lease holder's timer. */
    @Override
    public void after(long ns, Runnable work) {
        int mine = life;
        world.after(ns, () -> {
            if (mine == life) {
                awake(work);
            }
        });
    }

    @Override
    public void probe(String server, Consumer<Event.Probed> answer) {
        long began = world.now();
        int mine = life;
        Server of = fleet.server(server);
        world.after(
                fleet.model.networkNs,
                () -> of.probe(report -> {
                    if (mine == life) {
                        awake(() -> answer.accept(new Event.Probed(
                                server,
                                report != null,
                                world.now() - began,
                                report == null ? java.util.Map.of() : report)));
                    }
                }));
    }

    @Override
    public void failed(long now, List<Event> batch, RuntimeException thrown) {
        failure = "the decisions of coordinator " + number + " threw " + thrown;
        fleet.stop();
    }

    // ---- Proxies.

    void join(Proxy.Voice voice, Frame.Hello hello) {
        joined.add(voice);
        offer(new Input.Joined(hello, voice, new Frame.Welcome(Frame.MINOR, number, (long) number << 32 | life)));
    }

    void left(Proxy.Voice voice) {
        if (joined.remove(voice) && up) {
            awake(() -> offer(new Input.Left(voice.number(), voice)));
        }
    }

    void fromProxy(Proxy.Voice voice, Frame frame) {
        if (!up) {
            return;
        }
        if (frame instanceof Frame.Stale stale) {
            if (holder != null) {
                awake(() -> holder.stale(stale.slice(), stale.term()));
            }
        } else {
            awake(() -> offer(new Input.FromProxy(voice.number(), voice, frame)));
        }
    }

    // ---- Store and registry: dialled again and again, as the product's dialler does.

    private void dialStore(int ofLife) {
        world.after(2 * fleet.model.networkNs, () -> {
            if (ofLife != life) {
                return;
            }
            StoreModel.Stream outlet = fleet.store.dial(this);
            if (outlet == null) {
                later(storePauseNs, () -> dialStore(ofLife), ofLife);
                storePauseNs = Math.min(MOST_PAUSE_NS, 2 * storePauseNs);
                return;
            }
            storePauseNs = LEAST_PAUSE_NS;
            awake(() -> {
                offer(new Input.StoreUp(outlet));
                if (holder != null) {
                    holder.store(outlet::take);
                }
            });
        });
    }

    private void later(long ns, Runnable what, int ofLife) {
        world.after(ns, () -> {
            if (ofLife == life) {
                what.run();
            }
        });
    }

    void storeDown() {
        if (!up) {
            return;
        }
        int mine = life;
        awake(() -> {
            offer(new Input.StoreUp(null));
            if (holder != null) {
                holder.store(null);
            }
        });
        later(storePauseNs, () -> dialStore(mine), mine);
    }

    void fromStore(Frame frame) {
        int mine = life;
        awake(() -> {
            if (mine != life || !up) {
                return;
            }
            if (holder == null) {
                offer(new Input.FromStore(frame));
            } else {
                holder.frame(frame);
            }
        });
    }

    private void dialRegistry(int ofLife) {
        world.after(2 * fleet.model.networkNs, () -> {
            if (ofLife != life) {
                return;
            }
            if (registryCut) {
                later(registryPauseNs, () -> dialRegistry(ofLife), ofLife);
                registryPauseNs = Math.min(MOST_PAUSE_NS, 2 * registryPauseNs);
                return;
            }
            registryPauseNs = LEAST_PAUSE_NS;
            Outlet outlet = fleet.registry.dial(this);
            awake(() -> offer(new Input.RegistryUp(outlet)));
        });
    }

    void registryDown() {
        if (up) {
            int mine = life;
            awake(() -> offer(new Input.RegistryUp(null)));
            later(registryPauseNs, () -> dialRegistry(mine), mine);
        }
    }

    void fromRegistry(Frame.ServerList list) {
        awake(() -> offer(new Input.FromRegistry(list)));
    }

    // ---- Peers.

    private boolean reaches(Host peer) {
        return up && peer.up && !peerCut[peer.number] && !peer.peerCut[number];
    }

    private void meet(Host peer) {
        if (!reaches(peer)) {
            return;
        }
        int mine = life;
        int theirs = peer.life;
        awake(() -> offer(new Input.PeerUp(peer.number, new Outlet() {
            @Override
            public boolean send(ByteBuffer bytes) {
                if (mine != life || theirs != peer.life || !reaches(peer)) {
                    return false;
                }
                if (fleet.decode(bytes) instanceof Frame.Peer word) {
                    world.after(fleet.model.networkNs, () -> {
                        if (theirs == peer.life && peer.up) {
                            peer.awake(() -> peer.offer(new Input.FromPeer(word.sender(), word.text())));
                        }
                    });
                }
                return true;
            }

            @Override
            public void close(String why) {}
        })));
    }

    private void lost(int peer) {
        if (up && peer != number) {
            awake(() -> offer(new Input.PeerUp(peer, null)));
        }
    }

    void cutPeers(boolean on) {
        for (Host peer : fleet.hosts) {
            if (peer != this) {
                peerCut[peer.number] = on;
                if (on) {
                    lost(peer.number);
                    peer.lost(number);
                } else {
                    meet(peer);
                    peer.meet(this);
                }
            }
        }
    }

    void cutRegistry(boolean on) {
        registryCut = on;
        if (on) {
            fleet.registry.end(this);
        }
    }
}
