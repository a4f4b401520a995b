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
import puffinbarrow.audit.Observation;
import puffinbarrow.config.CoordinatorConfig;
import puffinbarrow.control.Event;
import puffinbarrow.day.BackendControl;
import puffinbarrow.day.FaultInjector;
import puffinbarrow.day.FleetControl;
import puffinbarrow.day.Plan;
import puffinbarrow.day.Script;
import puffinbarrow.load.Scenario;
import puffinbarrow.proto.Frame;
import puffinbarrow.proto.FrameReader;

/**
 * Runs a complete day in simulated time: clients, proxies, servers, coordinators, store and registry, with the audit
 * over all of them. The command line and {@link ExperimentRunner} make one fleet per run; a fleet uses only the
 * thread that calls {@link #run}.
 */
public final class Fleet implements FleetControl {
    private static final long SECOND = 1_000_000_000L;
    /** Simulated time; a fleet that is not up by then never will be. */
    private static final long UP_WITHIN_NS = 120 * SECOND;

    /** Interval of the checks whether the fleet is up, in simulated time. */
    private static final long UP_POLL_NS = 20_000_000L;
    /** Average number of cut-offs per proxy, by a full channel, above which the run has failed. */
    private static final int MAX_CUT_OFFS_PER_PROXY = 20;
    /**
     * Lets messages that were in transit when the fleet came up arrive before traffic starts; the same as on sockets.
     */
    private static final long SETTLE_NS = 300_000_000L;

    final Script script;
    final ModelParameters model;
    final Plan plan;
    /** Configuration of coordinator 0, by which proxies, servers and store act. */
    final CoordinatorConfig config;

    final Simulation simulation;
    final StoreModel store;
    final RegistryModel registry;
    final List<Proxy> proxies = new ArrayList<>();
    final List<CoordinatorModel> coordinators = new ArrayList<>();
    /** Servers by id, in the order of their creation. */
    private final Map<String, Server> servers = new LinkedHashMap<>();

    private final FaultInjector faultInjector;
    private final Audit audit;
    private final List<String> log = new ArrayList<>();
    private final FrameReader reader = new FrameReader(1 << 28, this::keepDecoded);
    /** The buffer that was decoded last, and its frame. */
    private byte[] lastDecodedBytes;

    private Frame lastFrame;
    private Scenario scenario;
    private Clients clients;
    /** When traffic began, in simulated time. */
    private long trafficStartNs;

    /** Why the run failed if the policy flooded its channel, else null. */
    private String floodFailure;

    /**
     * Builds the fleet; nothing happens before {@link #run}.
     *
     * @param policy decides for all coordinators
     * @param eventQueue holds the events to come; must be empty
     * @param maxEvents number of events after which the run fails
     */
    public Fleet(EmulatedDay emulatedDay, Policy policy, EventQueue eventQueue, long maxEvents) {
        this.script = emulatedDay.script();
        this.model = emulatedDay.model();
        this.plan = new Plan(script);
        this.config = plan.configWithoutAddresses(0, List.of());
        this.simulation = new Simulation(eventQueue, script.seed, maxEvents);
        this.faultInjector = new FaultInjector(this, plan.random());
        this.audit = new Audit(plan.auditConfig(), Simulation.EPOCH_NS);
        this.store = new StoreModel(this);
        this.registry = new RegistryModel(this);
        for (int i = 0; i < script.backends; i++) {
            addServer();
        }
        for (int i = 0; i < script.coordinators; i++) {
            coordinators.add(new CoordinatorModel(this, i, policy.factory(new TrueState(this))));
        }
        // Audited proxies are evenly spaced, so that all zones and traffic shares are among them.
        int stride = Math.max(1, script.proxies / Math.max(1, model.auditedProxies));
        for (int i = 0; i < script.proxies; i++) {
            proxies.add(new Proxy(this, i, model.auditedProxies > 0 && i % stride == 0));
        }
    }

    /** Adds a server that is warm and not listed yet. */
    private Server addServer() {
        int number = servers.size();
        Server server = new Server(
                this,
                number,
                new Server.Spec(
                        number % script.zones,
                        number / model.cellSize,
                        script.cores,
                        plan.drawSpeed(),
                        script.coldShare,
                        script.coldNs,
                        Plan.dedupNs(config),
                        config.fallMultiple,
                        config.overloadNs));
        servers.put(server.id(), server);
        return server;
    }

    /** Returns a server by id, or null. */
    Server server(String id) {
        return servers.get(id);
    }

    /** Returns all servers in the order of their creation. */
    Collection<Server> servers() {
        return servers.values();
    }

    /** Returns the clients, or null before traffic begins. */
    Clients clients() {
        return clients;
    }

    /** Hands an observation to the audit. */
    void observe(Observation observation) {
        audit.add(observation);
    }

    /** Returns the frame in these bytes. One buffer is sent to many proxies, so the last result is cached. */
    Frame decode(ByteBuffer bytes) {
        if (bytes.array() != lastDecodedBytes) {
            lastDecodedBytes = bytes.array();
            reader.feed(bytes.duplicate());
        }
        return lastFrame;
    }

    private void keepDecoded(Frame frame) {
        lastFrame = frame;
    }

    /** Ends the run after the current event. */
    void stop() {
        simulation.stop();
    }

    // ---- Running the day.

    /** Runs the day to its end. A run that fails is reported in {@link Outcome#failed}, not thrown. */
    public Outcome run() {
        String failed = null;
        try {
            bringUp();
            simulation.run(trafficStartNs + script.lengthNs + Plan.longestExpiry(config) + SECOND);
        } catch (Simulation.EventLimitException tooManyEvents) {
            failed = tooManyEvents.getMessage();
        } catch (IllegalStateException startFailure) {
            failed = startFailure.getMessage();
        }
        for (CoordinatorModel coordinator : coordinators) {
            failed = failed == null ? coordinator.failure() : failed;
        }
        failed = failed == null ? floodFailure : failed;
        return outcome(failed);
    }

    /** Starts all parts, waits until the fleet is up, and starts clients and script. */
    private void bringUp() {
        List<Event.Entry> list = servers.values().stream()
                .map(s -> Plan.listEntry(s, Event.Listed.READY))
                .toList();
        registry.update(list);
        List<Server> all = new ArrayList<>(servers.values());
        for (int i = 0; i < script.slices; i++) {
            store.init(i, all.get(i % all.size()));
        }
        coordinators.forEach(CoordinatorModel::start);
        List<Double> trafficShares = new ArrayList<>();
        List<InetSocketAddress> targets = new ArrayList<>();
        for (Proxy proxy : proxies) {
            proxy.start(coordinators);
            trafficShares.add(plan.drawTrafficWeight());
            // Placeholder address that encodes the proxy number; nothing is sent to it.
            targets.add(new InetSocketAddress("127.0.0.1", 1 + proxy.number % 65_535));
        }
        checkFlooding();
        while (!isUp()) {
            if (simulation.now() - Simulation.EPOCH_NS > UP_WITHIN_NS) {
                throw new IllegalStateException("the fleet did not come up within " + UP_WITHIN_NS / SECOND + " s");
            }
            for (CoordinatorModel coordinator : coordinators) {
                if (coordinator.failure() != null) {
                    throw new IllegalStateException(coordinator.failure());
                }
            }
            if (floodFailure != null) {
                throw new IllegalStateException(floodFailure);
            }
            simulation.run(simulation.now() + UP_POLL_NS);
        }
        simulation.run(simulation.now() + SETTLE_NS);
        scenario = plan.traffic(config, targets, trafficShares);
        clients = new Clients(this, scenario);
        trafficStartNs = simulation.now();
        audit.setEpoch(trafficStartNs);
        clients.start();
        for (Script.Fault fault : script.faults) {
            simulation.after(fault.atNs(), () -> faultInjector.inject(fault));
        }
    }

    /**
     * Fails the run if the policy floods its channel: proxies whose channel overflows are cut off and join again, so
     * a policy that keeps doing so would never settle.
     */
    private void checkFlooding() {
        long cutOffs = 0;
        for (CoordinatorModel coordinator : coordinators) {
            cutOffs += coordinator.cutOffs + (long) coordinator.metric("channel.cut_off");
        }
        if (cutOffs > MAX_CUT_OFFS_PER_PROXY * (long) proxies.size()) {
            floodFailure = "the policy floods its channel: proxies were cut off " + cutOffs + " times";
            stop();
        }
        simulation.after(SECOND, this::checkFlooding);
    }

    /** Returns whether every slice has an owner and every proxy is ready. */
    private boolean isUp() {
        for (int slice = 0; slice < script.slices; slice++) {
            if (store.owner(slice) < 0) {
                return false;
            }
        }
        return proxies.stream().allMatch(Proxy::ready);
    }

    /** Collects the result. */
    private Outcome outcome(String failed) {
        Outcome outcome = new Outcome();
        outcome.failed = failed;
        outcome.events = simulation.events();
        outcome.trafficStartNs = trafficStartNs - Simulation.EPOCH_NS;
        outcome.log = List.copyOf(log);
        Audit.Verdict verdict = audit.conclude(simulation.now());
        outcome.verdict = verdict;
        TreeSet<String> broken = new TreeSet<>();
        verdict.findings().forEach(f -> broken.add(f.rule().name().toLowerCase(Locale.ROOT)));
        outcome.broken = String.join("+", broken);
        for (CoordinatorModel coordinator : coordinators) {
            outcome.decisionNs += coordinator.decisionNs;
            outcome.decisionEvents += coordinator.decisionEvents;
            outcome.decisionTurns += coordinator.turns;
            outcome.recalledFacts += coordinator.recalledFacts;
            outcome.cutOffs += coordinator.cutOffs + (long) coordinator.metric("channel.cut_off");
            outcome.linesSent += coordinator.metric("channel.lines.sent");
        }
        outcome.moves = store.moves;
        outcome.ownerChanges = store.ownerChanges;
        outcome.refusedWrites = store.refusedWrites;
        proxies.forEach(p -> {
            outcome.proxyRetries += p.retries;
            outcome.staleOrders += p.staleOrders;
        });
        outcome.crashedUnderLoad = servers.values().stream()
                .filter(Server::crashedUnderLoad)
                .map(Server::id)
                .toList();
        if (clients != null) {
            outcome.recordTraffic(clients, scenario);
        }
        return outcome;
    }

    // ---- Faults and releases of the script (FleetControl).

    @Override
    public void after(long ns, Runnable work) {
        simulation.after(ns, work);
    }

    @Override
    public void note(String text) {
        log.add(String.format(Locale.ROOT, "%6.2f s  %s", (simulation.now() - trafficStartNs) / 1e9, text));
    }

    @Override
    public Collection<? extends BackendControl> backends() {
        return servers.values();
    }

    @Override
    public BackendControl addBackend() {
        Server server = addServer();
        server.markStarted();
        return server;
    }

    @Override
    public void showInServerList(List<? extends BackendControl> backends, Event.Listed as) {
        registry.update(backends.stream().map(m -> Plan.listEntry(m, as)).toList());
    }

    @Override
    public void truncateNextList() {
        registry.breakNext();
    }

    @Override
    public void kill(int coordinator) {
        coordinators.get(coordinator).kill();
    }

    @Override
    public void restart(int coordinator) {
        coordinators.get(coordinator).start();
    }

    @Override
    public void pace(int coordinator, double part) {
        coordinators.get(coordinator).pace(part);
    }

    @Override
    public void setSuspended(int coordinator, boolean on) {
        coordinators.get(coordinator).setSuspended(on);
    }

    @Override
    public void leave(int coordinator) {
        coordinators.get(coordinator).leave();
    }

    @Override
    public void cut(int number, String from, boolean on) {
        CoordinatorModel coordinator = coordinators.get(number);
        switch (from) {
            case "store" -> store.cut(coordinator, on);
            case "registry" -> coordinator.cutRegistry(on);
            case "peers" -> coordinator.cutPeers(on);
            default -> proxies.forEach(p -> p.coordinatorStream(number).cut(on));
        }
    }

    @Override
    public void cutProxies(int count, boolean on) {
        proxies.subList(0, count)
                .forEach(p ->
                        coordinators.forEach(c -> p.coordinatorStream(c.number).cut(on)));
    }

    @Override
    public int proxies() {
        return proxies.size();
    }

    @Override
    public void setStoreUnreachable(boolean on) {
        store.setUnavailable(on);
    }

    @Override
    public void setStoreDelay(long ns) {
        store.setExtraDelay(ns);
    }

    @Override
    public void setStoreLossShare(double share) {
        store.setLostAnswerShare(share);
    }
}
