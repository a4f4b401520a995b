package puffinbarrow.emulator;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.function.Consumer;
import org.apache.commons.rng.UniformRandomProvider;
import puffinbarrow.audit.Observation;
import puffinbarrow.control.Event;
import puffinbarrow.day.BackendControl;

/**
 * A backend server in simulated time: cores that each work on one flow or are shared by all, a waiting room, a cold
 * start, a cache of warm keys, a limit on connections, periodic load reports, and faults on command of the script.
 */
final class Server implements BackendControl {
    /**
     * Fixed properties of a server: speed relative to 1; {@code coldShare} is the share of its speed right after a
     * start, {@code coldNs} the time to full speed; {@code fallMultiple} and {@code overloadNs} define the overload
     * that a cold server withstands.
     */
    record Spec(
            int zone,
            int cell,
            int cores,
            double speed,
            double coldShare,
            long coldNs,
            long dedupNs,
            double fallMultiple,
            long overloadNs) {}

    /** Status codes as a proxy sees them; 0 is a broken stream, -1 a connection that could not be opened. */
    static final int OK = 200;

    static final int ERROR = 500;
    static final int REJECTED = 503;
    static final int RESET = 0;
    static final int CONNECT_FAILED = -1;

    /** A request in work or waiting. */
    private static final class Job implements Comparable<Job> {
        final Proxy.Attempt attempt;
        /** Order of arrival; breaks ties between jobs. */
        final long sequence;
        /**
         * Work in nanoseconds of one core of speed 1; with shared cores, the reading of {@link
         * Server#attainedService} at which the job is done.
         */
        double work;

        Job(Proxy.Attempt attempt, long sequence) {
            this.attempt = attempt;
            this.sequence = sequence;
            this.work = attempt.workNs();
        }

        @Override
        public int compareTo(Job other) {
            return work != other.work ? Double.compare(work, other.work) : Long.compare(sequence, other.sequence);
        }
    }

    /** Tolerance on the load that a cold server withstands before it crashes: slack for uneven draws. */
    private static final double OVERLOAD_TOLERANCE = 1.1;

    private final Fleet fleet;
    private final Simulation simulation;
    private final ModelParameters model;
    private final Spec spec;
    private final String id;
    final int index;
    private final UniformRandomProvider random;
    private final ArrayDeque<Job> waiting = new ArrayDeque<>();
    /** With shared cores: the jobs in work, ordered by the service at which they end. */
    private final PriorityQueue<Job> sharedJobs = new PriorityQueue<>();

    /** Recently used keys, the least recently used first. */
    private final Map<Integer, Boolean> warmKeys = new LinkedHashMap<>(64, 0.75f, true);
    /** Flows completed within the deduplication time, with the time of completion. */
    private final LinkedHashMap<Long, Long> dedup = new LinkedHashMap<>();
    /** Time and work of the requests within the time of the overload rule. */
    private final ArrayDeque<long[]> recentRequests = new ArrayDeque<>();

    /** Attempts that have arrived and are not answered, in no order. */
    private final List<Proxy.Attempt> openAttempts = new ArrayList<>();

    /** Sum of the work in {@link #recentRequests}. */
    private double recentWorkNs;
    /** Jobs in work. */
    private int working;

    private int connections;
    /** Counts crashes; what belongs to an earlier incarnation is ignored. */
    private int incarnation;

    private boolean up = true;
    private boolean crashedUnderLoad;
    private boolean draining;
    /** When the process started; 0: before the day, fully warm. */
    private long startedAtNs;

    private double failureShare;
    private double lostAnswerShare;
    /** Factor by which the script slows the server; 1: none. */
    private double slowdown = 1;

    private long pausedUntilNs;
    private long reportedAtNs;
    private long jobsCreated;
    /** Core time of all jobs begun so far; with shared cores: worked so far. */
    private double busyNs;
    /** {@link #busyNs} at the last report. */
    private double reportedBusyNs;

    private int completedSinceReport;
    /** Busy share of the cores in the last report, 0 to 1. */
    private double lastBusy;
    /** Completed flows per second in the last report. */
    private double lastDeliveredPerS;
    /**
     * With shared cores: work that a job in service since the start would have received, in nanoseconds of one core
     * of speed 1.
     */
    private double attainedService;

    private long attainedAtNs;
    /** Number of the scheduled completion; an earlier one is ignored. */
    private long completionNumber;

    Server(Fleet fleet, int index, Spec spec) {
        this.fleet = fleet;
        this.simulation = fleet.simulation;
        this.model = fleet.model;
        this.spec = spec;
        this.index = index;
        this.id = String.format("e%05d", index);
        this.random = simulation.random("server", index);
    }

    Spec spec() {
        return spec;
    }

    /** Returns a number that changes with each crash. */
    int incarnation() {
        return incarnation;
    }

    /** Returns whether an overload during the cold start ended the server for good. */
    boolean crashedUnderLoad() {
        return crashedUnderLoad;
    }

    // ---- Faults and drains of the script (BackendControl).

    @Override
    public String id() {
        return id;
    }

    @Override
    public int zone() {
        return spec.zone;
    }

    @Override
    public int cell() {
        return spec.cell;
    }

    @Override
    public long startedAtNs() {
        return startedAtNs;
    }

    @Override
    public boolean running() {
        return up;
    }

    @Override
    public boolean draining() {
        return draining;
    }

    @Override
    public void crash() {
        if (!up) {
            return;
        }
        up = false;
        incarnation++;
        waiting.clear();
        sharedJobs.clear();
        working = 0;
        connections = 0;
        warmKeys.clear();
        dedup.clear();
        List<Proxy.Attempt> brokenAttempts = new ArrayList<>(openAttempts);
        openAttempts.clear();
        for (Proxy.Attempt attempt : brokenAttempts) {
            attempt.openIndex = -1;
            simulation.after(model.networkDelayNs, () -> attempt.complete(RESET, null));
        }
    }

    @Override
    public void startCold() {
        if (up || crashedUnderLoad) {
            return;
        }
        up = true;
        draining = false;
        failureShare = lostAnswerShare = 0;
        slowdown = 1;
        pausedUntilNs = 0;
        recentRequests.clear();
        recentWorkNs = 0;
        markStarted();
    }

    /** Starts the warm-up now. */
    void markStarted() {
        startedAtNs = simulation.now();
        fleet.observe(
                new Observation.ServerStarted(startedAtNs, id, spec.cores, spec.speed, spec.coldShare, spec.coldNs));
    }

    @Override
    public void setDraining(boolean on) {
        draining = on;
    }

    @Override
    public void fail(double share) {
        failureShare = share;
    }

    @Override
    public void loseAnswers(double share) {
        lostAnswerShare = share;
    }

    @Override
    public void setSlowdown(double factor) {
        advanceService();
        slowdown = factor;
        scheduleNextCompletion();
    }

    @Override
    public void suspend(long ns) {
        advanceService();
        pausedUntilNs = simulation.now() + ns;
        scheduleNextCompletion();
    }

    // ---- Connections.

    /** Opens a connection; returns false if the server is down or at its limit of connections. */
    boolean acceptConnection() {
        if (!up || connections >= spec.cores * model.connectionsPerCore) {
            return false;
        }
        connections++;
        return true;
    }

    /** Proxies have closed connections; ignored if they led to an earlier incarnation. */
    void connectionsClosed(int count, int expectedIncarnation) {
        if (expectedIncarnation == incarnation) {
            connections -= count;
        }
    }

    // ---- Work.

    /** Returns the share of its full speed that the server has reached, 0 to 1. */
    double warmth() {
        if (startedAtNs == 0 || spec.coldNs <= 0) {
            return 1;
        }
        return spec.coldShare
                + (1 - spec.coldShare) * Math.min(1, (double) (simulation.now() - startedAtNs) / spec.coldNs);
    }

    /** Returns the speed of one core now, relative to a core of speed 1. */
    private double rate() {
        int maxHeld = spec.cores * (1 + model.waitingPerCore);
        double loss = model.lossWhenFull * Math.min(1, (double) flowCount() / maxHeld);
        return spec.speed * warmth() / slowdown * (1 - loss);
    }

    /** Returns the capacity now, in cores of speed 1; for policies that see the true state. */
    double capacity() {
        return !up || draining || pausedUntilNs > simulation.now() ? 0 : spec.cores * rate() * (1 - failureShare);
    }

    /** Returns the number of flows in work and waiting. */
    int flowCount() {
        return working + waiting.size();
    }

    /** Takes a request that arrived on an open connection. */
    void request(Proxy.Attempt attempt) {
        if (pausedUntilNs > simulation.now()) {
            // A paused process reads nothing; its sockets keep what arrives.
            int expectedIncarnation = incarnation;
            simulation.at(pausedUntilNs, () -> {
                if (expectedIncarnation == incarnation) {
                    request(attempt);
                }
            });
            attempt.openIndex = attempt.openIndex < 0 ? trackOpen(attempt) : attempt.openIndex;
            return;
        }
        if (attempt.openIndex < 0) {
            attempt.openIndex = trackOpen(attempt);
        }
        if (attempt.finished() && model.overdue != ModelParameters.Overdue.GOES_ON) {
            untrackOpen(attempt);
            return;
        }
        if (recordOverload(attempt.workNs())) {
            crash();
            return;
        }
        if (draining) {
            answer(attempt, REJECTED);
        } else if (failureShare > 0 && random.nextDouble() < failureShare) {
            answer(attempt, ERROR);
        } else if (flowCount() >= spec.cores * (1 + model.waitingPerCore)) {
            answer(attempt, REJECTED);
        } else if (dedup.containsKey(attempt.flow.id)) {
            answer(attempt, OK);
        } else {
            Job job = new Job(attempt, jobsCreated++);
            if (model.sharing == ModelParameters.Sharing.PROCESSOR) {
                beginShared(job);
            } else if (working < spec.cores) {
                beginOnCore(job);
            } else {
                waiting.addLast(job);
            }
        }
    }

    /** Adds to the open attempts and returns the index. */
    private int trackOpen(Proxy.Attempt attempt) {
        openAttempts.add(attempt);
        return openAttempts.size() - 1;
    }

    /** Removes from the open attempts, moving the last one into the gap. */
    private void untrackOpen(Proxy.Attempt attempt) {
        if (attempt.openIndex >= 0) {
            Proxy.Attempt last = openAttempts.remove(openAttempts.size() - 1);
            if (last != attempt) {
                openAttempts.set(attempt.openIndex, last);
                last.openIndex = attempt.openIndex;
            }
            attempt.openIndex = -1;
        }
    }

    /** Sends the answer with a load report. */
    private void answer(Proxy.Attempt attempt, int code) {
        untrackOpen(attempt);
        Map<Event.Measure, Double> report = report();
        simulation.after(model.networkDelayNs, () -> attempt.complete(code, report));
    }

    /**
     * Records the work that arrived and returns whether the server crashes: a cold server does if, over the stated
     * time, it is sent more than the stated multiple of what it can do.
     */
    private boolean recordOverload(long workNs) {
        long now = simulation.now();
        if (startedAtNs == 0 || now - startedAtNs > spec.coldNs + spec.overloadNs) {
            return false;
        }
        recentRequests.addLast(new long[] {now, workNs});
        recentWorkNs += workNs;
        while (now - recentRequests.peekFirst()[0] > spec.overloadNs) {
            recentWorkNs -= recentRequests.pollFirst()[1];
        }
        crashedUnderLoad |= recentWorkNs
                > OVERLOAD_TOLERANCE * spec.fallMultiple * spec.cores * spec.speed * warmth() * spec.overloadNs;
        return crashedUnderLoad;
    }

    /**
     * Marks the job as begun and returns its work: the flow's own, less the gain for a recently used key, plus the
     * handshake if the attempt opened its connection.
     */
    private double beginWork(Job job) {
        Proxy.Attempt attempt = job.attempt;
        boolean warm = model.warmKeyGain > 0 && warmKeys.put(attempt.flow.key, true) != null;
        if (warmKeys.size() > spec.cores * model.warmKeysPerCore) {
            warmKeys.remove(warmKeys.keySet().iterator().next());
        }
        attempt.begun = true;
        fleet.observe(new Observation.WorkChanged(
                simulation.now(),
                id,
                spec.zone,
                spec.cell,
                attempt.flow.slice,
                attempt.flow.group,
                attempt.flow.id,
                true));
        return job.work * (warm ? 1 - model.warmKeyGain : 1) + (attempt.newConnection ? model.handshakeNs : 0);
    }

    /** Takes a job into work on a core of its own. */
    private void beginOnCore(Job job) {
        working++;
        long serviceNs = (long) (beginWork(job) / rate());
        busyNs += serviceNs;
        int expectedIncarnation = incarnation;
        simulation.after(serviceNs, () -> finish(job, expectedIncarnation));
    }

    /** The work of a job is done, or is interrupted by a pause. */
    private void finish(Job job, int expectedIncarnation) {
        if (expectedIncarnation != incarnation || job.attempt.cancelled) {
            return;
        }
        long pauseLeftNs = pausedUntilNs - simulation.now();
        if (pauseLeftNs > 0) {
            simulation.after(pauseLeftNs, () -> finish(job, expectedIncarnation));
            return;
        }
        complete(job);
        freeCore();
    }

    /** Frees a core and takes the next waiting job; jobs that no proxy waits for are skipped, unless they go on. */
    private void freeCore() {
        working--;
        Job next = waiting.pollFirst();
        while (next != null && next.attempt.finished() && model.overdue != ModelParameters.Overdue.GOES_ON) {
            untrackOpen(next.attempt);
            next = waiting.pollFirst();
        }
        if (next != null) {
            beginOnCore(next);
        }
    }

    /** Ends a job and answers it. */
    private void complete(Job job) {
        Proxy.Attempt attempt = job.attempt;
        completedSinceReport++;
        fleet.observe(new Observation.WorkChanged(
                simulation.now(),
                id,
                spec.zone,
                spec.cell,
                attempt.flow.slice,
                attempt.flow.group,
                attempt.flow.id,
                false));
        if (spec.dedupNs > 0) {
            dedup.put(attempt.flow.id, simulation.now());
            while (simulation.now() - dedup.values().iterator().next() > spec.dedupNs) {
                dedup.remove(dedup.keySet().iterator().next());
            }
        }
        if (lostAnswerShare > 0 && random.nextDouble() < lostAnswerShare) {
            untrackOpen(attempt);
            simulation.after(model.networkDelayNs, () -> attempt.complete(RESET, null));
        } else {
            answer(attempt, OK);
        }
    }

    // ---- Shared cores (processor sharing): attained service grows at each job's share of the cores; a job ends when
    // it has attained its work.

    /** Returns the attained service per nanosecond of each job. */
    private double serviceRate() {
        return working == 0 || pausedUntilNs > simulation.now()
                ? 0
                : rate() * Math.min(1, (double) spec.cores / working);
    }

    /** Advances the attained service to now; called before each change of the rate. */
    private void advanceService() {
        if (model.sharing == ModelParameters.Sharing.PROCESSOR) {
            long now = simulation.now();
            attainedService += serviceRate() * (now - attainedAtNs);
            busyNs += (double) (now - attainedAtNs) * Math.min(working, spec.cores);
            attainedAtNs = now;
        }
    }

    /** Schedules the next completion, replacing one that was scheduled before. */
    private void scheduleNextCompletion() {
        if (model.sharing != ModelParameters.Sharing.PROCESSOR) {
            return;
        }
        long expectedNumber = ++completionNumber;
        if (pausedUntilNs > simulation.now()) {
            simulation.at(pausedUntilNs, () -> {
                if (expectedNumber == completionNumber) {
                    attainedAtNs = simulation.now();
                    scheduleNextCompletion();
                }
            });
        } else if (!sharedJobs.isEmpty()) {
            // The rate changes while the server warms up: checking every millisecond is precise enough.
            double left = (sharedJobs.peek().work - attainedService) / serviceRate();
            boolean warmingUp = startedAtNs != 0 && simulation.now() - startedAtNs < spec.coldNs;
            long waitNs = (long) Math.ceil(Math.max(0, warmingUp ? Math.min(left, 1e6) : left));
            int expectedIncarnation = incarnation;
            simulation.after(waitNs, () -> {
                if (expectedNumber == completionNumber && expectedIncarnation == incarnation) {
                    advanceService();
                    while (!sharedJobs.isEmpty() && sharedJobs.peek().work <= attainedService + 0.5) {
                        Job job = sharedJobs.poll();
                        working--;
                        complete(job);
                    }
                    scheduleNextCompletion();
                }
            });
        }
    }

    /** Takes a job into work on shared cores. */
    private void beginShared(Job job) {
        advanceService();
        job.work = attainedService + beginWork(job);
        working++;
        sharedJobs.add(job);
        scheduleNextCompletion();
    }

    /**
     * The proxy no longer waits and has closed its connection: with {@code overdue stops} a job in work ends now. A
     * waiting job is skipped when its turn comes.
     */
    void abandon(Proxy.Attempt attempt) {
        if (model.overdue != ModelParameters.Overdue.STOPS || attempt.openIndex < 0 || !attempt.begun) {
            return;
        }
        untrackOpen(attempt);
        attempt.cancelled = true;
        if (model.sharing == ModelParameters.Sharing.PROCESSOR) {
            advanceService();
            sharedJobs.removeIf(j -> j.attempt == attempt);
            working--;
            scheduleNextCompletion();
        } else {
            freeCore();
        }
    }

    // ---- Reports.

    /** Returns the load report, refreshed at most once per {@code reportIntervalNs}. */
    Map<Event.Measure, Double> report() {
        long now = simulation.now();
        if (now - reportedAtNs > model.reportIntervalNs) {
            advanceService();
            double spanNs = reportedAtNs == 0 ? model.reportIntervalNs : now - reportedAtNs;
            double noise = 1 - model.reportNoise + 2 * model.reportNoise * random.nextDouble();
            lastBusy = Math.min(1, (busyNs - reportedBusyNs) / spanNs / spec.cores * noise);
            lastBusy = Math.max(lastBusy, working >= spec.cores ? 0.9 : 0);
            reportedBusyNs = busyNs;
            lastDeliveredPerS = completedSinceReport * 1e9 / spanNs;
            completedSinceReport = 0;
            reportedAtNs = now;
        }
        Map<Event.Measure, Double> report = new EnumMap<>(Event.Measure.class);
        report.put(Event.Measure.BUSY, lastBusy);
        report.put(Event.Measure.DELIVERED_PER_S, lastDeliveredPerS);
        report.put(Event.Measure.HELD, (double) flowCount());
        return report;
    }

    /**
     * Answers a probe without queueing, unless the process is paused; the answer is null if the server is not
     * available.
     */
    void probe(Consumer<Map<Event.Measure, Double>> answer) {
        long pauseLeftNs = Math.max(0, pausedUntilNs - simulation.now());
        int expectedIncarnation = incarnation;
        simulation.after(pauseLeftNs, () -> {
            boolean available = up && expectedIncarnation == incarnation && !draining;
            Map<Event.Measure, Double> report = available ? report() : null;
            simulation.after(model.networkDelayNs, () -> answer.accept(report));
        });
    }
}
