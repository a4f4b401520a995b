package puffinbarrow;

import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.EnumSet;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.ToDoubleFunction;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import java.util.zip.CRC32;
import puffinbarrow.control.Controller;
import puffinbarrow.control.Event;
import puffinbarrow.control.Event.Listed;
import puffinbarrow.control.Event.Measure;
import puffinbarrow.control.Order;
import puffinbarrow.control.Order.Retry;
import puffinbarrow.control.Settings;

/**
 * Decides for one coordinator which servers each slice's flows go to, which servers are masked and how much of each
 * traffic group the proxies admit.
 *
 * <p>The host creates one instance per coordinator start and calls {@link #handle} from one thread at a time; an
 * instance does no input or output, reads no clock and is deterministic for a given seed. Each call applies the events,
 * then, if a tick is due or an event requires it, repairs the tables ({@link #repairAll}), balances load
 * ({@link #balance}) and pushes the changes to the proxies ({@link #push}).
 *
 * <p>A slice's table is a set of weighted lines, one per server. A <em>primary</em> line carries the slice's flows; a
 * <em>standby</em> line has a small weight and takes over when the primary's server is masked. {@link Slice#desired}
 * holds the lines a slice should have and {@link Slice#sent} the lines ordered so far; a push sends the difference.
 */
public final class Logic implements Controller {
    private static final long MS = 1_000_000L;
    private static final long SECOND = 1_000_000_000L;

    /** Four decisions a second: short against the shortest grace period and the delivery time of a message. */
    private static final long TICK_PERIOD_NS = 250 * MS;

    /** Rounds of sums to wait for after a start before slices are moved: until then load is not known. */
    private static final int START_ROUNDS = 3;

    /** The first hold outlasts a short disturbance and the sums still in transit. */
    private static final long MIN_HOLD_NS = 6 * SECOND;
    /** Holds double while trials fail, up to the time a disturbance of about half a minute needs. */
    private static final long MAX_HOLD_NS = 24 * SECOND;

    private static final long MIN_FOLLOW_BACKOFF_NS = SECOND / 2;
    private static final long MAX_FOLLOW_BACKOFF_NS = 4 * SECOND;
    /** The server list is requested again if no answer at all arrives within this time. */
    private static final long FOLLOW_TIMEOUT_NS = 5 * SECOND;

    /** A load report older than this many rounds of sums is discarded. */
    private static final int REPORT_TTL_ROUNDS = 4;
    /** How long a move counts as load not yet visible in reports, in seconds. */
    private static final int PENDING_LOAD_SECONDS = 4;
    /** Window over which a slice's demand is summed: averages out noise, yet follows changing demand. */
    private static final int DEMAND_SECONDS = 6;
    /** Buckets of one second in the sliding sums; at least the longest window read from them. */
    private static final int SUM_BUCKETS = 8;

    /** Level that admits everything where levels are rates, in flows per second. */
    private static final double UNLIMITED_RATE = 1e6;
    /** Each group of traffic is reduced to at least this share, so that none is cut off completely. */
    private static final double MIN_ADMITTED_SHARE = 0.2;
    /** The most that is shed from one group before the next one is reduced; 1 - MIN_ADMITTED_SHARE. */
    private static final double MAX_SHED_PER_GROUP = 0.8;

    // ---- Health of a server: the state machine run by transition().

    /**
     * Health of a server. ILL, OUT and RETURNING are masked; OUT and RETURNING also lose their lines. The names appear
     * in the decision log.
     */
    private enum Health {
        /** No sign of trouble. */
        WELL,
        /** One bad round of sums, or remembered as flapping; gets new slices last. */
        SUSPECT,
        /** Masked until its hold ends. */
        ILL,
        /** Unmasked after a hold, on the standby lines it still has; the next sums decide. */
        TRIAL,
        /** Draining, removed from the list or no longer answering probes. */
        OUT,
        /** Restarted under the same id: masked until no line of an owned slice names it any more. */
        RETURNING
    }

    /** What changes a server's health. The names appear in the decision log. */
    private enum HealthInput {
        /** A round of sums with few drops and ordinary latency. */
        GOOD,
        /** A round of sums with too many drops or slow answers. */
        BAD,
        /** A round of sums in which most attempts were dropped. */
        AWFUL,
        /** Its hold has ended. */
        HOLD_OVER,
        /** Draining or removed from the list. */
        LEAVES,
        /** Listed with a new start time. */
        RESTARTS,
        /** Listed again with the start time it had. */
        RELISTED,
        /** No line of an owned slice names it any more. */
        EMPTIED,
        /** Too few other servers are left, so it has to serve whatever its health. */
        NEEDED,
        /** Remembered as flapping from before a restart of the coordinator. */
        RECALLED
    }

    /** What a transition does to the server's hold time. */
    private enum HoldChange {
        NONE,
        /** Starts a hold of twice the previous length, within bounds. */
        EXTEND,
        /** Resets the length, so that the next hold is the shortest. */
        CLEAR
    }

    private record Transition(Set<Health> from, HealthInput input, Health next, HoldChange holdChange) {}

    private static final Set<Health> ANY = EnumSet.allOf(Health.class);
    private static final List<Transition> TRANSITIONS = List.of(
            new Transition(EnumSet.of(Health.WELL), HealthInput.BAD, Health.SUSPECT, HoldChange.NONE),
            new Transition(EnumSet.of(Health.WELL), HealthInput.RECALLED, Health.SUSPECT, HoldChange.NONE),
            new Transition(EnumSet.of(Health.SUSPECT, Health.TRIAL), HealthInput.BAD, Health.ILL, HoldChange.EXTEND),
            new Transition(
                    EnumSet.of(Health.WELL, Health.SUSPECT, Health.TRIAL),
                    HealthInput.AWFUL,
                    Health.ILL,
                    HoldChange.EXTEND),
            new Transition(EnumSet.of(Health.SUSPECT), HealthInput.GOOD, Health.WELL, HoldChange.NONE),
            new Transition(EnumSet.of(Health.TRIAL), HealthInput.GOOD, Health.WELL, HoldChange.CLEAR),
            new Transition(EnumSet.of(Health.ILL), HealthInput.HOLD_OVER, Health.TRIAL, HoldChange.NONE),
            new Transition(EnumSet.of(Health.ILL), HealthInput.NEEDED, Health.TRIAL, HoldChange.NONE),
            new Transition(ANY, HealthInput.LEAVES, Health.OUT, HoldChange.NONE),
            new Transition(ANY, HealthInput.RESTARTS, Health.RETURNING, HoldChange.NONE),
            new Transition(EnumSet.of(Health.OUT), HealthInput.RELISTED, Health.WELL, HoldChange.CLEAR),
            new Transition(EnumSet.of(Health.RETURNING), HealthInput.EMPTIED, Health.WELL, HoldChange.CLEAR),
            new Transition(EnumSet.of(Health.RETURNING), HealthInput.NEEDED, Health.WELL, HoldChange.CLEAR));

    /** Applies the first matching transition; an input that the server's state has no transition for is ignored. */
    private void transition(Server server, HealthInput input) {
        for (Transition transition : TRANSITIONS) {
            if (transition.from.contains(server.health) && transition.input == input) {
                if (server.health != transition.next) {
                    log(server.id + " " + server.health + " " + input + " -> " + transition.next);
                }
                server.health = transition.next;
                if (transition.holdChange == HoldChange.EXTEND) {
                    server.holdNs = Math.min(MAX_HOLD_NS, Math.max(MIN_HOLD_NS, server.holdNs * 2));
                    server.holdUntilNs = nowNs + server.holdNs;
                }
                server.holdNs = transition.holdChange == HoldChange.CLEAR ? 0 : server.holdNs;
                server.resetTotals();
                decisionDue = true;
                return;
            }
        }
    }

    // ---- State.

    private static final class Server {
        final String id;
        /** Listed capacity relative to the other servers; above 0. */
        double size = 1;
        /** Listed start time; 0: not known, taken for long ago. */
        long startedNs;
        /** Listed as ready, or delisted but kept in use ({@link #unlisted}). */
        boolean ready;
        /** 0 while listed. Once delisted but kept in use, 1 plus the number of probes missed since. */
        int unlisted;

        Health health = Health.OUT;
        /** Length of the latest hold; 0 once a trial has succeeded. */
        long holdNs;

        long holdUntilNs;
        /** Start of the grace period for its mask: it left, or a proxy joined that does not have the mask. */
        long maskRequiredSinceNs;

        /** Attempts since the totals were last reset. */
        double attempts;
        /** Dropped attempts among {@link #attempts}. */
        double dropped;
        /** Total time of the delivered attempts among {@link #attempts}. */
        double deliveredNs;
        /** Drops or lags well more than the median server: gives up one slice at the next decision. */
        boolean overloaded;
        /** Smoothed load from its reports, per unit of size; NaN: none or too old. */
        double reportedLoad = Double.NaN;

        long reportedAtNs;
        /** Whether any sums have named it since the start. */
        boolean namedInSums;
        /** Load moved here (negative: away) that no report shows yet, relative to the fleet's mean. */
        final SlidingSum pendingLoad = new SlidingSum(SUM_BUCKETS, SECOND);
        /** Owned slices carried, in parts where a slice has several lines. Recomputed before each decision. */
        double sliceCount;
        /** Demand of owned slices carried, flows per {@link #DEMAND_SECONDS}. Recomputed before each decision. */
        double demand;
        /** Demand of the owned slices that have a standby line here. Recomputed before each decision. */
        double standbyDemand;
        /** Load from slices and reports, lower is better; the mean is around 1. Recomputed before each decision. */
        double score;

        Server(String id) {
            this.id = id;
        }

        boolean masked() {
            return health == Health.ILL || leaving();
        }

        /** Whether its lines are to be removed. */
        boolean leaving() {
            return health == Health.OUT || health == Health.RETURNING;
        }

        boolean usable() {
            return ready && !masked();
        }

        void resetTotals() {
            attempts = dropped = deliveredNs = 0;
        }
    }

    private static final class Slice {
        final int number;
        /** Whether this coordinator decides for the slice. */
        boolean owned;
        /** Weight by server id that the slice should have. */
        final TreeMap<String, Double> desired = new TreeMap<>();
        /** Weight by server id that has been ordered, or was in force when the slice was given to this coordinator. */
        final TreeMap<String, Double> sent = new TreeMap<>();

        final SliceFlows flows = new SliceFlows(DEMAND_SECONDS);
        /** One of the URGENCY constants, as of the latest push. */
        int urgency;

        /** Flows in the latest {@link #DEMAND_SECONDS}, at least a twentieth of the mean; 0 while not owned. */
        double demand;

        long movedAtNs = Long.MIN_VALUE / 2;
        /** When desired and sent lines were last found equal. */
        long settledAtNs;

        Slice(int number) {
            this.number = number;
        }
    }

    /**
     * A batch of orders sent to all proxies that not every proxy has acknowledged yet.
     *
     * @param mark number that the acknowledgements name
     * @param maskState number of the push at the mask tracker
     * @param linesPerProxy size of the message to each proxy, its overhead included, in lines
     * @param unacknowledged proxies that have not acknowledged it
     */
    private record Push(
            int mark, long sentAtNs, long maskState, double linesPerProxy, TreeSet<Integer> unacknowledged) {}

    private final Settings settings;
    private final long seed;
    /** Random numbers drawn so far. */
    private long draws;

    private long nowNs;
    /** Orders of the current call. */
    private List<Order> orders;

    private final TreeMap<String, Server> servers = new TreeMap<>();
    private final Slice[] slices;
    private final TreeSet<Integer> joinedProxies = new TreeSet<>();
    private final MaskTracker maskTracker = new MaskTracker();
    /** Servers named by stored lines only. They keep their lines, but get no more. */
    private final PresumedServers presumedServers = new PresumedServers();

    /** Unacknowledged pushes, oldest first. */
    private final ArrayDeque<Push> pushes = new ArrayDeque<>();
    /** Messages written to each proxy; a push is one. */
    private final MessageBudget messages;

    private final ColdServerLimits coldLimits;

    private boolean levelsDue = true;
    /** Whether to decide in this call without waiting for the tick. */
    private boolean decisionDue;
    /** Whether sums have arrived since health was last evaluated. */
    private boolean newSums;
    /** Whether a round of sums has begun since the primaries were last adjusted. */
    private boolean newRound;

    /** Number of the latest push, 0 to 65535. */
    private int mark;

    private long nextTickNs = Long.MIN_VALUE;
    private long nextBalanceNs = Long.MIN_VALUE;
    private long lastPushNs = Long.MIN_VALUE / 2;
    private long lastRoundNs = lastPushNs;
    /** Rounds of sums since the start. */
    private int rounds;

    private long nextFollowNs;
    private long followBackoffNs;
    /** Counter of the round robin among equally loaded servers. */
    private long roundRobin;

    /** Starts with no knowledge beyond the settings; {@code seed} determines all random choices. */
    public Logic(Settings settings, long seed) {
        this.settings = settings;
        this.seed = seed;
        nextFollowNs = settings.listOnRequest() ? Long.MIN_VALUE : Long.MAX_VALUE;
        messages = messageBudget(settings);
        coldLimits = new ColdServerLimits(settings.fallMultiple());
        slices = new Slice[Math.max(0, settings.slices())];
        for (int i = 0; i < slices.length; i++) {
            slices[i] = new Slice(i);
        }
        roundRobin = (long) (random() * 1000);
    }

    /** Returns the next number of the seeded sequence, in [0, 1). */
    private double random() {
        CRC32 crc = new CRC32();
        crc.update(ByteBuffer.allocate(16).putLong(seed).putLong(draws++).array());
        return crc.getValue() / 4294967296.0;
    }

    private void log(String text) {
        orders.add(new Order.Log(text));
    }

    @Override
    public List<Order> handle(long nowNs, List<Event> events) {
        this.nowNs = nowNs;
        orders = new ArrayList<>();
        events.forEach(this::apply);
        if (newSums) {
            judgeHealth();
        }
        followIfDue();
        if (this.nowNs >= nextTickNs || decisionDue) {
            decide();
        }
        if (this.nowNs >= nextTickNs) {
            nextTickNs = this.nowNs + TICK_PERIOD_NS;
            orders.add(new Order.WakeAt(nextTickNs, 0));
        }
        return orders;
    }

    // ---- Events.

    private void apply(Event event) {
        if (event instanceof Event.ServerList e) {
            applyList(e);
        } else if (event instanceof Event.ServerSums e) {
            applySums(e);
        } else if (event instanceof Event.SliceDemand e) {
            slice(e.slice()).flows.add(nowNs, e.flows());
        } else if (event instanceof Event.SliceCharge e) {
            applyCharge(e);
        } else if (event instanceof Event.StoredLine e) {
            applyStoredLine(e);
        } else if (event instanceof Event.ProxyJoined e) {
            joinedProxies.add(e.proxy());
            restateTo(e.proxy(), e.fresh());
        } else if (event instanceof Event.ProxyUncertain e) {
            if (joinedProxies.contains(e.proxy())) {
                restateTo(e.proxy(), false);
            }
        } else if (event instanceof Event.ProxyLeft e) {
            joinedProxies.remove(e.proxy());
            acknowledge(e.proxy(), -1);
        } else if (event instanceof Event.Probed e) {
            applyProbe(e);
        } else if (event instanceof Event.Recalled e) {
            applyRecalled(e);
        } else if (event instanceof Event.ExtraMessage) {
            messages.add(nowNs);
        } else if (event instanceof Event.InForce e) {
            acknowledge(e.proxy(), e.mark());
        }
    }

    /** Has levels and masks ordered again that a proxy may lack, or hold though they are not wanted any more. */
    private void restateTo(int proxy, boolean fresh) {
        levelsDue = decisionDue = true;
        maskTracker.ordered().forEach(id -> servers.get(id).maskRequiredSinceNs = nowNs);
        if (!fresh && rounds < START_ROUNDS) {
            // So soon after a start all is restated, also to a proxy that has joined this run before.
            maskTracker.restateAll(servers.keySet());
        }
        maskTracker.proxyConnected(proxy, fresh, servers.keySet());
    }

    /**
     * Restores what an earlier run of this coordinator learned, for the first rounds after a restart when no sums have
     * arrived: a server that flapped is suspect until its sums are good, holds go on doubling, and a fleet that was
     * shedding load is not admitted in full at once. If the fleet has changed meanwhile, a healthy server gets orphaned
     * slices last for a round or two.
     */
    private void applyRecalled(Event.Recalled recalled) {
        Server server = servers.get(recalled.server());
        double discounted = recalled.value() * recalled.confidence();
        // An even chance is enough for caution, but not to assume that the condition persists.
        boolean likely = recalled.confidence() >= 0.5;
        switch (recalled.kind()) {
            case FLAPPING -> {
                if (server != null && likely) {
                    transition(server, HealthInput.RECALLED);
                }
            }
            case HOLD_NS -> {
                if (server != null) {
                    server.holdNs = Math.max(server.holdNs, (long) discounted);
                }
            }
            case CALM_LOAD -> coldLimits.raiseCalmLoad(likely ? recalled.value() : 0);
            case CALM_WHOLE -> coldLimits.raiseCalmLoadWholeFleet(likely ? recalled.value() : 0);
            case SHED -> shedGroups = Math.max(
                    shedGroups,
                    Math.min(discounted, MAX_SHED_PER_GROUP * (settings.groups().size() - 1)));
            case STRAINED -> fleetOverloaded |= likely;
        }
        levelsDue = true;
    }

    @Override
    public List<Event.Recalled> rememberedState() {
        List<Event.Recalled> remembered = new ArrayList<>(List.of(
                new Event.Recalled(Event.Recall.CALM_LOAD, "", coldLimits.calmLoad(), 1),
                new Event.Recalled(Event.Recall.CALM_WHOLE, "", coldLimits.calmLoadWholeFleet(), 1),
                new Event.Recalled(Event.Recall.SHED, "", shedGroups, 1),
                new Event.Recalled(Event.Recall.STRAINED, "", fleetOverloaded ? 1 : 0, 1)));
        servers.values().stream()
                .filter(server -> server.holdNs > 0)
                .forEach(server ->
                        remembered.add(new Event.Recalled(Event.Recall.HOLD_NS, server.id, server.holdNs, 1)));
        return remembered;
    }

    private void applyStoredLine(Event.StoredLine line) {
        if (line.weight() <= 0) {
            return;
        }
        slice(line.slice()).desired.put(line.server(), line.weight());
        slice(line.slice()).sent.put(line.server(), line.weight());
        if (!servers.containsKey(line.server())) {
            Server server = server(line.server());
            server.health = Health.WELL;
            server.maskRequiredSinceNs = nowNs;
            // If it has left after all, the rest of the grace period is needed for the push and its delivery.
            presumedServers.add(server.id, nowNs + settings.graceNs() / 2);
        }
    }

    /** Returns the server with the given id, which becomes known if it is not yet. */
    private Server server(String id) {
        return servers.computeIfAbsent(id, newId -> {
            maskTracker.serverAppeared(newId);
            return new Server(newId);
        });
    }

    /** Returns the slice with the given number, or a throw-away one if the number is out of range. */
    private Slice slice(int number) {
        return number >= 0 && number < slices.length ? slices[number] : new Slice(number);
    }

    private void applyList(Event.ServerList list) {
        if (list.kind() == Event.ListKind.BROKEN) {
            // Exponential back-off with random spread, so that a struggling registry is not overwhelmed.
            followBackoffNs = Math.min(MAX_FOLLOW_BACKOFF_NS, Math.max(MIN_FOLLOW_BACKOFF_NS, followBackoffNs * 2));
            nextFollowNs = nowNs + (long) (followBackoffNs * (0.75 + random() / 2));
            return;
        }
        if (list.kind() != Event.ListKind.STALE_COPY && settings.listOnRequest()) {
            followBackoffNs = 0;
            nextFollowNs = Long.MAX_VALUE;
        }
        list.entries().forEach(this::applyEntry);
        if (list.kind() != Event.ListKind.PATCH) {
            Set<String> listed =
                    list.entries().stream().map(Event.Entry::server).collect(Collectors.toSet());
            servers.values().stream()
                    .filter(server -> !listed.contains(server.id))
                    .forEach(this::delist);
        }
        decisionDue = true;
    }

    private void applyEntry(Event.Entry entry) {
        boolean presumed = presumedServers.remove(entry.server());
        boolean known = servers.containsKey(entry.server()) && !presumed;
        Server server = server(entry.server());
        long previousStartNs = server.startedNs;
        if (entry.listed() == Listed.GONE) {
            delist(server);
            return;
        } else if (entry.listed() == Listed.DRAINING) {
            leave(server);
            return;
        }
        server.ready = true;
        server.unlisted = 0;
        server.size = entry.size() > 0 ? entry.size() : 1;
        server.startedNs = entry.startedNs();
        if (!known) {
            server.health = Health.WELL;
        } else if (previousStartNs != server.startedNs) {
            transition(server, HealthInput.RESTARTS);
        } else {
            // The start time is unchanged: the server was never down, so its caches are as warm as before.
            transition(server, HealthInput.RELISTED);
        }
    }

    /** Takes a server out of use: it is to be masked within the grace period and loses its lines. */
    private void leave(Server server) {
        presumedServers.remove(server.id);
        server.maskRequiredSinceNs = server.ready ? nowNs : server.maskRequiredSinceNs;
        server.ready = false;
        transition(server, HealthInput.LEAVES);
    }

    /**
     * Handles a server that was removed from the list. Lists may omit servers that are up; where the settings allow it,
     * such a server stays in the tables until it misses two probes (one may coincide with a pause), or, without
     * probes, until it looks ill. If it is in fact down, flows sent to it fail for that long.
     */
    private void delist(Server server) {
        if (!settings.keepsDelisted() || !server.ready) {
            leave(server);
        } else if (server.unlisted == 0) {
            server.unlisted = 1;
            probe(server);
        }
    }

    private void probe(Server server) {
        if (settings.probes()) {
            orders.add(new Order.Probe(server.id));
        }
    }

    private void applyProbe(Event.Probed probed) {
        Server server = servers.get(probed.server());
        if (server == null || server.unlisted == 0 || probed.answered()) {
            return;
        } else if (++server.unlisted > 2) {
            leave(server);
        } else {
            probe(server);
        }
    }

    private void applySums(Event.ServerSums sums) {
        // The sums of one round arrive together; a gap of half a period separates two rounds.
        if (nowNs - lastRoundNs > settings.roundNs() / 2) {
            lastRoundNs = nowNs;
            rounds++;
            newRound = true;
        }
        newSums = true;
        Server server = servers.get(sums.server());
        if (server == null) {
            return;
        }
        server.namedInSums = true;
        server.attempts += sums.tries();
        server.dropped += sums.dropped();
        server.deliveredNs += (double) sums.tookNs() * Math.max(0, sums.tries() - sums.dropped());
        cpuReported |= sums.report().containsKey(Measure.BUSY);
        double load = reportedLoad(sums.report(), server.size);
        if (!Double.isNaN(load)) {
            // Averaged with the previous value: a single report is noisy and covers only a moment.
            boolean stale = Double.isNaN(server.reportedLoad)
                    || nowNs - server.reportedAtNs > REPORT_TTL_ROUNDS * settings.roundNs();
            server.reportedLoad = stale ? load : (server.reportedLoad + load) / 2;
            server.reportedAtNs = nowNs;
        }
    }

    /** Returns the first load measure that the report has, or NaN. */
    private static double reportedLoad(Map<Measure, Double> report, double size) {
        for (Measure measure : EnumSet.of(Measure.BUSY, Measure.HELD, Measure.WAITING, Measure.DELIVERED_PER_S)) {
            if (report.containsKey(measure)) {
                // BUSY is already a share of the server's own cores; counts are divided by its listed size.
                return report.get(measure) / (measure == Measure.BUSY ? 1 : size);
            }
        }
        return Double.NaN;
    }

    private void applyCharge(Event.SliceCharge charge) {
        Slice slice = slice(charge.slice());
        slice.owned = charge.given();
        slice.flows.begin(nowNs);
        slice.desired.clear();
        slice.sent.clear();
        levelsDue |= charge.given();
        maskTracker.restateOrdered();
        decisionDue = true;
    }

    /**
     * Records that a proxy has all pushes up to a mark. An unknown mark acknowledges nothing.
     *
     * @param upTo number of the mark, or -1 if the proxy left, so that no push waits for it any longer
     */
    private void acknowledge(int proxy, int upTo) {
        if (upTo >= 0 && pushes.stream().noneMatch(push -> push.mark == upTo)) {
            return;
        }
        for (Push push : pushes) {
            if (push.unacknowledged.remove(proxy) && upTo >= 0) {
                maskTracker.acknowledged(proxy, push.maskState);
            }
            if (push.mark == upTo) {
                break;
            }
        }
        pushes.removeIf(push -> push.unacknowledged.isEmpty());
    }

    private void followIfDue() {
        if (nowNs >= nextFollowNs) {
            orders.add(new Order.Follow(true));
            nextFollowNs = nowNs + FOLLOW_TIMEOUT_NS;
        }
    }

    // ---- Health: evaluated from drop share and latency over rounds of sums.

    /** Evaluates the health of each server against the median of all, then whether the fleet is overloaded. */
    private void judgeHealth() {
        newSums = false;
        List<Server> measured = servers.values().stream()
                .filter(server -> server.ready && server.attempts >= 5)
                .toList();
        double medianDropShare = median(measured.stream().map(server -> server.dropped / server.attempts));
        double medianLatencyNs = median(measured.stream()
                .filter(server -> server.attempts > server.dropped)
                .map(server -> server.deliveredNs / (server.attempts - server.dropped)));
        // Protects cold servers from retries: where 30% of all attempts are dropped, those with proof that they never
        // ran would go on to whichever server has capacity left, and overload that one next.
        double dropped = measured.stream().mapToDouble(server -> server.dropped).sum();
        boolean manyDropped = dropped
                > 0.3 * measured.stream().mapToDouble(server -> server.attempts).sum();
        levelsDue |= manyDropped != retriesSuspended;
        retriesSuspended = manyDropped;
        double shortestBudgetNs = settings.groups().stream()
                .mapToDouble(Settings.Group::budgetNs)
                .min()
                .orElse(SECOND);
        List<Server> bad = new ArrayList<>();
        for (Server server : servers.values()) {
            // Fewer attempts are inconclusive unless nearly all fail. A server on trial gets few, so fewer suffice.
            boolean nearlyAllFail = server.dropped >= 4 && server.dropped > 0.8 * server.attempts;
            if (!server.ready
                    || server.masked()
                    || server.attempts < (server.health == Health.TRIAL ? 3 : 8) && !nearlyAllFail) {
                continue;
            }
            double dropShare = server.dropped / server.attempts;
            double delivered = server.attempts - server.dropped;
            double slowness =
                    delivered < 3 || medianLatencyNs <= 0 ? 1 : server.deliveredNs / delivered / medianLatencyNs;
            // Effects of load must not make a server ILL. A server that carries more than its part of the owned slices
            // has slow and late answers for that reason, and a mask would only pass the load on to the next server.
            // While the fleet is overloaded every server may drop most flows; an ill one then shows by reporting little
            // load or none. The sums are some seconds old, so load moved away since then is added back.
            double sliceLoad = relativeLoad(server, server.demand)
                    - server.pendingLoad.over(nowNs, PENDING_LOAD_SECONDS) / Math.max(0.01, ownedShare);
            boolean explained = sliceLoad > 1.4
                    || fleetOverloaded && warmth(server) >= 1 && server.reportedLoad > 0.6 * meanReportedLoad;
            // About half of the thresholds for "bad" make a server overloaded. Latency counts only where it hurts:
            // measured against the latency budget, not just against the median server.
            double budgetUsed = delivered < 3 ? 0 : server.deliveredNs / delivered / shortestBudgetNs;
            server.overloaded =
                    dropShare > 0.15 + medianDropShare && server.dropped > 1 || slowness > 2 && budgetUsed > 0.4;
            // The thresholds for "bad" lie well above what an overloaded but healthy server shows, those for "good"
            // well below.
            boolean worse = dropShare > 0.3 + medianDropShare || slowness > 3 && budgetUsed > 0.8;
            boolean good = !worse && dropShare < 0.1 + medianDropShare && slowness < 2 && server.attempts >= 6;
            if (worse && !explained) {
                bad.add(server);
            } else if (worse || good || server.health != Health.TRIAL) {
                server.resetTotals();
            }
            if (good) {
                transition(server, HealthInput.GOOD);
            }
        }
        updateOverload(medianDropShare, medianLatencyNs);
        // Where most servers look ill, the cause is more likely this coordinator's view, the load or the coordinator
        // itself, and masking would overload the remaining servers. At most a third is masked as ill at a time.
        long ready = servers.values().stream().filter(server -> server.ready).count();
        long ill = servers.values().stream()
                .filter(server -> server.ready && server.health == Health.ILL)
                .count();
        long warm = servers.values().stream()
                .filter(server -> server.ready && warmth(server) >= 1)
                .count();
        boolean viewDoubtful = bad.size() + ill > ready * 0.4;
        for (Server server : bad) {
            boolean awful = server.dropped / server.attempts > 0.6;
            if (warmth(server) < 1 || !viewDoubtful && ill < ready / 3 && 2 * ill < warm) {
                transition(server, awful ? HealthInput.AWFUL : HealthInput.BAD);
                if (server.health == Health.ILL && server.unlisted > 0) {
                    leave(server);
                }
                ill += server.health == Health.ILL ? 1 : 0;
            }
            server.resetTotals();
        }
    }

    // ---- Overload: the median server drops flows, so demand exceeds the capacity of the fleet.

    /** Whether the fleet as a whole is overloaded: nothing is retried, and groups may be shed. */
    private boolean fleetOverloaded;
    /** Whether any report has named the share of cores busy. */
    private boolean cpuReported;
    /** Whether so many attempts are dropped that nothing is retried. */
    private boolean retriesSuspended;
    /** How much is shed, in traffic groups: 0.5 is half of the flows of the first group to be reduced. */
    private double shedGroups;
    /** Drop share plus share of the latency budget used, of the median server, at the last evaluation. */
    private double previousSeverity;

    /**
     * Updates whether the fleet is overloaded and how much is shed. Prevents retries from amplifying an overload,
     * whatever caused it (too much traffic, too few servers, cold caches): while the median server drops flows, nothing
     * is retried, and the groups with the least utility for their work are admitted less, step by step.
     */
    private void updateOverload(double medianDropShare, double medianLatencyNs) {
        boolean wasOverloaded = fleetOverloaded;
        // A drop share of 0.1 is far above the errors of normal operation; 0.03 is about what those amount to.
        // Time-outs come seconds after queues have grown, so answers of the median server that take half the budget
        // count as well. Lost answers or a group that is slow by itself are not helped by less traffic and must not
        // cause shedding: full servers take a third of the budget even for good answers, and their cores are not half
        // idle.
        double budgetUsed = medianLatencyNs
                / settings.groups().stream()
                        .mapToDouble(Settings.Group::budgetNs)
                        .average()
                        .orElse(SECOND);
        boolean idle = cpuReported && meanReportedLoad < 0.55;
        boolean overloaded = !idle && (medianDropShare > 0.1 && budgetUsed > 0.3 || budgetUsed > 0.5);
        boolean relaxed = idle || (medianDropShare < 0.03 || budgetUsed < 0.2) && budgetUsed < 0.35;
        fleetOverloaded = overloaded || fleetOverloaded && !relaxed;
        if (!fleetOverloaded && !wasOverloaded) {
            coldLimits.recordCalm();
        }
        double shedBefore = shedGroups;
        int sheddableGroups = settings.groups().size() - 1;
        // Half a group at first, then a quarter per round; held while the situation improves, as sums show the effect
        // of a step late. Restored slowly, as the load that caused it may still be present.
        boolean improving = medianDropShare + budgetUsed < 0.9 * previousSeverity;
        previousSeverity = medianDropShare + budgetUsed;
        double step = overloaded ? improving ? 0 : wasOverloaded ? 0.25 : 0.5 : relaxed ? -0.1 : 0;
        shedGroups = Math.max(0, Math.min(MAX_SHED_PER_GROUP * sheddableGroups, shedGroups + step));
        if (wasOverloaded != fleetOverloaded || shedGroups != shedBefore) {
            levelsDue = true;
            log("strained " + fleetOverloaded + " shed " + shedGroups);
        }
    }

    /**
     * Returns the level of a group: the share of its flows that is admitted, or a rate. Groups with the least utility
     * for their latency budget, which serves as an estimate of their work, are reduced first; the last one never is.
     */
    private double level(int group) {
        long reducedBefore = IntStream.range(0, settings.groups().size())
                .filter(other -> utilityPerBudget(other) < utilityPerBudget(group)
                        || utilityPerBudget(other) == utilityPerBudget(group) && other < group)
                .count();
        boolean last = reducedBefore == settings.groups().size() - 1;
        double share = Math.max(MIN_ADMITTED_SHARE, Math.min(1, 1 - (shedGroups - MAX_SHED_PER_GROUP * reducedBefore)));
        return settings.levelIsRate() ? UNLIMITED_RATE : !settings.levelsApplied() || last ? 1 : share;
    }

    private double utilityPerBudget(int group) {
        return settings.groups().get(group).utility()
                / Math.max(1, settings.groups().get(group).budgetNs());
    }

    /** Returns the upper median, or 0 if there are no values. */
    private static double median(Stream<Double> values) {
        List<Double> sorted = values.sorted().toList();
        return sorted.isEmpty() ? 0 : sorted.get(sorted.size() / 2);
    }

    // ---- Load scores.

    // Weights of a score: slices against reports, and within slices their number against their demand.
    private static final double SLICES_WEIGHT = 0.3;
    private static final double REPORT_WEIGHT = 0.7;
    private static final double COUNT_WEIGHT = 0.2;
    private static final double DEMAND_WEIGHT = 0.3;

    private static final Comparator<Server> BY_SCORE = Comparator.comparingDouble(server -> server.score);

    /** Demand of all owned slices, flows per {@link #DEMAND_SECONDS}; the number of slices while none has flows. */
    private double fleetDemand;
    /** Capacity of the usable servers at their present warmth. */
    private double fleetCapacity;
    /** Owned slices among all slices, 0 to 1. */
    private double ownedShare;
    /** Mean reported load of the usable servers; above 0. */
    private double meanReportedLoad;
    /** The largest total size that was ready at one time: that of the complete fleet. */
    private double wholeFleetSize;

    /**
     * Returns the share of its full capacity that a server has at least, 0 to 1: it rises linearly from the cold share
     * over the warm-up time. The server may in fact warm up faster.
     */
    private double warmth(Server server) {
        long ageNs = nowNs - server.startedNs;
        if (server.startedNs == 0 || ageNs >= settings.warmUpNs()) {
            return 1;
        }
        return settings.coldShare() + (1 - settings.coldShare()) * Math.max(0, ageNs) / settings.warmUpNs();
    }

    private double capacity(Server server) {
        return server.size * warmth(server);
    }

    /** Whether the slice has a primary line to the server: one of more than half the weight of its heaviest line. */
    private static boolean isPrimary(Slice slice, String id) {
        Double weight = slice.desired.get(id);
        return weight != null && weight > maxWeight(slice) / 2;
    }

    private static double maxWeight(Slice slice) {
        double max = 0;
        for (double weight : slice.desired.values()) {
            max = Math.max(max, weight);
        }
        return max;
    }

    private static double demandPerPrimary(Slice slice) {
        return slice.demand
                / Math.max(
                        1,
                        slice.desired.keySet().stream()
                                .filter(id -> isPrimary(slice, id))
                                .count());
    }

    /**
     * Takes slices whose reports do not cover the window yet for as much in demand as the mean of the others, at least.
     * Taken for idle, slices that another coordinator just gave up would all go to the server that looks least loaded.
     */
    private void assumeDemandOfNewSlices() {
        long reportDelayNs = 2 * settings.roundNs();
        List<Slice> owned = Arrays.stream(slices).filter(slice -> slice.owned).toList();
        double meanDemand = owned.stream()
                .filter(slice -> slice.demand > 0 && slice.flows.coversWindow(nowNs, reportDelayNs))
                .mapToDouble(slice -> slice.demand)
                .average()
                .orElse(0);
        owned.stream()
                .filter(slice -> !slice.flows.coversWindow(nowNs, reportDelayNs))
                .forEach(slice -> slice.demand = Math.max(slice.demand, meanDemand));
    }

    /** Recomputes demand, capacity and the score of each server. */
    private void updateScores() {
        fleetDemand = 0;
        fleetCapacity = 0;
        int owned = 0;
        int withFlows = 0;
        for (Slice slice : slices) {
            slice.demand = slice.owned ? slice.flows.recent(nowNs) : 0;
        }
        assumeDemandOfNewSlices();
        for (Slice slice : slices) {
            fleetDemand += slice.demand;
            owned += slice.owned ? 1 : 0;
            withFlows += slice.demand > 0 ? 1 : 0;
        }
        ownedShare = slices.length == 0 ? 1 : (double) owned / slices.length;
        double meanDemand = withFlows == 0 ? 1 : fleetDemand / withFlows;
        if (withFlows == 0) {
            fleetDemand = owned;
        }
        wholeFleetSize = Math.max(
                wholeFleetSize,
                servers.values().stream()
                        .filter(server -> server.ready)
                        .mapToDouble(server -> server.size)
                        .sum());
        for (Server server : servers.values()) {
            server.sliceCount = server.demand = server.standbyDemand = 0;
            server.reportedLoad = nowNs - server.reportedAtNs > REPORT_TTL_ROUNDS * settings.roundNs()
                    ? Double.NaN
                    : server.reportedLoad;
            fleetCapacity += server.usable() ? capacity(server) : 0;
        }
        meanReportedLoad = Math.max(
                1e-9,
                servers.values().stream()
                        .filter(Server::usable)
                        .mapToDouble(server -> server.reportedLoad)
                        .filter(load -> !Double.isNaN(load))
                        .average()
                        .orElse(1));
        int usable = (int) servers.values().stream().filter(Server::usable).count();
        coldLimits.update(new ColdServerLimits.Fleet(
                fleetDemand,
                fleetCapacity,
                wholeFleetSize,
                usable,
                cpuReported ? Math.min(1, meanReportedLoad) : Double.NaN));
        for (Slice slice : slices) {
            if (slice.owned) {
                slice.demand = withFlows == 0 ? meanDemand : Math.max(slice.demand, meanDemand / 20);
                addLoad(slice);
            }
        }
        for (Server server : servers.values()) {
            double report = Double.isNaN(server.reportedLoad)
                    ? seemsUnused(server) ? 0 : 1
                    : server.reportedLoad / meanReportedLoad;
            double count = server.sliceCount / capacity(server) * fleetCapacity / Math.max(1, owned);
            server.score = SLICES_WEIGHT * (COUNT_WEIGHT * count + DEMAND_WEIGHT * relativeLoad(server, server.demand))
                    + REPORT_WEIGHT * Math.max(0, report + server.pendingLoad.over(nowNs, PENDING_LOAD_SECONDS));
        }
    }

    /**
     * Whether a server without a report is to be taken for idle rather than for as loaded as the mean. A fresh server
     * that gets no flows never reports, and taken for the mean it would be left idle by all coordinators alike. A
     * server that carries an owned slice is not idle, since its sums may be lost. A server that is loaded by other
     * coordinators only and whose sums have all been lost so far wrongly looks idle.
     */
    private boolean seemsUnused(Server server) {
        return rounds >= START_ROUNDS && server.sliceCount < 0.5 && !server.namedInSums;
    }

    /** Returns demand on a server relative to the fleet's mean, both per capacity. */
    private double relativeLoad(Server server, double demand) {
        return fleetDemand <= 0 ? 0 : demand / capacity(server) * fleetCapacity / fleetDemand;
    }

    /** Adds a slice's load to the servers that carry it under the present masks. */
    private void addLoad(Slice slice) {
        double usableWeight = slice.desired.entrySet().stream()
                .filter(line -> !servers.get(line.getKey()).masked())
                .mapToDouble(Map.Entry::getValue)
                .sum();
        for (Map.Entry<String, Double> line : slice.desired.entrySet()) {
            Server server = servers.get(line.getKey());
            if (!server.masked()) {
                double share = line.getValue() / usableWeight;
                server.sliceCount += share;
                server.demand += share * slice.demand;
                server.standbyDemand += isPrimary(slice, line.getKey()) ? 0 : slice.demand;
            }
        }
    }

    /** Returns what a slice adds to a server's score: by its count and demand, and by the reports to come. */
    private double scoreContribution(Slice slice, Server server) {
        double demand = relativeLoad(server, demandPerPrimary(slice));
        return SLICES_WEIGHT
                        * (COUNT_WEIGHT / capacity(server) * fleetCapacity / Math.max(1, ownedShare * slices.length)
                                + DEMAND_WEIGHT * demand)
                + REPORT_WEIGHT * ownedShare * demand;
    }

    /** Logs a slice's move to a server that is not warm, with what limits such moves. */
    private void logIfCold(Slice slice, Server server) {
        if (warmth(server) < 1) {
            log(String.format(
                    Locale.ROOT,
                    "cold %s gets slice %d: warmth %.2f load %.2f with it %.2f limit %.2f burst %.2f",
                    server.id,
                    slice.number,
                    warmth(server),
                    relativeLoad(server, server.demand),
                    relativeLoadWith(slice, server),
                    coldLimits.loadLimit(),
                    burstShare(server, slice)));
        }
    }

    /** Slices moved or given a new primary so far; shows whether anything moved in between. */
    private long moveCount;

    /** Updates the load of both servers at once, as reports take some seconds to show a move. */
    private void recordMove(Slice slice, Server from, Server to) {
        slice.movedAtNs = nowNs;
        moveCount++;
        if (to != null) {
            logIfCold(slice, to);
            to.pendingLoad.add(nowNs, ownedShare * relativeLoad(to, demandPerPrimary(slice)));
            to.score += scoreContribution(slice, to);
            to.sliceCount++;
            to.demand += demandPerPrimary(slice);
        }
        if (from != null) {
            from.pendingLoad.add(nowNs, -ownedShare * relativeLoad(from, demandPerPrimary(slice)));
            from.score -= scoreContribution(slice, from);
            from.sliceCount--;
            from.demand -= demandPerPrimary(slice);
        }
    }

    /** Whether a server can take a slice: always if warm, else while its relative load stays within the cold limit. */
    private boolean fits(Server server, Slice slice) {
        return warmth(server) >= 1 || relativeLoadWith(slice, server) <= coldLimits.loadLimit();
    }

    private double relativeLoadWith(Slice slice, Server server) {
        return relativeLoad(server, server.demand + demandPerPrimary(slice));
    }

    /** Returns the server's reported load relative to the mean; 0 without a report. */
    private double relativeReport(Server server) {
        return Double.isNaN(server.reportedLoad) ? 0 : server.reportedLoad / meanReportedLoad;
    }

    /** Returns the share of what it bears that the server gets if one of its slices, this one added, becomes hot. */
    private double burstShare(Server server, Slice slice) {
        return warmth(server) >= 1 ? 0 : coldLimits.burstShare(relativeLoadWith(slice, server), capacity(server));
    }

    private boolean lacksBurstRoom(Server server, Slice slice) {
        return burstShare(server, slice) > 1;
    }

    /** Returns the least load with the slice of a server that has room for a burst; infinite if there is none. */
    private double leastLoadWithBurstRoom(List<Server> candidates, Slice slice) {
        return candidates.stream()
                .filter(server -> !lacksBurstRoom(server, slice))
                .mapToDouble(server -> Math.max(relativeLoadWith(slice, server), relativeReport(server)))
                .min()
                .orElse(Double.POSITIVE_INFINITY);
    }

    /** Whether a slice had better not go to a cold server, as another one can take it that has this load with it. */
    private boolean prefersLoaded(Server cold, Slice slice, double relativeLoad) {
        return !fleetOverloaded && !retriesSuspended && coldLimits.prefersLoaded(burstShare(cold, slice), relativeLoad);
    }

    /** Moves slices off cold servers that carry more than their limit, however that came about. */
    private void relieveColdServers() {
        for (Server server : servers.values().stream()
                .filter(candidate -> candidate.usable() && warmth(candidate) < 1)
                .toList()) {
            for (Slice slice : slices) {
                // A quarter above the limit for accepting a slice, so that slices do not go back and forth.
                if (relativeLoad(server, server.demand) > 1.25 * coldLimits.loadLimit()
                        && slice.owned
                        && isPrimary(slice, server.id)) {
                    Server target = leastLoaded(slice, server.id, false);
                    // Where few warm servers are left, none is given more than twice the mean.
                    if (target != null
                            && warmth(target) >= 1
                            && relativeLoad(target, target.demand + demandPerPrimary(slice)) < 2) {
                        move(slice, server, target);
                    }
                }
            }
        }
    }

    /**
     * Chooses a server without a line of the slice: a WELL one that the slice fits, else any that it fits, else any
     * usable one. Among those within 10% of the least-loaded the choice goes round robin.
     *
     * @param excluded id of a server not to choose, or null
     * @param standby whether the server is to take a standby line, which only warm servers may
     * @return the server, or null if there is none
     */
    private Server leastLoaded(Slice slice, String excluded, boolean standby) {
        List<Server> candidates = new ArrayList<>();
        for (int pass = 0; pass < 3 && candidates.isEmpty(); pass++) {
            int currentPass = pass;
            servers.values().stream()
                    .filter(server -> server.usable()
                            && !slice.desired.containsKey(server.id)
                            && !server.id.equals(excluded)
                            && (currentPass > 0 || server.health == Health.WELL)
                            && (standby ? warmth(server) >= 1 : currentPass > 1 || fits(server, slice)))
                    .forEach(candidates::add);
        }
        if (candidates.isEmpty()) {
            return null;
        }
        if (candidates.stream().anyMatch(server -> lacksBurstRoom(server, slice))) {
            double standInLoad = leastLoadWithBurstRoom(candidates, slice);
            candidates.removeIf(server -> prefersLoaded(server, slice, standInLoad));
        }
        // For a standby line, a third of the server's standby demand counts as load, so that these lines spread.
        ToDoubleFunction<Server> rank =
                server -> server.score + (standby ? 0.3 * relativeLoad(server, server.standbyDemand) : 0);
        double least = candidates.stream().mapToDouble(rank).min().orElse(0);
        candidates.removeIf(server -> rank.applyAsDouble(server) > least + 0.1 * Math.abs(least));
        return candidates.get((int) Math.floorMod(roundRobin++, (long) candidates.size()));
    }

    // ---- Repair: every slice keeps a primary line and a standby line.

    /** Weight of a standby line: keeps a connection and some keys warm at negligible load. */
    private static final double STANDBY_WEIGHT = 0.03;

    /** Makes servers serve that are needed whatever their health, then repairs the tables of all owned slices. */
    private void repairAll() {
        // If no server is usable, whatever is listed ready must serve, ill or cold. If most warm servers are masked as
        // ill, the cold ones would get all flows and be overloaded, so the ill ones serve as well.
        boolean noneUsable = servers.values().stream().noneMatch(Server::usable);
        List<Server> warm = servers.values().stream()
                .filter(server -> server.ready && warmth(server) >= 1)
                .toList();
        long ill = warm.stream().filter(server -> server.health == Health.ILL).count();
        List<Server> needed = ill > warm.size() / 2 ? warm : List.of();
        (noneUsable ? servers.values() : needed)
                .stream()
                        .filter(server -> noneUsable && server.ready || server.health == Health.ILL)
                        .toList()
                        .forEach(server -> transition(server, HealthInput.NEEDED));
        Arrays.stream(slices).filter(slice -> slice.owned).forEach(this::repair);
    }

    /** Removes lines to servers that left, and gives the slice a primary and a standby line if it lacks one. */
    private void repair(Slice slice) {
        double maxWeight = maxWeight(slice);
        boolean allLeaving =
                slice.desired.keySet().stream().allMatch(id -> servers.get(id).leaving());
        if (allLeaving && servers.values().stream().noneMatch(Server::usable)) {
            return;
        }
        slice.desired.keySet().removeIf(id -> servers.get(id).leaving());
        List<Server> unmasked = slice.desired.keySet().stream()
                .map(servers::get)
                .filter(server -> !server.masked())
                .toList();
        boolean hasPrimary = unmasked.stream().anyMatch(server -> slice.desired.get(server.id) > maxWeight / 2);
        Server standby = unmasked.stream().min(BY_SCORE).orElse(null);
        if (!hasPrimary) {
            // The slice is orphaned. Its standby server was the least-loaded when it was chosen and has carried the
            // slice since the mask; it becomes the primary unless its score without the slice is now above the mean.
            boolean promote = standby != null
                    && fits(standby, slice)
                    && standby.score <= meanScore() + scoreContribution(slice, standby);
            Server target = promote ? standby : leastLoaded(slice, null, false);
            target = target == null ? standby : target;
            if (target != null) {
                slice.desired.replaceAll((id, weight) -> STANDBY_WEIGHT);
                slice.desired.put(target.id, 1.0);
                recordMove(slice, null, target);
            }
        }
        if (!settings.soleOwner()) {
            repairStandby(slice);
        }
    }

    /**
     * Gives a slice with high demand more primaries, and fewer again when demand falls. Each further primary lowers the
     * cache hit rate on all of them, so the thresholds lie far apart and well above an ordinary slice.
     */
    private void adjustPrimaries(Slice slice, long usableServers) {
        double serversWorth = fleetDemand <= 0 ? 0 : ownedShare * slice.demand / fleetDemand * usableServers;
        List<Server> primaries = slice.desired.keySet().stream()
                .filter(id -> isPrimary(slice, id))
                .map(servers::get)
                .toList();
        if (serversWorth / primaries.size() > 0.5 && primaries.size() < 4) {
            Server target = leastLoaded(slice, null, false);
            if (target != null && fits(target, slice)) {
                slice.desired.put(target.id, maxWeight(slice));
                recordMove(slice, null, target);
            }
        } else if (primaries.size() > 1 && serversWorth / (primaries.size() - 1) < 0.3) {
            slice.desired.remove(primaries.stream().max(BY_SCORE).orElseThrow().id);
        }
    }

    /** Keeps two usable lines: adds a standby line if there are fewer, removes one if there are more. */
    private void repairStandby(Slice slice) {
        long usable = slice.desired.keySet().stream()
                .filter(id -> !servers.get(id).masked())
                .count();
        if (usable < 2) {
            Server standby = leastLoaded(slice, null, true);
            if (standby != null) {
                slice.desired.put(standby.id, STANDBY_WEIGHT * maxWeight(slice));
                standby.standbyDemand += slice.demand;
            }
        } else if (usable > 2) {
            slice.desired.keySet().stream()
                    .filter(id -> !isPrimary(slice, id))
                    .map(servers::get)
                    .filter(server -> server.health == Health.WELL)
                    .max(BY_SCORE)
                    .ifPresent(server -> slice.desired.remove(server.id));
        }
    }

    private double meanScore() {
        return servers.values().stream()
                .filter(Server::usable)
                .mapToDouble(server -> server.score)
                .average()
                .orElse(0);
    }

    // ---- Balancing, once per period.

    private static final long BALANCE_PERIOD_NS = 5 * SECOND;
    /** How long a slice stays on its server, as each move loses the warm keys there. */
    private static final long MIN_STAY_NS = 20 * SECOND;

    private static final long EVEN_OUT_SPAN_NS = 60 * SECOND;
    private static final int MAX_EVEN_OUT_MOVES_PER_SPAN = 6;
    /** Times of the moves by evenOut() within the latest span. */
    private final ArrayDeque<Long> evenOutTimesNs = new ArrayDeque<>();

    /** Once per period, fills servers with little load and evens out the rest. */
    private void balance() {
        if (nowNs < nextBalanceNs) {
            return;
        }
        nextBalanceNs = nowNs + BALANCE_PERIOD_NS;
        if (rounds < START_ROUNDS) {
            return;
        }
        List<Server> usable = servers.values().stream().filter(Server::usable).toList();
        // The source and its movable slices are computed again only after a move (the slices also when the minimum stay
        // changes); otherwise each of many targets would cost a scan of all slices.
        Server source = null;
        List<Slice> movable = List.of();
        long movesWhenComputed = -1;
        long minStayNs = MIN_STAY_NS;
        for (Server server : usable) {
            if (server.health == Health.WELL && relativeLoad(server, server.demand) < 0.5) {
                // When most of a fleet is replaced at once, its slices go to the few servers that remain, and would
                // stay there while fresh ones are idle. Where the overload passes by itself, the shorter stay loses
                // warm keys for nothing.
                long previousMinStayNs = minStayNs;
                minStayNs = fleetOverloaded && seemsUnused(server) ? BALANCE_PERIOD_NS : MIN_STAY_NS;
                source = movesWhenComputed == moveCount
                        ? source
                        : usable.stream().max(BY_SCORE).orElseThrow();
                movable = movesWhenComputed == moveCount && minStayNs == previousMinStayNs
                        ? movable
                        : movableSlices(source, minStayNs);
                movesWhenComputed = moveCount;
                fill(server, source, movable, usable);
            }
        }
        evenOut(usable);
    }

    /**
     * Moves one slice to a server with little load (fresh, or unmasked after it was ILL) from the most loaded one; to a
     * cold one without room for a burst only where no other has room.
     */
    private void fill(Server target, Server source, List<Slice> movable, List<Server> usable) {
        movable.stream()
                .filter(slice -> fits(target, slice) && improvesBalance(slice, source, target))
                .filter(slice -> !lacksBurstRoom(target, slice)
                        || !prefersLoaded(target, slice, leastLoadWithBurstRoom(usable, slice)))
                .max(Comparator.comparingDouble(slice -> slice.demand))
                .ifPresent(slice -> move(slice, source, target));
    }

    /**
     * Moves the heaviest slice whose move helps off an overloaded server, one per round of sums, whatever the cause (an
     * uneven start, a hot slice, a slowdown), so that the overload does not reinforce itself. This costs warm caches,
     * and a server whose problem is not load is emptied step by step.
     */
    private void relieve(Server source) {
        source.overloaded = false;
        if (rounds < START_ROUNDS) {
            return;
        }
        Comparator<Slice> heaviestFirst = Comparator.comparingDouble(slice -> -slice.demand);
        for (Slice slice : movableSlices(source, MIN_STAY_NS).stream()
                .sorted(heaviestFirst)
                .toList()) {
            Server target = leastLoaded(slice, source.id, false);
            if (target != null && fits(target, slice) && !target.overloaded && improvesBalance(slice, source, target)) {
                move(slice, source, target);
                return;
            }
        }
    }

    /**
     * If scores differ much, moves one slice: the lightest movable one of the servers whose score lies more than a
     * standard deviation above the mean.
     */
    private void evenOut(List<Server> usable) {
        double mean = meanScore();
        double deviation = Math.sqrt(usable.stream()
                .mapToDouble(server -> (server.score - mean) * (server.score - mean))
                .average()
                .orElse(0));
        while (!evenOutTimesNs.isEmpty() && nowNs - evenOutTimesNs.peekFirst() > EVEN_OUT_SPAN_NS) {
            evenOutTimesNs.pollFirst();
        }
        if (deviation <= 0.3 * mean || evenOutTimesNs.size() >= MAX_EVEN_OUT_MOVES_PER_SPAN) {
            return;
        }
        Slice lightest = null;
        Server from = null;
        for (Server source : usable) {
            if (source.score > mean + deviation) {
                for (Slice slice : movableSlices(source, MIN_STAY_NS)) {
                    if (lightest == null || slice.demand < lightest.demand) {
                        lightest = slice;
                        from = source;
                    }
                }
            }
        }
        if (lightest != null) {
            Server target = leastLoaded(lightest, from.id, false);
            if (target != null && improvesBalance(lightest, from, target)) {
                move(lightest, from, target);
                evenOutTimesNs.addLast(nowNs);
            }
        }
    }

    /** Whether the target stays below the source in score after the move. */
    private boolean improvesBalance(Slice slice, Server source, Server target) {
        return source != target
                && target.score + scoreContribution(slice, target) < source.score - scoreContribution(slice, source);
    }

    /** Returns the owned slices that have a primary line to the server and were last moved long enough ago. */
    private List<Slice> movableSlices(Server source, long minStayNs) {
        return Arrays.stream(slices)
                .filter(slice -> slice.owned && isPrimary(slice, source.id) && nowNs - slice.movedAtNs > minStayNs)
                .toList();
    }

    /** Replaces a slice's primary line. */
    private void move(Slice slice, Server from, Server to) {
        slice.desired.put(to.id, Math.max(1, maxWeight(slice)));
        slice.desired.remove(from.id);
        recordMove(slice, from, to);
        log("move " + slice.number + " " + from.id + " -> " + to.id);
    }

    // ---- Deciding and pushing.

    /** Brings the desired lines of all owned slices up to date and pushes what has changed. */
    private void decide() {
        decisionDue = false;
        presumedServers.removeExpired(nowNs).forEach(id -> leave(servers.get(id)));
        serversWithLines = null;
        for (Server server : servers.values()) {
            if (server.health == Health.ILL && nowNs >= server.holdUntilNs) {
                transition(server, HealthInput.HOLD_OVER);
            } else if (server.health == Health.RETURNING && server.ready && hasNoLine(server.id)) {
                transition(server, HealthInput.EMPTIED);
            }
        }
        updateScores();
        repairAll();
        relieveColdServers();
        if (newRound && rounds >= START_ROUNDS && !settings.soleOwner()) {
            long usable = servers.values().stream().filter(Server::usable).count();
            Arrays.stream(slices).filter(slice -> slice.owned).forEach(slice -> adjustPrimaries(slice, usable));
            newRound = false;
        }
        servers.values().stream()
                .filter(server -> server.overloaded && server.usable())
                .forEach(this::relieve);
        balance();
        push();
    }

    /** Servers that sent lines of owned slices name; computed at most once per decision and push, null: not yet. */
    private Set<String> serversWithLines;

    /** Whether no owned slice has a sent line to the server. */
    private boolean hasNoLine(String id) {
        if (serversWithLines == null) {
            serversWithLines = new HashSet<>();
            Arrays.stream(slices)
                    .filter(slice -> slice.owned)
                    .forEach(slice -> serversWithLines.addAll(slice.sent.keySet()));
        }
        return !serversWithLines.contains(id);
    }

    /** Proxies have no usable line of the slice, or will have none once a server that left is masked. */
    private static final int URGENCY_UNREACHABLE = 0;
    /** The primary's server is masked or about to be. */
    private static final int URGENCY_PRIMARY_MASKED = 1;
    /** Only one line is usable. */
    private static final int URGENCY_SINGLE_LINE = 2;

    private static final int URGENCY_LOW = 3;

    /** Returns how urgently a slice's new lines are needed. The mask of an ill server waits for its slices' lines. */
    private int urgency(Slice slice) {
        double maxWeight = slice.sent.values().stream().max(Double::compare).orElse(0.0);
        List<Server> lines = slice.sent.keySet().stream().map(servers::get).toList();
        boolean allMaskedOrLeaving =
                lines.stream().allMatch(server -> server.leaving() || maskTracker.isOrdered(server.id));
        boolean primaryMasked =
                lines.stream().anyMatch(server -> server.masked() && slice.sent.get(server.id) > maxWeight / 2);
        boolean delaysMask = lines.stream().anyMatch(server -> server.leaving() && !maskTracker.isOrdered(server.id));
        long unmasked = lines.stream().filter(server -> !server.masked()).count();
        return unmasked == 0 && (allMaskedOrLeaving || delaysMask)
                ? URGENCY_UNREACHABLE
                : primaryMasked ? URGENCY_PRIMARY_MASKED : unmasked < 2 ? URGENCY_SINGLE_LINE : URGENCY_LOW;
    }

    /** Sends what has changed, if the queue to the proxies and the limit on messages have room for enough of it. */
    private void push() {
        Arrays.stream(slices)
                .filter(slice -> slice.desired.equals(slice.sent))
                .forEach(slice -> slice.settledAtNs = nowNs);
        serversWithLines = null;
        List<Slice> changed = Arrays.stream(slices)
                .filter(slice -> slice.owned && !slice.desired.equals(slice.sent))
                .toList();
        changed.forEach(slice -> slice.urgency = urgency(slice));
        List<Slice> due = changed.stream()
                .sorted(Comparator.<Slice>comparingInt(slice -> slice.urgency)
                        .thenComparing(slice -> slice.settledAtNs)
                        .thenComparing(slice -> slice.number))
                .toList();
        List<Server> masks = servers.values().stream()
                .filter(server -> server.masked()
                        && (maskTracker.needsRestating(server.id) || !maskTracker.isOrdered(server.id))
                        && !hasNoLine(server.id))
                .sorted(Comparator.comparing(server -> maskTracker.isOrdered(server.id)))
                .toList();
        TreeSet<String> lifted = new TreeSet<>(maskTracker.ordered());
        lifted.addAll(maskTracker.toRestate());
        lifted.removeIf(id -> servers.get(id).masked());
        // Only a server that left and a slice without a usable line are subject to a deadline; an ILL server is not.
        boolean urgent = masks.stream().anyMatch(Server::leaving)
                || !due.isEmpty() && urgency(due.get(0)) == URGENCY_UNREACHABLE;
        if (joinedProxies.isEmpty() || masks.isEmpty() && due.isEmpty() && lifted.isEmpty() && !levelsDue) {
            return;
        }
        // While proxies join by the hundred, a push reaches all that have joined by the time it is carried out, known
        // here or not, so it is sized for the configured number. If some proxies cannot reach this coordinator for a
        // long time, pushes are smaller than necessary.
        int proxies = Math.max(joinedProxies.size(), settings.expectedProxies());
        // Unacknowledged lines count as queued, less a credit of 0.8 of the usual rate since the oldest push, as an
        // acknowledgement takes time to arrive. The credit is capped, so that even a channel that has just become slow
        // stays below 0.9 of its limit. Ordinary pushes fill no more than is sent in a quarter of the grace period,
        // since a drain queues behind them.
        double quarterGrace = settings.linesPerS() * settings.graceNs() / SECOND / 4 / settings.queueLimitLines();
        double ordinaryShare = Math.min(0.48, quarterGrace);
        double share = urgent ? 0.7 : ordinaryShare;
        double unacknowledgedLines = pushes.stream()
                .mapToDouble(push -> push.linesPerProxy * push.unacknowledged.size())
                .sum();
        long oldestAgeNs = pushes.isEmpty() ? 0 : nowNs - pushes.peekFirst().sentAtNs;
        double maxCredit = (urgent ? 0.2 : 0.37) * settings.queueLimitLines();
        double credit = Math.min(maxCredit, 0.8 * settings.linesPerS() * oldestAgeNs / SECOND);
        double overheadLines = settings.messageOverheadLines() + 1 + levelLines;
        double maxLines = settings.queueLimitLines() * share / proxies - overheadLines;
        double lines = maxLines - Math.max(0, unacknowledgedLines - credit) / proxies;
        // Each push costs its overhead, so it waits until there is room for most of what it has to carry; but it does
        // not wait while no other push is unacknowledged.
        long unreachable = due.stream()
                .filter(slice -> urgency(slice) == URGENCY_UNREACHABLE)
                .count();
        double worthwhileLines = urgent
                ? Math.min(masks.size() + unreachable, 0.4 * maxLines)
                : Math.min(masks.size() + lifted.size() + 2 * due.size(), 0.6 * maxLines);
        if (!mayPush(urgent) || lines < worthwhileLines && !pushes.isEmpty()) {
            decisionDue |= urgent;
            return;
        }
        send(due, masks, lifted, lines, lines - (share - ordinaryShare) * settings.queueLimitLines() / proxies);
    }

    private static final long MIN_PUSH_GAP_NS = 250 * MS;
    private static final long MIN_URGENT_PUSH_GAP_NS = 200 * MS;

    /**
     * Of the messages allowed a tenth, at least one, stays in reserve, as the host may send a message twice. A push is
     * always possible within a third of the grace period; the rest is needed for the queue and the delivery.
     */
    private static MessageBudget messageBudget(Settings settings) {
        int reserve = Math.max(1, settings.messagesAllowed() / 10);
        int allowed = Math.max(1, settings.messagesAllowed() - reserve);
        long intervalNs = Math.max(settings.graceNs() / 3, settings.messagesSpanNs() / allowed);
        return new MessageBudget(settings.messagesSpanNs(), allowed, intervalNs);
    }

    /** Whether the interval since the last push and the limit on messages allow a push. */
    private boolean mayPush(boolean urgent) {
        boolean limited = settings.messagesAllowed() > 0;
        // Ordinary pushes get half of the allowed messages, at half the rate that the limit allows.
        long ordinaryGapNs = limited ? 2 * settings.messagesSpanNs() / settings.messagesAllowed() : MIN_PUSH_GAP_NS;
        if (nowNs - lastPushNs < (urgent ? MIN_URGENT_PUSH_GAP_NS : ordinaryGapNs)) {
            return false;
        }
        return !limited
                || nowNs >= messages.nextNs() && (urgent || messages.count(nowNs) < settings.messagesAllowed() / 2.0);
    }

    /** Lines that the latest levels took in a push. */
    private int levelLines;

    /**
     * Adds one push to the orders.
     *
     * @param due changed slices, the most urgent first
     * @param masks servers to mask
     * @param lifted servers whose mask is to be lifted, or stated again to be absent
     * @param lines the most lines the push may have
     * @param ordinaryLines up to how many lines orders without a deadline may fill the push; at most {@code lines}
     */
    private void send(List<Slice> due, List<Server> masks, TreeSet<String> lifted, double lines, double ordinaryLines) {
        int before = orders.size();
        double limit = before + Math.max(1, lines);
        if (levelsDue) {
            levelsDue = false;
            levelLines = sendLevels();
        }
        // Keeps the grace period where much of the fleet leaves at once: first a line for each slice that would be
        // unreachable, then the masks that leave none unreachable, and only then everything else, such as old lines of
        // masked servers. Masks are reserved up to half of the room, and what does not fit waits for the next push:
        // after a restart or a change of ownership all masks are stated again, and beyond the size of the push they
        // would overfill the channel. Where more servers leave at once than one push holds, the last masks are one
        // push late.
        double unreachableLimit = limit - Math.min(masks.size(), (limit - before) / 2);
        due.stream()
                .filter(slice -> urgency(slice) == URGENCY_UNREACHABLE && orders.size() < unreachableLimit)
                .forEach(this::sendPrimary);
        // The mask of a server that serves again could delay the mask of one that left, so lifting it comes first.
        for (String id : lifted) {
            if (orders.size() < (maskTracker.isOrdered(id) ? limit : before + ordinaryLines)) {
                orders.add(new Order.Mask(id, false));
                maskTracker.state(id, false);
            }
        }
        // A mask that would leave a slice unreachable waits for the slice's new line, but where the channel is full no
        // longer than a sixth of the grace period; the rest is needed for the interval between pushes, the queue and
        // the delivery. Such a slice's flows would find no server at one that left, and its line goes first in the next
        // push. Where the server is only draining, it would still have served them.
        for (Server server : masks) {
            if (orders.size() >= limit) {
                break;
            }
            if (server.leaving() && nowNs - server.maskRequiredSinceNs > settings.graceNs() / 6
                    || !leavesUnreachable(server.id)) {
                orders.add(new Order.Mask(server.id, true));
                maskTracker.state(server.id, true);
            }
        }
        due.stream()
                .filter(slice -> orders.size() < before + ordinaryLines || orders.size() == before && pushes.isEmpty())
                .forEach(slice -> sendSlice(slice, false));
        due.stream().filter(slice -> orders.size() < before + ordinaryLines).forEach(slice -> sendSlice(slice, true));
        if (orders.size() > before) {
            mark = (mark + 1) % 65536;
            // Every proxy is asked to acknowledge. Otherwise a push whose slices were taken away meanwhile, or whose
            // masks are in no table, would never be acknowledged and would hold up all that follow. This costs the
            // overhead for each proxy where a push would have reached none.
            orders.add(new Order.Mark(mark, true));
            double linesPerProxy = settings.messageOverheadLines() + orders.size() - before + levelLines;
            // A masked server without a line is not stated: nothing is sent there.
            long maskState = maskTracker.pushed(id -> servers.get(id).masked() && hasNoLine(id));
            pushes.addLast(new Push(mark, nowNs, maskState, linesPerProxy, new TreeSet<>(joinedProxies)));
            messages.add(nowNs);
            lastPushNs = nowNs;
        }
    }

    /** Sends only the heaviest new line of a slice: enough to make it reachable. */
    private void sendPrimary(Slice slice) {
        slice.desired.entrySet().stream()
                .filter(line -> !servers.get(line.getKey()).masked())
                .max(Map.Entry.comparingByValue())
                .ifPresent(line -> sendLine(slice, line.getKey(), line.getValue()));
    }

    /**
     * Sends the new lines of a slice and removes old ones. Old lines to masked servers do no harm, so they are removed
     * only if {@code withMasked} is set, after everything else.
     */
    private void sendSlice(Slice slice, boolean withMasked) {
        slice.desired.forEach((id, weight) -> sendLine(slice, id, weight));
        List.copyOf(slice.sent.keySet()).stream()
                .filter(id -> !slice.desired.containsKey(id) && (withMasked || !maskTracker.isOrdered(id)))
                .forEach(id -> sendLine(slice, id, 0));
    }

    /** Sends one line if its weight has changed; weight 0 removes it. */
    private void sendLine(Slice slice, String id, double weight) {
        if (weight != slice.sent.getOrDefault(id, 0.0)) {
            orders.add(new Order.SetLine(slice.number, id, weight));
            slice.sent.put(id, weight);
        }
        slice.sent.remove(id, 0.0);
    }

    /** Whether a mask for this server would leave an owned slice without a usable line, though servers are usable. */
    private boolean leavesUnreachable(String id) {
        return servers.values().stream().anyMatch(Server::usable)
                && Arrays.stream(slices)
                        .anyMatch(slice -> slice.owned
                                && slice.sent.containsKey(id)
                                && slice.sent.keySet().stream()
                                        .allMatch(other -> other.equals(id) || maskTracker.isOrdered(other)));
    }

    /**
     * Sends level and retry rule of all groups and returns the number of orders. Retries are allowed only on proof that
     * the first attempt never ran: a repeat then cannot take effect twice, nor double the work of servers that are
     * already late, which would turn an overload into a collapse.
     */
    private int sendLevels() {
        TreeMap<Double, Integer> groupsByLevel = new TreeMap<>();
        for (int i = 0; i < settings.groups().size(); i++) {
            groupsByLevel.merge(level(i), 1 << i, Integer::sum);
        }
        groupsByLevel.forEach((level, groups) -> orders.add(new Order.SetLevel(
                Order.ALL_TABLES, groups, level, fleetOverloaded || retriesSuspended ? Retry.NEVER : Retry.ON_PROOF)));
        return groupsByLevel.size();
    }
}
