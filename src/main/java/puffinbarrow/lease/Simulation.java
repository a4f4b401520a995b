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
 * Deterministic simulation of several {@link Lease} instances, a store, and proxies that fence by term. It injects
 * process kills, pauses, partitions, delays, lost answers, duplicated and late orders, and clocks of different rates.
 * The same plan gives the same run. It checks that a slice never has two owners, that terms never decrease, that no
 * order takes effect twice, and that after all faults have ended each slice has the owner that the assignment names.
 * Tests and the lease benchmark run it on a single thread.
 */
public final class Simulation {
    /** The kind of an injected fault. JUMP is last, because plans without clock jumps draw from the kinds before it. */
    public enum Kind {
        KILL,
        PAUSE,
        /** The member is cut off from the store. */
        CUT,
        STORE_DOWN,
        STORE_SLOW,
        ANSWERS_LOST,
        FLAP,
        LEAVE,
        /** The member's clock jumps. */
        JUMP
    }

    /**
     * An injected fault.
     *
     * @param atNs when it begins, in simulated time
     * @param forNs how long it lasts
     * @param number the member concerned
     */
    public record Fault(Kind kind, long atNs, long forNs, int number) {}

    /**
     * Parameters of one run.
     *
     * @param seed the seed of all random choices
     * @param members the number of coordinators
     * @param slices the number of slices
     * @param proxies the number of proxies
     * @param leaseNs the length of a lease
     * @param lengthNs how long faults are injected; a recovery period follows
     * @param drift the largest deviation of a member's clock rate from 1, for example 0.05
     * @param jumps whether clocks may also jump: two members may then act as owners for a while, and only fencing is
     *     checked
     * @param faults the faults to inject
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

    /**
     * Result of a run.
     *
     * @param violation the first violation found, or null
     * @param steps the number of simulated events
     * @param ownerlessMs how long slices had no owner between two owners, in milliseconds
     * @param writes the number of writes that reached the store
     * @param ownerChanges the number of times a member became the owner of a slice
     * @param refused the number of orders that proxies refused for an old term
     * @param duplicatesIgnored the number of repeated or late orders of the current term that proxies ignored
     * @param imbalance the difference between the most and the fewest slices held by a running member at the end
     */
    public record Outcome(
            String violation,
            long steps,
            Histogram ownerlessMs,
            long writes,
            long ownerChanges,
            long refused,
            long duplicatesIgnored,
            int imbalance) {}

    private record ScheduledEvent(long atNs, long number, Runnable action) implements Comparable<ScheduledEvent> {
        @Override
        public int compareTo(ScheduledEvent other) {
            return atNs != other.atNs ? Long.compare(atNs, other.atNs) : Long.compare(number, other.number);
        }
    }

    /** A member's or slice's record in the store, with its revision. */
    private record StoredRecord(long revision, Object value) {}

    /** An order that a member sends to all proxies; {@code sequence} grows with each order sent. */
    private record SimulatedOrder(int slice, long term, int from, long sequence) {}

    /** Fault-free period at the end, in leases: the longest wait after flapping (32) and some more to settle. */
    private static final int RECOVERY_LEASES = 46;

    private static final long MS = 1_000_000;

    private final Plan plan;
    private final Set<Lease.Guard> disabledGuards;
    private final boolean fencing;
    private final UniformRandomProvider random;
    private final PriorityQueue<ScheduledEvent> queue = new PriorityQueue<>();
    private final Map<String, StoredRecord> store = new TreeMap<>();
    private final Host[] hosts;
    private final Proxy[] proxies;
    /** The incarnation that owned a slice, by slice number (upper 32 bits) and term. */
    private final Map<Long, String> ownerByTerm = new HashMap<>();

    private final long[] ownerlessSinceNs;
    private final int[] owners;
    private final Histogram ownerlessMs = new Histogram(3_600_000, 3);
    private long now;
    private long nextEvent;
    private long lastRevision;
    private long nextIncarnation = 1;
    private long nextSequence;
    private boolean storeDown;
    private double storeDelayFactor = 1;
    private long writes;
    private long ownerChanges;
    private long refused;
    private long duplicatesIgnored;
    private String violation;

    private Simulation(Plan plan, Set<Lease.Guard> disabledGuards, boolean fencing) {
        this.plan = plan;
        this.disabledGuards = disabledGuards;
        this.fencing = fencing;
        this.random = RandomSource.XO_RO_SHI_RO_128_PP.create(plan.seed);
        this.hosts = new Host[plan.members];
        this.proxies = new Proxy[plan.proxies];
        this.ownerlessSinceNs = new long[plan.slices];
        this.owners = new int[plan.slices];
        Arrays.fill(owners, -1);
        for (int i = 0; i < proxies.length; i++) {
            proxies[i] = new Proxy();
        }
    }

    /** Runs the plan with all guards and with fencing. */
    public static Outcome run(Plan plan) {
        return run(plan, Set.of(), true);
    }

    static Outcome run(Plan plan, Set<Lease.Guard> disabledGuards, boolean fencing) {
        return new Simulation(plan, disabledGuards, fencing).play();
    }

    /** Returns a plan with random faults drawn from the seed. */
    public static Plan plan(
            long seed, int members, int slices, long leaseNs, long lengthNs, double drift, boolean jumps) {
        UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed * 31 + 7);
        List<Fault> faults = new ArrayList<>();
        // On average one every three leases, so that faults overlap.
        for (long at = 3 * leaseNs; at < lengthNs; at += (long) (leaseNs * 6 * random.nextDouble())) {
            Kind kind = Kind.values()[random.nextInt(Kind.values().length - (jumps ? 0 : 1))];
            long durationNs = (long) (leaseNs * (0.2 + 8 * random.nextDouble() * random.nextDouble()));
            faults.add(new Fault(kind, at, durationNs, random.nextInt(members)));
        }
        return new Plan(seed, members, slices, 4, leaseNs, lengthNs, drift, jumps, faults);
    }

    /** Removes faults from a failing plan one by one while the run still fails. */
    static Plan shrink(Plan plan, Set<Lease.Guard> disabledGuards, boolean fencing) {
        Plan smallest = plan;
        boolean reduced = true;
        while (reduced) {
            reduced = false;
            for (int i = 0; i < smallest.faults.size(); i++) {
                List<Fault> remaining = new ArrayList<>(smallest.faults);
                remaining.remove(i);
                Plan candidate = new Plan(
                        plan.seed,
                        plan.members,
                        plan.slices,
                        plan.proxies,
                        plan.leaseNs,
                        plan.lengthNs,
                        plan.drift,
                        plan.jumps,
                        remaining);
                if (run(candidate, disabledGuards, fencing).violation() != null) {
                    smallest = candidate;
                    reduced = true;
                    break;
                }
            }
        }
        return smallest;
    }

    /** Reduces a failing plan, run with all guards and with fencing. */
    public static Plan shrink(Plan plan) {
        return shrink(plan, Set.of(), true);
    }

    // ---- Event loop.

    private void at(long atNs, Runnable action) {
        queue.add(new ScheduledEvent(Math.max(now, atNs), nextEvent++, action));
    }

    private void after(double ns, Runnable action) {
        at(now + (long) ns, action);
    }

    private Outcome play() {
        for (int i = 0; i < hosts.length; i++) {
            hosts[i] = new Host(i);
            Host host = hosts[i];
            after(plan.leaseNs * 0.3 * random.nextDouble(), host::start);
        }
        for (Fault fault : plan.faults) {
            at(fault.atNs, () -> inject(fault));
        }
        long end = plan.lengthNs + RECOVERY_LEASES * plan.leaseNs;
        long steps = 0;
        while (!queue.isEmpty() && violation == null && queue.peek().atNs <= end) {
            ScheduledEvent event = queue.poll();
            now = event.atNs;
            steps++;
            event.action.run();
        }
        int imbalance = violation == null ? checkFinalState() : 0;
        return new Outcome(violation, steps, ownerlessMs, writes, ownerChanges, refused, duplicatesIgnored, imbalance);
    }

    /** Records the first violation; the run ends with it. */
    private void fail(String text) {
        if (violation == null) {
            violation = String.format(Locale.ROOT, "at %.3f s: %s", now / 1e9, text);
        }
    }

    /** Checks that each slice has its assigned owner among the running members; returns the imbalance. */
    private int checkFinalState() {
        List<Integer> running = new ArrayList<>();
        for (Host host : hosts) {
            if (host.lease != null && !host.leaving) {
                running.add(host.number);
            }
        }
        int[] assignment = SliceAssignment.of(plan.slices, running);
        int[] held = new int[hosts.length];
        for (int slice = 0; slice < plan.slices; slice++) {
            int owner = -1;
            for (Host host : hosts) {
                if (host.isOwner(slice)) {
                    owner = host.number;
                    held[host.number]++;
                }
            }
            if (owner != assignment[slice]) {
                fail("slice " + slice + " is owned by " + owner + " after recovery, expected " + assignment[slice]);
                return 0;
            }
        }
        return running.stream().mapToInt(i -> held[i]).max().orElse(0)
                - running.stream().mapToInt(i -> held[i]).min().orElse(0);
    }

    // ---- Faults.

    private void inject(Fault fault) {
        Host host = hosts[fault.number];
        switch (fault.kind) {
            case KILL -> {
                host.kill();
                after(fault.forNs, host::start);
            }
            case PAUSE -> {
                host.pauses++;
                after(fault.forNs, host::resume);
            }
            case CUT -> {
                host.partitions++;
                host.disconnect();
                after(fault.forNs, () -> {
                    host.partitions--;
                    host.connect();
                });
            }
            case STORE_DOWN -> {
                storeDown = true;
                for (Host each : hosts) {
                    each.disconnect();
                }
                after(Math.min(fault.forNs, 2.0 * plan.leaseNs), () -> {
                    storeDown = false;
                    for (Host each : hosts) {
                        each.connect();
                    }
                });
            }
            case STORE_SLOW -> {
                // Up to 1.1 s one way, which exceeds the clock margin of any lease.
                storeDelayFactor = 100;
                after(fault.forNs, () -> storeDelayFactor = 1);
            }
            case ANSWERS_LOST -> {
                host.answerLossFaults++;
                after(fault.forNs, () -> host.answerLossFaults--);
            }
            case FLAP -> {
                // Starts and stops several times in a row.
                for (int i = 0; i < 4; i++) {
                    after(i * 0.8 * plan.leaseNs, host::kill);
                    after(i * 0.8 * plan.leaseNs + 0.4 * plan.leaseNs, host::start);
                }
            }
            case LEAVE -> {
                host.leave();
                // Time enough to hand over all slices; then the process ends and starts again.
                after(6.0 * plan.leaseNs, host::kill);
                after(8.0 * plan.leaseNs, host::start);
            }
                // Forward or back by the fault's duration.
            case JUMP -> host.clockOffsetNs += fault.atNs % 2 == 0 ? fault.forNs : -fault.forNs;
            default -> throw new IllegalStateException(fault.kind.name());
        }
    }

    // ---- A coordinator process and its stream to the store.

    /** One coordinator: its process with a {@link Lease}, its clock, and its stream to the store. */
    private final class Host {
        final int number;
        final double clockRate;
        final List<Runnable> deferred = new ArrayList<>();
        final List<SimulatedOrder> outbound = new ArrayList<>();
        Lease lease;
        boolean leaving;
        int pauses;
        int partitions;
        int answerLossFaults;
        /** Incremented with each process and stream: events of an earlier one are discarded. */
        int processNumber;

        int streamNumber;

        boolean connected;
        long lastDeliveryNs;
        long clockOffsetNs;

        Host(int number) {
            this.number = number;
            this.clockRate = 1 + plan.drift * (2 * random.nextDouble() - 1);
        }

        long localTime() {
            return (long) (now * clockRate) + number * 7919L * MS + clockOffsetNs;
        }

        void start() {
            if (lease != null) {
                return;
            }
            processNumber++;
            leaving = false;
            lease = new Lease(
                    new Lease.Settings(number, plan.slices, plan.leaseNs, Math.max(4, plan.slices / 20)),
                    nextIncarnation++ << 20,
                    disabledGuards);
            outbound.clear();
            connect();
            tick(processNumber);
            sendOrders(processNumber);
        }

        void kill() {
            if (lease != null) {
                for (int i = 0; i < plan.slices; i++) {
                    ownershipEnds(i, number);
                }
            }
            lease = null;
            processNumber++;
            disconnect();
            deferred.clear();
            outbound.clear();
        }

        void leave() {
            if (lease != null) {
                leaving = true;
                run(() -> perform(lease.leave(localTime())));
            }
        }

        void resume() {
            if (--pauses > 0) {
                return;
            }
            // Queued orders are sent before the process reads its clock.
            List.copyOf(outbound).forEach(Simulation.this::send);
            outbound.clear();
            List<Runnable> pending = List.copyOf(deferred);
            deferred.clear();
            pending.forEach(Runnable::run);
        }

        /** Runs the action on the simulated process: at once, or when its pause ends. */
        void run(Runnable action) {
            int expectedProcess = processNumber;
            Runnable guarded = () -> {
                if (processNumber == expectedProcess && lease != null) {
                    action.run();
                }
            };
            if (pauses > 0) {
                deferred.add(guarded);
            } else {
                guarded.run();
            }
        }

        void tick(int expectedProcess) {
            if (expectedProcess != processNumber) {
                return;
            }
            run(() -> perform(lease.tick(localTime())));
            after(plan.leaseNs / 20.0, () -> tick(expectedProcess));
        }

        boolean isOwner(int slice) {
            return lease != null
                    && lease.owns(slice)
                    && (localTime() < lease.leaseEndNs() || disabledGuards.contains(Lease.Guard.STOP_AT_EXPIRY));
        }

        /** Sends an order for a random slice, if owned, and schedules the next. */
        void sendOrders(int expectedProcess) {
            if (expectedProcess != processNumber) {
                return;
            }
            int slice = random.nextInt(plan.slices);
            if (pauses > 0) {
                // Orders that were queued when the process was paused.
                if (isOwner(slice) && outbound.size() < 20) {
                    outbound.add(new SimulatedOrder(slice, lease.term(slice), number, nextSequence++));
                }
            } else if (isOwner(slice)) {
                send(new SimulatedOrder(slice, lease.term(slice), number, nextSequence++));
            }
            after(plan.leaseNs / 15.0 * random.nextDouble(), () -> sendOrders(expectedProcess));
        }

        void disconnect() {
            streamNumber++;
            if (connected) {
                connected = false;
                if (lease != null) {
                    run(() -> perform(lease.disconnected(localTime())));
                }
            }
        }

        void connect() {
            if (lease == null || partitions > 0 || storeDown || connected) {
                return;
            }
            connected = true;
            int expectedStream = ++streamNumber;
            lastDeliveryNs = now;
            deliver(expectedStream, () -> perform(lease.connected(localTime())));
            store.forEach((key, record) -> deliver(expectedStream, () -> perform(applyRecord(key, record))));
            deliver(expectedStream, () -> perform(lease.synced(localTime())));
        }

        /** Delivers in stream order, each item after a random delay. */
        void deliver(int expectedStream, Runnable action) {
            if (expectedStream != streamNumber || !connected) {
                return;
            }
            lastDeliveryNs = Math.max(
                    lastDeliveryNs,
                    now + (long) ((1 + 10 * random.nextDouble() * random.nextDouble()) * MS * storeDelayFactor));
            int expectedProcess = processNumber;
            at(lastDeliveryNs, () -> {
                if (expectedStream == streamNumber && expectedProcess == processNumber) {
                    run(action);
                }
            });
        }

        List<Step> applyRecord(String key, StoredRecord record) {
            return key.startsWith("m")
                    ? lease.memberRecord(localTime(), record.revision, (Member) record.value)
                    : lease.sliceOwnerRecord(
                            localTime(), Integer.parseInt(key.substring(1)), record.revision, (SliceOwner)
                                    record.value);
        }

        void perform(List<Step> steps) {
            for (Step step : steps) {
                if (step instanceof Step.Write write) {
                    if (connected) {
                        int expectedStream = streamNumber;
                        after(
                                (1 + 10 * random.nextDouble() * random.nextDouble()) * MS * storeDelayFactor,
                                () -> storeReceives(this, expectedStream, write));
                    }
                } else if (step instanceof Step.OwnershipBegins begin) {
                    ownershipBegins(this, begin);
                } else if (step instanceof Step.OwnershipEnds end) {
                    ownershipEnds(end.slice(), number);
                }
            }
        }
    }

    private void ownershipBegins(Host host, Step.OwnershipBegins begin) {
        String owner = host.number + "/" + host.lease.incarnation();
        String before = ownerByTerm.putIfAbsent((long) begin.slice() << 32 | begin.term(), owner);
        if (before != null && !before.equals(owner)) {
            fail("term " + begin.term() + " of slice " + begin.slice() + " has two owners, " + before + " and "
                    + owner);
        }
        for (Host other : hosts) {
            if (other != host && other.isOwner(begin.slice()) && !plan.jumps) {
                fail("slice " + begin.slice() + ": " + host.number + " becomes the owner while " + other.number
                        + " still is, until " + (other.lease.leaseEndNs() - other.localTime()) / 1e6
                        + " ms from now by its clock");
            }
        }
        if (owners[begin.slice()] < 0 && ownerlessSinceNs[begin.slice()] > 0) {
            ownerlessMs.recordValue(Math.min(3_600_000, (now - ownerlessSinceNs[begin.slice()]) / MS));
        }
        ownerChanges++;
        owners[begin.slice()] = host.number;
    }

    private void ownershipEnds(int slice, int number) {
        if (owners[slice] == number) {
            owners[slice] = -1;
            ownerlessSinceNs[slice] = now;
        }
    }

    // ---- The store.

    /** The store receives a write: applies it if the revision matches, notifies all watches and answers. */
    private void storeReceives(Host from, int streamNumber, Step.Write write) {
        if (storeDown) {
            return;
        }
        writes++;
        String key = write instanceof Step.WriteMember m
                ? "m" + m.value().number()
                : "v" + ((Step.WriteSliceOwner) write).slice();
        Object value = write instanceof Step.WriteMember w ? w.value() : ((Step.WriteSliceOwner) write).value();
        StoredRecord record = store.getOrDefault(key, new StoredRecord(0, null));
        boolean applied = write.expected() == record.revision || write.expected() < 0;
        if (applied) {
            if (value instanceof SliceOwner ownership
                    && record.value instanceof SliceOwner before
                    && ownership.term() <= before.term()
                    && fencing) {
                fail("slice " + key + ": the store receives term " + ownership.term() + " after " + before.term());
            }
            StoredRecord next = new StoredRecord(++lastRevision, value);
            store.put(key, next);
            for (Host host : hosts) {
                host.deliver(host.streamNumber, () -> host.perform(host.applyRecord(key, next)));
            }
            if (value instanceof SliceOwner ownership) {
                for (Proxy proxy : proxies) {
                    after(
                            (5 + 200 * random.nextDouble()) * MS,
                            () -> proxy.learnTerm(Integer.parseInt(key.substring(1)), ownership.term()));
                }
            }
        }
        if (from.answerLossFaults == 0 || random.nextDouble() < 0.3) {
            StoredRecord current = store.getOrDefault(key, record);
            if (!applied && current.revision > 0) {
                from.deliver(streamNumber, () -> from.perform(from.applyRecord(key, current)));
            }
            from.deliver(
                    streamNumber, () -> from.perform(from.lease.writeAnswered(from.localTime(), write.id(), applied)));
        }
    }

    // ---- Proxies.

    private void send(SimulatedOrder order) {
        for (Proxy proxy : proxies) {
            after((2 + 100 * random.nextDouble()) * MS, () -> proxy.receive(order));
            if (random.nextDouble() < 0.05) {
                // A delayed duplicate, as from a forwarder that was paused.
                after(plan.leaseNs * 4 * random.nextDouble(), () -> proxy.receive(order));
            }
        }
    }

    /** A proxy that refuses orders with an older term than the latest it knows for the slice. */
    private final class Proxy {
        final Map<Integer, Long> knownTerms = new HashMap<>();
        final Map<Integer, Long> lastTerm = new HashMap<>();
        final Map<Integer, Long> lastSequence = new HashMap<>();

        void learnTerm(int slice, long term) {
            knownTerms.merge(slice, term, Math::max);
        }

        void receive(SimulatedOrder order) {
            long known = knownTerms.getOrDefault(order.slice, 0L);
            if (fencing && order.term < known) {
                refused++;
                Host from = hosts[order.from];
                if (from.lease != null) {
                    from.run(() -> from.perform(from.lease.laterTermSeen(from.localTime(), order.slice, known)));
                }
                return;
            }
            knownTerms.put(order.slice, Math.max(known, order.term));
            long before = lastTerm.getOrDefault(order.slice, 0L);
            if (order.term < before) {
                fail("a proxy takes an order of term " + order.term + " for slice " + order.slice + " after " + before);
            }
            if (order.term == before && order.sequence <= lastSequence.getOrDefault(order.slice, -1L)) {
                duplicatesIgnored++;
                return;
            }
            lastTerm.put(order.slice, order.term);
            lastSequence.put(order.slice, order.sequence);
        }
    }
}
