package puffinbarrow.emulator;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import org.apache.commons.rng.UniformRandomProvider;
import puffinbarrow.audit.Seen;
import puffinbarrow.control.Event;
import puffinbarrow.day.Machine;

/**
 * A backend in simulated time: cores that work flows one each or share all, a waiting room, a cold start, warm keys,
 * connections with a cap, load reports now and then, and faults on command.
 */
final class Server implements Machine {
    /** What a machine is. */
    record Shape(
            int zone,
            int cell,
            int cores,
            double speed,
            double coldFrom,
            long coldNs,
            long dedupNs,
            double fallMultiple,
            long fallNs) {}

    /** A code as a proxy sees it; 0 is a broken stream. */
    static final int OK = 200, ERROR = 500, TURNED_AWAY = 503, RESET = 0, NOT_CONNECTED = -1;

    private static final class Job implements Comparable<Job> {
        final Proxy.Attempt attempt;
        final long number;
        /** Work left as asked, in nanoseconds of one core of speed 1; with shared cores, the meter at which it is done. */
        double work;

        Job(Proxy.Attempt attempt, long number) {
            this.attempt = attempt;
            this.number = number;
            this.work = attempt.workNs();
        }

        @Override
        public int compareTo(Job other) {
            return work != other.work ? Double.compare(work, other.work) : Long.compare(number, other.number);
        }
    }

    /** Of the part above its fair share that a cold server bears before it falls: slack for uneven draws. */
    private static final double SLACK = 1.1;

    private final Fleet fleet;
    private final World world;
    private final Model model;
    private final Shape shape;
    private final String id;
    final int index;
    private final UniformRandomProvider chance;
    private final ArrayDeque<Job> waiting = new ArrayDeque<>();
    /** With shared cores: all in work, by the meter's reading at their end. */
    private final PriorityQueue<Job> sharing = new PriorityQueue<>();

    private final Map<Integer, Boolean> keys = new LinkedHashMap<>(64, 0.75f, true);
    private final LinkedHashMap<Long, Long> dedup = new LinkedHashMap<>();
    private final ArrayDeque<long[]> asked = new ArrayDeque<>();
    private final List<Proxy.Attempt> open = new ArrayList<>();
    private double askedWork;
    private int working, connections;
    private int life;
    private boolean up = true, fell, draining;
    private long startedAt;
    private double failShare, loseShare, slow = 1;
    private long pausedUntil;
    private long reportAt, jobs;
    private double busyNs, busyMark;
    private int done;
    private double lastBusy, lastPerS;
    private double meter;
    private long meterAt, meterTurn;

    Server(Fleet fleet, int index, Shape shape) {
        this.fleet = fleet;
        this.world = fleet.world;
        this.model = fleet.model;
        this.shape = shape;
        this.index = index;
        this.id = String.format("e%05d", index);
        this.chance = world.chance("server", index);
    }

    Shape shape() {
        return shape;
    }

    int life() {
        return life;
    }

    boolean fell() {
        return fell;
    }

    // ---- What the script does to it.

    @Override
    public String id() {
        return id;
    }

    @Override
    public int zone() {
        return shape.zone;
    }

    @Override
    public int cell() {
        return shape.cell;
    }

    @Override
    public long startedAt() {
        return startedAt;
    }

    @Override
    public boolean up() {
        return up;
    }

    @Override
    public boolean draining() {
        return draining;
    }

    @Override
    public void die() {
        if (!up) {
            return;
        }
        up = false;
        life++;
        waiting.clear();
        sharing.clear();
        working = 0;
        connections = 0;
        keys.clear();
        dedup.clear();
        List<Proxy.Attempt> cut = new ArrayList<>(open);
        open.clear();
        for (Proxy.Attempt attempt : cut) {
            attempt.place = -1;
            world.after(model.networkNs, () -> attempt.ended(RESET, null));
        }
    }

    @Override
    public void startCold() {
        if (up || fell) {
            return;
        }
        up = true;
        draining = false;
        failShare = loseShare = 0;
        slow = 1;
        pausedUntil = 0;
        asked.clear();
        askedWork = 0;
        beginCold();
    }

    /** Cold from now on. */
    void beginCold() {
        startedAt = world.now();
        fleet.seen(new Seen.Started(startedAt, id, shape.cores, shape.speed, shape.coldFrom, shape.coldNs));
    }

    @Override
    public void drain(boolean on) {
        draining = on;
    }

    @Override
    public void fail(double share) {
        failShare = share;
    }

    @Override
    public void loseAnswers(double share) {
        loseShare = share;
    }

    @Override
    public void slowBy(double factor) {
        meter();
        slow = factor;
        meterNext();
    }

    @Override
    public void pause(long ns) {
        meter();
        pausedUntil = world.now() + ns;
        meterNext();
    }

    // ---- Connections.

    /** A new connection, or false where the table is full. */
    boolean accept() {
        if (!up || connections >= shape.cores * model.connectionsPerCore) {
            return false;
        }
        connections++;
        return true;
    }

    void closed(int some, int ofLife) {
        if (ofLife == life) {
            connections -= some;
        }
    }

    // ---- Work.

    double warmth() {
        if (startedAt == 0 || shape.coldNs <= 0) {
            return 1;
        }
        return shape.coldFrom + (1 - shape.coldFrom) * Math.min(1, (double) (world.now() - startedAt) / shape.coldNs);
    }

    /** Work a nanosecond that one core does now. */
    private double rate() {
        int room = shape.cores * (1 + model.roomPerCore);
        double loss = model.lossWhenFull * Math.min(1, (double) held() / room);
        return shape.speed * warmth() / slow * (1 - loss);
    }

    /** What it can do now, in cores of speed 1; for policies that see the true state. */
    double capacity() {
        return !up || draining || pausedUntil > world.now() ? 0 : shape.cores * rate() * (1 - failShare);
    }

    int held() {
        return working + waiting.size();
    }

    /** A flow came over a connection that stands. */
    void request(Proxy.Attempt attempt) {
        if (pausedUntil > world.now()) {
            // A process that stands still reads nothing; its sockets keep what came.
            int came = life;
            world.at(pausedUntil, () -> {
                if (came == life) {
                    request(attempt);
                }
            });
            attempt.place = attempt.place < 0 ? hold(attempt) : attempt.place;
            return;
        }
        if (attempt.place < 0) {
            attempt.place = hold(attempt);
        }
        if (attempt.done() && model.overdue != Model.Overdue.GOES_ON) {
            release(attempt);
            return;
        }
        if (overload(attempt.workNs())) {
            die();
            return;
        }
        if (draining) {
            answer(attempt, TURNED_AWAY);
        } else if (failShare > 0 && chance.nextDouble() < failShare) {
            answer(attempt, ERROR);
        } else if (held() >= shape.cores * (1 + model.roomPerCore)) {
            answer(attempt, TURNED_AWAY);
        } else if (dedup.containsKey(attempt.flow.id)) {
            answer(attempt, OK);
        } else {
            Job job = new Job(attempt, jobs++);
            if (model.sharing == Model.Sharing.PROCESSOR) {
                share(job);
            } else if (working < shape.cores) {
                begin(job);
            } else {
                waiting.addLast(job);
            }
        }
    }

    private int hold(Proxy.Attempt attempt) {
        open.add(attempt);
        return open.size() - 1;
    }

    private void release(Proxy.Attempt attempt) {
        if (attempt.place >= 0) {
            Proxy.Attempt last = open.remove(open.size() - 1);
            if (last != attempt) {
                open.set(attempt.place, last);
                last.place = attempt.place;
            }
            attempt.place = -1;
        }
    }

    private void answer(Proxy.Attempt attempt, int code) {
        release(attempt);
        Map<Event.Measure, Double> report = report();
        world.after(model.networkNs, () -> attempt.ended(code, report));
    }

    /** A cold server that is sent more than the multiple of what it can do for the stated time falls over. */
    private boolean overload(long workNs) {
        long now = world.now();
        if (startedAt == 0 || now - startedAt > shape.coldNs + shape.fallNs) {
            return false;
        }
        asked.addLast(new long[] {now, workNs});
        askedWork += workNs;
        while (now - asked.peekFirst()[0] > shape.fallNs) {
            askedWork -= asked.pollFirst()[1];
        }
        fell |= askedWork > SLACK * shape.fallMultiple * shape.cores * shape.speed * warmth() * shape.fallNs;
        return fell;
    }

    /** What the flow takes: its own work, less for a key met lately, and the handshake's if it opened its connection. */
    private double toDo(Job job) {
        Proxy.Attempt attempt = job.attempt;
        boolean warm = model.warmKeyGain > 0 && keys.put(attempt.flow.key, true) != null;
        if (keys.size() > shape.cores * model.keysPerCore) {
            keys.remove(keys.keySet().iterator().next());
        }
        attempt.begun = true;
        fleet.seen(new Seen.Ran(
                world.now(),
                id,
                shape.zone,
                shape.cell,
                attempt.flow.slice,
                attempt.flow.group,
                attempt.flow.id,
                true));
        return job.work * (warm ? 1 - model.warmKeyGain : 1) + (attempt.opened ? model.handshakeNs : 0);
    }

    private void begin(Job job) {
        working++;
        long took = (long) (toDo(job) / rate());
        busyNs += took;
        int began = life;
        world.after(took, () -> finish(job, began));
    }

    private void finish(Job job, int began) {
        if (began != life || job.attempt.stopped) {
            return;
        }
        long still = pausedUntil - world.now();
        if (still > 0) {
            world.after(still, () -> finish(job, began));
            return;
        }
        finished(job);
        free();
    }

    /** A slot is free: the next that somebody still waits for goes into work. */
    private void free() {
        working--;
        Job next = waiting.pollFirst();
        while (next != null && next.attempt.done() && model.overdue != Model.Overdue.GOES_ON) {
            release(next.attempt);
            next = waiting.pollFirst();
        }
        if (next != null) {
            begin(next);
        }
    }

    private void finished(Job job) {
        Proxy.Attempt attempt = job.attempt;
        done++;
        fleet.seen(new Seen.Ran(
                world.now(),
                id,
                shape.zone,
                shape.cell,
                attempt.flow.slice,
                attempt.flow.group,
                attempt.flow.id,
                false));
        if (shape.dedupNs > 0) {
            dedup.put(attempt.flow.id, world.now());
            while (world.now() - dedup.values().iterator().next() > shape.dedupNs) {
                dedup.remove(dedup.keySet().iterator().next());
            }
        }
        if (loseShare > 0 && chance.nextDouble() < loseShare) {
            release(attempt);
            world.after(model.networkNs, () -> attempt.ended(RESET, null));
        } else {
            answer(attempt, OK);
        }
    }

    // ---- Shared cores: a meter runs at each flow's part of the cores; a flow is done when it has run its work.

    private double share() {
        return working == 0 || pausedUntil > world.now() ? 0 : rate() * Math.min(1, (double) shape.cores / working);
    }

    private void meter() {
        if (model.sharing == Model.Sharing.PROCESSOR) {
            long now = world.now();
            meter += share() * (now - meterAt);
            busyNs += (double) (now - meterAt) * Math.min(working, shape.cores);
            meterAt = now;
        }
    }

    private void meterNext() {
        if (model.sharing != Model.Sharing.PROCESSOR) {
            return;
        }
        long turn = ++meterTurn;
        if (pausedUntil > world.now()) {
            world.at(pausedUntil, () -> {
                if (turn == meterTurn) {
                    meterAt = world.now();
                    meterNext();
                }
            });
        } else if (!sharing.isEmpty()) {
            // A server that warms up is faster than at the last look: a look a millisecond is fine enough.
            double left = (sharing.peek().work - meter) / share();
            boolean changes = startedAt != 0 && world.now() - startedAt < shape.coldNs;
            long wait = (long) Math.ceil(Math.max(0, changes ? Math.min(left, 1e6) : left));
            int began = life;
            world.after(wait, () -> {
                if (turn == meterTurn && began == life) {
                    meter();
                    while (!sharing.isEmpty() && sharing.peek().work <= meter + 0.5) {
                        Job job = sharing.poll();
                        working--;
                        finished(job);
                    }
                    meterNext();
                }
            });
        }
    }

    private void share(Job job) {
        meter();
        job.work = meter + toDo(job);
        working++;
        sharing.add(job);
        meterNext();
    }

    /** The proxy no longer waits and has closed its connection; what waits is passed over when its turn comes. */
    void abandoned(Proxy.Attempt attempt) {
        if (model.overdue != Model.Overdue.STOPS || attempt.place < 0 || !attempt.begun) {
            return;
        }
        release(attempt);
        attempt.stopped = true;
        if (model.sharing == Model.Sharing.PROCESSOR) {
            meter();
            sharing.removeIf(j -> j.attempt == attempt);
            working--;
            meterNext();
        } else {
            free();
        }
    }

    // ---- Reports.

    Map<Event.Measure, Double> report() {
        long now = world.now();
        if (now - reportAt > model.reportEveryNs) {
            meter();
            double span = reportAt == 0 ? model.reportEveryNs : now - reportAt;
            double noise = 1 - model.reportNoise + 2 * model.reportNoise * chance.nextDouble();
            lastBusy = Math.min(1, (busyNs - busyMark) / span / shape.cores * noise);
            lastBusy = Math.max(lastBusy, working >= shape.cores ? 0.9 : 0);
            busyMark = busyNs;
            lastPerS = done * 1e9 / span;
            done = 0;
            reportAt = now;
        }
        Map<Event.Measure, Double> report = new EnumMap<>(Event.Measure.class);
        report.put(Event.Measure.BUSY, lastBusy);
        report.put(Event.Measure.DELIVERED_PER_S, lastPerS);
        report.put(Event.Measure.HELD, (double) held());
        return report;
    }

    /** A probe is answered beside the queue, unless the process stands still. */
    void probe(java.util.function.Consumer<Map<Event.Measure, Double>> answer) {
        long still = Math.max(0, pausedUntil - world.now());
        int asked = life;
        world.after(still, () -> {
            boolean good = up && asked == life && !draining;
            Map<Event.Measure, Double> report = good ? report() : null;
            world.after(model.networkNs, () -> answer.accept(report));
        });
    }
}
