package puffinbarrow.day;

import java.io.IOException;
import java.io.PrintStream;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Objects;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import puffinbarrow.audit.Audit;
import puffinbarrow.audit.Observation;
import puffinbarrow.audit.Recorder;
import puffinbarrow.config.CoordinatorConfig;
import puffinbarrow.control.Controller;
import puffinbarrow.control.Event;
import puffinbarrow.load.Arrivals;
import puffinbarrow.load.Engine;
import puffinbarrow.load.FlowEnd;
import puffinbarrow.load.Result;
import puffinbarrow.load.Scenario;
import puffinbarrow.net.Net;
import puffinbarrow.standin.Backend;
import puffinbarrow.standin.Registry;
import puffinbarrow.standin.StandInProxy;
import puffinbarrow.standin.Store;

/**
 * Runs a scripted day on loopback: real coordinators between stand-in backends, proxies, clients, registry and store,
 * all on one clock. Coordinators run in this process or as child processes, everything else in this process. What the
 * sockets carried is recorded and audited at the end.
 *
 * <p>The command line and the tests call {@link #run} on their own thread, which waits for the day's end; faults are
 * applied on the timer thread of {@link Net}, and load is sent on threads of the load generator.
 */
public final class Day implements AutoCloseable {
    /**
     * What the coordinators of a day run with. Tests replace it by faulty decisions or other limits to prove that the
     * audit notices.
     *
     * @param decisions makes the decision logic of each coordinator
     * @param settings lines that replace coordinator settings; the audit checks against the unchanged ones
     */
    public record Overrides(Controller.Factory decisions, List<String> settings) {}

    /**
     * Capacity of the recorder. A minute at a few hundred flows a second takes a million records. If a day exceeds the
     * capacity, its report marks the verdict as incomplete.
     */
    private static final long MAX_RECORDS = 8_000_000;

    /** Nanoseconds in a second. */
    private static final long SECOND = 1_000_000_000L;

    /** Backends of one cell, which fail together. */
    private static final int BACKENDS_PER_CELL = 4;

    /** Flows that wait at a backend at most, for each of its cores. */
    private static final int WAITING_ROOM_PER_CORE = 8;

    /** Connections that a backend accepts, for each of its cores. */
    private static final int CONNECTIONS_PER_CORE = 60;

    /** Share of the work that a warm key saves. */
    private static final double WARM_KEY_GAIN = 0.3;

    /** Keys that a backend keeps warm, for each of its cores. */
    private static final int WARM_KEYS_PER_CORE = 60;

    /** Time that a proxy takes to apply one line of an order. */
    private static final long APPLY_NS_PER_LINE = 30_000;

    /** Failures in a row after which a proxy avoids a backend. */
    private static final int FAILURES_TO_AVOID = 8;

    /** How long a proxy avoids a backend. */
    private static final long AVOID_NS = 4 * SECOND;

    /** How long a proxy holds a flow without a backend before it blocks the flow. */
    private static final long HOLD_NS = 200_000_000L;

    /** How long a proxy waits for an answer, in latency budgets of the flow's group. */
    private static final double TRY_BUDGETS = 1.2;

    /** Number of the registry's random stream, see {@link Plan#randomSource}. */
    private static final int REGISTRY_STREAM = 2;

    /** Number of the first backend's random stream; the others follow. */
    private static final int FIRST_BACKEND_STREAM = 1000;

    /** Number of the first proxy's random stream; the others follow. */
    private static final int FIRST_PROXY_STREAM = 5000;

    private final Script script;

    /** This program's command line, for coordinators as child processes; null for coordinators in this process. */
    private final List<String> command;

    /** Settings, port-files and logs of child processes; null without them. */
    private final Path processFolder;

    private final PrintStream out;
    private final Overrides overrides;
    private final Recorder recorder = new Recorder(MAX_RECORDS);
    private final Net net;
    private final Registry registry;
    private final Store store;

    /** Settings without overrides, which stand-ins and the audit use. */
    private final CoordinatorConfig config;

    private final Map<Integer, CoordinatorHandle> coordinators = new TreeMap<>();

    /** Addresses of coordinators by number, kept when one ends so that it restarts at the same address. */
    private final Map<Integer, InetSocketAddress> addresses = new TreeMap<>();

    private final List<StandInProxy> proxies = new ArrayList<>();

    /**
     * By id, in the order of creation and not of their ports, so that the same seed selects the same backends in every
     * run.
     */
    private final Map<String, Backend> backends = new LinkedHashMap<>();

    /** Memory folders of coordinators; null if the script keeps no memory. */
    private final Path memoryFolder;

    private final FaultInjector faultInjector;

    /** What was done to the fleet, one line for each step. */
    private final List<String> log = Collections.synchronizedList(new ArrayList<>());

    private final Plan plan;

    /** Flows that ended, in the order of their ends. */
    private final List<FlowEnd> endedFlows = Collections.synchronizedList(new ArrayList<>());

    /** Each proxy's weight in the traffic. */
    private final List<Double> weights = new ArrayList<>();

    /** The load generator, which takes the role of all clients; null until the fleet is ready. */
    private Engine clients;

    /** Number of backends created so far. */
    private int backendsCreated;

    /** When the day began, in ns of {@link System#nanoTime}. */
    private long dayStartNs;

    /** Prepares a day whose coordinators run in this process. */
    public Day(Script script, PrintStream out, Overrides overrides) throws IOException {
        this(script, out, overrides, null);
    }

    /**
     * Prepares a day.
     *
     * @param out receives progress and what is done to the fleet
     * @param command the command line of this program, which makes each coordinator a child process; null to run
     *     coordinators in this process
     */
    public Day(Script script, PrintStream out, Overrides overrides, List<String> command) throws IOException {
        this.command = command;
        this.processFolder = command == null ? null : Files.createTempDirectory("puffinbarrow-processes");
        this.script = script;
        this.out = out;
        this.overrides = overrides;
        this.plan = new Plan(script);
        this.faultInjector = new FaultInjector(new SocketFleet(), plan.random());
        this.memoryFolder = script.keepsMemory ? Files.createTempDirectory("puffinbarrow-day") : null;
        this.net = new Net("fleet", 4);
        this.config = plan.configWithoutAddresses(0, List.of());
        this.registry = new Registry(
                net, recorder, plan.randomSource(REGISTRY_STREAM), script.minListDelayNs, script.maxListDelayNs);
        this.store = new Store(
                net, recorder, script.slices, script.coordinators, config.soleOwner, script.takeoverNs / 1_000_000);
    }

    /** Returns a coordinator's settings, parsed. */
    private CoordinatorConfig coordinatorConfig(int number, List<String> more) {
        return Plan.parse(settingsLines(number, more));
    }

    /** Returns a coordinator's settings with the addresses of this day. */
    private List<String> settingsLines(int number, List<String> more) {
        List<String> lines = plan.settings(number, more);
        lines.add("registry " + Net.formatAddress(registry.address()) + (script.pollsRegistry ? " ask" : " push"));
        lines.add("store " + Net.formatAddress(store.address()));
        if (memoryFolder != null) {
            lines.add("memory " + memoryFolder.resolve("c" + number));
        }
        if (addresses.containsKey(number)) {
            lines.add("listen " + Net.formatAddress(addresses.get(number)));
        }
        return lines;
    }

    // ---- Fleet

    private Backend createBackend() throws IOException {
        int zone = backendsCreated % script.zones;
        double speed = plan.drawSpeed();
        Backend backend = new Backend(
                net,
                new Backend.Shape(
                        zone,
                        0,
                        backendsCreated / BACKENDS_PER_CELL,
                        script.cores,
                        speed,
                        script.cores * WAITING_ROOM_PER_CORE,
                        script.cores * CONNECTIONS_PER_CORE,
                        script.coldShare,
                        script.coldNs,
                        WARM_KEY_GAIN,
                        WARM_KEYS_PER_CORE * script.cores,
                        Plan.dedupNs(config)),
                recorder,
                plan.randomSource(FIRST_BACKEND_STREAM + backendsCreated),
                config.fallMultiple,
                config.overloadNs);
        backendsCreated++;
        backends.put(backend.id(), backend);
        return backend;
    }

    /** Starts a coordinator and passes it the addresses of the running ones. */
    private void startCoordinator(int number) throws IOException {
        CoordinatorHandle coordinator;
        try {
            coordinator = command == null
                    ? CoordinatorHandle.inProcess(
                            coordinatorConfig(number, overrides.settings()), overrides.decisions())
                    : CoordinatorHandle.childProcess(
                            number,
                            String.join("\n", settingsLines(number, overrides.settings())) + "\n",
                            command,
                            processFolder,
                            store::cut);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return;
        }
        synchronized (coordinators) {
            coordinators.put(number, coordinator);
            addresses.put(number, coordinator.address());
            coordinators.forEach((other, handle) -> {
                if (other != number) {
                    coordinator.connectPeer(other, addresses.get(other));
                }
            });
        }
    }

    /**
     * Starts the fleet, runs the script to its end and returns the report. Blocks for the length of the day and until
     * all flows have ended.
     */
    public DayReport run() throws IOException, InterruptedException {
        out.println("seed " + script.seed);
        for (int i = 0; i < script.backends; i++) {
            registry.update(Plan.listEntry(control(createBackend()), Event.Listed.READY));
        }
        List<String> ids = new ArrayList<>(backends.keySet());
        for (int i = 0; i < script.slices; i++) {
            store.setInitialTable(i, ids.get(i % ids.size()));
        }
        for (int i = 0; i < script.coordinators; i++) {
            startCoordinator(i);
        }
        // Coordinators learn the addresses of those that started after them.
        coordinators.forEach((number, coordinator) -> addresses.forEach((other, address) -> {
            if (other > number) {
                coordinator.connectPeer(other, address);
            }
        }));
        StandInProxy.Timings proxyTimings = new StandInProxy.Timings(
                script.transitNs,
                APPLY_NS_PER_LINE,
                script.sumsLateNs,
                FAILURES_TO_AVOID,
                AVOID_NS,
                HOLD_NS,
                TRY_BUDGETS);
        for (int i = 0; i < script.proxies; i++) {
            StandInProxy proxy = new StandInProxy(
                    net,
                    i,
                    i % script.zones,
                    config,
                    proxyTimings,
                    recorder,
                    plan.randomSource(FIRST_PROXY_STREAM + i));
            proxies.add(proxy);
            proxy.start(store.address(), addresses);
            weights.add(plan.drawTrafficWeight());
        }
        awaitReady();
        Scenario scenario =
                plan.traffic(config, proxies.stream().map(StandInProxy::address).toList(), weights);
        clients = new Engine(scenario, new Arrivals(scenario), endedFlows::add);
        clients.prepare();
        dayStartNs = System.nanoTime();
        Result[] result = new Result[1];
        Thread clientThread = new Thread(() -> result[0] = clients.run(null, dayStartNs), "day-clients");
        clientThread.setDaemon(true);
        clientThread.start();
        for (Script.Fault fault : script.faults) {
            net.timer().schedule(() -> faultInjector.inject(fault), fault.atNs(), TimeUnit.NANOSECONDS);
        }
        printProgress();
        // The load generator times each flow out by its expiry.
        clientThread.join(Plan.longestExpiry(config) / 1_000_000 + 10_000);
        if (result[0] == null) {
            throw new IllegalStateException(
                    clients.openFlows() + " flows are still open 10 s after the longest expiry");
        }
        Map<Integer, Map<String, Double>> metrics = new TreeMap<>();
        coordinators.forEach((number, c) -> metrics.put(number, c.metrics()));
        List<Observation> observations = recorder.sorted();
        List<FlowEnd> flows = List.copyOf(endedFlows);
        Audit.Verdict verdict = Audit.judge(plan.auditConfig(), observations, dayStartNs);
        return new DayReport(
                script,
                config,
                verdict,
                flows,
                scenario,
                result[0],
                dayStartNs,
                recorder.droppedCount(),
                metrics,
                List.copyOf(log),
                FaultEffects.summary(script, observations, flows, dayStartNs),
                script.leaseNs > 0 ? TakeoverTimes.summary(script, observations, dayStartNs) : "",
                store.ownerChanges(),
                store.serversAdded(),
                store.refusedWrites(),
                proxies.stream().mapToLong(StandInProxy::retried).sum(),
                backends.values().stream()
                        .filter(Backend::crashedUnderLoad)
                        .map(Backend::id)
                        .toList(),
                attemptsAtUnstable(observations));
    }

    /** Counts attempts at servers that were made to flap or drain, in the 10 s after each coordinator's restart. */
    private long attemptsAtUnstable(List<Observation> observations) {
        long count = 0;
        for (Script.Fault fault : script.faults) {
            long from = dayStartNs + fault.atNs() + fault.durationNs();
            count += fault.kind() != Script.Kind.KILL
                    ? 0
                    : observations.stream()
                            .filter(s -> s instanceof Observation.AttemptSent sent
                                    && sent.at() >= from
                                    && sent.at() < from + 10 * SECOND
                                    && faultInjector.unstable().contains(sent.server()))
                            .count();
        }
        return count;
    }

    /**
     * Blocks until each proxy has its tables and its streams, 30 s at most, as a machine under load takes several
     * seconds.
     */
    private void awaitReady() throws InterruptedException {
        long until = System.nanoTime() + 30 * SECOND;
        while (System.nanoTime() < until) {
            boolean ready = proxies.stream()
                            .allMatch(p -> !p.unmaskedServers(script.slices - 1).isEmpty()
                                    && !p.unmaskedServers(0).isEmpty())
                    && IntStream.range(0, script.slices).allMatch(slice -> store.owner(slice) >= 0)
                    && coordinators.values().stream()
                            .allMatch(c -> c.metrics().getOrDefault("streams.joined", 0.0) == script.proxies);
            if (ready) {
                Thread.sleep(300);
                return;
            }
            Thread.sleep(20);
        }
        throw new IllegalStateException("the fleet was not ready within 30 s");
    }

    /** Prints a line every five seconds until the day's end. */
    private void printProgress() throws InterruptedException {
        long next = dayStartNs;
        int printed = 0;
        while (System.nanoTime() - dayStartNs < script.lengthNs) {
            Thread.sleep(50);
            if (System.nanoTime() >= next + 5 * SECOND) {
                next += 5 * SECOND;
                List<FlowEnd> flows = List.copyOf(endedFlows);
                long inBudget = flows.subList(printed, flows.size()).stream()
                        .filter(f -> f.outcome() == Result.Outcome.IN_BUDGET)
                        .count();
                out.printf(
                        Locale.ROOT,
                        "%4.0f s  %5d flows ended, %5.1f%% delivered in budget, %d open%n",
                        (next - dayStartNs) / 1e9,
                        flows.size() - printed,
                        flows.size() == printed ? 100 : 100.0 * inBudget / (flows.size() - printed),
                        clients.openFlows());
                printed = flows.size();
            }
        }
    }

    // ---- Faults

    /** Adds a line to the day's log and prints it. */
    private void note(String text) {
        String line = String.format(Locale.ROOT, "%6.2f s  %s", (System.nanoTime() - dayStartNs) / 1e9, text);
        log.add(line);
        out.println(line);
    }

    /** Returns the interface through which faults are applied to a backend. */
    private static BackendControl control(Backend backend) {
        return new BackendControl() {
            @Override
            public String id() {
                return backend.id();
            }

            @Override
            public int zone() {
                return backend.shape().zone();
            }

            @Override
            public int cell() {
                return backend.shape().cell();
            }

            @Override
            public long startedAtNs() {
                return backend.startedAt();
            }

            @Override
            public boolean running() {
                return backend.up();
            }

            @Override
            public boolean draining() {
                return backend.draining();
            }

            @Override
            public void crash() {
                backend.crash();
            }

            @Override
            public void startCold() {
                backend.startCold();
            }

            @Override
            public void setDraining(boolean on) {
                backend.drain(on);
            }

            @Override
            public void fail(double share) {
                backend.fail(share);
            }

            @Override
            public void loseAnswers(double share) {
                backend.loseAnswers(share);
            }

            @Override
            public void setSlowdown(double factor) {
                backend.slowBy(factor);
            }

            @Override
            public void suspend(long ns) {
                backend.pause(ns);
            }
        };
    }

    /** Applies faults to the fleet on sockets, on the timer thread. */
    private final class SocketFleet implements FleetControl {
        @Override
        public void after(long ns, Runnable work) {
            net.timer().schedule(work, ns, TimeUnit.NANOSECONDS);
        }

        @Override
        public void note(String text) {
            Day.this.note(text);
        }

        @Override
        public List<BackendControl> backends() {
            return backends.values().stream().map(Day::control).toList();
        }

        @Override
        public BackendControl addBackend() {
            try {
                Backend backend = createBackend();
                backend.markStarted();
                return control(backend);
            } catch (IOException e) {
                throw new IllegalStateException("cannot start a backend: " + e.getMessage(), e);
            }
        }

        @Override
        public void showInServerList(List<? extends BackendControl> some, Event.Listed as) {
            registry.update(some.stream().map(m -> Plan.listEntry(m, as)).toList());
        }

        @Override
        public void truncateNextList() {
            registry.breakNextList();
        }

        @Override
        public void kill(int coordinator) {
            coordinators.get(coordinator).kill();
        }

        @Override
        public void restart(int coordinator) {
            try {
                startCoordinator(coordinator);
                Day.this.note("coordinator " + coordinator + " started again");
            } catch (IOException e) {
                // Its port may still be in use by its predecessor.
                after(50_000_000L, () -> restart(coordinator));
            }
        }

        @Override
        public void pace(int coordinator, double part) {
            coordinators.get(coordinator).pace(part);
        }

        @Override
        public void setSuspended(int coordinator, boolean on) {
            try {
                coordinators.get(coordinator).setSuspended(on);
            } catch (IOException e) {
                throw new IllegalStateException("cannot " + (on ? "suspend" : "resume") + " it: " + e.getMessage(), e);
            }
        }

        @Override
        public void leave(int coordinator) {
            coordinators.get(coordinator).leave();
        }

        @Override
        public void cut(int number, String from, boolean on) {
            CoordinatorHandle coordinator = coordinators.get(number);
            switch (from) {
                case "store" -> coordinator.cutStore(on);
                case "registry" -> coordinator.cutRegistry(on);
                case "peers" -> coordinators.forEach((other, c) -> {
                    coordinator.cutPeer(other, on);
                    c.cutPeer(number, on);
                });
                default -> proxies.forEach(p -> p.cut(number, on));
            }
        }

        @Override
        public void cutProxies(int count, boolean on) {
            proxies.subList(0, count).forEach(p -> p.cut(on));
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
            store.delayAnswers(ns / 1_000_000);
        }

        @Override
        public void setStoreLossShare(double share) {
            store.loseAnswers(share);
        }
    }

    @Override
    public void close() {
        if (clients != null) {
            clients.close();
        }
        coordinators.values().forEach(CoordinatorHandle::kill);
        proxies.forEach(StandInProxy::close);
        registry.close();
        store.close();
        backends.values().forEach(Backend::crash);
        net.close();
        for (Path folder :
                Stream.of(memoryFolder, processFolder).filter(Objects::nonNull).toList()) {
            try (Stream<Path> files = Files.walk(folder)) {
                files.sorted(Comparator.reverseOrder()).forEach(p -> p.toFile().delete());
            } catch (IOException e) {
                out.println("could not delete " + folder);
            }
        }
    }
}
