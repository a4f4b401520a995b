package puffinbarrow.audit;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import puffinbarrow.config.CoordinatorConfig;
import puffinbarrow.control.Event;
import puffinbarrow.control.Order;

/**
 * Checks the rules from traffic recorded at the sockets: rebuilds each proxy's tables, masks and owners from the frames
 * it received, and tracks what each coordinator was sent and when. It queries no coordinator, so its result depends on
 * the recording and the settings alone. Not thread-safe: scripted days run it after the recording ends, the emulator
 * feeds it from its only thread.
 */
public final class Audit {
    /** The rules; the order is that of reports. */
    public enum Rule {
        /** No proxy is without a backend for a slice (bare) for longer than the limit. */
        BARE,
        /** No flow takes effect twice, unless its group allows it. */
        TWICE,
        /** Proxies stop sending to a server within the grace period after it drains or is gone. */
        DRAIN,
        /** No cold server gets more work than it withstands. */
        COLD,
        /** The channel to the proxies keeps within its limits of waiting lines and of messages. */
        QUEUE,
        /** Under one term only one coordinator gives orders for a slice, and a proxy never returns to an older term. */
        VOICE
    }

    /** A breach of a rule at a time in nanoseconds, with its evidence in prose. */
    public record Finding(Rule rule, long at, String evidence) {}

    /**
     * The breaches, and the worst value of each measure whether or not it broke a rule.
     *
     * @param longestBareNs longest time that a proxy had no backend for a slice
     * @param longestDrainNs longest time after which a proxy still sent to a server that drained or was gone
     * @param maxColdLoad most work sent to a cold server, as a part of what it withstands
     * @param maxQueuedLines most lines waiting at one coordinator
     * @param maxMessagesInSpan most messages from one coordinator to one proxy within the span of the settings
     * @param attempts attempts sent by all proxies
     * @param ordersFrames frames with orders that reached proxies
     */
    public record Verdict(
            List<Finding> findings,
            long longestBareNs,
            long longestDrainNs,
            double maxColdLoad,
            double maxQueuedLines,
            int maxMessagesInSpan,
            long attempts,
            long ordersFrames) {
        /** Returns whether all rules were kept. */
        public boolean kept() {
            return findings.isEmpty();
        }

        public boolean broke(Rule rule) {
            return findings.stream().anyMatch(f -> f.rule() == rule);
        }
    }

    /** A server as one coordinator's list shows it. */
    private static final class Server {
        /** The server has been ready on the list at least once. */
        boolean listed;

        boolean ready;
        /** When the coordinator was sent a list on which it drains or is gone; 0 while it is not. */
        long unavailableSince;

        /** When its process started, as listed. */
        long startedNs;
        /** When the coordinator was first sent a list with the current start. */
        long startListedAt;
    }

    /** What a coordinator has been sent by the registry and the store. */
    private static final class Coordinator {
        final TreeMap<String, Server> servers = new TreeMap<>();
        /** Since when it is in charge of each of its slices. */
        final Map<Integer, Long> inChargeSince = new HashMap<>();
    }

    /** What a proxy holds. */
    private static final class Proxy {
        /** Weights of servers, by slice. */
        final Map<Integer, TreeMap<String, Double>> tables = new HashMap<>();
        /** Masked servers, by coordinator. */
        final Map<Integer, Set<String>> masks = new HashMap<>();
        /** Coordinator in charge, by slice. */
        final Map<Integer, Integer> owners = new HashMap<>();
        /** Since when its stream to each coordinator is up. */
        final Map<Integer, Long> joinedAt = new HashMap<>();
        /** When the latest orders that it applied were decided, by coordinator. */
        final Map<Integer, Long> lastOrderedAt = new HashMap<>();
        /** When the messages of the last span were decided, by coordinator. */
        final Map<Integer, ArrayDeque<Long>> messageTimes = new HashMap<>();
        /** Since when it has no backend, by slice. */
        final Map<Integer, Long> bareSince = new HashMap<>();
        /** Latest term of orders that it applied, by slice. */
        final Map<Integer, Long> latestTerms = new HashMap<>();
    }

    /** Work sent to a cold server; {@code informed}: by a proxy that was, or had to be, informed of the start. */
    private record SentWork(long at, double workNs, boolean informed) {}

    /**
     * A server since its latest start, with the work sent to it during the last {@link CoordinatorConfig#overloadNs}.
     */
    private static final class ColdServer {
        Observation.ServerStarted start;
        final ArrayDeque<SentWork> window = new ArrayDeque<>();
        double workNs;
        /** The part of {@link #workNs} that informed proxies sent. */
        double informedWorkNs;
    }

    /** Lines that join the queue of a coordinator, or leave it if negative. */
    private record QueueChange(long at, double lines) {}

    /** The lines waiting at one coordinator; changes are applied once no earlier one can follow. */
    private static final class LineQueue {
        // At equal times lines leave before others join, since the room they free is what lets the others in.
        final PriorityQueue<QueueChange> changes =
                new PriorityQueue<>(Comparator.comparingLong(QueueChange::at).thenComparingDouble(QueueChange::lines));
        double waitingLines;
    }

    /** Longest transit of a message; a stream that is cut loses its messages, so none arrives later. */
    private static final long MAX_TRANSIT_NS = 120_000_000_000L;
    /** Proxies and clients end a flow at its expiry, stand-in servers a little later. */
    private static final long EXPIRY_MARGIN_NS = 10_000_000_000L;

    /** The single owner of a slice, by the latest order. */
    private record OwnerOrder(long orderedAtNs, String server) {}

    /** An attempt; {@code ended} is null while it runs. */
    private record Attempt(Observation.AttemptSent sent, Observation.AttemptEnded ended) {}

    private final CoordinatorConfig config;
    /** Time that evidence counts from. */
    private long epochNs;

    private final List<Finding> findings = new ArrayList<>();
    private final TreeMap<Integer, Coordinator> coordinators = new TreeMap<>();
    private final TreeMap<Integer, Proxy> proxies = new TreeMap<>();
    private final Map<String, ColdServer> coldServers = new HashMap<>();
    private final Map<Long, List<Attempt>> attemptsByFlow = new HashMap<>();
    private final Map<Long, List<Observation.WorkChanged>> runsByFlow = new HashMap<>();
    /** Server of each write in progress, by slice and flow; only with single owners. */
    private final Map<Integer, Map<Long, String>> activeWrites = new HashMap<>();
    /** Server that began the latest write, by slice; only with single owners. */
    private final Map<Integer, String> lastWriter = new HashMap<>();
    /** The coordinator that gave orders, by slice and term. */
    private final Map<Integer, Map<Long, Integer>> coordinatorByTerm = new HashMap<>();
    /** The latest owner ordered, by slice; only with single owners. */
    private final Map<Integer, OwnerOrder> latestOwner = new HashMap<>();

    private final Set<String> reportedKeys = new HashSet<>();
    private final Map<Integer, LineQueue> queues = new TreeMap<>();
    /** First attempts of flows, in order; a flow is checked and dropped once no retry of it can follow. */
    private final ArrayDeque<Observation.AttemptSent> firstAttempts = new ArrayDeque<>();

    /** How long after its first attempt a flow may still be retried. */
    private final long flowLifetimeNs;

    private long longestBareNs;
    private long longestDrainNs;
    private long attempts;
    private long ordersFrames;
    private double maxColdLoad;
    private double maxQueuedLines;
    private int maxMessagesInSpan;

    /** @param epochNs the time that evidence counts from */
    public Audit(CoordinatorConfig config, long epochNs) {
        this.config = config;
        this.epochNs = epochNs;
        this.flowLifetimeNs = EXPIRY_MARGIN_NS
                + config.groups.stream()
                        .mapToLong(g -> g.expiryNs() + g.dedupWindowNs())
                        .max()
                        .orElse(0);
    }

    /** Sets the time that evidence counts from, for findings from now on. */
    public void setEpoch(long atNs) {
        epochNs = atNs;
    }

    /**
     * Audits a complete recording.
     *
     * @param observations in order of time
     * @param epochNs the time that evidence counts from
     */
    public static Verdict judge(CoordinatorConfig config, List<Observation> observations, long epochNs) {
        Audit audit = new Audit(config, epochNs);
        observations.forEach(audit::add);
        return audit.conclude(
                observations.isEmpty()
                        ? epochNs
                        : observations.get(observations.size() - 1).at());
    }

    /** Returns the result for a recording that ended at that time; {@link #add} must not be called afterwards. */
    public Verdict conclude(long at) {
        finish(at);
        return new Verdict(
                findings,
                longestBareNs,
                longestDrainNs,
                maxColdLoad,
                maxQueuedLines,
                maxMessagesInSpan,
                attempts,
                ordersFrames);
    }

    private void report(Rule rule, long at, String key, String evidence) {
        // One finding for each key: a server that is sent to a thousand times too late is one finding.
        if (reportedKeys.add(rule + " " + key)) {
            findings.add(
                    new Finding(rule, at, String.format(Locale.ROOT, "%.3f s: %s", (at - epochNs) / 1e9, evidence)));
        }
    }

    /** Adds an event, in order of time. Memory grows with the fleet and what is in progress, not with the recording. */
    public void add(Observation observation) {
        if (observation instanceof Observation.ListSent s) {
            applyList(s);
            recheckSlicesOf(s.coordinator(), s.at());
        } else if (observation instanceof Observation.ChargeSent s) {
            Coordinator coordinator = coordinator(s.coordinator());
            if (s.given()) {
                coordinator.inChargeSince.put(s.slice(), s.at());
            } else {
                coordinator.inChargeSince.remove(s.slice());
            }
            proxies.forEach((number, proxy) -> updateBare(number, proxy, s.slice(), s.at()));
        } else if (observation instanceof Observation.StreamChanged s) {
            Proxy proxy = proxy(s.proxy());
            if (s.up()) {
                proxy.joinedAt.put(s.coordinator(), s.at());
                proxy.messageTimes.remove(s.coordinator());
            } else {
                proxy.joinedAt.remove(s.coordinator());
            }
            proxy.owners.keySet().forEach(slice -> updateBare(s.proxy(), proxy, slice, s.at()));
        } else if (observation instanceof Observation.OrdersReceived s) {
            countQueuedLines(s);
        } else if (observation instanceof Observation.OrdersApplied s) {
            applyOrders(s);
        } else if (observation instanceof Observation.TermApplied s) {
            checkTerm(s);
        } else if (observation instanceof Observation.TableRead s) {
            TreeMap<String, Double> table = proxy(s.proxy()).tables.computeIfAbsent(s.slice(), n -> new TreeMap<>());
            table.clear();
            s.lines().forEach(line -> table.put(line.server(), line.weight()));
            updateBare(s.proxy(), proxy(s.proxy()), s.slice(), s.at());
        } else if (observation instanceof Observation.OwnerRead s) {
            proxy(s.proxy()).owners.put(s.slice(), s.coordinator());
            updateBare(s.proxy(), proxy(s.proxy()), s.slice(), s.at());
        } else if (observation instanceof Observation.AttemptSent s) {
            checkAttempt(s);
        } else if (observation instanceof Observation.AttemptEnded s) {
            List<Attempt> flowAttempts = attemptsByFlow.get(s.flow());
            if (flowAttempts != null) {
                flowAttempts.replaceAll(t -> t.sent().attempt() == s.attempt() ? new Attempt(t.sent(), s) : t);
            }
        } else if (observation instanceof Observation.WorkChanged s) {
            checkRun(s);
        } else if (observation instanceof Observation.ServerStarted s) {
            ColdServer server = new ColdServer();
            server.start = s;
            coldServers.put(s.server(), server);
        }
    }

    private Coordinator coordinator(int number) {
        return coordinators.computeIfAbsent(number, n -> new Coordinator());
    }

    private Proxy proxy(int number) {
        return proxies.computeIfAbsent(number, n -> new Proxy());
    }

    private void applyList(Observation.ListSent sent) {
        if (sent.kind() == Event.ListKind.BROKEN) {
            return;
        }
        Coordinator coordinator = coordinator(sent.coordinator());
        Set<String> listedIds = new TreeSet<>();
        for (Event.Entry entry : sent.entries()) {
            listedIds.add(entry.server());
            Server server = coordinator.servers.computeIfAbsent(entry.server(), s -> new Server());
            if (entry.listed() == Event.Listed.READY) {
                if (!server.listed || entry.startedNs() != server.startedNs) {
                    server.startListedAt = sent.at();
                }
                server.ready = server.listed = true;
                server.unavailableSince = 0;
                server.startedNs = entry.startedNs();
            } else if (!config.keepGoneServers || entry.listed() == Event.Listed.DRAINING) {
                markUnavailable(server, sent.at());
            }
        }
        if (sent.kind() != Event.ListKind.PATCH) {
            coordinator.servers.forEach((id, server) -> {
                if (!listedIds.contains(id) && !config.keepGoneServers) {
                    markUnavailable(server, sent.at());
                }
            });
        }
    }

    private static void markUnavailable(Server server, long at) {
        server.unavailableSince = server.ready ? at : server.unavailableSince;
        server.ready = false;
    }

    /** Updates the slices that the coordinator is in charge of, at each proxy. */
    private void recheckSlicesOf(int number, long at) {
        proxies.forEach((n, proxy) -> proxy.owners.forEach((slice, owner) -> {
            if (owner == number) {
                updateBare(n, proxy, slice, at);
            }
        }));
    }

    // ---- Rule BARE.

    /** Updates since when the proxy has no server to choose for the slice. */
    private void updateBare(int number, Proxy proxy, int slice, long at) {
        int owner = proxy.owners.getOrDefault(slice, -1);
        Set<String> masks = proxy.masks.getOrDefault(owner, Set.of());
        TreeMap<String, Double> table = proxy.tables.get(slice);
        boolean bare =
                (table == null || masks.containsAll(table.keySet())) && mustProvideBackend(proxy, owner, slice, at);
        Long since = proxy.bareSince.get(slice);
        if (bare && since == null) {
            proxy.bareSince.put(slice, at);
        } else if (!bare && since != null) {
            endBare(number, slice, since, at);
            proxy.bareSince.remove(slice);
        }
    }

    /** Returns whether the coordinator in charge must provide a backend: it reaches the proxy and lists a warm one. */
    private boolean mustProvideBackend(Proxy proxy, int owner, int slice, long at) {
        Coordinator coordinator = coordinators.get(owner);
        return coordinator != null
                && proxy.joinedAt.containsKey(owner)
                && coordinator.inChargeSince.containsKey(slice)
                && coordinator.servers.values().stream()
                        .anyMatch(s -> s.ready && (s.startedNs == 0 || at - s.startedNs >= config.warmNs));
    }

    /** Records an interval in which the proxy had no backend for the slice. */
    private void endBare(int number, int slice, long since, long until) {
        longestBareNs = Math.max(longestBareNs, until - since);
        if (until - since > config.noBackendLimitNs) {
            report(
                    Rule.BARE,
                    until,
                    number + "/" + slice,
                    "proxy " + number + " had no backend for slice " + slice + " for " + (until - since) / 1_000_000
                            + " ms, " + config.noBackendLimitNs / 1_000_000 + " allowed");
        }
    }

    private void finish(long at) {
        proxies.forEach((number, proxy) ->
                Map.copyOf(proxy.bareSince).forEach((slice, since) -> endBare(number, slice, since, at)));
        judgeFlowsBegunBefore(Long.MAX_VALUE);
        runsByFlow.values().forEach(this::checkEffects);
        queues.forEach((number, queue) -> applyChanges(number, queue, Long.MAX_VALUE));
    }

    // ---- Rule VOICE.

    /** Checks that the term belongs to one coordinator and that the proxy does not return to an older one. */
    private void checkTerm(Observation.TermApplied applied) {
        Integer known = coordinatorByTerm
                .computeIfAbsent(applied.slice(), s -> new HashMap<>())
                .putIfAbsent(applied.term(), applied.coordinator());
        if (known != null && known != applied.coordinator()) {
            report(
                    Rule.VOICE,
                    applied.at(),
                    "two " + applied.slice() + " " + applied.term(),
                    "orders for slice " + applied.slice() + " under term " + applied.term() + " from coordinators "
                            + known + " and " + applied.coordinator());
        }
        Map<Integer, Long> latest = proxy(applied.proxy()).latestTerms;
        long before = latest.getOrDefault(applied.slice(), 0L);
        if (applied.term() < before) {
            report(
                    Rule.VOICE,
                    applied.at(),
                    "back " + applied.proxy() + " " + applied.slice(),
                    "proxy " + applied.proxy() + " applied orders " + "for slice " + applied.slice() + " under term "
                            + applied.term() + " after " + before);
        }
        latest.merge(applied.slice(), applied.term(), Math::max);
    }

    // ---- State of the proxies.

    private void applyOrders(Observation.OrdersApplied applied) {
        Proxy proxy = proxy(applied.proxy());
        Set<String> masks = proxy.masks.computeIfAbsent(applied.coordinator(), c -> new TreeSet<>());
        Set<Integer> touched = new TreeSet<>();
        boolean maskChanged = false;
        for (Order order : applied.orders()) {
            if (order instanceof Order.SetLine o && proxy.owners.getOrDefault(o.table(), -1) == applied.coordinator()) {
                TreeMap<String, Double> table = proxy.tables.computeIfAbsent(o.table(), t -> new TreeMap<>());
                if (config.soleOwner && o.weight() > 0) {
                    table.clear();
                    latestOwner.merge(
                            o.table(),
                            new OwnerOrder(applied.orderedAtNs(), o.server()),
                            (latest, next) -> next.orderedAtNs() >= latest.orderedAtNs() ? next : latest);
                }
                table.compute(o.server(), (s, was) -> o.weight() > 0 ? o.weight() : null);
                touched.add(o.table());
            } else if (order instanceof Order.ClearTable o
                    && proxy.owners.getOrDefault(o.table(), -1) == applied.coordinator()) {
                proxy.tables.remove(o.table());
                touched.add(o.table());
            } else if (order instanceof Order.Mask o) {
                maskChanged |= o.masked() ? masks.add(o.server()) : masks.remove(o.server());
            }
        }
        proxy.lastOrderedAt.put(applied.coordinator(), applied.orderedAtNs());
        if (maskChanged) {
            touched.addAll(proxy.owners.keySet());
        }
        touched.forEach(slice -> updateBare(applied.proxy(), proxy, slice, applied.at()));
    }

    // ---- Rule QUEUE.

    private void countQueuedLines(Observation.OrdersReceived received) {
        ordersFrames++;
        LineQueue queue = queues.computeIfAbsent(received.coordinator(), c -> new LineQueue());
        queue.changes.add(new QueueChange(received.orderedAtNs(), config.messageOverheadLines + received.lines()));
        queue.changes.add(new QueueChange(
                Math.max(received.at(), received.orderedAtNs()), -config.messageOverheadLines - received.lines()));
        applyChanges(received.coordinator(), queue, received.at() - MAX_TRANSIT_NS);
        ArrayDeque<Long> times =
                proxy(received.proxy()).messageTimes.computeIfAbsent(received.coordinator(), c -> new ArrayDeque<>());
        times.addLast(received.orderedAtNs());
        while (times.peekLast() - times.peekFirst() > config.messagesSpanNs) {
            times.pollFirst();
        }
        maxMessagesInSpan = Math.max(maxMessagesInSpan, times.size());
        if (config.maxMessages > 0 && times.size() > config.maxMessages) {
            report(
                    Rule.QUEUE,
                    received.at(),
                    "messages " + received.coordinator() + "/" + received.proxy(),
                    "coordinator " + received.coordinator() + " wrote " + times.size() + " messages to proxy "
                            + received.proxy() + " within " + config.messagesSpanNs / 1e9 + " s, " + config.maxMessages
                            + " allowed");
        }
    }

    /**
     * Applies the changes of the queue up to that time. A message counts as waiting from its turn to its arrival, since
     * transit within one machine takes almost no time.
     */
    private void applyChanges(int number, LineQueue queue, long until) {
        while (!queue.changes.isEmpty() && queue.changes.peek().at() <= until) {
            QueueChange change = queue.changes.poll();
            queue.waitingLines += change.lines();
            maxQueuedLines = Math.max(maxQueuedLines, queue.waitingLines);
            if (queue.waitingLines > config.queueLines) {
                report(
                        Rule.QUEUE,
                        change.at(),
                        "lines " + number,
                        "coordinator " + number + " had " + Math.round(queue.waitingLines) + " lines waiting, "
                                + Math.round(config.queueLines) + " allowed");
            }
        }
    }

    // ---- Rules DRAIN and COLD.

    private void checkAttempt(Observation.AttemptSent sent) {
        attempts++;
        attemptsByFlow
                .computeIfAbsent(sent.flow(), f -> {
                    firstAttempts.addLast(sent);
                    return new ArrayList<>(1);
                })
                .add(new Attempt(sent, null));
        judgeFlowsBegunBefore(sent.at() - flowLifetimeNs);
        Proxy proxy = proxy(sent.proxy());
        Coordinator coordinator = coordinators.get(sent.coordinator());
        Long joined = proxy.joinedAt.get(sent.coordinator());
        Server server = coordinator == null ? null : coordinator.servers.get(sent.server());
        Long inCharge = coordinator == null ? null : coordinator.inChargeSince.get(sent.slice());
        if (server != null && joined != null && inCharge != null && !server.ready && server.unavailableSince > 0) {
            long from = Math.max(server.unavailableSince, Math.max(joined, inCharge));
            longestDrainNs = Math.max(longestDrainNs, sent.at() - from);
            if (sent.at() - from > config.graceNs) {
                report(
                        Rule.DRAIN,
                        sent.at(),
                        sent.proxy() + "/" + sent.server(),
                        "proxy " + sent.proxy()
                                + " sent to " + sent.server() + " " + (sent.at() - from) / 1_000_000
                                + " ms after coordinator " + sent.coordinator() + " had to stop it, "
                                + config.graceNs / 1_000_000 + " allowed");
            }
        }
        ColdServer cold = coldServers.get(sent.server());
        // Informed of this start: a proxy's state for an earlier process does not apply to the current one.
        boolean informed = server != null
                && server.ready
                && joined != null
                && cold != null
                && server.startedNs == cold.start.at()
                && (proxy.lastOrderedAt.getOrDefault(sent.coordinator(), Long.MIN_VALUE) > server.startListedAt
                        || sent.at() - server.startListedAt > config.graceNs);
        checkColdLoad(sent, cold, informed);
    }

    /** Reports an overload of a cold server if informed proxies sent at least two thirds of the work. */
    private void checkColdLoad(Observation.AttemptSent sent, ColdServer server, boolean informed) {
        if (server == null
                || server.start.coldNs() <= 0
                || sent.at() - server.start.at() > server.start.coldNs() + config.overloadNs) {
            return;
        }
        server.window.addLast(new SentWork(sent.at(), sent.workNs(), informed));
        server.workNs += sent.workNs();
        server.informedWorkNs += informed ? sent.workNs() : 0;
        while (sent.at() - server.window.peekFirst().at() > config.overloadNs) {
            SentWork old = server.window.pollFirst();
            server.workNs -= old.workNs();
            server.informedWorkNs -= old.informed() ? old.workNs() : 0;
        }
        double budget = config.fallMultiple * capacity(server.start, sent.at()) * config.overloadNs;
        if (server.informedWorkNs >= server.workNs * 2 / 3) {
            maxColdLoad = Math.max(maxColdLoad, server.workNs / budget);
            // Ten percent of tolerance, since the random work of flows is uneven over a second.
            if (server.workNs > 1.1 * budget) {
                report(
                        Rule.COLD,
                        sent.at(),
                        sent.server() + server.start.at(),
                        "cold " + sent.server() + " was sent "
                                + String.format(Locale.ROOT, "%.2f", server.workNs / budget * config.fallMultiple)
                                + " times its present capacity, " + config.fallMultiple + " allowed, "
                                + (sent.at() - server.start.at()) / 1_000_000 + " ms after its start");
            }
        }
    }

    /** Returns what the server can do at its age, in cores of speed 1. */
    private static double capacity(Observation.ServerStarted start, long at) {
        double age = start.coldNs() <= 0 ? 1 : Math.min(1, Math.max(0, (double) (at - start.at()) / start.coldNs()));
        return start.cores() * start.speed() * (start.coldFrom() + (1 - start.coldFrom()) * age);
    }

    // ---- Rule TWICE.

    private void checkRun(Observation.WorkChanged change) {
        if (change.begins()) {
            runsByFlow.computeIfAbsent(change.flow(), f -> new ArrayList<>(1)).add(change);
        }
        boolean write = config.groups.get(change.group()).retrySafety() != CoordinatorConfig.RetrySafety.RETRIABLE;
        if (!config.soleOwner || !write) {
            return;
        }
        Map<Long, String> active = activeWrites.computeIfAbsent(change.slice(), s -> new HashMap<>());
        if (!change.begins()) {
            active.remove(change.flow());
            return;
        }
        active.values().stream()
                .filter(s -> !s.equals(change.server()))
                .findFirst()
                .ifPresent(other -> report(
                        Rule.TWICE,
                        change.at(),
                        "owners " + change.slice(),
                        "writes of slice " + change.slice() + " at " + change.server() + " and " + other
                                + " at the same time"));
        active.put(change.flow(), change.server());
        String last = lastWriter.put(change.slice(), change.server());
        OwnerOrder ordered = latestOwner.get(change.slice());
        if (last != null
                && !last.equals(change.server())
                && ordered != null
                && !ordered.server().equals(change.server())) {
            report(
                    Rule.TWICE,
                    change.at(),
                    "former " + change.slice(),
                    "a write of slice " + change.slice() + " at " + change.server() + " after " + last
                            + " had taken over");
        }
    }

    /** Checks and drops the flows whose first attempt was earlier; {@link Long#MAX_VALUE}: all. */
    private void judgeFlowsBegunBefore(long before) {
        while (!firstAttempts.isEmpty() && (firstAttempts.peekFirst().at() < before || before == Long.MAX_VALUE)) {
            long flow = firstAttempts.pollFirst().flow();
            checkRetries(attemptsByFlow.remove(flow));
            List<Observation.WorkChanged> runs = runsByFlow.remove(flow);
            if (runs != null) {
                checkEffects(runs);
            }
        }
    }

    /** Checks that a non-retriable flow was sent again only with proof that the attempt before never ran. */
    private void checkRetries(List<Attempt> flowAttempts) {
        for (int i = 1; i < flowAttempts.size(); i++) {
            Observation.AttemptSent again = flowAttempts.get(i).sent();
            CoordinatorConfig.Group group = config.groups.get(again.group());
            Observation.AttemptEnded before = flowAttempts.get(i - 1).ended();
            boolean mayHaveRun = before == null || !before.provenNotRun();
            if (mayHaveRun && group.retrySafety() == CoordinatorConfig.RetrySafety.NON_RETRIABLE) {
                report(
                        Rule.TWICE,
                        again.at(),
                        "resent " + group.name(),
                        "proxy " + again.proxy() + " sent a " + group.name()
                                + " flow again without proof that the attempt before never ran");
            }
        }
    }

    /** Checks that the flow took effect once, or again only as its group allows. */
    private void checkEffects(List<Observation.WorkChanged> all) {
        CoordinatorConfig.Group group = config.groups.get(all.get(0).group());
        for (int i = 1; i < all.size(); i++) {
            Observation.WorkChanged first = all.get(0);
            Observation.WorkChanged again = all.get(i);
            boolean inScope =
                    switch (group.dedupScope()) {
                        case "zone" -> first.zone() == again.zone();
                        case "cell" -> first.cell() == again.cell();
                        default -> true;
                    };
            boolean broken =
                    switch (group.retrySafety()) {
                        case RETRIABLE -> false;
                        case DEDUPED -> !inScope || again.at() - first.at() > group.dedupWindowNs();
                        case NON_RETRIABLE -> true;
                    };
            if (broken) {
                report(
                        Rule.TWICE,
                        again.at(),
                        "ran " + group.name(),
                        "a " + group.name() + " flow took effect at " + first.server() + " and again at "
                                + again.server());
            }
        }
    }

    /** Returns the rules in the order of reports. */
    public static List<Rule> rules() {
        return Arrays.asList(Rule.values());
    }
}
