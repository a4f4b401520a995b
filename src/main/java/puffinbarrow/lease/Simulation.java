package puffinbarrow.lease;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.TreeMap;
import org.HdrHistogram.Histogram;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/**
 * Plays lease cores, a store, and proxies that know the fence, in simulated time: kills, pauses, splits, delays, lost
 * answers, doubled and late orders, clocks that run apart. The same plan gives the same run. It looks for two voices,
 * terms that go back, orders that take effect twice, and at the end, all healed, for slices without their voice.
 */
public final class Simulation {
    public enum Kind {
        KILL,
        PAUSE,
        CUT,
        STORE_DOWN,
        STORE_SLOW,
        ANSWERS_LOST,
        FLAP,
        LEAVE,
        JUMP
    }

    /** Something that goes wrong; number is the member concerned. */
    public record Fault(Kind kind, long atNs, long forNs, int number) {}

    /**
     * @param drift the most by which clocks differ in rate, as a part
     * @param jumps clocks may jump too: then two may speak at once for a while, and only the fence is looked at
     */
    public record Plan(
            long seed,
            int members,
            int slices,
            int proxies,
            long leaseNs,
            long lengthNs,
            double drift,
            boolean jumps,
            List<Fault> faults) {}

    /** What came of it; broken is null if all held. */
    public record Outcome(
            String broken,
            long steps,
            Histogram silentMs,
            long writes,
            long moves,
            long refused,
            long doubled,
            int unevenness) {}

    private record Event(long atNs, long number, Runnable work) implements Comparable<Event> {
        @Override
        public int compareTo(Event other) {
            return atNs != other.atNs ? Long.compare(atNs, other.atNs) : Long.compare(number, other.number);
        }
    }

    private record Record(long revision, Object value) {}

    private record Order(int slice, long term, int from, long sequence) {}

    /** Quiet time at the end in which all must settle: the longest wait of a flapping member and some leases more. */
    private static final int QUIET_LEASES = 46;

    private static final long MS = 1_000_000;

    private final Plan plan;
    private final Set<Lease.Guard> without;
    private final boolean fenced;
    private final UniformRandomProvider chance;
    private final PriorityQueue<Event> queue = new PriorityQueue<>();
    private final Map<String, Record> store = new TreeMap<>();
    private final Host[] hosts;
    private final Proxy[] proxies;
    private final Map<Long, String> claims = new HashMap<>();
    private final long[] silentSince;
    private final int[] speakers;
    private final Histogram silent = new Histogram(3_600_000, 3);
    private long now, events, revisions, incarnations = 1, sequence;
    private boolean storeDown;
    private double storeSlow = 1;
    private long writes, moves, refused, doubled;
    private String broken;

    private Simulation(Plan plan, Set<Lease.Guard> without, boolean fenced) {
        this.plan = plan;
        this.without = without;
        this.fenced = fenced;
        this.chance = RandomSource.XO_RO_SHI_RO_128_PP.create(plan.seed);
        this.hosts = new Host[plan.members];
        this.proxies = new Proxy[plan.proxies];
        this.silentSince = new long[plan.slices];
        this.speakers = new int[plan.slices];
        Arrays.fill(speakers, -1);
        for (int i = 0; i < proxies.length; i++) {
            proxies[i] = new Proxy();
        }
    }

    public static Outcome run(Plan plan) {
        return run(plan, Set.of(), true);
    }

    static Outcome run(Plan plan, Set<Lease.Guard> without, boolean fenced) {
        return new Simulation(plan, without, fenced).play();
    }

    /** A plan with faults drawn from the seed. */
    public static Plan plan(
            long seed, int members, int slices, long leaseNs, long lengthNs, double drift, boolean jumps) {
        UniformRandomProvider chance = RandomSource.XO_RO_SHI_RO_128_PP.create(seed * 31 + 7);
        List<Fault> faults = new ArrayList<>();
        // About one every three leases, so that troubles overlap.
        for (long at = 3 * leaseNs; at < lengthNs; at += (long) (leaseNs * 6 * chance.nextDouble())) {
            Kind kind = Kind.values()[chance.nextInt(Kind.values().length - (jumps ? 0 : 1))];
            long lasts = (long) (leaseNs * (0.2 + 8 * chance.nextDouble() * chance.nextDouble()));
            faults.add(new Fault(kind, at, lasts, chance.nextInt(members)));
        }
        return new Plan(seed, members, slices, 4, leaseNs, lengthNs, drift, jumps, faults);
    }

    /** The smallest set of the plan's faults that still breaks it. */
    static Plan shrink(Plan plan, Set<Lease.Guard> without, boolean fenced) {
        Plan least = plan;
        boolean smaller = true;
        while (smaller) {
            smaller = false;
            for (int i = 0; i < least.faults.size(); i++) {
                List<Fault> fewer = new ArrayList<>(least.faults);
                fewer.remove(i);
                Plan next = new Plan(
                        plan.seed,
                        plan.members,
                        plan.slices,
                        plan.proxies,
                        plan.leaseNs,
                        plan.lengthNs,
                        plan.drift,
                        plan.jumps,
                        fewer);
                if (run(next, without, fenced).broken() != null) {
                    least = next;
                    smaller = true;
                    break;
                }
            }
        }
        return least;
    }

    public static Plan shrink(Plan plan) {
        return shrink(plan, Set.of(), true);
    }

    // ---- Time.

    private void at(long atNs, Runnable work) {
        queue.add(new Event(Math.max(now, atNs), events++, work));
    }

    private void after(double ns, Runnable work) {
        at(now + (long) ns, work);
    }

    private Outcome play() {
        for (int i = 0; i < hosts.length; i++) {
            hosts[i] = new Host(i);
            Host host = hosts[i];
            after(plan.leaseNs * 0.3 * chance.nextDouble(), host::start);
        }
        for (Fault fault : plan.faults) {
            at(fault.atNs, () -> strike(fault));
        }
        long end = plan.lengthNs + QUIET_LEASES * plan.leaseNs;
        long steps = 0;
        while (!queue.isEmpty() && broken == null && queue.peek().atNs <= end) {
            Event event = queue.poll();
            now = event.atNs;
            steps++;
            event.work.run();
        }
        int unevenness = broken == null ? settled() : 0;
        return new Outcome(broken, steps, silent, writes, moves, refused, doubled, unevenness);
    }

    private void fail(String text) {
        if (broken == null) {
            broken = String.format(Locale.ROOT, "at %.3f s: %s", now / 1e9, text);
        }
    }

    /** All healed: each slice has the voice that the shares of the living say. */
    private int settled() {
        List<Integer> there = new ArrayList<>();
        for (Host host : hosts) {
            if (host.lease != null && !host.leaving) {
                there.add(host.number);
            }
        }
        int[] shares = Shares.of(plan.slices, there);
        int[] held = new int[hosts.length];
        for (int slice = 0; slice < plan.slices; slice++) {
            int speaking = -1;
            for (Host host : hosts) {
                if (host.speaks(slice)) {
                    speaking = host.number;
                    held[host.number]++;
                }
            }
            if (speaking != shares[slice]) {
                fail("slice " + slice + " is spoken for by " + speaking + " after all has healed, expected "
                        + shares[slice]);
                return 0;
            }
        }
        return there.stream().mapToInt(i -> held[i]).max().orElse(0)
                - there.stream().mapToInt(i -> held[i]).min().orElse(0);
    }

    // ---- Faults.

    private void strike(Fault fault) {
        Host host = hosts[fault.number];
        switch (fault.kind) {
            case KILL -> {
                host.die();
                after(fault.forNs, host::start);
            }
            case PAUSE -> {
                host.paused++;
                after(fault.forNs, host::wake);
            }
            case CUT -> {
                host.cut++;
                host.streamEnds();
                after(fault.forNs, () -> {
                    host.cut--;
                    host.dial();
                });
            }
            case STORE_DOWN -> {
                storeDown = true;
                for (Host each : hosts) {
                    each.streamEnds();
                }
                after(Math.min(fault.forNs, 2.0 * plan.leaseNs), () -> {
                    storeDown = false;
                    for (Host each : hosts) {
                        each.dial();
                    }
                });
            }
            case STORE_SLOW -> {
                // Up to 1.1 s on the way: later than the margin of any lease.
                storeSlow = 100;
                after(fault.forNs, () -> storeSlow = 1);
            }
            case ANSWERS_LOST -> {
                host.deafTo++;
                after(fault.forNs, () -> host.deafTo--);
            }
            case FLAP -> {
                // Joining and leaving several times in a row.
                for (int i = 0; i < 4; i++) {
                    after(i * 0.8 * plan.leaseNs, host::die);
                    after(i * 0.8 * plan.leaseNs + 0.4 * plan.leaseNs, host::start);
                }
            }
            case LEAVE -> {
                host.leave();
                // Long enough to hand all on; then the process ends and comes back.
                after(6.0 * plan.leaseNs, host::die);
                after(8.0 * plan.leaseNs, host::start);
            }
                // Forward or back by as much as it would last.
            case JUMP -> host.offset += fault.atNs % 2 == 0 ? fault.forNs : -fault.forNs;
            default -> throw new IllegalStateException(fault.kind.name());
        }
    }

    // ---- One coordinator's process and its stream to the store.

    private final class Host {
        final int number;
        final double rate;
        final List<Runnable> asleep = new ArrayList<>();
        final List<Order> outbound = new ArrayList<>();
        Lease lease;
        boolean leaving;
        int paused, cut, deafTo;
        /** Counts processes and streams: what belongs to a former one is lost. */
        int life, stream;

        boolean up;
        long lastDelivery, offset;

        Host(int number) {
            this.number = number;
            this.rate = 1 + plan.drift * (2 * chance.nextDouble() - 1);
        }

        long local() {
            return (long) (now * rate) + number * 7919L * MS + offset;
        }

        void start() {
            if (lease != null) {
                return;
            }
            life++;
            leaving = false;
            lease = new Lease(
                    new Lease.Settings(number, plan.slices, plan.leaseNs, Math.max(4, plan.slices / 20)),
                    incarnations++ << 20,
                    without);
            outbound.clear();
            dial();
            tick(life);
            speak(life);
        }

        void die() {
            if (lease != null) {
                for (int i = 0; i < plan.slices; i++) {
                    quiet(i, number);
                }
            }
            lease = null;
            life++;
            streamEnds();
            asleep.clear();
            outbound.clear();
        }

        void leave() {
            if (lease != null) {
                leaving = true;
                run(() -> carry(lease.leave(local())));
            }
        }

        void wake() {
            if (--paused > 0) {
                return;
            }
            // What lay in the outbound queue leaves before the process has looked at its clock.
            List.copyOf(outbound).forEach(Simulation.this::send);
            outbound.clear();
            List<Runnable> missed = List.copyOf(asleep);
            asleep.clear();
            missed.forEach(Runnable::run);
        }

        /** On the process's own thread: at once, or when it runs again. */
        void run(Runnable work) {
            int mine = life;
            Runnable guarded = () -> {
                if (life == mine && lease != null) {
                    work.run();
                }
            };
            if (paused > 0) {
                asleep.add(guarded);
            } else {
                guarded.run();
            }
        }

        void tick(int mine) {
            if (mine != life) {
                return;
            }
            run(() -> carry(lease.tick(local())));
            after(plan.leaseNs / 20.0, () -> tick(mine));
        }

        boolean speaks(int slice) {
            return lease != null
                    && lease.speaks(slice)
                    && (local() < lease.speakUntilNs() || without.contains(Lease.Guard.STOPS_WHEN_LAPSED));
        }

        /** Sends orders now and then for what it speaks for. */
        void speak(int mine) {
            if (mine != life) {
                return;
            }
            int slice = chance.nextInt(plan.slices);
            if (paused > 0) {
                // The queue as it was when the process was stopped.
                if (speaks(slice) && outbound.size() < 20) {
                    outbound.add(new Order(slice, lease.term(slice), number, sequence++));
                }
            } else if (speaks(slice)) {
                send(new Order(slice, lease.term(slice), number, sequence++));
            }
            after(plan.leaseNs / 15.0 * chance.nextDouble(), () -> speak(mine));
        }

        void streamEnds() {
            stream++;
            if (up) {
                up = false;
                if (lease != null) {
                    run(() -> carry(lease.disconnected(local())));
                }
            }
        }

        void dial() {
            if (lease == null || cut > 0 || storeDown || up) {
                return;
            }
            up = true;
            int mine = ++stream;
            lastDelivery = now;
            deliver(mine, () -> carry(lease.connected(local())));
            store.forEach((key, record) -> deliver(mine, () -> carry(seen(key, record))));
            deliver(mine, () -> carry(lease.synced(local())));
        }

        /** In order on the stream, each after some time. */
        void deliver(int mine, Runnable work) {
            if (mine != stream || !up) {
                return;
            }
            lastDelivery = Math.max(
                    lastDelivery, now + (long) ((1 + 10 * chance.nextDouble() * chance.nextDouble()) * MS * storeSlow));
            int stands = life;
            at(lastDelivery, () -> {
                if (mine == stream && stands == life) {
                    run(work);
                }
            });
        }

        List<Step> seen(String key, Record record) {
            return key.startsWith("m")
                    ? lease.member(local(), record.revision, (Member) record.value)
                    : lease.voice(local(), Integer.parseInt(key.substring(1)), record.revision, (Voice) record.value);
        }

        void carry(List<Step> steps) {
            for (Step step : steps) {
                if (step instanceof Step.Write write) {
                    if (up) {
                        int mine = stream;
                        after(
                                (1 + 10 * chance.nextDouble() * chance.nextDouble()) * MS * storeSlow,
                                () -> arrives(this, mine, write));
                    }
                } else if (step instanceof Step.Begin begin) {
                    begins(this, begin);
                } else if (step instanceof Step.End end) {
                    quiet(end.slice(), number);
                }
            }
        }
    }

    private void begins(Host host, Step.Begin begin) {
        String claim = host.number + "/" + host.lease.incarnation();
        String before = claims.putIfAbsent((long) begin.slice() << 32 | begin.term(), claim);
        if (before != null && !before.equals(claim)) {
            fail("term " + begin.term() + " of slice " + begin.slice() + " has two voices, " + before + " and "
                    + claim);
        }
        for (Host other : hosts) {
            if (other != host && other.speaks(begin.slice()) && !plan.jumps) {
                fail("slice " + begin.slice() + ": " + host.number + " speaks while " + other.number + " may, until "
                        + (other.lease.speakUntilNs() - other.local()) / 1e6 + " ms from now by its clock");
            }
        }
        if (speakers[begin.slice()] < 0 && silentSince[begin.slice()] > 0) {
            silent.recordValue(Math.min(3_600_000, (now - silentSince[begin.slice()]) / MS));
        }
        moves++;
        speakers[begin.slice()] = host.number;
    }

    private void quiet(int slice, int number) {
        if (speakers[slice] == number) {
            speakers[slice] = -1;
            silentSince[slice] = now;
        }
    }

    // ---- The store.

    private void arrives(Host from, int stream, Step.Write write) {
        if (storeDown) {
            return;
        }
        writes++;
        String key = write instanceof Step.WriteMember m
                ? "m" + m.value().number()
                : "v" + ((Step.WriteVoice) write).slice();
        Object value = write instanceof Step.WriteMember w ? w.value() : ((Step.WriteVoice) write).value();
        Record record = store.getOrDefault(key, new Record(0, null));
        boolean applied = write.expected() == record.revision || write.expected() < 0;
        if (applied) {
            if (value instanceof Voice voice
                    && record.value instanceof Voice before
                    && voice.term() <= before.term()
                    && fenced) {
                fail("slice " + key + ": the store is told term " + voice.term() + " after " + before.term());
            }
            Record next = new Record(++revisions, value);
            store.put(key, next);
            for (Host host : hosts) {
                host.deliver(host.stream, () -> host.carry(host.seen(key, next)));
            }
            if (value instanceof Voice voice) {
                for (Proxy proxy : proxies) {
                    after(
                            (5 + 200 * chance.nextDouble()) * MS,
                            () -> proxy.told(Integer.parseInt(key.substring(1)), voice.term()));
                }
            }
        }
        if (from.deafTo == 0 || chance.nextDouble() < 0.3) {
            Record after = store.getOrDefault(key, record);
            if (!applied && after.revision > 0) {
                from.deliver(stream, () -> from.carry(from.seen(key, after)));
            }
            from.deliver(stream, () -> from.carry(from.lease.answered(from.local(), write.id(), applied)));
        }
    }

    // ---- Proxies.

    private void send(Order order) {
        for (Proxy proxy : proxies) {
            after((2 + 100 * chance.nextDouble()) * MS, () -> proxy.take(order));
            if (chance.nextDouble() < 0.05) {
                // A forwarder that slept and sends it on once more, much later.
                after(plan.leaseNs * 4 * chance.nextDouble(), () -> proxy.take(order));
            }
        }
    }

    private final class Proxy {
        final Map<Integer, Long> terms = new HashMap<>();
        final Map<Integer, Long> effective = new HashMap<>();
        final Map<Integer, Long> last = new HashMap<>();

        void told(int slice, long term) {
            terms.merge(slice, term, Math::max);
        }

        void take(Order order) {
            long known = terms.getOrDefault(order.slice, 0L);
            if (fenced && order.term < known) {
                refused++;
                Host from = hosts[order.from];
                if (from.lease != null) {
                    from.run(() -> from.carry(from.lease.toldStale(from.local(), order.slice, known)));
                }
                return;
            }
            terms.put(order.slice, Math.max(known, order.term));
            long before = effective.getOrDefault(order.slice, 0L);
            if (order.term < before) {
                fail("a proxy takes an order of term " + order.term + " for slice " + order.slice + " after " + before);
            }
            if (order.term == before && order.sequence <= last.getOrDefault(order.slice, -1L)) {
                doubled++;
                return;
            }
            effective.put(order.slice, order.term);
            last.put(order.slice, order.sequence);
        }
    }
}
