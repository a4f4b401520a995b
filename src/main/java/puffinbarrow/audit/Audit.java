package puffinbarrow.audit;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import puffinbarrow.config.CoordinatorConfig;
import puffinbarrow.control.Event;
import puffinbarrow.control.Order;

/**
 * Judges the five rules from what was seen on the sockets alone: it rebuilds each proxy's tables, masks and owners
 * from frames, and knows what each coordinator was told and when. It asks no coordinator anything. Pure: a record and
 * the settings in, findings out.
 */
public final class Audit {
    public enum Rule {
        BARE,
        TWICE,
        DRAIN,
        COLD,
        QUEUE,
        VOICE
    }

    /** One breach, with what shows it. */
    public record Finding(Rule rule, long at, String evidence) {}

    /** How far a record's own figures went: the worst seen, whether or not it broke the rule. */
    public record Verdict(
            List<Finding> findings,
            long longestBareNs,
            long latestDrainNs,
            double mostColdPart,
            double mostQueued,
            int mostMessages,
            long attempts,
            long ordersFrames) {
        public boolean kept() {
            return findings.isEmpty();
        }

        public boolean broke(Rule rule) {
            return findings.stream().anyMatch(f -> f.rule() == rule);
        }
    }

    private static final class Server {
        boolean listed, ready;
        /** When the coordinator was told that it drains or is gone; 0 while it is not. */
        long leftAt;

        long started;
        /** When the coordinator was told of the present start. */
        long startToldAt;
    }

    private static final class Coordinator {
        final TreeMap<String, Server> servers = new TreeMap<>();
        final Map<Integer, Long> chargeAt = new HashMap<>();
    }

    private static final class Proxy {
        final Map<Integer, TreeMap<String, Double>> tables = new HashMap<>();
        final Map<Integer, Set<String>> masks = new HashMap<>();
        final Map<Integer, Integer> owner = new HashMap<>();
        final Map<Integer, Long> joinedAt = new HashMap<>();
        final Map<Integer, Long> lastOrderAt = new HashMap<>();
        final Map<Integer, ArrayDeque<Long>> messages = new HashMap<>();
        final Map<Integer, Long> bareSince = new HashMap<>();
        final Map<Integer, Long> terms = new HashMap<>();
    }

    private record Load(long at, double workNs, boolean knowing) {}

    private static final class Cold {
        Seen.Started start;
        final ArrayDeque<Load> window = new ArrayDeque<>();
        double work, knowing;
        boolean told;
    }

    private record Step(long at, double lines) {}

    /** The lines of one coordinator that wait; steps are taken once nothing earlier can come any more. */
    private static final class Queue {
        // At equal times what leaves goes first: it made the room.
        final PriorityQueue<Step> steps =
                new PriorityQueue<>(Comparator.comparingLong(Step::at).thenComparingDouble(Step::lines));
        double waiting;
    }

    /** No message is on its way for longer: streams that are cut lose theirs. */
    private static final long LONGEST_WAY_NS = 120_000_000_000L;
    /** Proxies and clients end a flow at its expiry, stand-ins a little later. */
    private static final long AFTER_EXPIRY_NS = 10_000_000_000L;

    private record Owner(long orderedAtNs, String server) {}

    private record Try(Seen.Sent sent, Seen.Ended ended) {}

    private final CoordinatorConfig config;
    private long epochNs;
    private final List<Finding> findings = new ArrayList<>();
    private final TreeMap<Integer, Coordinator> coordinators = new TreeMap<>();
    private final TreeMap<Integer, Proxy> proxies = new TreeMap<>();
    private final Map<String, Cold> cold = new HashMap<>();
    private final Map<Long, List<Try>> flows = new HashMap<>();
    private final Map<Long, List<Seen.Ran>> runs = new HashMap<>();
    private final Map<Integer, Map<Long, String>> writing = new HashMap<>();
    private final Map<Integer, String> lastWriter = new HashMap<>();
    private final Map<Integer, Map<Long, Integer>> voices = new HashMap<>();
    private final Map<Integer, Owner> latestOwner = new HashMap<>();
    private final Set<String> said = new HashSet<>();
    private final Map<Integer, Queue> queues = new TreeMap<>();
    /** Flows in the order of their first try: each is judged, and forgotten, once it can be repeated no more. */
    private final ArrayDeque<Seen.Sent> begun = new ArrayDeque<>();

    private final long flowNs;
    private long longestBare, latestDrain, attempts, ordersFrames;
    private double mostCold, mostQueued;
    private int mostMessages;

    /** @param epochNs the time that evidence counts from */
    public Audit(CoordinatorConfig config, long epochNs) {
        this.config = config;
        this.epochNs = epochNs;
        this.flowNs = AFTER_EXPIRY_NS
                + config.groups.stream()
                        .mapToLong(g -> g.expiryNs() + g.windowNs())
                        .max()
                        .orElse(0);
    }

    /** Evidence counts from then, for what is found from now on. */
    public void countFrom(long atNs) {
        epochNs = atNs;
    }

    /** @param epochNs the time that evidence counts from */
    public static Verdict judge(CoordinatorConfig config, List<Seen> seen, long epochNs) {
        Audit audit = new Audit(config, epochNs);
        seen.forEach(audit::take);
        return audit.verdict(
                seen.isEmpty() ? epochNs : seen.get(seen.size() - 1).at());
    }

    /** Of all that was taken, which ended then; nothing may be taken after. */
    public Verdict verdict(long at) {
        endOfRecord(at);
        return new Verdict(
                findings, longestBare, latestDrain, mostCold, mostQueued, mostMessages, attempts, ordersFrames);
    }

    private void found(Rule rule, long at, String key, String evidence) {
        // One line for each kind of case: a server sent to a thousand times is one finding.
        if (said.add(rule + " " + key)) {
            findings.add(new Finding(
                    rule, at, String.format(java.util.Locale.ROOT, "%.3f s: %s", (at - epochNs) / 1e9, evidence)));
        }
    }

    /** In the order of time. Memory grows with the fleet and with what lasts, not with the length of the record. */
    public void take(Seen seen) {
        if (seen instanceof Seen.ListTold s) {
            listTold(s);
            coordinatorChanged(s.coordinator(), s.at());
        } else if (seen instanceof Seen.ChargeTold s) {
            Coordinator coordinator = coordinator(s.coordinator());
            if (s.given()) {
                coordinator.chargeAt.put(s.slice(), s.at());
            } else {
                coordinator.chargeAt.remove(s.slice());
            }
            proxies.forEach((number, proxy) -> look(number, proxy, s.slice(), s.at()));
        } else if (seen instanceof Seen.Stream s) {
            Proxy proxy = proxy(s.proxy());
            if (s.up()) {
                proxy.joinedAt.put(s.coordinator(), s.at());
                proxy.messages.remove(s.coordinator());
            } else {
                proxy.joinedAt.remove(s.coordinator());
            }
            proxy.owner.keySet().forEach(slice -> look(s.proxy(), proxy, slice, s.at()));
        } else if (seen instanceof Seen.Arrived s) {
            arrived(s);
        } else if (seen instanceof Seen.Applied s) {
            applied(s);
        } else if (seen instanceof Seen.Took s) {
            took(s);
        } else if (seen instanceof Seen.TableRead s) {
            TreeMap<String, Double> table = proxy(s.proxy()).tables.computeIfAbsent(s.slice(), n -> new TreeMap<>());
            table.clear();
            s.lines().forEach(line -> table.put(line.server(), line.weight()));
            look(s.proxy(), proxy(s.proxy()), s.slice(), s.at());
        } else if (seen instanceof Seen.OwnerRead s) {
            proxy(s.proxy()).owner.put(s.slice(), s.coordinator());
            look(s.proxy(), proxy(s.proxy()), s.slice(), s.at());
        } else if (seen instanceof Seen.Sent s) {
            sent(s);
        } else if (seen instanceof Seen.Ended s) {
            List<Try> tries = flows.get(s.flow());
            if (tries != null) {
                tries.replaceAll(t -> t.sent().attempt() == s.attempt() ? new Try(t.sent(), s) : t);
            }
        } else if (seen instanceof Seen.Ran s) {
            ran(s);
        } else if (seen instanceof Seen.Started s) {
            Cold now = new Cold();
            now.start = s;
            cold.put(s.server(), now);
        }
    }

    private Coordinator coordinator(int number) {
        return coordinators.computeIfAbsent(number, n -> new Coordinator());
    }

    private Proxy proxy(int number) {
        return proxies.computeIfAbsent(number, n -> new Proxy());
    }

    private void listTold(Seen.ListTold told) {
        if (told.kind() == Event.ListKind.BROKEN) {
            return;
        }
        Coordinator coordinator = coordinator(told.coordinator());
        Set<String> named = new TreeSet<>();
        for (Event.Entry entry : told.entries()) {
            named.add(entry.server());
            Server server = coordinator.servers.computeIfAbsent(entry.server(), s -> new Server());
            if (entry.listed() == Event.Listed.READY) {
                if (!server.listed || entry.startedNs() != server.started) {
                    server.startToldAt = told.at();
                }
                server.ready = server.listed = true;
                server.leftAt = 0;
                server.started = entry.startedNs();
            } else if (!config.goneStays || entry.listed() == Event.Listed.DRAINING) {
                leaves(server, told.at());
            }
        }
        if (told.kind() != Event.ListKind.PATCH) {
            coordinator.servers.forEach((id, server) -> {
                if (!named.contains(id) && !config.goneStays) {
                    leaves(server, told.at());
                }
            });
        }
    }

    private static void leaves(Server server, long at) {
        server.leftAt = server.ready ? at : server.leftAt;
        server.ready = false;
    }

    private void coordinatorChanged(int number, long at) {
        proxies.forEach((n, proxy) -> proxy.owner.forEach((slice, owner) -> {
            if (owner == number) {
                look(n, proxy, slice, at);
            }
        }));
    }

    // ---- Nobody left without a backend.

    /** Looks whether the proxy can pick a line for the slice now, and minds since when it cannot. */
    private void look(int number, Proxy proxy, int slice, long at) {
        int owner = proxy.owner.getOrDefault(slice, -1);
        Set<String> masks = proxy.masks.getOrDefault(owner, Set.of());
        TreeMap<String, Double> table = proxy.tables.get(slice);
        boolean bare = (table == null || masks.containsAll(table.keySet())) && binding(proxy, owner, slice, at);
        Long since = proxy.bareSince.get(slice);
        if (bare && since == null) {
            proxy.bareSince.put(slice, at);
        } else if (!bare && since != null) {
            bareFor(number, slice, since, at);
            proxy.bareSince.remove(slice);
        }
    }

    /** Whether the coordinator in charge is bound to see that the proxy has a line: it could give one. */
    private boolean binding(Proxy proxy, int owner, int slice, long at) {
        Coordinator coordinator = coordinators.get(owner);
        return coordinator != null
                && proxy.joinedAt.containsKey(owner)
                && coordinator.chargeAt.containsKey(slice)
                && coordinator.servers.values().stream()
                        .anyMatch(s -> s.ready && (s.started == 0 || at - s.started >= config.warmNs));
    }

    private void bareFor(int number, int slice, long since, long until) {
        longestBare = Math.max(longestBare, until - since);
        if (until - since > config.bareNs) {
            found(
                    Rule.BARE,
                    until,
                    number + "/" + slice,
                    "proxy " + number + " had no backend for slice " + slice + " for " + (until - since) / 1_000_000
                            + " ms, " + config.bareNs / 1_000_000 + " allowed");
        }
    }

    private void endOfRecord(long at) {
        proxies.forEach((number, proxy) ->
                Map.copyOf(proxy.bareSince).forEach((slice, since) -> bareFor(number, slice, since, at)));
        forget(Long.MAX_VALUE);
        runs.values().forEach(this::effects);
        queues.forEach((number, queue) -> drain(number, queue, Long.MAX_VALUE));
    }

    // ---- One voice for each slice.

    /** A term belongs to one coordinator, and a proxy never goes back to an older one. */
    private void took(Seen.Took took) {
        Integer voice =
                voices.computeIfAbsent(took.slice(), s -> new HashMap<>()).putIfAbsent(took.term(), took.coordinator());
        if (voice != null && voice != took.coordinator()) {
            found(
                    Rule.VOICE,
                    took.at(),
                    "two " + took.slice() + " " + took.term(),
                    "orders for slice " + took.slice() + " under term " + took.term() + " from coordinators " + voice
                            + " and " + took.coordinator());
        }
        Map<Integer, Long> latest = proxy(took.proxy()).terms;
        long before = latest.getOrDefault(took.slice(), 0L);
        if (took.term() < before) {
            found(
                    Rule.VOICE,
                    took.at(),
                    "back " + took.proxy() + " " + took.slice(),
                    "proxy " + took.proxy() + " took orders " + "for slice " + took.slice() + " under term "
                            + took.term() + " after " + before);
        }
        latest.merge(took.slice(), took.term(), Math::max);
    }

    // ---- What proxies hold.

    private void applied(Seen.Applied applied) {
        Proxy proxy = proxy(applied.proxy());
        Set<String> masks = proxy.masks.computeIfAbsent(applied.coordinator(), c -> new TreeSet<>());
        Set<Integer> touched = new TreeSet<>();
        boolean maskChanged = false;
        for (Order order : applied.orders()) {
            if (order instanceof Order.SetLine o && proxy.owner.getOrDefault(o.table(), -1) == applied.coordinator()) {
                TreeMap<String, Double> table = proxy.tables.computeIfAbsent(o.table(), t -> new TreeMap<>());
                if (config.soleOwner && o.weight() > 0) {
                    table.clear();
                    latestOwner.merge(
                            o.table(),
                            new Owner(applied.orderedAtNs(), o.server()),
                            (a, b) -> b.orderedAtNs() >= a.orderedAtNs() ? b : a);
                }
                table.compute(o.server(), (s, was) -> o.weight() > 0 ? o.weight() : null);
                touched.add(o.table());
            } else if (order instanceof Order.ClearTable o
                    && proxy.owner.getOrDefault(o.table(), -1) == applied.coordinator()) {
                proxy.tables.remove(o.table());
                touched.add(o.table());
            } else if (order instanceof Order.Mask o) {
                maskChanged |= o.out() ? masks.add(o.server()) : masks.remove(o.server());
            }
        }
        proxy.lastOrderAt.put(applied.coordinator(), applied.orderedAtNs());
        if (maskChanged) {
            touched.addAll(proxy.owner.keySet());
        }
        touched.forEach(slice -> look(applied.proxy(), proxy, slice, applied.at()));
    }

    // ---- A short queue.

    private void arrived(Seen.Arrived arrived) {
        ordersFrames++;
        Queue queue = queues.computeIfAbsent(arrived.coordinator(), c -> new Queue());
        queue.steps.add(new Step(arrived.orderedAtNs(), config.headLines + arrived.lines()));
        queue.steps.add(new Step(Math.max(arrived.at(), arrived.orderedAtNs()), -config.headLines - arrived.lines()));
        drain(arrived.coordinator(), queue, arrived.at() - LONGEST_WAY_NS);
        ArrayDeque<Long> times =
                proxy(arrived.proxy()).messages.computeIfAbsent(arrived.coordinator(), c -> new ArrayDeque<>());
        times.addLast(arrived.orderedAtNs());
        while (times.peekLast() - times.peekFirst() > config.messagesSpanNs) {
            times.pollFirst();
        }
        mostMessages = Math.max(mostMessages, times.size());
        if (config.messages > 0 && times.size() > config.messages) {
            found(
                    Rule.QUEUE,
                    arrived.at(),
                    "messages " + arrived.coordinator() + "/" + arrived.proxy(),
                    "coordinator " + arrived.coordinator() + " wrote " + times.size() + " messages to proxy "
                            + arrived.proxy() + " within " + config.messagesSpanNs / 1e9 + " s, " + config.messages
                            + " allowed");
        }
    }

    /** A message waits from its turn to its arrival; on one machine the way itself takes next to nothing. */
    private void drain(int number, Queue queue, long until) {
        while (!queue.steps.isEmpty() && queue.steps.peek().at() <= until) {
            Step step = queue.steps.poll();
            queue.waiting += step.lines();
            mostQueued = Math.max(mostQueued, queue.waiting);
            if (queue.waiting > config.queueLines) {
                found(
                        Rule.QUEUE,
                        step.at(),
                        "lines " + number,
                        "coordinator " + number + " had " + Math.round(queue.waiting) + " lines waiting, "
                                + Math.round(config.queueLines) + " allowed");
            }
        }
    }

    // ---- Drains kept, and no cold backend pushed over.

    private void sent(Seen.Sent sent) {
        attempts++;
        flows.computeIfAbsent(sent.flow(), f -> {
                    begun.addLast(sent);
                    return new ArrayList<>(1);
                })
                .add(new Try(sent, null));
        forget(sent.at() - flowNs);
        Proxy proxy = proxy(sent.proxy());
        Coordinator coordinator = coordinators.get(sent.coordinator());
        Long joined = proxy.joinedAt.get(sent.coordinator());
        Server server = coordinator == null ? null : coordinator.servers.get(sent.server());
        Long charge = coordinator == null ? null : coordinator.chargeAt.get(sent.slice());
        if (server != null && joined != null && charge != null && !server.ready && server.leftAt > 0) {
            long from = Math.max(server.leftAt, Math.max(joined, charge));
            latestDrain = Math.max(latestDrain, sent.at() - from);
            if (sent.at() - from > config.graceNs) {
                found(
                        Rule.DRAIN,
                        sent.at(),
                        sent.proxy() + "/" + sent.server(),
                        "proxy " + sent.proxy()
                                + " sent to " + sent.server() + " " + (sent.at() - from) / 1_000_000
                                + " ms after coordinator " + sent.coordinator() + " was bound to stop it, "
                                + config.graceNs / 1_000_000 + " allowed");
            }
        }
        Cold start = cold.get(sent.server());
        // Of this start: one that was told of an earlier life knows nothing of this one.
        boolean knowing = server != null
                && server.ready
                && joined != null
                && start != null
                && server.started == start.start.at()
                && (proxy.lastOrderAt.getOrDefault(sent.coordinator(), Long.MIN_VALUE) > server.startToldAt
                        || sent.at() - server.startToldAt > config.graceNs);
        coldLoad(sent, start, knowing);
    }

    private void coldLoad(Seen.Sent sent, Cold server, boolean knowing) {
        if (server == null
                || server.start.coldNs() <= 0
                || sent.at() - server.start.at() > server.start.coldNs() + config.fallNs) {
            return;
        }
        server.window.addLast(new Load(sent.at(), sent.workNs(), knowing));
        server.work += sent.workNs();
        server.knowing += knowing ? sent.workNs() : 0;
        while (sent.at() - server.window.peekFirst().at() > config.fallNs) {
            Load old = server.window.pollFirst();
            server.work -= old.workNs();
            server.knowing -= old.knowing() ? old.workNs() : 0;
        }
        double budget = config.fallMultiple * capacity(server.start, sent.at()) * config.fallNs;
        if (server.knowing >= server.work * 2 / 3) {
            mostCold = Math.max(mostCold, server.work / budget);
            // A tenth of slack for chance, as draws of work are uneven over a second.
            if (server.work > 1.1 * budget) {
                found(
                        Rule.COLD,
                        sent.at(),
                        sent.server() + server.start.at(),
                        "cold " + sent.server() + " was sent "
                                + String.format(
                                        java.util.Locale.ROOT, "%.2f", server.work / budget * config.fallMultiple)
                                + " times what it can do, " + config.fallMultiple + " allowed, "
                                + (sent.at() - server.start.at()) / 1_000_000 + " ms after its start");
            }
        }
    }

    /** Work a second in nanoseconds of one core of speed 1, by the server's age. */
    private static double capacity(Seen.Started start, long at) {
        double age = start.coldNs() <= 0 ? 1 : Math.min(1, Math.max(0, (double) (at - start.at()) / start.coldNs()));
        return start.cores() * start.speed() * (start.coldFrom() + (1 - start.coldFrom()) * age);
    }

    // ---- No effect twice.

    private void ran(Seen.Ran ran) {
        if (ran.begins()) {
            runs.computeIfAbsent(ran.flow(), f -> new ArrayList<>(1)).add(ran);
        }
        boolean write = config.groups.get(ran.group()).repeats() != CoordinatorConfig.Repeats.RETRIABLE;
        if (!config.soleOwner || !write) {
            return;
        }
        Map<Long, String> held = writing.computeIfAbsent(ran.slice(), s -> new HashMap<>());
        if (!ran.begins()) {
            held.remove(ran.flow());
            return;
        }
        held.values().stream()
                .filter(s -> !s.equals(ran.server()))
                .findFirst()
                .ifPresent(other -> found(
                        Rule.TWICE,
                        ran.at(),
                        "owners " + ran.slice(),
                        "writes of slice " + ran.slice() + " at " + ran.server() + " and " + other + " at a time"));
        held.put(ran.flow(), ran.server());
        String last = lastWriter.put(ran.slice(), ran.server());
        Owner now = latestOwner.get(ran.slice());
        if (last != null
                && !last.equals(ran.server())
                && now != null
                && !now.server().equals(ran.server())) {
            found(
                    Rule.TWICE,
                    ran.at(),
                    "former " + ran.slice(),
                    "a write of slice " + ran.slice() + " at " + ran.server() + " after " + last + " had taken over");
        }
    }

    private void forget(long before) {
        while (!begun.isEmpty() && (begun.peekFirst().at() < before || before == Long.MAX_VALUE)) {
            long flow = begun.pollFirst().flow();
            tries(flows.remove(flow));
            List<Seen.Ran> ran = runs.remove(flow);
            if (ran != null) {
                effects(ran);
            }
        }
    }

    private void tries(List<Try> tries) {
        for (int i = 1; i < tries.size(); i++) {
            Seen.Sent again = tries.get(i).sent();
            CoordinatorConfig.Group group = config.groups.get(again.group());
            Seen.Ended before = tries.get(i - 1).ended();
            boolean mayHaveRun = before == null || !before.proof();
            if (mayHaveRun && group.repeats() == CoordinatorConfig.Repeats.NON_RETRIABLE) {
                found(
                        Rule.TWICE,
                        again.at(),
                        "resent " + group.name(),
                        "proxy " + again.proxy() + " sent a " + group.name()
                                + " flow again without proof that its first try never ran");
            }
        }
    }

    private void effects(List<Seen.Ran> all) {
        CoordinatorConfig.Group group = config.groups.get(all.get(0).group());
        for (int i = 1; i < all.size(); i++) {
            Seen.Ran first = all.get(0);
            Seen.Ran again = all.get(i);
            boolean scope =
                    switch (group.scope()) {
                        case "zone" -> first.zone() == again.zone();
                        case "cell" -> first.cell() == again.cell();
                        default -> true;
                    };
            boolean broken =
                    switch (group.repeats()) {
                        case RETRIABLE -> false;
                        case DEDUPED -> !scope || again.at() - first.at() > group.windowNs();
                        case NON_RETRIABLE -> true;
                    };
            if (broken) {
                found(
                        Rule.TWICE,
                        again.at(),
                        "ran " + group.name(),
                        "a " + group.name() + " flow took effect at " + first.server() + " and again at "
                                + again.server());
            }
        }
    }

    /** The rules in the order pages name them. */
    public static List<Rule> rules() {
        return Arrays.asList(Rule.values());
    }
}
