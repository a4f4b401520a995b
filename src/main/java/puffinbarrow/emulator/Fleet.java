package puffinbarrow.emulator;

import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeSet;
import puffinbarrow.audit.Audit;
import puffinbarrow.audit.Seen;
import puffinbarrow.config.CoordinatorConfig;
import puffinbarrow.control.Event;
import puffinbarrow.day.Machine;
import puffinbarrow.day.Plan;
import puffinbarrow.day.Script;
import puffinbarrow.day.Stage;
import puffinbarrow.day.Strikes;
import puffinbarrow.load.Scenario;
import puffinbarrow.proto.Frame;
import puffinbarrow.proto.FrameReader;

/** A whole day in simulated time: clients, proxies, servers, coordinators, store and registry, and the audit. */
public final class Fleet implements Stage {
    private static final long SECOND = 1_000_000_000L;
    /** In simulated time; a fleet that is not up by then never will be. */
    private static final long UP_WITHIN_NS = 120 * SECOND;

    private static final long LOOK_NS = 20_000_000L;
    /** Times that each proxy may be cut off by a full channel. */
    private static final int MOST_CUT_OFF = 20;
    /** So that what was on its way when the fleet came up has come; as on sockets. */
    private static final long SETTLED_NS = 300_000_000L;

    final Script script;
    final Model model;
    final Plan plan;
    final CoordinatorConfig judged;
    final World world;
    final StoreModel store;
    final RegistryModel registry;
    final List<Proxy> proxies = new ArrayList<>();
    final List<Host> hosts = new ArrayList<>();
    private final Map<String, Server> servers = new LinkedHashMap<>();
    private final Strikes strikes;
    private final Audit audit;
    private final List<String> log = new ArrayList<>();
    private final FrameReader reader = new FrameReader(1 << 28, this::decoded);
    private byte[] lastBytes;
    private Frame lastFrame;
    private Scenario scenario;
    private Clients clients;
    private long beganAt;
    private String flooding;

    /** @param policy what the coordinators decide with */
    public Fleet(Setup setup, Policy policy, Agenda agenda, long mostEvents) {
        this.script = setup.script();
        this.model = setup.model();
        this.plan = new Plan(script);
        this.judged = plan.config(0, List.of());
        this.world = new World(agenda, script.seed, mostEvents);
        this.strikes = new Strikes(this, plan.chance());
        this.audit = new Audit(plan.stretched(), World.EPOCH_NS);
        this.store = new StoreModel(this);
        this.registry = new RegistryModel(this);
        for (int i = 0; i < script.backends; i++) {
            make();
        }
        for (int i = 0; i < script.coordinators; i++) {
            hosts.add(new Host(this, i, policy.factory(new Truth(this))));
        }
        // Every so-manieth, so that all zones and parts are among them.
        int every = Math.max(1, script.proxies / Math.max(1, model.audited));
        for (int i = 0; i < script.proxies; i++) {
            proxies.add(new Proxy(this, i, model.audited > 0 && i % every == 0));
        }
    }

    private Server make() {
        int number = servers.size();
        Server server = new Server(
                this,
                number,
                new Server.Shape(
                        number % script.zones,
                        number / model.cell,
                        script.cores,
                        plan.speed(),
                        script.coldFrom,
                        script.coldNs,
                        Plan.dedupNs(judged),
                        judged.fallMultiple,
                        judged.fallNs));
        servers.put(server.id(), server);
        return server;
    }

    Server server(String id) {
        return servers.get(id);
    }

    Collection<Server> servers() {
        return servers.values();
    }

    Clients clients() {
        return clients;
    }

    void seen(Seen seen) {
        audit.take(seen);
    }

    /** The frame in these bytes. One buffer goes to many proxies: it is read once. */
    Frame decode(ByteBuffer bytes) {
        if (bytes.array() != lastBytes) {
            lastBytes = bytes.array();
            reader.feed(bytes.duplicate());
        }
        return lastFrame;
    }

    private void decoded(Frame frame) {
        lastFrame = frame;
    }

    void stop() {
        world.stop();
    }

    // ---- A day.

    /** Plays the day to its end. */
    public Outcome run() {
        String failed = null;
        try {
            begin();
            world.run(beganAt + script.lengthNs + Plan.longestExpiry(judged) + SECOND);
        } catch (World.Flooded flooded) {
            failed = flooded.getMessage();
        } catch (IllegalStateException never) {
            failed = never.getMessage();
        }
        for (Host host : hosts) {
            failed = failed == null ? host.failure() : failed;
        }
        failed = failed == null ? flooding : failed;
        return outcome(failed);
    }

    private void begin() {
        List<Event.Entry> list = servers.values().stream()
                .map(s -> Plan.entry(s, Event.Listed.READY))
                .toList();
        registry.set(list);
        List<Server> all = new ArrayList<>(servers.values());
        for (int i = 0; i < script.slices; i++) {
            store.begin(i, all.get(i % all.size()));
        }
        hosts.forEach(Host::start);
        List<Double> parts = new ArrayList<>();
        List<InetSocketAddress> targets = new ArrayList<>();
        for (Proxy proxy : proxies) {
            proxy.start(hosts);
            parts.add(plan.part());
            // Stands for the proxy of that number; nothing is sent to it.
            targets.add(new InetSocketAddress("127.0.0.1", 1 + proxy.number % 65_535));
        }
        watch();
        while (!up()) {
            if (world.now() - World.EPOCH_NS > UP_WITHIN_NS) {
                throw new IllegalStateException("the fleet did not come up within " + UP_WITHIN_NS / SECOND + " s");
            }
            for (Host host : hosts) {
                if (host.failure() != null) {
                    throw new IllegalStateException(host.failure());
                }
            }
            if (flooding != null) {
                throw new IllegalStateException(flooding);
            }
            world.run(world.now() + LOOK_NS);
        }
        world.run(world.now() + SETTLED_NS);
        scenario = plan.traffic(judged, targets, parts);
        clients = new Clients(this, scenario);
        beganAt = world.now();
        audit.countFrom(beganAt);
        clients.start();
        for (Script.Trouble trouble : script.troubles) {
            world.after(trouble.atNs(), () -> strikes.strike(trouble));
        }
    }

    /** Orders that the channel cannot take cut proxies off, which join anew: a policy that goes on so is none. */
    private void watch() {
        long cutOff = 0;
        for (Host host : hosts) {
            cutOff += host.cutOff + (long) host.figure("channel.cut_off");
        }
        if (cutOff > MOST_CUT_OFF * (long) proxies.size()) {
            flooding = "the policy floods its channel: proxies were cut off " + cutOff + " times";
            stop();
        }
        world.after(SECOND, this::watch);
    }

    private boolean up() {
        for (int slice = 0; slice < script.slices; slice++) {
            if (store.owner(slice) < 0) {
                return false;
            }
        }
        return proxies.stream().allMatch(Proxy::ready);
    }

    private Outcome outcome(String failed) {
        Outcome outcome = new Outcome();
        outcome.failed = failed;
        outcome.events = world.events();
        outcome.beganAtNs = beganAt - World.EPOCH_NS;
        outcome.log = List.copyOf(log);
        Audit.Verdict verdict = audit.verdict(world.now());
        outcome.verdict = verdict;
        TreeSet<String> broken = new TreeSet<>();
        verdict.findings().forEach(f -> broken.add(f.rule().name().toLowerCase(Locale.ROOT)));
        outcome.broken = String.join("+", broken);
        for (Host host : hosts) {
            outcome.decisionNs += host.decisionNs;
            outcome.decisionEvents += host.decisionEvents;
            outcome.turns += host.turns;
            outcome.recalled += host.recalled;
            outcome.cutOff += host.cutOff + (long) host.figure("channel.cut_off");
            outcome.linesSent += host.figure("channel.lines.sent");
        }
        outcome.moves = store.moves;
        outcome.handed = store.handed;
        outcome.refusedWrites = store.refused;
        proxies.forEach(p -> {
            outcome.retried += p.retried;
            outcome.staleSeen += p.staleSeen;
        });
        outcome.fell =
                servers.values().stream().filter(Server::fell).map(Server::id).toList();
        if (clients != null) {
            outcome.take(clients, scenario);
        }
        return outcome;
    }

    // ---- Where the script strikes.

    @Override
    public void after(long ns, Runnable work) {
        world.after(ns, work);
    }

    @Override
    public void note(String text) {
        log.add(String.format(Locale.ROOT, "%6.2f s  %s", (world.now() - beganAt) / 1e9, text));
    }

    @Override
    public Collection<? extends Machine> machines() {
        return servers.values();
    }

    @Override
    public Machine fresh() {
        Server server = make();
        server.beginCold();
        return server;
    }

    @Override
    public void list(List<? extends Machine> some, Event.Listed as) {
        registry.set(some.stream().map(m -> Plan.entry(m, as)).toList());
    }

    @Override
    public void breakList() {
        registry.breakNext();
    }

    @Override
    public void kill(int coordinator) {
        hosts.get(coordinator).kill();
    }

    @Override
    public void restart(int coordinator) {
        hosts.get(coordinator).start();
    }

    @Override
    public void pace(int coordinator, double part) {
        hosts.get(coordinator).pace(part);
    }

    @Override
    public void freeze(int coordinator, boolean on) {
        hosts.get(coordinator).freeze(on);
    }

    @Override
    public void leave(int coordinator) {
        hosts.get(coordinator).leave();
    }

    @Override
    public void cut(int number, String from, boolean on) {
        Host host = hosts.get(number);
        switch (from) {
            case "store" -> store.cut(host, on);
            case "registry" -> host.cutRegistry(on);
            case "peers" -> host.cutPeers(on);
            default -> proxies.forEach(p -> p.voice(number).cut(on));
        }
    }

    @Override
    public void unheard(int some, boolean on) {
        proxies.subList(0, some)
                .forEach(p -> hosts.forEach(h -> p.voice(h.number).cut(on)));
    }

    @Override
    public int proxies() {
        return proxies.size();
    }

    @Override
    public void storeAway(boolean on) {
        store.away(on);
    }

    @Override
    public void storeSlow(long ns) {
        store.slow(ns);
    }

    @Override
    public void storeLoses(double share) {
        store.loses(share);
    }
}
