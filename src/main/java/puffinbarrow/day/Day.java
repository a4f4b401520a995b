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
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import puffinbarrow.audit.Audit;
import puffinbarrow.audit.Recorder;
import puffinbarrow.audit.Seen;
import puffinbarrow.config.CoordinatorConfig;
import puffinbarrow.control.Controller;
import puffinbarrow.control.Event;
import puffinbarrow.load.Arrivals;
import puffinbarrow.load.Ended;
import puffinbarrow.load.Engine;
import puffinbarrow.load.Result;
import puffinbarrow.load.Scenario;
import puffinbarrow.net.Net;
import puffinbarrow.standin.Backend;
import puffinbarrow.standin.PlainProxy;
import puffinbarrow.standin.Registry;
import puffinbarrow.standin.Store;

/**
 * Plays a scripted day on loopback: real coordinators between stand-in backends, proxies, clients, registry and store,
 * all in one process and on one clock. What the sockets carried is recorded and judged at the end.
 */
public final class Day implements AutoCloseable {
    /** How a day may be bent to prove that the audit sees it: other decisions, or other limits in the coordinator. */
    public record Bend(Controller.Factory decisions, List<String> settings) {}

    /** A million records are a minute at a few hundred flows a second; a day that needs more says so. */
    private static final long RECORDS = 8_000_000;

    private static final long SECOND = 1_000_000_000L;

    private final Script script;
    private final List<String> processes;
    private final Path folder;
    private final PrintStream out;
    private final Bend bend;
    private final Recorder recorder = new Recorder(RECORDS);
    private final Net net;
    private final Registry registry;
    private final Store store;
    private final CoordinatorConfig judged;
    private final Map<Integer, Runner> coordinators = new TreeMap<>();
    private final Map<Integer, InetSocketAddress> addresses = new TreeMap<>();
    private final List<PlainProxy> proxies = new ArrayList<>();
    /** In the order they were made, not of their ports: the same seed strikes the same ones in every run. */
    private final Map<String, Backend> backends = new LinkedHashMap<>();

    private final Path memories;
    private final Strikes strikes;
    private final List<String> log = Collections.synchronizedList(new ArrayList<>());
    private final Plan plan;
    private final List<Ended> ended = Collections.synchronizedList(new ArrayList<>());
    private final List<Double> parts = new ArrayList<>();
    private Engine clients;
    private int made;
    private long beganAt;

    public Day(Script script, PrintStream out, Bend bend) throws IOException {
        this(script, out, bend, null);
    }

    /** @param processes null, or this program's command line: each coordinator is a process of its own */
    public Day(Script script, PrintStream out, Bend bend, List<String> processes) throws IOException {
        this.processes = processes;
        this.folder = processes == null ? null : Files.createTempDirectory("puffinbarrow-processes");
        this.script = script;
        this.out = out;
        this.bend = bend;
        this.plan = new Plan(script);
        this.strikes = new Strikes(new OnSockets(), plan.chance());
        this.memories = script.memory ? Files.createTempDirectory("puffinbarrow-day") : null;
        this.net = new Net("fleet", 4);
        this.judged = plan.config(0, List.of());
        this.registry = new Registry(net, recorder, plan.source(2), script.noticeLowNs, script.noticeHighNs);
        this.store = new Store(
                net, recorder, script.slices, script.coordinators, judged.soleOwner, script.takeoverNs / 1_000_000);
    }

    private CoordinatorConfig config(int number, List<String> more) {
        return Plan.parse(lines(number, more));
    }

    private List<String> lines(int number, List<String> more) {
        List<String> lines = plan.settings(number, more);
        lines.add("registry " + Net.text(registry.address()) + (script.ask ? " ask" : " push"));
        lines.add("store " + Net.text(store.address()));
        if (memories != null) {
            lines.add("memory " + memories.resolve("c" + number));
        }
        if (addresses.containsKey(number)) {
            lines.add("listen " + Net.text(addresses.get(number)));
        }
        return lines;
    }

    // ---- Setting up.

    private Backend backend() throws IOException {
        int zone = made % script.zones;
        double speed = plan.speed();
        Backend backend = new Backend(
                net,
                new Backend.Shape(
                        zone,
                        0,
                        made / 4,
                        script.cores,
                        speed,
                        script.cores * 8,
                        script.cores * 60,
                        script.coldFrom,
                        script.coldNs,
                        0.3,
                        60 * script.cores,
                        Plan.dedupNs(judged)),
                recorder,
                plan.source(1000 + made),
                judged.fallMultiple,
                judged.fallNs);
        made++;
        backends.put(backend.id(), backend);
        return backend;
    }

    private void start(int number) throws IOException {
        Runner coordinator;
        try {
            coordinator = processes == null
                    ? Runner.within(config(number, bend.settings()), bend.decisions())
                    : Runner.process(
                            number,
                            String.join("\n", lines(number, bend.settings())) + "\n",
                            processes,
                            folder,
                            store::cut);
        } catch (InterruptedException stopped) {
            Thread.currentThread().interrupt();
            return;
        }
        synchronized (coordinators) {
            coordinators.put(number, coordinator);
            addresses.put(number, coordinator.address());
            coordinators.forEach((other, there) -> {
                if (other != number) {
                    coordinator.connectPeer(other, addresses.get(other));
                }
            });
        }
    }

    /** Starts the fleet, plays the script to its end and answers what came of it. */
    public Page run() throws IOException, InterruptedException {
        out.println("seed " + script.seed);
        for (int i = 0; i < script.backends; i++) {
            registry.set(Plan.entry(machine(backend()), Event.Listed.READY));
        }
        List<String> ids = new ArrayList<>(backends.keySet());
        for (int i = 0; i < script.slices; i++) {
            store.begin(i, ids.get(i % ids.size()));
        }
        for (int i = 0; i < script.coordinators; i++) {
            start(i);
        }
        // Peers that started before a later one learn its address now.
        coordinators.forEach((number, coordinator) -> addresses.forEach((other, address) -> {
            if (other > number) {
                coordinator.connectPeer(other, address);
            }
        }));
        PlainProxy.Habits habits =
                new PlainProxy.Habits(script.transitNs, 30_000, script.sumsLateNs, 8, 4 * SECOND, 200_000_000L, 1.2);
        for (int i = 0; i < script.proxies; i++) {
            PlainProxy proxy =
                    new PlainProxy(net, i, i % script.zones, judged, habits, recorder, plan.source(5000 + i));
            proxies.add(proxy);
            proxy.start(store.address(), addresses);
            parts.add(plan.part());
        }
        settle();
        Scenario scenario =
                plan.traffic(judged, proxies.stream().map(PlainProxy::address).toList(), parts);
        clients = new Engine(scenario, new Arrivals(scenario), ended::add);
        clients.prepare();
        beganAt = System.nanoTime();
        Result[] result = new Result[1];
        Thread sending = new Thread(() -> result[0] = clients.run(null, beganAt), "day-clients");
        sending.setDaemon(true);
        sending.start();
        for (Script.Trouble trouble : script.troubles) {
            net.timer().schedule(() -> strikes.strike(trouble), trouble.atNs(), TimeUnit.NANOSECONDS);
        }
        follow();
        // Each flow ends by its expiry at the latest, by the generator's own time-outs.
        sending.join(Plan.longestExpiry(judged) / 1_000_000 + 10_000);
        if (result[0] == null) {
            throw new IllegalStateException(clients.openFlows() + " flows open after their expiry");
        }
        Map<Integer, Map<String, Double>> figures = new TreeMap<>();
        coordinators.forEach((number, c) -> figures.put(number, c.figures()));
        List<Seen> seen = recorder.all();
        List<Ended> flows = List.copyOf(ended);
        Audit.Verdict verdict = Audit.judge(plan.stretched(), seen, beganAt);
        return new Page(
                script,
                judged,
                verdict,
                flows,
                scenario,
                result[0],
                beganAt,
                recorder.lost(),
                figures,
                List.copyOf(log),
                Signs.of(script, seen, flows, beganAt),
                script.leaseNs > 0 ? Silence.of(script, seen, beganAt) : "",
                store.handed(),
                store.moves(),
                store.refusedWrites(),
                proxies.stream().mapToLong(PlainProxy::retried).sum(),
                backends.values().stream()
                        .filter(Backend::fell)
                        .map(Backend::id)
                        .toList(),
                sentToStruck(seen));
    }

    /** Attempts at servers that flap or were drained, in the ten seconds after each coordinator's restart. */
    private long sentToStruck(List<Seen> seen) {
        long count = 0;
        for (Script.Trouble t : script.troubles) {
            long from = beganAt + t.atNs() + t.forNs();
            count += t.kind() != Script.Kind.KILL
                    ? 0
                    : seen.stream()
                            .filter(s -> s instanceof Seen.Sent sent
                                    && sent.at() >= from
                                    && sent.at() < from + 10 * SECOND
                                    && strikes.struck().contains(sent.server()))
                            .count();
        }
        return count;
    }

    /** Until each proxy has each table and its streams, half a minute at most, as a loaded machine takes several seconds. */
    private void settle() throws InterruptedException {
        long until = System.nanoTime() + 30 * SECOND;
        while (System.nanoTime() < until) {
            boolean ready = proxies.stream()
                            .allMatch(p -> !p.open(script.slices - 1).isEmpty()
                                    && !p.open(0).isEmpty())
                    && java.util.stream.IntStream.range(0, script.slices).allMatch(slice -> store.owner(slice) >= 0)
                    && coordinators.values().stream()
                            .allMatch(c -> c.figures().getOrDefault("streams.joined", 0.0) == script.proxies);
            if (ready) {
                Thread.sleep(300);
                return;
            }
            Thread.sleep(20);
        }
        throw new IllegalStateException("the fleet did not come up within 30 s");
    }

    private void follow() throws InterruptedException {
        long next = beganAt;
        int seen = 0;
        while (System.nanoTime() - beganAt < script.lengthNs) {
            Thread.sleep(50);
            if (System.nanoTime() >= next + 5 * SECOND) {
                next += 5 * SECOND;
                List<Ended> so = List.copyOf(ended);
                long good = so.subList(seen, so.size()).stream()
                        .filter(f -> f.outcome() == Result.Outcome.IN_BUDGET)
                        .count();
                out.printf(
                        Locale.ROOT,
                        "%4.0f s  %5d flows ended, %5.1f%% delivered in budget, %d open%n",
                        (next - beganAt) / 1e9,
                        so.size() - seen,
                        so.size() == seen ? 100 : 100.0 * good / (so.size() - seen),
                        clients.openFlows());
                seen = so.size();
            }
        }
    }

    // ---- What goes wrong.

    private void note(String text) {
        String line = String.format(Locale.ROOT, "%6.2f s  %s", (System.nanoTime() - beganAt) / 1e9, text);
        log.add(line);
        out.println(line);
    }

    private static Machine machine(Backend b) {
        return new Machine() {
            @Override
            public String id() {
                return b.id();
            }

            @Override
            public int zone() {
                return b.shape().zone();
            }

            @Override
            public int cell() {
                return b.shape().cell();
            }

            @Override
            public long startedAt() {
                return b.startedAt();
            }

            @Override
            public boolean up() {
                return b.up();
            }

            @Override
            public boolean draining() {
                return b.draining();
            }

            @Override
            public void die() {
                b.die();
            }

            @Override
            public void startCold() {
                b.startCold();
            }

            @Override
            public void drain(boolean on) {
                b.drain(on);
            }

            @Override
            public void fail(double share) {
                b.fail(share);
            }

            @Override
            public void loseAnswers(double share) {
                b.loseAnswers(share);
            }

            @Override
            public void slowBy(double factor) {
                b.slowBy(factor);
            }

            @Override
            public void pause(long ns) {
                b.pause(ns);
            }
        };
    }

    private final class OnSockets implements Stage {
        @Override
        public void after(long ns, Runnable work) {
            net.timer().schedule(work, ns, TimeUnit.NANOSECONDS);
        }

        @Override
        public void note(String text) {
            Day.this.note(text);
        }

        @Override
        public List<Machine> machines() {
            return backends.values().stream().map(Day::machine).toList();
        }

        @Override
        public Machine fresh() {
            try {
                Backend backend = backend();
                backend.beginCold();
                return machine(backend);
            } catch (IOException full) {
                throw new IllegalStateException("no new backend: " + full.getMessage(), full);
            }
        }

        @Override
        public void list(List<? extends Machine> some, Event.Listed as) {
            registry.set(some.stream().map(m -> Plan.entry(m, as)).toList());
        }

        @Override
        public void breakList() {
            registry.breakNextList();
        }

        @Override
        public void kill(int coordinator) {
            coordinators.get(coordinator).kill();
        }

        @Override
        public void restart(int coordinator) {
            try {
                start(coordinator);
                Day.this.note("coordinator " + coordinator + " started again");
            } catch (IOException held) {
                after(50_000_000L, () -> restart(coordinator));
            }
        }

        @Override
        public void pace(int coordinator, double part) {
            coordinators.get(coordinator).pace(part);
        }

        @Override
        public void freeze(int coordinator, boolean on) {
            try {
                coordinators.get(coordinator).freeze(on);
            } catch (IOException gone) {
                throw new IllegalStateException(
                        "could not " + (on ? "stop" : "wake") + " it: " + gone.getMessage(), gone);
            }
        }

        @Override
        public void leave(int coordinator) {
            coordinators.get(coordinator).leave();
        }

        @Override
        public void cut(int number, String from, boolean on) {
            Runner coordinator = coordinators.get(number);
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
        public void unheard(int some, boolean on) {
            proxies.subList(0, some).forEach(p -> p.cut(on));
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
            store.slow(ns / 1_000_000);
        }

        @Override
        public void storeLoses(double share) {
            store.loseAnswers(share);
        }
    }

    @Override
    public void close() {
        if (clients != null) {
            clients.close();
        }
        coordinators.values().forEach(Runner::kill);
        proxies.forEach(PlainProxy::close);
        registry.close();
        store.close();
        backends.values().forEach(Backend::die);
        net.close();
        for (Path made :
                Stream.of(memories, folder).filter(java.util.Objects::nonNull).toList()) {
            try (Stream<Path> all = Files.walk(made)) {
                all.sorted(Comparator.reverseOrder()).forEach(p -> p.toFile().delete());
            } catch (IOException left) {
                out.println("left behind: " + made);
            }
        }
    }
}
