package puffinbarrow;

import java.nio.ByteBuffer;
import java.util.*;
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
 * All decisions of one coordinator. A host makes one Logic for each coordinator start, from its settings and
 * seed, and calls handle(now, events) with all that came in at one time; it carries out the orders returned,
 * in their order. The interface is the package puffinbarrow.control. Each call reads the events, then, when a
 * tick is due or something urgent came, mends the tables (mend), balances (balance) and sends (push).
 * What each table should be stands in Slice.want, what was ordered in Slice.sent; push sends the difference.
 */
public final class Logic implements Controller {
    private static final long MS = 1_000_000L;
    private static final long SECOND = 1_000_000_000L;

    // ---- A server's standing: the table of transitions, read by step().

    /** ILL, OUT and RETURNING are masked; OUT and RETURNING also lose their lines. */
    private enum State {
        WELL,
        SUSPECT,
        ILL,
        TRIAL,
        OUT,
        RETURNING
    }

    private enum Input {
        GOOD,
        BAD,
        AWFUL,
        HOLD_OVER,
        LEAVES,
        RESTARTS,
        RELISTED,
        EMPTIED,
        NEEDED,
        RECALLED
    }

    private enum Effect {
        NONE,
        HOLD,
        CLEAR
    }

    private record Row(Set<State> states, Input input, State next, Effect effect) {}

    private static final Set<State> ANY = EnumSet.allOf(State.class);
    private static final List<Row> TABLE = List.of(
            new Row(EnumSet.of(State.WELL), Input.BAD, State.SUSPECT, Effect.NONE),
            new Row(EnumSet.of(State.WELL), Input.RECALLED, State.SUSPECT, Effect.NONE),
            new Row(EnumSet.of(State.SUSPECT, State.TRIAL), Input.BAD, State.ILL, Effect.HOLD),
            new Row(EnumSet.of(State.WELL, State.SUSPECT, State.TRIAL), Input.AWFUL, State.ILL, Effect.HOLD),
            new Row(EnumSet.of(State.SUSPECT), Input.GOOD, State.WELL, Effect.NONE),
            new Row(EnumSet.of(State.TRIAL), Input.GOOD, State.WELL, Effect.CLEAR),
            new Row(EnumSet.of(State.ILL), Input.HOLD_OVER, State.TRIAL, Effect.NONE),
            new Row(EnumSet.of(State.ILL), Input.NEEDED, State.TRIAL, Effect.NONE),
            new Row(ANY, Input.LEAVES, State.OUT, Effect.NONE),
            new Row(ANY, Input.RESTARTS, State.RETURNING, Effect.NONE),
            new Row(EnumSet.of(State.OUT), Input.RELISTED, State.WELL, Effect.CLEAR),
            new Row(EnumSet.of(State.RETURNING), Input.EMPTIED, State.WELL, Effect.CLEAR),
            new Row(EnumSet.of(State.RETURNING), Input.NEEDED, State.WELL, Effect.CLEAR));

    private void step(Server server, Input input) {
        for (Row row : TABLE) {
            if (row.states.contains(server.state) && row.input == input) {
                if (server.state != row.next) {
                    log(server.id + " " + server.state + " " + input + " -> " + row.next);
                }
                server.state = row.next;
                // The first hold outlasts a short trouble and the sums still on the way; it doubles while
                // trials fail, up to what a rough half minute of trouble needs.
                if (row.effect == Effect.HOLD) {
                    server.holdNs = Math.min(24 * SECOND, Math.max(6 * SECOND, server.holdNs * 2));
                    server.holdUntil = now + server.holdNs;
                }
                server.holdNs = row.effect == Effect.CLEAR ? 0 : server.holdNs;
                server.forgetRound();
                dirty = true;
                return;
            }
        }
    }

    // ---- What is known.

    private static final class Server {
        final String id;
        double size = 1;
        long started;
        boolean ready;
        /** 0: listed. Else the list has dropped it, though it may live: 1 and the probes it has missed. */
        int unlisted;

        State state = State.OUT;
        long holdNs;
        long holdUntil;
        /** Since when its mask has bound us: told that it left, or a proxy joined that lacks the mask. */
        long bindsSince;

        double tries, dropped, tookNs;
        boolean pressed;
        double report = Double.NaN;
        long reportAt;
        /** Whether sums ever named it. */
        boolean heard;
        /** Load placed here (or taken off) that no report shows yet, relative to the fleet's mean. */
        final Ring shift = new Ring(8, SECOND);
        /** Own placed load, worked out anew before each decision. */
        double count, demand, spareDemand, score;

        Server(String id) {
            this.id = id;
        }

        boolean masked() {
            return state == State.ILL || leaving();
        }

        boolean leaving() {
            return state == State.OUT || state == State.RETURNING;
        }

        boolean usable() {
            return ready && !masked();
        }

        void forgetRound() {
            tries = dropped = tookNs = 0;
        }
    }

    private static final class Slice {
        final int number;
        boolean mine;
        final TreeMap<String, Double> want = new TreeMap<>();
        final TreeMap<String, Double> sent = new TreeMap<>();
        final Ring heard = new Ring(8, SECOND);
        /** At the latest push. */
        int urgency;

        double demand;
        long movedAt = Long.MIN_VALUE / 2;
        long settledAt;

        Slice(int number) {
            this.number = number;
        }
    }

    private record Turn(int mark, long sentAt, double linesEach, TreeSet<Integer> waiting) {}

    private final Settings set;
    private final long seed;
    private long drawn;
    private long now;
    private List<Order> out;
    private final TreeMap<String, Server> servers = new TreeMap<>();
    private final Slice[] slices;
    private final TreeSet<Integer> joined = new TreeSet<>();
    private final TreeSet<String> maskSent = new TreeSet<>();
    /** Servers whose mask, or that they have none, is to be stated again. */
    private final TreeSet<String> masksDue = new TreeSet<>(), everMasked = new TreeSet<>();

    private final ArrayDeque<Turn> turns = new ArrayDeque<>();
    private final ArrayDeque<Long> turnTimes = new ArrayDeque<>();
    private boolean levelsDue = true;
    private boolean dirty, newSums, newRound;
    private int mark;
    private long tickAt = Long.MIN_VALUE, cycleAt = Long.MIN_VALUE;
    private long lastTurn = Long.MIN_VALUE / 2, roundAt = lastTurn;
    private int rounds;
    private long followAt;
    private long followBackoffNs;
    private long robin;

    public Logic(Settings settings, long seed) {
        this.set = settings;
        this.seed = seed;
        followAt = settings.listOnRequest() ? Long.MIN_VALUE : Long.MAX_VALUE;
        slices = new Slice[Math.max(0, settings.slices())];
        for (int i = 0; i < slices.length; i++) {
            slices[i] = new Slice(i);
        }
        robin = (long) (chance() * 1000);
    }

    private double chance() {
        CRC32 crc = new CRC32();
        crc.update(ByteBuffer.allocate(16).putLong(seed).putLong(drawn++).array());
        return crc.getValue() / 4294967296.0;
    }

    private void log(String text) {
        out.add(new Order.Log(text));
    }

    @Override
    public List<Order> handle(long nowNs, List<Event> events) {
        now = nowNs;
        out = new ArrayList<>();
        events.forEach(this::learn);
        if (newSums) {
            judge();
        }
        follow();
        if (now >= tickAt || dirty) {
            decide();
        }
        if (now >= tickAt) {
            // Four looks a second: well under the shortest grace and the way of a message.
            tickAt = now + 250 * MS;
            out.add(new Order.WakeAt(tickAt, 0));
        }
        return out;
    }

    // ---- Learning.

    private void learn(Event event) {
        if (event instanceof Event.ServerList e) {
            learnList(e);
        } else if (event instanceof Event.ServerSums e) {
            learnSums(e);
        } else if (event instanceof Event.SliceDemand e) {
            slice(e.slice()).heard.add(now, e.flows());
        } else if (event instanceof Event.SliceCharge e) {
            learnCharge(e);
        } else if (event instanceof Event.StoredLine e) {
            if (e.weight() > 0) {
                slice(e.slice()).want.put(e.server(), e.weight());
                slice(e.slice()).sent.put(e.server(), e.weight());
                servers.computeIfAbsent(e.server(), Server::new);
            }
        } else if (event instanceof Event.ProxyJoined e) {
            joined.add(e.proxy());
            // A proxy that was here before may hold masks of a stream or a life of ours that is forgotten:
            // a stale mask could leave it bare, so all masks are stated again, the lifted ones too.
            levelsDue = dirty = true;
            servers.values().stream().filter(v -> maskSent.contains(v.id)).forEach(v -> v.bindsSince = now);
            masksDue.addAll(e.fresh() ? maskSent : rounds < 3 ? servers.keySet() : everMasked);
        } else if (event instanceof Event.ProxyLeft e) {
            joined.remove(e.proxy());
            acknowledged(e.proxy(), -1);
        } else if (event instanceof Event.Probed e) {
            learnProbe(e);
        } else if (event instanceof Event.Recalled e) {
            recall(e);
        } else if (event instanceof Event.InForce e) {
            acknowledged(e.proxy(), e.mark());
        }
    }

    /**
     * Guards the first rounds after a restart, when nothing is heard yet: a server that flapped is suspect
     * until its sums are good, holds go on doubling, a fleet that shed seconds ago is not let in whole. It
     * harms where the fleet has changed meanwhile: a sound server gets orphans last for a round or two.
     */
    private void recall(Event.Recalled e) {
        Server server = servers.get(e.server());
        double sure = e.value() * e.confidence();
        // As likely as not is enough to be careful, not to believe that it goes on.
        boolean likely = e.confidence() >= 0.5;
        switch (e.kind()) {
            case FLAPPING -> {
                if (server != null && likely) {
                    step(server, Input.RECALLED);
                }
            }
            case HOLD_NS -> {
                if (server != null) {
                    server.holdNs = Math.max(server.holdNs, (long) sure);
                }
            }
            case CALM_LOAD -> calmLoad = likely ? Math.max(calmLoad, e.value()) : calmLoad;
            case CALM_WHOLE -> calmWhole = likely ? Math.max(calmWhole, e.value()) : calmWhole;
            case SHED -> shed =
                    Math.max(shed, Math.min(sure, 0.8 * (set.groups().size() - 1)));
            case STRAINED -> strained |= likely;
        }
        levelsDue = true;
    }

    @Override
    public List<Event.Recalled> known() {
        List<Event.Recalled> known = new ArrayList<>(List.of(
                new Event.Recalled(Event.Recall.CALM_LOAD, "", calmLoad, 1),
                new Event.Recalled(Event.Recall.CALM_WHOLE, "", calmWhole, 1),
                new Event.Recalled(Event.Recall.SHED, "", shed, 1),
                new Event.Recalled(Event.Recall.STRAINED, "", strained ? 1 : 0, 1)));
        servers.values().stream()
                .filter(v -> v.holdNs > 0)
                .forEach(v -> known.add(new Event.Recalled(Event.Recall.HOLD_NS, v.id, v.holdNs, 1)));
        return known;
    }

    /** The slice of that number; one that isn't known gets a blank that is thrown away. */
    private Slice slice(int number) {
        return number >= 0 && number < slices.length ? slices[number] : new Slice(number);
    }

    private void learnList(Event.ServerList list) {
        if (list.kind() == Event.ListKind.BROKEN) {
            // Back off up to a few seconds, spread by chance, so that a struggling list is not hammered.
            followBackoffNs = Math.min(4 * SECOND, Math.max(SECOND / 2, followBackoffNs * 2));
            followAt = now + (long) (followBackoffNs * (0.75 + chance() / 2));
            return;
        }
        if (list.kind() != Event.ListKind.STALE_COPY && set.listOnRequest()) {
            followBackoffNs = 0;
            followAt = Long.MAX_VALUE;
        }
        list.entries().forEach(this::learnEntry);
        if (list.kind() != Event.ListKind.PATCH) {
            Set<String> named = list.entries().stream().map(Event.Entry::server).collect(Collectors.toSet());
            servers.values().stream().filter(v -> !named.contains(v.id)).forEach(this::dropped);
        }
        dirty = true;
    }

    private void learnEntry(Event.Entry entry) {
        boolean known = servers.containsKey(entry.server());
        Server server = servers.computeIfAbsent(entry.server(), Server::new);
        long formerStart = server.started;
        if (entry.listed() == Listed.GONE) {
            dropped(server);
            return;
        } else if (entry.listed() == Listed.DRAINING) {
            leave(server);
            return;
        }
        server.ready = true;
        server.unlisted = 0;
        server.size = entry.size() > 0 ? entry.size() : 1;
        server.started = entry.startedNs();
        if (!known) {
            server.state = State.WELL;
        } else if (formerStart != server.started) {
            step(server, Input.RESTARTS);
        } else {
            // Listed again with the start it had: it was never down, so it is as warm as it was.
            step(server, Input.RELISTED);
        }
    }

    private void leave(Server server) {
        server.bindsSince = server.ready ? now : server.bindsSince;
        server.ready = false;
        step(server, Input.LEAVES);
    }

    /**
     * Guards against a list that calls living servers gone, where the rules let such a server stay in tables:
     * it stays until it misses two probes (one may fall into a pause), or without probes until it looks ill.
     * Should it have died, flows fail there for the probes' time, or for a round or two of sums.
     */
    private void dropped(Server server) {
        if (!set.droppedStayOpen() || !server.ready) {
            leave(server);
        } else if (server.unlisted == 0) {
            server.unlisted = 1;
            probe(server);
        }
    }

    private void probe(Server server) {
        if (set.probes()) {
            out.add(new Order.Probe(server.id));
        }
    }

    private void learnProbe(Event.Probed probed) {
        Server server = servers.get(probed.server());
        if (server == null || server.unlisted == 0 || probed.answered()) {
            return;
        } else if (++server.unlisted > 2) {
            leave(server);
        } else {
            probe(server);
        }
    }

    private void learnSums(Event.ServerSums sums) {
        // Lines of one round come together; half a period tells rounds apart.
        if (now - roundAt > set.roundNs() / 2) {
            roundAt = now;
            rounds++;
            newRound = true;
        }
        newSums = true;
        Server server = servers.get(sums.server());
        if (server == null) {
            return;
        }
        server.heard = true;
        server.tries += sums.tries();
        server.dropped += sums.dropped();
        server.tookNs += (double) sums.tookNs() * Math.max(0, sums.tries() - sums.dropped());
        coresKnown |= sums.report().containsKey(Measure.BUSY);
        double report = reported(sums.report(), server.size);
        if (!Double.isNaN(report)) {
            // Half old, half new: a single report is noisy and may be of a moment.
            boolean stale = Double.isNaN(server.report) || now - server.reportAt > 4 * set.roundNs();
            server.report = stale ? report : (server.report + report) / 2;
            server.reportAt = now;
        }
    }

    private static double reported(Map<Measure, Double> report, double size) {
        for (Measure measure : EnumSet.of(Measure.BUSY, Measure.HELD, Measure.WAITING, Measure.DELIVERED_PER_S)) {
            if (report.containsKey(measure)) {
                // Cores busy are a share of the server's own already; counts are put per listed size.
                return report.get(measure) / (measure == Measure.BUSY ? 1 : size);
            }
        }
        return Double.NaN;
    }

    private void learnCharge(Event.SliceCharge charge) {
        Slice slice = slice(charge.slice());
        slice.mine = charge.given();
        slice.want.clear();
        slice.sent.clear();
        levelsDue |= charge.given();
        masksDue.addAll(maskSent);
        dirty = true;
    }

    /** A proxy has all up to this mark; one that left (-1) is waited for no more. */
    private void acknowledged(int proxy, int upTo) {
        boolean known = upTo < 0 || turns.stream().anyMatch(t -> t.mark == upTo);
        turns.stream().takeWhile(t -> known && t.mark != upTo).forEach(t -> t.waiting.remove(proxy));
        turns.stream().filter(t -> t.mark == upTo).forEach(t -> t.waiting.remove(proxy));
        turns.removeIf(t -> t.waiting.isEmpty());
    }

    private void follow() {
        if (now >= followAt) {
            out.add(new Order.Follow(true));
            // Asked again if no answer comes at all.
            followAt = now + 5 * SECOND;
        }
    }

    // ---- Health: judged by failure share and time taken over rounds of sums.

    private void judge() {
        newSums = false;
        List<Server> heard =
                servers.values().stream().filter(v -> v.ready && v.tries >= 5).toList();
        double usualShare = median(heard.stream().map(v -> v.dropped / v.tries));
        double usualTime =
                median(heard.stream().filter(v -> v.tries > v.dropped).map(v -> v.tookNs / (v.tries - v.dropped)));
        // Guards cold servers against tries again: where a third of all tries is dropped, those with proof go
        // on to whoever has room, and push over the next one.
        double lost = heard.stream().mapToDouble(v -> v.dropped).sum();
        boolean many = lost > 0.3 * heard.stream().mapToDouble(v -> v.tries).sum();
        levelsDue |= many != crowded;
        crowded = many;
        double shortest = set.groups().stream()
                .mapToDouble(Settings.Group::budgetNs)
                .min()
                .orElse(SECOND);
        List<Server> bad = new ArrayList<>();
        for (Server server : servers.values()) {
            // Fewer tries say nothing, unless nearly all fail; a trial gets few, so fewer must do.
            boolean sure = server.dropped >= 4 && server.dropped > 0.8 * server.tries;
            if (!server.ready || server.masked() || server.tries < (server.state == State.TRIAL ? 3 : 8) && !sure) {
                continue;
            }
            double share = server.dropped / server.tries;
            double delivered = server.tries - server.dropped;
            double slowness = delivered < 3 || usualTime <= 0 ? 1 : server.tookNs / delivered / usualTime;
            // Bad lines lie well above what an overloaded but sound server shows; good lines well below.
            // Guards against taking load for illness: more than its part of own slices explains slow and late
            // answers, and a mask would only hand the load to the next one.
            // Under strain every server may drop most; an ill one then shows by reporting little or nothing.
            // The sums are of some seconds ago, when what was moved off since was still here.
            double carried = relative(server, server.demand) - server.shift.over(now, 4) / Math.max(0.01, ownPart);
            boolean explained = carried > 1.4 || strained && warmth(server) >= 1 && server.report > 0.6 * usualReport;
            // Half of what makes a line bad: the server is pressed, and gives up a slice this round.
            // Slow counts only where it hurts: against the latency budget, not just the middle server.
            double late = delivered < 3 ? 0 : server.tookNs / delivered / shortest;
            server.pressed = share > 0.15 + usualShare && server.dropped > 1 || slowness > 2 && late > 0.4;
            boolean worse = share > 0.3 + usualShare || slowness > 3 && late > 0.8;
            boolean good = !worse && share < 0.1 + usualShare && slowness < 2 && server.tries >= 6;
            if (worse && !explained) {
                bad.add(server);
            } else if (worse || good || server.state != State.TRIAL) {
                server.forgetRound();
            }
            if (good) {
                step(server, Input.GOOD);
            }
        }
        strain(usualShare, usualTime);
        // Guards against a bad view: where most look ill it is the view, the load or ourselves, and masking
        // would push the rest over. Not more than a third may be masked as ill at a time.
        long ready = servers.values().stream().filter(s -> s.ready).count();
        long ill = servers.values().stream()
                .filter(s -> s.ready && s.state == State.ILL)
                .count();
        long warm =
                servers.values().stream().filter(s -> s.ready && warmth(s) >= 1).count();
        boolean doubt = bad.size() + ill > ready * 0.4;
        for (Server server : bad) {
            boolean awful = server.dropped / server.tries > 0.6;
            if (warmth(server) < 1 || !doubt && ill < ready / 3 && 2 * ill < warm) {
                step(server, awful ? Input.AWFUL : Input.BAD);
                if (server.state == State.ILL && server.unlisted > 0) {
                    leave(server);
                }
                ill += server.state == State.ILL ? 1 : 0;
            }
            server.forgetRound();
        }
    }

    // ---- Strain: the whole fleet drops flows, so there is more than it can do.

    private boolean strained, coresKnown, crowded;
    private double shed, lastStrain;

    /**
     * Guards against the spiral of tries upon tries in real overload, whatever brought it (too much traffic,
     * too few servers, cold caches): while the middle server drops flows, nothing is tried again and groups
     * of least utility for their work are let in less, step by step.
     */
    private void strain(double usualShare, double usualTime) {
        boolean was = strained;
        // One in ten is far above errors in good times; one in thirty is about what they show. Time-outs come
        // seconds after the queues grew, so answers that take half the budget on the middle server count too.
        // Guards against shedding what less traffic can't help (lost answers, a group slow by itself): where
        // servers are full their good answers take a third of the budget, and their cores are not half idle.
        double late = usualTime
                / set.groups().stream()
                        .mapToDouble(Settings.Group::budgetNs)
                        .average()
                        .orElse(SECOND);
        boolean idle = coresKnown && usualReport < 0.55;
        boolean more = !idle && (usualShare > 0.1 && late > 0.3 || late > 0.5);
        boolean less = idle || (usualShare < 0.03 || late < 0.2) && late < 0.35;
        strained = more || strained && !less;
        if (!strained && !was && fleetSize > 0) {
            calmLoad = Math.max(calmLoad, fleetDemand / fleetSize);
            calmWhole = Math.max(calmWhole, fleetDemand / wholeSize);
        }
        double before = shed;
        int spare = set.groups().size() - 1;
        // Half a group at first, then a quarter a round, held while things get better, as sums show a step
        // late. Given back slowly, as the load that brought it may still be there.
        boolean better = usualShare + late < 0.9 * lastStrain;
        lastStrain = usualShare + late;
        double by = more ? better ? 0 : was ? 0.25 : 0.5 : less ? -0.1 : 0;
        shed = Math.max(0, Math.min(0.8 * spare, shed + by));
        if (was != strained || shed != before) {
            levelsDue = true;
            log("strained " + strained + " shed " + shed);
        }
    }

    /** The part of a group let in: least utility for its latency budget (which stands for work) first. */
    private double level(int group) {
        long before = IntStream.range(0, set.groups().size())
                .filter(i -> value(i) < value(group) || value(i) == value(group) && i < group)
                .count();
        boolean most = before == set.groups().size() - 1;
        double part = Math.max(0.2, Math.min(1, 1 - (shed - 0.8 * before)));
        return set.levelIsRate() ? 1e6 : !set.levelsHeeded() || most ? 1 : part;
    }

    private double value(int group) {
        return set.groups().get(group).utility()
                / Math.max(1, set.groups().get(group).budgetNs());
    }

    private static double median(Stream<Double> values) {
        List<Double> sorted = values.sorted().toList();
        return sorted.isEmpty() ? 0 : sorted.get(sorted.size() / 2);
    }

    // ---- Scores.

    private double fleetDemand, fleetSize, ownPart, usualReport;
    /** The most that was listed ready at a time: what the fleet is when it is whole. */
    private double wholeSize;

    /** The share of full capacity a server is sure to have: it rises evenly over the warm time or faster. */
    private double warmth(Server server) {
        long age = now - server.started;
        if (server.started == 0 || age >= set.warmNs()) {
            return 1;
        }
        return set.coldShare() + (1 - set.coldShare()) * Math.max(0, age) / set.warmNs();
    }

    private double room(Server server) {
        return server.size * warmth(server);
    }

    /** Whether the slice has a full line on the server; less than half of its heaviest line is a spare. */
    private static boolean full(Slice slice, String id) {
        Double weight = slice.want.get(id);
        return weight != null && weight > top(slice) / 2;
    }

    private static double top(Slice slice) {
        double top = 0;
        for (double weight : slice.want.values()) {
            top = Math.max(top, weight);
        }
        return top;
    }

    private static double each(Slice slice) {
        return slice.demand
                / Math.max(
                        1,
                        slice.want.keySet().stream()
                                .filter(id -> full(slice, id))
                                .count());
    }

    private void weigh() {
        fleetDemand = 0;
        fleetSize = 0;
        int mine = 0;
        int loud = 0;
        for (Slice slice : slices) {
            // Six seconds of sums: long enough for noise, short enough for demand that moves on.
            slice.demand = slice.mine ? slice.heard.over(now, 6) : 0;
            fleetDemand += slice.demand;
            mine += slice.mine ? 1 : 0;
            loud += slice.demand > 0 ? 1 : 0;
        }
        ownPart = slices.length == 0 ? 1 : (double) mine / slices.length;
        double usual = loud == 0 ? 1 : fleetDemand / loud;
        if (loud == 0) {
            fleetDemand = mine;
        }
        wholeSize = Math.max(
                wholeSize,
                servers.values().stream()
                        .filter(v -> v.ready)
                        .mapToDouble(v -> v.size)
                        .sum());
        for (Server server : servers.values()) {
            server.count = server.demand = server.spareDemand = 0;
            server.report = now - server.reportAt > 4 * set.roundNs() ? Double.NaN : server.report;
            fleetSize += server.usable() ? room(server) : 0;
        }
        usualReport = Math.max(
                1e-9,
                servers.values().stream()
                        .filter(Server::usable)
                        .mapToDouble(v -> v.report)
                        .filter(v -> !Double.isNaN(v))
                        .average()
                        .orElse(1));
        for (Slice slice : slices) {
            if (slice.mine) {
                slice.demand = loud == 0 ? usual : Math.max(slice.demand, usual / 20);
                place(slice);
            }
        }
        for (Server server : servers.values()) {
            double report = Double.isNaN(server.report) ? idle(server) ? 0 : 1 : server.report / usualReport;
            double count = server.count / room(server) * fleetSize / Math.max(1, mine);
            server.score = SLICE_PART * (COUNT_PART * count + DEMAND_PART * relative(server, server.demand))
                    + REPORT_PART * Math.max(0, report + server.shift.over(now, 4));
        }
    }

    /**
     * Guards fresh servers that nobody sends to, and that so never report: taken for as loaded as the mean
     * they were left idle by all coordinators alike. Lines of sums get lost, so one that carries a slice of
     * ours is none. It harms where others load it and all its lines are lost so far: it looks idle.
     */
    private boolean idle(Server server) {
        return rounds >= 3 && server.count < 0.5 && !server.heard;
    }

    // The design's weights: slices against report, and within slices count against demand.
    private static final double SLICE_PART = 0.3;
    private static final double REPORT_PART = 0.7;
    private static final double COUNT_PART = 0.2;
    private static final double DEMAND_PART = 0.3;

    /** Demand on a server against the fleet's mean, both for the capacity there is. */
    private double relative(Server server, double demand) {
        return fleetDemand <= 0 ? 0 : demand / room(server) * fleetSize / fleetDemand;
    }

    /** Counts a slice's load on the servers that carry it under the masks that stand. */
    private void place(Slice slice) {
        double sum = slice.want.entrySet().stream()
                .filter(v -> !servers.get(v.getKey()).masked())
                .mapToDouble(Map.Entry::getValue)
                .sum();
        for (Map.Entry<String, Double> line : slice.want.entrySet()) {
            Server server = servers.get(line.getKey());
            if (!server.masked()) {
                double part = line.getValue() / sum;
                server.count += part;
                server.demand += part * slice.demand;
                server.spareDemand += full(slice, line.getKey()) ? 0 : slice.demand;
            }
        }
    }

    /** What a slice adds to a server's score: its slice load, and what the next reports will show of it. */
    private double sliceLoad(Slice slice, Server server) {
        double demand = relative(server, each(slice));
        return SLICE_PART
                        * (COUNT_PART / room(server) * fleetSize / Math.max(1, ownPart * slices.length)
                                + DEMAND_PART * demand)
                + REPORT_PART * ownPart * demand;
    }

    private long moves;

    private void moved(Slice slice, Server from, Server to) {
        slice.movedAt = now;
        moves++;
        // The view of placed load is updated at once; reports will take some seconds to show it.
        if (to != null) {
            to.shift.add(now, ownPart * relative(to, each(slice)));
            to.score += sliceLoad(slice, to);
            to.count++;
            to.demand += each(slice);
        }
        if (from != null) {
            from.shift.add(now, -ownPart * relative(from, each(slice)));
            from.score -= sliceLoad(slice, from);
            from.count--;
            from.demand -= each(slice);
        }
    }

    /** Own demand a server may be given: its fair part of what there is, and as little as it is cold. */
    private boolean fits(Server server, Slice slice) {
        return warmth(server) >= 1 || relative(server, server.demand + each(slice)) <= coldPart();
    }

    private double calmLoad, calmWhole;

    /**
     * A cold server's part of what the warm carry. When the fleet is sent a multiple of the most it bore
     * calmly, its part shrinks, so that it stays under 0.4 of what would make it fall over, as keys
     * that it hasn't met cost it more and its speed may be below the listed size.
     */
    private double coldPart() {
        // With less than two fifths of the fleet left the load is no calm one, however few flows are dropped:
        // what the few bore is taken over the whole fleet then. It harms where most was taken out for good.
        double calm = fleetSize < 0.4 * wholeSize ? calmWhole : calmLoad;
        double multiple = calm <= 0 ? 1 : fleetDemand / fleetSize / calm;
        return Math.min(1, set.fallMultiple() / 2.5 / Math.max(1, multiple));
    }

    /** Guards cold servers: one that carries more than its part, however that came, loses slices at once. */
    private void easeCold() {
        for (Server server : servers.values().stream()
                .filter(v -> v.usable() && warmth(v) < 1)
                .toList()) {
            for (Slice slice : slices) {
                // A quarter over the part that fits keeps a slice from going back and forth.
                if (relative(server, server.demand) > 1.25 * coldPart() && slice.mine && full(slice, server.id)) {
                    Server target = leastLoaded(slice, server.id, false);
                    // Not all on the one warm server left: twice its part is the most it is given.
                    if (target != null && warmth(target) >= 1 && relative(target, target.demand + each(slice)) < 2) {
                        shift(slice, server, target);
                    }
                }
            }
        }
    }

    /** The least-loaded server that the slice has no line on, in turn among those within 10% of the least. */
    private Server leastLoaded(Slice slice, String source, boolean spare) {
        List<Server> fit = new ArrayList<>();
        for (int pass = 0; pass < 3 && fit.isEmpty(); pass++) {
            int at = pass;
            servers.values().stream()
                    .filter(v -> v.usable()
                            && !slice.want.containsKey(v.id)
                            && !v.id.equals(source)
                            && (at > 0 || v.state == State.WELL)
                            && (spare ? warmth(v) >= 1 : at > 1 || fits(v, slice)))
                    .forEach(fit::add);
        }
        if (fit.isEmpty()) {
            return null;
        }
        // A spare is chosen as if a third of what it stands by for had come, so that spares spread.
        ToDoubleFunction<Server> rank = v -> v.score + (spare ? 0.3 * relative(v, v.spareDemand) : 0);
        double least = fit.stream().mapToDouble(rank).min().orElse(0);
        fit.removeIf(v -> rank.applyAsDouble(v) > least + 0.1 * Math.abs(least));
        return fit.get((int) Math.floorMod(robin++, (long) fit.size()));
    }

    // ---- Mending: every slice keeps a full line and a line to fall back on.

    /** A spare's part: enough to keep a connection and some keys warm, too little to cost anything. */
    private static final double SPARE = 0.03;

    private static final Comparator<Server> BY_SCORE = Comparator.comparingDouble(v -> v.score);

    private void mendAll() {
        // Nothing left to pick: what is listed ready must serve, ill or cold. And where most warm servers are
        // masked as ill, cold ones would get it all and be pushed over, so the ill serve.
        boolean none = servers.values().stream().noneMatch(Server::usable);
        List<Server> warm =
                servers.values().stream().filter(v -> v.ready && warmth(v) >= 1).toList();
        long ill = warm.stream().filter(v -> v.state == State.ILL).count();
        List<Server> needed = ill > warm.size() / 2 ? warm : List.of();
        (none ? servers.values() : needed)
                .stream()
                        .filter(v -> none && v.ready || v.state == State.ILL)
                        .toList()
                        .forEach(v -> step(v, Input.NEEDED));
        Arrays.stream(slices).filter(v -> v.mine).forEach(this::mend);
    }

    private void mend(Slice slice) {
        double top = top(slice);
        boolean bareSoon =
                slice.want.keySet().stream().allMatch(id -> servers.get(id).leaving());
        if (bareSoon && servers.values().stream().noneMatch(Server::usable)) {
            return;
        }
        slice.want.keySet().removeIf(id -> servers.get(id).leaving());
        List<Server> open = slice.want.keySet().stream()
                .map(servers::get)
                .filter(v -> !v.masked())
                .toList();
        boolean carried = open.stream().anyMatch(v -> slice.want.get(v.id) > top / 2);
        Server spare = open.stream().min(BY_SCORE).orElse(null);
        if (!carried) {
            // Orphan. The spare was the least-loaded server when it was chosen and has carried the slice
            // since the mask; it keeps it unless it is now above the mean.
            boolean keep = spare != null && fits(spare, slice) && spare.score <= meanScore() + sliceLoad(slice, spare);
            Server target = keep ? spare : leastLoaded(slice, null, false);
            target = target == null ? spare : target;
            if (target != null) {
                slice.want.replaceAll((id, weight) -> SPARE);
                slice.want.put(target.id, 1.0);
                moved(slice, null, target);
            }
        }
        if (!set.soleOwner()) {
            mendSpares(slice);
        }
    }

    /**
     * A slice hotter than a part of a server gets more full lines, fewer again when it cools. It halves the
     * warmth of the keys on each, so the bounds lie well apart and well above an ordinary slice.
     */
    private void spread(Slice slice, long usable) {
        double part = fleetDemand <= 0 ? 0 : ownPart * slice.demand / fleetDemand * usable;
        List<Server> lines = slice.want.keySet().stream()
                .filter(id -> full(slice, id))
                .map(servers::get)
                .toList();
        if (part / lines.size() > 0.5 && lines.size() < 4) {
            Server target = leastLoaded(slice, null, false);
            if (target != null && fits(target, slice)) {
                slice.want.put(target.id, top(slice));
                moved(slice, null, target);
            }
        } else if (lines.size() > 1 && part / (lines.size() - 1) < 0.3) {
            slice.want.remove(lines.stream().max(BY_SCORE).orElseThrow().id);
        }
    }

    private void mendSpares(Slice slice) {
        long usable = slice.want.keySet().stream()
                .filter(id -> !servers.get(id).masked())
                .count();
        if (usable < 2) {
            Server spare = leastLoaded(slice, null, true);
            if (spare != null) {
                slice.want.put(spare.id, SPARE * top(slice));
                spare.spareDemand += slice.demand;
            }
        } else if (usable > 2) {
            slice.want.keySet().stream()
                    .filter(id -> !full(slice, id))
                    .map(servers::get)
                    .filter(v -> v.state == State.WELL)
                    .max(BY_SCORE)
                    .ifPresent(v -> slice.want.remove(v.id));
        }
    }

    private double meanScore() {
        return servers.values().stream()
                .filter(Server::usable)
                .mapToDouble(v -> v.score)
                .average()
                .orElse(0);
    }

    // ---- Balancing, once a cycle.

    private static final long CYCLE = 5 * SECOND;
    private final ArrayDeque<Long> moveTimes = new ArrayDeque<>();

    private void balance() {
        if (now < cycleAt) {
            return;
        }
        cycleAt = now + CYCLE;
        // After a start: what stands is left alone until three rounds of sums have come.
        if (rounds < 3) {
            return;
        }
        List<Server> usable = servers.values().stream().filter(Server::usable).toList();
        // Looked for anew only once something moved: else each of many targets would cost a look at all.
        Server source = null;
        List<Slice> offered = List.of();
        long at = -1;
        long hold = HOLD;
        for (Server server : usable) {
            if (server.state == State.WELL && relative(server, server.demand) < 0.5) {
                // Guards a fleet most of which is replaced at once: its slices went to the few that stood,
                // and would stay while the fresh idle. It harms where strain passes by itself: keys go cold.
                long before = hold;
                hold = strained && idle(server) ? CYCLE : HOLD;
                source = at == moves ? source : usable.stream().max(BY_SCORE).orElseThrow();
                offered = at == moves && hold == before ? offered : movable(source, hold);
                at = moves;
                gain(server, source, offered);
            }
        }
        even(usable);
    }

    /** A fresh server, or one back from illness, gains a slice a cycle from the most loaded. */
    private void gain(Server target, Server source, List<Slice> offered) {
        offered.stream()
                .filter(v -> fits(target, v) && helps(v, source, target))
                .max(Comparator.comparingDouble(v -> v.demand))
                .ifPresent(v -> shift(v, source, target));
    }

    /**
     * Guards against the spiral of one overloaded server, whatever loads it (an uneven start, a hot slice,
     * lost speed): one that drops or lags well more than the middle one gives its heaviest helpful slice to
     * the least loaded, one a round of sums. It costs warm caches and empties a server whose trouble isn't
     * load.
     */
    private void relieve(Server source) {
        source.pressed = false;
        if (rounds < 3) {
            return;
        }
        Comparator<Slice> heaviest = Comparator.comparingDouble(v -> -v.demand);
        for (Slice slice : movable(source, HOLD).stream().sorted(heaviest).toList()) {
            Server target = leastLoaded(slice, source.id, false);
            if (target != null && fits(target, slice) && !target.pressed && helps(slice, source, target)) {
                shift(slice, source, target);
                return;
            }
        }
    }

    private void even(List<Server> usable) {
        double mean = meanScore();
        double deviation = Math.sqrt(usable.stream()
                .mapToDouble(v -> (v.score - mean) * (v.score - mean))
                .average()
                .orElse(0));
        while (!moveTimes.isEmpty() && now - moveTimes.peekFirst() > 60 * SECOND) {
            moveTimes.pollFirst();
        }
        if (deviation <= 0.3 * mean || moveTimes.size() >= 6) {
            return;
        }
        Slice lightest = null;
        Server from = null;
        for (Server source : usable) {
            if (source.score > mean + deviation) {
                for (Slice slice : movable(source, HOLD)) {
                    if (lightest == null || slice.demand < lightest.demand) {
                        lightest = slice;
                        from = source;
                    }
                }
            }
        }
        if (lightest != null) {
            Server target = leastLoaded(lightest, from.id, false);
            if (target != null && helps(lightest, from, target)) {
                shift(lightest, from, target);
                moveTimes.addLast(now);
            }
        }
    }

    private boolean helps(Slice slice, Server source, Server target) {
        return source != target && target.score + sliceLoad(slice, target) < source.score - sliceLoad(slice, source);
    }

    /** How long a slice stays where it came, as each move costs warm keys. */
    private static final long HOLD = 20 * SECOND;

    private List<Slice> movable(Server source, long hold) {
        return Arrays.stream(slices)
                .filter(v -> v.mine && full(v, source.id) && now - v.movedAt > hold)
                .toList();
    }

    private void shift(Slice slice, Server from, Server to) {
        slice.want.put(to.id, Math.max(1, top(slice)));
        slice.want.remove(from.id);
        moved(slice, from, to);
        log("move " + slice.number + " " + from.id + " -> " + to.id);
    }

    // ---- Deciding and sending.

    private void decide() {
        dirty = false;
        lined = null;
        for (Server server : servers.values()) {
            if (server.state == State.ILL && now >= server.holdUntil) {
                step(server, Input.HOLD_OVER);
            } else if (server.state == State.RETURNING && server.ready && noLineOn(server.id)) {
                step(server, Input.EMPTIED);
            }
        }
        weigh();
        mendAll();
        easeCold();
        if (newRound && rounds >= 3 && !set.soleOwner()) {
            long usable = servers.values().stream().filter(Server::usable).count();
            Arrays.stream(slices).filter(v -> v.mine).forEach(v -> spread(v, usable));
            newRound = false;
        }
        servers.values().stream().filter(v -> v.pressed && v.usable()).forEach(this::relieve);
        balance();
        push();
    }

    /** Servers that sent lines of own slices name, looked for once a decision and a push; null: not yet. */
    private Set<String> lined;

    private boolean noLineOn(String id) {
        if (lined == null) {
            lined = new HashSet<>();
            Arrays.stream(slices).filter(v -> v.mine).forEach(v -> lined.addAll(v.sent.keySet()));
        }
        return !lined.contains(id);
    }

    /**
     * 0: nothing is open to pick, or will be once a server that left is masked; 1: the full line's server is
     * masked, or is to be; 2: one line is open; 3: it can wait. An ill server's mask waits for the slice.
     */
    private int urgency(Slice slice) {
        double top = slice.sent.values().stream().max(Double::compare).orElse(0.0);
        List<Server> lines = slice.sent.keySet().stream().map(servers::get).toList();
        boolean held = lines.stream().allMatch(v -> v.leaving() || maskSent.contains(v.id));
        boolean headless = lines.stream().anyMatch(v -> v.masked() && slice.sent.get(v.id) > top / 2);
        boolean blocks = lines.stream().anyMatch(v -> v.leaving() && !maskSent.contains(v.id));
        long open = lines.stream().filter(v -> !v.masked()).count();
        return open == 0 && (held || blocks) ? 0 : headless ? 1 : open < 2 ? 2 : 3;
    }

    private void push() {
        Arrays.stream(slices).filter(v -> v.want.equals(v.sent)).forEach(v -> v.settledAt = now);
        lined = null;
        List<Slice> late = Arrays.stream(slices)
                .filter(v -> v.mine && !v.want.equals(v.sent))
                .toList();
        late.forEach(v -> v.urgency = urgency(v));
        List<Slice> due = late.stream()
                .sorted(Comparator.<Slice>comparingInt(v -> v.urgency)
                        .thenComparing(v -> v.settledAt)
                        .thenComparing(v -> v.number))
                .toList();
        List<Server> masks = servers.values().stream()
                .filter(v -> v.masked() && (masksDue.contains(v.id) || !maskSent.contains(v.id)) && !noLineOn(v.id))
                .sorted(Comparator.comparing(v -> maskSent.contains(v.id)))
                .toList();
        TreeSet<String> lifted = new TreeSet<>(maskSent);
        lifted.addAll(masksDue);
        lifted.removeIf(id -> servers.get(id).masked());
        // What the rules demand: a server that left, a slice with nothing open. Illness waits for its turn.
        boolean binding = masks.stream().anyMatch(Server::leaving) || !due.isEmpty() && urgency(due.get(0)) == 0;
        if (joined.isEmpty() || masks.isEmpty() && due.isEmpty() && lifted.isEmpty() && !levelsDue) {
            return;
        }
        // Guards the queue where proxies come by the hundred: a turn reaches all that have joined by then,
        // known here or not, so it is sized for as many as there are. It harms where some can't reach us for
        // long: turns are smaller than they need be.
        int reach = Math.max(joined.size(), set.proxies());
        // Unacknowledged lines count as queued but for a credit of most of the usual pace, as an answer takes
        // its time; the credit is bound, so that a channel just become slow stays under its limit too (0.9).
        // The ordinary fills no more than goes out in a quarter of the grace: a drain queues behind it.
        double ahead = set.linesPerS() * set.graceNs() / SECOND / 4 / set.queueLimit();
        double ordinary = Math.min(0.48, ahead);
        double part = binding ? 0.7 : ordinary;
        double waiting =
                turns.stream().mapToDouble(v -> v.linesEach * v.waiting.size()).sum();
        long age = turns.isEmpty() ? 0 : now - turns.peekFirst().sentAt;
        double known = (binding ? 0.2 : 0.37) * set.queueLimit();
        double credit = Math.min(known, 0.8 * set.linesPerS() * age / SECOND);
        double heads = set.head() + 1 + levelLines;
        double most = set.queueLimit() * part / reach - heads;
        double lines = most - Math.max(0, waiting - credit) / reach;
        // A turn costs its heads: it waits until most of what it needs has room, but never for ever.
        long bare = due.stream().filter(v -> urgency(v) == 0).count();
        double worth = binding
                ? Math.min(masks.size() + bare, 0.4 * most)
                : Math.min(masks.size() + lifted.size() + 2 * due.size(), 0.6 * most);
        if (!mayTurn(binding) || lines < worth && !turns.isEmpty()) {
            dirty |= binding;
            return;
        }
        send(due, masks, lifted, lines, lines - (part - ordinary) * set.queueLimit() / reach);
    }

    private boolean mayTurn(boolean binding) {
        // Without a limit on messages four ordinary turns a second; with one, half of what it allows.
        long gap = set.messagesAllowed() > 0 ? 2 * set.messagesSpanNs() / set.messagesAllowed() : 250 * MS;
        while (!turnTimes.isEmpty() && now - turnTimes.peekFirst() > set.messagesSpanNs()) {
            turnTimes.pollFirst();
        }
        // The other half is kept for drains and orphans, a tenth for the unforeseen.
        return now - lastTurn >= (binding ? 200 * MS : gap)
                && (set.messagesAllowed() == 0 || turnTimes.size() < set.messagesAllowed() * (binding ? 0.9 : 0.5));
    }

    private int levelLines;

    private void send(List<Slice> due, List<Server> masks, TreeSet<String> lifted, double lines, double rest) {
        int before = out.size();
        double full = before + Math.max(1, lines);
        if (levelsDue) {
            levelsDue = false;
            levelLines = setLevels();
        }
        // Guards the grace where much of the fleet goes at once: a line for each slice that would be bare,
        // then the masks that leave none bare, and only then all else, old lines of masked servers too.
        // The masks keep up to half of the room, and what has none waits for the next turn: after a restart
        // or a giving all masks are said again, and beyond the turn's size they would overfill the channel.
        // It harms where more servers leave at once than a turn holds: the last masks come a turn later.
        double tops = full - Math.min(masks.size(), (full - before) / 2);
        due.stream().filter(v -> urgency(v) == 0 && out.size() < tops).forEach(this::sendTop);
        // A mask that stands though its server serves again could hold up the mask of one that left.
        for (String id : lifted) {
            if (out.size() < (maskSent.contains(id) ? full : before + rest)) {
                out.add(new Order.Mask(id, false));
                maskSent.remove(id);
                masksDue.remove(id);
            }
        }
        // Guards the grace where much of the fleet goes at once and the channel is full: a mask that would
        // leave a slice bare waits for its line, but no longer than a sixth of the grace. The rest is for the
        // turn, the queue and the way. A bare slice's flows would find nobody at a server that left; its line
        // goes first in the next turn. It harms where a draining server would have served them still.
        for (Server server : masks) {
            if (out.size() >= full) {
                break;
            }
            if (server.leaving() && now - server.bindsSince > set.graceNs() / 6 || !leavesBare(server.id)) {
                out.add(new Order.Mask(server.id, true));
                maskSent.add(server.id);
                everMasked.add(server.id);
                masksDue.remove(server.id);
            }
        }
        due.stream()
                .filter(v -> out.size() < before + rest || out.size() == before && turns.isEmpty())
                .forEach(v -> sendSlice(v, false));
        due.stream().filter(v -> out.size() < before + rest).forEach(v -> sendSlice(v, true));
        if (out.size() > before) {
            mark = (mark + 1) % 65536;
            // Guards against a turn that nobody answers, which would hold up all that follow: its slices
            // were taken away meanwhile, or no table has its masks. A turn counts for every proxy, so all are
            // asked; it harms by a head for each proxy where a turn would have reached none.
            out.add(new Order.Mark(mark, true));
            double each = set.head() + out.size() - before + levelLines;
            turns.addLast(new Turn(mark, now, each, new TreeSet<>(joined)));
            turnTimes.addLast(now);
            lastTurn = now;
        }
    }

    /** The heaviest of the new lines alone: what a slice needs so as not to be bare. */
    private void sendTop(Slice slice) {
        slice.want.entrySet().stream()
                .filter(v -> !servers.get(v.getKey()).masked())
                .max(Map.Entry.comparingByValue())
                .ifPresent(v -> sendLine(slice, v.getKey(), v.getValue()));
    }

    /** New lines and old ones; old lines of masked servers cost nothing but their place and go last. */
    private void sendSlice(Slice slice, boolean all) {
        slice.want.forEach((id, weight) -> sendLine(slice, id, weight));
        List.copyOf(slice.sent.keySet()).stream()
                .filter(id -> !slice.want.containsKey(id) && (all || !maskSent.contains(id)))
                .forEach(id -> sendLine(slice, id, 0));
    }

    private void sendLine(Slice slice, String id, double weight) {
        if (weight != slice.sent.getOrDefault(id, 0.0)) {
            out.add(new Order.SetLine(slice.number, id, weight));
            slice.sent.put(id, weight);
        }
        slice.sent.remove(id, 0.0);
    }

    private boolean leavesBare(String id) {
        return servers.values().stream().anyMatch(Server::usable)
                && Arrays.stream(slices)
                        .anyMatch(v -> v.mine
                                && v.sent.containsKey(id)
                                && v.sent.keySet().stream().allMatch(s -> s.equals(id) || maskSent.contains(s)));
    }

    /**
     * States the way of trying again, on proof that the first never ran: a repeat then can't take effect
     * twice, nor double the work of servers that are late already, which is how overload turns into collapse.
     */
    private int setLevels() {
        TreeMap<Double, Integer> levels = new TreeMap<>();
        for (int i = 0; i < set.groups().size(); i++) {
            levels.merge(level(i), 1 << i, Integer::sum);
        }
        levels.forEach((level, groups) -> out.add(new Order.SetLevel(
                Order.ALL_TABLES, groups, level, strained || crowded ? Retry.NEVER : Retry.ON_PROOF)));
        return levels.size();
    }
}
