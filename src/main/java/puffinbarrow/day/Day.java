package puffinbarrow.day;

import java.io.IOException;
import java.io.PrintStream;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import puffinbarrow.audit.Audit;
import puffinbarrow.audit.Recorder;
import puffinbarrow.audit.Seen;
import puffinbarrow.config.CoordinatorConfig;
import puffinbarrow.config.Problem;
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
    private final Map<String, Backend> backends = new TreeMap<>();
    private final Path memories;
    private final Set<String> troubled = Collections.synchronizedSet(new HashSet<>());
    /** Servers that were made to flap or to drain. */
    private final Set<String> struck = Collections.synchronizedSet(new HashSet<>());
    private final List<String> log = Collections.synchronizedList(new ArrayList<>());
    private final UniformRandomProvider chance;
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
        this.chance = source(1);
        this.memories = script.memory ? Files.createTempDirectory("puffinbarrow-day") : null;
        this.net = new Net("fleet", 4);
        this.judged = config(0, List.of());
        this.registry = new Registry(net, recorder, source(2), script.noticeLowNs, script.noticeHighNs);
        this.store = new Store(net, recorder, script.slices, script.coordinators, judged.soleOwner,
                script.takeoverNs / 1_000_000);
    }

    private UniformRandomProvider source(long part) {
        // A stream of its own for each part, so that one more part does not change the others.
        return RandomSource.XO_RO_SHI_RO_128_PP.create(script.seed * 1_000_003 + part);
    }

    private CoordinatorConfig config(int number, List<String> more) {
        List<Problem> problems = new ArrayList<>();
        CoordinatorConfig config = CoordinatorConfig.parse("day", text(number, more), problems);
        if (!problems.isEmpty()) {
            throw new IllegalArgumentException("settings of the day: " + problems);
        }
        return config;
    }

    private String text(int number, List<String> more) {
        StringBuilder text = new StringBuilder();
        List<String> lines = new ArrayList<>(List.of("coordinator " + number + " of " + script.coordinators,
                "zones " + zoneNames(), "zone zone-" + number % script.zones, "seed " + (script.seed + number),
                "slices " + script.slices, "grace 3s", "bare 6s", "warm " + script.coldNs / 1_000_000 + "ms",
                "cold-share " + script.coldFrom, "fall-multiple 4 for 1.5s", "queue 4200", "pace 2800", "head 12",
                "messages 20 per 10s", "round 1s", "intake 300", "levels share", "idle 6s",
                "group basket-price utility 1 budget 1.5s expiry 5s retriable",
                "group stock-hold utility 3 budget 500ms expiry 1.2s retriable",
                "group courier-booking utility 2 budget 800ms expiry 2s non-retriable"));
        if (script.leaseNs > 0) {
            lines.add("lease " + script.leaseNs / 1_000_000 + "ms");
        }
        List<String> own = new ArrayList<>(script.settings);
        own.addAll(more);
        for (String line : own) {
            String keyword = line.split(" ")[0];
            boolean group = keyword.equals("group");
            // A script's own groups replace the built-in ones; other keywords replace their line.
            lines.removeIf(l -> l.startsWith(keyword + " ") && (!group || !own.contains(l)));
            lines.add(line);
        }
        lines.forEach(line -> text.append(line).append('\n'));
        if (registry != null) {
            text.append("registry ").append(Net.text(registry.address())).append(script.ask ? " ask\n" : " push\n");
            text.append("store ").append(Net.text(store.address())).append('\n');
            if (memories != null) {
                text.append("memory ").append(memories.resolve("c" + number)).append('\n');
            }
            if (addresses.containsKey(number)) {
                text.append("listen ").append(Net.text(addresses.get(number))).append('\n');
            }
        } else {
            text.append("registry 127.0.0.1:1 push\nstore 127.0.0.1:1\n");
        }
        return text.toString();
    }

    private String zoneNames() {
        StringBuilder names = new StringBuilder();
        for (int i = 0; i < script.zones; i++) {
            names.append("zone-").append(i).append(' ');
        }
        return names.toString().trim();
    }

    // ---- Setting up.

    private Backend backend() throws IOException {
        int zone = made % script.zones;
        double speed = script.speedLow + (script.speedHigh - script.speedLow) * chance.nextDouble();
        Backend backend = new Backend(net, new Backend.Shape(zone, 0, made / 4, script.cores, speed,
                script.cores * 8, script.cores * 60, script.coldFrom, script.coldNs, 0.3, 60 * script.cores,
                dedupNs()), recorder, source(1000 + made), judged.fallMultiple, judged.fallNs);
        made++;
        backends.put(backend.id(), backend);
        return backend;
    }

    private long dedupNs() {
        return judged.groups.stream().mapToLong(CoordinatorConfig.Group::windowNs).max().orElse(0);
    }

    private Event.Entry entry(Backend backend, Event.Listed listed) {
        // The listed size is the nominal one; what a machine really does differs by its speed.
        return new Event.Entry(backend.id(), backend.shape().zone(), 0, backend.shape().cell(), listed, 1,
                backend.startedAt());
    }

    private void start(int number) throws IOException {
        Runner coordinator;
        try {
            coordinator = processes == null ? Runner.within(config(number, bend.settings()), bend.decisions())
                    : Runner.process(number, text(number, bend.settings()), processes, folder, store::cut);
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
            registry.set(entry(backend(), Event.Listed.READY));
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
        PlainProxy.Habits habits = new PlainProxy.Habits(script.transitNs, 30_000, script.sumsLateNs, 8,
                4 * SECOND, 200_000_000L, 1.2);
        for (int i = 0; i < script.proxies; i++) {
            PlainProxy proxy = new PlainProxy(net, i, i % script.zones, judged, habits, recorder, source(5000 + i));
            proxies.add(proxy);
            proxy.start(store.address(), addresses);
            // Most clients' proxies carry little, some far more.
            parts.add(0.3 + 2 * Math.pow(chance.nextDouble(), 3));
        }
        settle();
        Scenario scenario = traffic();
        clients = new Engine(scenario, new Arrivals(scenario), ended::add);
        clients.prepare();
        beganAt = System.nanoTime();
        Result[] result = new Result[1];
        Thread sending = new Thread(() -> result[0] = clients.run(null, beganAt), "day-clients");
        sending.setDaemon(true);
        sending.start();
        for (Script.Trouble trouble : script.troubles) {
            net.timer().schedule(() -> strike(trouble), trouble.atNs(), TimeUnit.NANOSECONDS);
        }
        follow();
        // Each flow ends by its expiry at the latest, by the generator's own time-outs.
        sending.join(longestExpiry() / 1_000_000 + 10_000);
        if (result[0] == null) {
            throw new IllegalStateException(clients.openFlows() + " flows open after their expiry");
        }
        Map<Integer, Map<String, Double>> figures = new TreeMap<>();
        coordinators.forEach((number, c) -> figures.put(number, c.figures()));
        List<Seen> seen = recorder.all();
        List<Ended> flows = List.copyOf(ended);
        Audit.Verdict verdict = Audit.judge(stretched(), seen, beganAt);
        return new Page(script, judged, verdict, flows, scenario, result[0], beganAt,
                recorder.lost(), figures, List.copyOf(log), Signs.of(script, seen, flows, beganAt),
                script.leaseNs > 0 ? Silence.of(script, seen, beganAt) : "", store.handed(), store.refusedWrites(),
                proxies.stream().mapToLong(PlainProxy::retried).sum(),
                backends.values().stream().filter(Backend::fell).map(Backend::id).toList(), sentToStruck(seen));
    }

    /**
     * The day's traffic as the load generator takes it: shorter budgets go with less work, as in the deployments, a
     * fifth of the budget on one core; work and slices uneven as theirs; what strikes traffic is part of the arrivals.
     */
    private Scenario traffic() {
        StringBuilder text = new StringBuilder(String.format(Locale.ROOT, "seed %d%nrate %s%nlength %dms%nslices %d uneven 0.4 "
                + "to 1.6 keys 40%nretries %d wait 100ms%nconnections 5000%n", script.seed, script.rate,
                script.lengthNs / 1_000_000, script.slices, script.retries));
        for (int i = 0; i < proxies.size(); i++) {
            text.append("target ").append(Net.text(proxies.get(i).address())).append(String.format(Locale.ROOT, " weight %.4f%n",
                    parts.get(i)));
        }
        for (CoordinatorConfig.Group group : judged.groups) {
            text.append(String.format(Locale.ROOT, "group %s share 1 utility %s budget %dms expiry %dms path /flow method POST "
                    + "work %dus spread 0.47%s%n", group.name(), group.utility(), group.budgetNs() / 1_000_000,
                    group.expiryNs() / 1_000_000, group.budgetNs() / 5000, group.repeats()
                    == CoordinatorConfig.Repeats.RETRIABLE ? "" : " non-retriable"));
        }
        for (Script.Trouble t : script.troubles) {
            String lasts = t.atNs() / 1_000_000 + "ms for " + t.forNs() / 1_000_000 + "ms";
            switch (t.kind()) {
                case TRAFFIC -> text.append(String.format(Locale.ROOT, "shape jump x %s at %s%n", t.factor(), lasts));
                case PEAK -> text.append(String.format(Locale.ROOT, "shape peak x %s at %dms width %dms%n", t.factor(),
                        (t.atNs() + t.forNs() / 2) / 1_000_000, t.forNs() / 1_000_000));
                case HOT -> text.append(String.format(Locale.ROOT, "hot %d keys %.4f%% at %s%n", t.number(), 100 * t.share(),
                        lasts));
                case HEAVY -> text.append(String.format(Locale.ROOT, "heavy %.4f%% x %s at %s%n", 100 * t.share(),
                        t.factor(), lasts));
                default -> { }
            }
        }
        List<Problem> problems = new ArrayList<>();
        Scenario scenario = Scenario.parse("traffic", text.toString(), problems);
        if (!problems.isEmpty()) {
            throw new IllegalArgumentException("traffic of the day: " + problems);
        }
        return scenario;
    }

    /** Attempts at servers that flap or were drained, in the ten seconds after each coordinator's restart. */
    private long sentToStruck(List<Seen> seen) {
        long count = 0;
        for (Script.Trouble t : script.troubles) {
            long from = beganAt + t.atNs() + t.forNs();
            count += t.kind() != Script.Kind.KILL ? 0 : seen.stream().filter(s -> s instanceof Seen.Sent sent
                    && sent.at() >= from && sent.at() < from + 10 * SECOND && struck.contains(sent.server())).count();
        }
        return count;
    }

    /** The day's rules: where a channel was slow or stood, times in the rules grow, as WIRE's fifth rule says. */
    private CoordinatorConfig stretched() {
        double part = 1;
        long stops = 0;
        long silent = 0;
        for (Script.Trouble trouble : script.troubles) {
            part = trouble.kind() == Script.Kind.PACE ? Math.min(part, trouble.share()) : part;
            stops += trouble.kind() == Script.Kind.STOP ? trouble.forNs() : 0;
            // One that stands still keeps its charges for a lease at most, and is taken over in little more.
            silent = trouble.kind() == Script.Kind.FREEZE ? Math.min(trouble.forNs(), 2 * script.leaseNs) : silent;
        }
        CoordinatorConfig config = config(0, List.of());
        config.graceNs = (long) (config.graceNs / part) + stops + silent;
        config.bareNs = (long) (config.bareNs / part) + stops + silent;
        return config;
    }

    private long longestExpiry() {
        return judged.groups.stream().mapToLong(CoordinatorConfig.Group::expiryNs).max().orElse(SECOND);
    }

    /** Until each proxy has each table and its streams, ten seconds at most. */
    private void settle() throws InterruptedException {
        long until = System.nanoTime() + 10 * SECOND;
        while (System.nanoTime() < until) {
            boolean ready = proxies.stream().allMatch(p -> !p.open(script.slices - 1).isEmpty()
                    && !p.open(0).isEmpty()) && java.util.stream.IntStream.range(0, script.slices)
                    .allMatch(slice -> store.owner(slice) >= 0) && coordinators.values().stream()
                    .allMatch(c -> c.figures().getOrDefault("streams.joined", 0.0) == script.proxies);
            if (ready) {
                Thread.sleep(300);
                return;
            }
            Thread.sleep(20);
        }
        throw new IllegalStateException("the fleet did not come up within 10 s");
    }

    private void follow() throws InterruptedException {
        long next = beganAt;
        int seen = 0;
        while (System.nanoTime() - beganAt < script.lengthNs) {
            Thread.sleep(50);
            if (System.nanoTime() >= next + 5 * SECOND) {
                next += 5 * SECOND;
                List<Ended> so = List.copyOf(ended);
                long good = so.subList(seen, so.size()).stream().filter(f -> f.outcome() == Result.Outcome.IN_BUDGET)
                        .count();
                out.printf(Locale.ROOT, "%4.0f s  %5d flows ended, %5.1f%% delivered in budget, %d open%n",
                        (next - beganAt) / 1e9, so.size() - seen, so.size() == seen ? 100
                        : 100.0 * good / (so.size() - seen), clients.openFlows());
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

    private void after(long ns, Runnable work) {
        net.timer().schedule(work, ns, TimeUnit.NANOSECONDS);
    }

    private List<Backend> choose(Script.Pick pick) {
        List<Backend> open = new ArrayList<>(backends.values().stream().filter(b -> b.up() && !b.draining()
                && !troubled.contains(b.id()) && (pick.zone() < 0 || b.shape().zone() == pick.zone())).toList());
        if (pick.zone() >= 0) {
            return open;
        }
        int count = pick.count() > 0 ? pick.count() : (int) Math.round(pick.share() * backends.size());
        for (int i = open.size() - 1; i > 0; i--) {
            Collections.swap(open, i, chance.nextInt(i + 1));
        }
        return open.subList(0, Math.min(count, open.size()));
    }

    private static String names(List<Backend> chosen) {
        return chosen.stream().map(b -> b.id().substring(b.id().indexOf(':'))).toList().toString();
    }

    private void during(Script.Trouble t, List<Backend> chosen, java.util.function.Consumer<Backend> on,
            java.util.function.Consumer<Backend> off) {
        chosen.forEach(b -> troubled.add(b.id()));
        chosen.forEach(on);
        note(t.text() + "  " + names(chosen));
        after(t.forNs(), () -> {
            chosen.forEach(off);
            chosen.forEach(b -> troubled.remove(b.id()));
            note("over: " + t.text());
        });
    }

    private void strike(Script.Trouble t) {
        try {
            switch (t.kind()) {
                case TRAFFIC, PEAK, HOT, HEAVY -> note(t.text());
                case DIE -> during(t, choose(t.pick()), this::dies, this::returns);
                case VANISH -> during(t, choose(t.pick()), this::vanishes, this::returns);
                case FAIL -> during(t, choose(t.pick()), b -> b.fail(t.share()), b -> b.fail(0));
                case LOSE -> during(t, choose(t.pick()), b -> b.loseAnswers(t.share()), b -> b.loseAnswers(0));
                case SLOW -> during(t, choose(t.pick()), b -> b.slowBy(t.factor()), b -> b.slowBy(1));
                case PAUSE -> {
                    List<Backend> chosen = choose(t.pick());
                    during(t, chosen, b -> { }, b -> { });
                    for (long at = 0; at < t.forNs(); at += t.everyNs()) {
                        after(at, () -> chosen.forEach(b -> b.pause((long) t.factor())));
                    }
                }
                case FLAP -> {
                    List<Backend> chosen = choose(t.pick());
                    chosen.forEach(b -> struck.add(b.id()));
                    during(t, chosen, b -> { }, this::returns);
                    for (long at = 0; at + (long) t.factor() < t.forNs(); at += t.everyNs()) {
                        after(at, () -> chosen.forEach(this::dies));
                        after(at + (long) t.factor(), () -> chosen.forEach(this::returns));
                    }
                }
                case AGE -> {
                    List<Backend> chosen = choose(t.pick());
                    during(t, chosen, b -> { }, b -> {
                        dies(b);
                        after(2 * SECOND, () -> returns(b));
                    });
                    for (int step = 1; step <= 10; step++) {
                        double factor = 1 + (t.factor() - 1) * step / 10;
                        after(t.forNs() * step / 11, () -> chosen.forEach(b -> b.slowBy(factor)));
                    }
                }
                case ADD -> {
                    List<Backend> fresh = new ArrayList<>();
                    for (int i = 0; i < t.pick().count(); i++) {
                        Backend backend = backend();
                        backend.beginCold();
                        registry.set(entry(backend, Event.Listed.READY));
                        fresh.add(backend);
                    }
                    note(t.text() + "  " + names(fresh));
                }
                case PREEMPT -> {
                    List<Backend> chosen = choose(t.pick());
                    note(t.text() + "  " + names(chosen));
                    drains(chosen);
                    after(t.forNs(), () -> chosen.forEach(b -> {
                        dies(b);
                        replace();
                    }));
                }
                case RELEASE -> release(t);
                case LIST_LIES -> {
                    List<Backend> chosen = choose(t.pick());
                    during(t, chosen, b -> { }, b -> registry.set(entry(b, Event.Listed.READY)));
                    registry.set(chosen.stream().map(b -> entry(b, Event.Listed.GONE)).toList());
                }
                case LIST_BREAKS -> {
                    note(t.text());
                    registry.breakNextList();
                }
                case KILL -> {
                    Runner coordinator = coordinators.get(t.number());
                    note(t.text());
                    coordinator.kill();
                    after(t.forNs(), () -> restart(t.number()));
                }
                case PACE, STOP -> {
                    // Standing still is a pace at which nothing leaves in the time it lasts.
                    coordinators.get(t.number()).pace(t.kind() == Script.Kind.PACE ? t.share() : 1e-6);
                    note(t.text());
                    after(t.forNs(), () -> coordinators.get(t.number()).pace(1));
                }
                case FREEZE -> {
                    Runner coordinator = coordinators.get(t.number());
                    note(t.text());
                    coordinator.freeze(true);
                    after(t.forNs(), () -> {
                        try {
                            coordinator.freeze(false);
                            note("over: " + t.text());
                        } catch (IOException gone) {
                            note("could not wake: " + gone.getMessage());
                        }
                    });
                }
                case LEAVE -> {
                    Runner coordinator = coordinators.get(t.number());
                    note(t.text());
                    coordinator.leave();
                    after(t.forNs(), () -> {
                        coordinator.kill();
                        restart(t.number());
                    });
                }
                case STORE_AWAY -> {
                    note(t.text());
                    store.away(true);
                    after(t.forNs(), () -> store.away(false));
                }
                case STORE_SLOW -> {
                    note(t.text());
                    store.slow((long) t.factor() / 1_000_000);
                    after(t.forNs(), () -> store.slow(0));
                }
                case STORE_LOSES -> {
                    note(t.text());
                    store.loseAnswers(t.share());
                    after(t.forNs(), () -> store.loseAnswers(0));
                }
                case CUT -> {
                    note(t.text());
                    cut(t, true);
                    after(t.forNs(), () -> {
                        cut(t, false);
                        note("over: " + t.text());
                    });
                }
                case UNHEARD -> {
                    List<PlainProxy> some = new ArrayList<>(proxies).subList(0,
                            (int) Math.round(t.share() * proxies.size()));
                    some.forEach(p -> p.cut(true));
                    note(t.text());
                    after(t.forNs(), () -> {
                        some.forEach(p -> p.cut(false));
                        note("over: " + t.text());
                    });
                }
                default -> throw new IllegalStateException(t.kind().name());
            }
        } catch (IOException | RuntimeException failed) {
            note("could not: " + t.text() + ": " + failed);
        }
    }

    private void dies(Backend backend) {
        backend.die();
        registry.set(entry(backend, Event.Listed.GONE));
    }

    /** Silent first; the list learns of it later than of a process that ended. */
    private void vanishes(Backend backend) {
        backend.pause(600 * SECOND);
        after(3 * SECOND, () -> {
            backend.die();
            backend.pause(0);
            registry.set(entry(backend, Event.Listed.GONE));
        });
    }

    private void returns(Backend backend) {
        backend.pause(0);
        backend.startCold();
        after(100_000_000L, () -> {
            if (backend.up()) {
                registry.set(entry(backend, Event.Listed.READY));
            }
        });
    }

    private void drains(List<Backend> chosen) {
        chosen.forEach(b -> struck.add(b.id()));
        chosen.forEach(b -> b.drain(false));
        registry.set(chosen.stream().map(b -> entry(b, Event.Listed.DRAINING)).toList());
    }

    private void replace() {
        try {
            Backend backend = backend();
            backend.beginCold();
            registry.set(entry(backend, Event.Listed.READY));
        } catch (IOException full) {
            note("could not replace a backend: " + full.getMessage());
        }
    }

    /** Batch after batch: told to drain, ended after the drain, started again cold under the same id. */
    private void release(Script.Trouble t) {
        List<Backend> all = choose(t.pick());
        int batch = Math.max(1, (int) Math.round(t.share() * backends.size()));
        note(t.text() + "  " + all.size() + " backends, " + batch + " at a time");
        all.forEach(b -> troubled.add(b.id()));
        long pause = t.forNs() + 2 * SECOND;
        for (int from = 0, turn = 0; from < all.size(); from += batch, turn++) {
            List<Backend> some = List.copyOf(all.subList(from, Math.min(all.size(), from + batch)));
            after(turn * pause, () -> drains(some));
            after(turn * pause + t.forNs(), () -> some.forEach(this::dies));
            after(turn * pause + t.forNs() + SECOND, () -> {
                some.forEach(this::returns);
                some.forEach(b -> troubled.remove(b.id()));
            });
        }
    }

    private void restart(int number) {
        try {
            start(number);
            note("coordinator " + number + " started again");
        } catch (IOException held) {
            after(50_000_000L, () -> restart(number));
        }
    }

    private void cut(Script.Trouble t, boolean on) {
        Runner coordinator = coordinators.get(t.number());
        boolean all = t.from().equals("all");
        if (all || t.from().equals("store")) {
            coordinator.cutStore(on);
        }
        if (all || t.from().equals("registry")) {
            coordinator.cutRegistry(on);
        }
        if (all || t.from().equals("peers")) {
            coordinators.forEach((other, c) -> {
                coordinator.cutPeer(other, on);
                c.cutPeer(t.number(), on);
            });
        }
        if (all || t.from().equals("proxies")) {
            proxies.forEach(p -> p.cut(t.number(), on));
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
        for (Path made : Stream.of(memories, folder).filter(java.util.Objects::nonNull).toList()) {
            try (Stream<Path> all = Files.walk(made)) {
                all.sorted(Comparator.reverseOrder()).forEach(p -> p.toFile().delete());
            } catch (IOException left) {
                out.println("left behind: " + made);
            }
        }
    }
}
