package puffinbarrow.standin;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.EnumMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.apache.commons.rng.UniformRandomProvider;
import puffinbarrow.audit.Observation;
import puffinbarrow.audit.Recorder;
import puffinbarrow.control.Event;
import puffinbarrow.coordinator.OrcaReport;
import puffinbarrow.net.HttpParser;
import puffinbarrow.net.Link;
import puffinbarrow.net.Net;

/**
 * A stand-in backend for scripted days: serves HTTP/1.1 on a loopback port with cores that run one flow each, a bounded
 * queue, a cold start, keys that it has cached, and faults on command. Work is simulated with a timer and takes no CPU,
 * so that hundreds of backends fit on one machine. Requests arrive on the threads of {@link Net}, faults on that of the
 * day; all state is guarded by {@code this}.
 */
public final class Backend {
    /**
     * The properties of a machine.
     *
     * @param zone number of its zone
     * @param kind number of its machine type
     * @param cell number of its cell within the fleet
     * @param cores flows that it runs at a time
     * @param speed of one core, relative to the core in which work is measured
     * @param waitingRoom most flows that wait for a core
     * @param connections most streams that it accepts
     * @param coldFrom part of its full speed right after a start; grows linearly
     * @param coldNs time after a start at which it has its full speed; 0: at once
     * @param warmKeyGain part of the work that a flow with a cached key saves
     * @param warmKeys most keys that it caches
     * @param dedupNs how long it remembers finished flows and answers repeats without running them; 0: not at all
     */
    public record Shape(
            int zone,
            int kind,
            int cell,
            int cores,
            double speed,
            int waitingRoom,
            int connections,
            double coldFrom,
            long coldNs,
            double warmKeyGain,
            int warmKeys,
            long dedupNs) {}

    /** A flow that runs or waits; {@code incarnation}: of the process that received it. */
    private record Job(Link link, long flow, int slice, int group, String key, long workNs, int incarnation) {}

    /** Interval that a load report covers, about as long as that of common servers. */
    private static final long REPORT_INTERVAL_NS = 500_000_000L;

    private final Net net;
    private final Shape shape;
    private final Recorder recorder;
    private final UniformRandomProvider random;
    /** A cold backend that gets more than {@link #fallMultiple} times its present capacity for so long crashes. */
    private final long overloadNs;

    private final double fallMultiple;
    private final InetSocketAddress address;
    private final String id;
    private Net.Listener listener;
    private final Set<Link> links = new HashSet<>();
    private final ArrayDeque<Job> waiting = new ArrayDeque<>();
    /** Cached keys, least recently used first. */
    private final Map<String, Long> cachedKeys = new LinkedHashMap<>(64, 0.75f, true);
    /** When each flow that it still remembers finished, oldest first. */
    private final Map<Long, Long> finishedAt = new LinkedHashMap<>();
    /** Time and work of each flow received during the last {@link #overloadNs} of the cold phase. */
    private final ArrayDeque<long[]> recentWork = new ArrayDeque<>();

    private double recentWorkNs;
    private int busyCores;
    /** How often its process ended; a flow that began in an earlier process is never finished by a later one. */
    private int incarnation;

    private boolean up;
    /** It crashed under overload and stays down. */
    private boolean crashedUnderLoad;

    private boolean draining;
    /** When the present process started; 0: before the recording. */
    private long startedAt;

    private long processAt;
    /** Share of flows that it answers with an error, 0 to 1. */
    private double failShare;
    /** Share of answers that it loses, 0 to 1. */
    private double loseShare;
    /** Factor by which work takes longer. */
    private double slowFactor = 1;

    private long pausedUntil;
    /** When the latest load report was computed. */
    private long reportedAt;
    /** Core time of all flows begun. */
    private long busyNs;
    /** {@link #busyNs} at the latest load report. */
    private long reportedBusyNs;
    /** Flows finished since the latest load report. */
    private int done;
    /** Flows failed since the latest load report. */
    private int failed;
    /** Busy share of the cores in the latest load report. */
    private double reportedBusy;
    /** Finished flows per second in the latest load report. */
    private double reportedPerS;

    /**
     * Listens at once.
     *
     * @param fallMultiple multiple of its present capacity that a cold backend withstands
     * @param overloadNs time for which the overload must last to crash it
     */
    public Backend(
            Net net, Shape shape, Recorder recorder, UniformRandomProvider random, double fallMultiple, long overloadNs)
            throws IOException {
        this.net = net;
        this.shape = shape;
        this.recorder = recorder;
        this.random = random;
        this.fallMultiple = fallMultiple;
        this.overloadNs = overloadNs;
        this.listener = net.listen(new InetSocketAddress("127.0.0.1", 0), 1 << 20, channel -> new Stream());
        this.address = listener.address();
        this.id = "127.0.0.1:" + address.getPort();
        this.up = true;
        this.processAt = System.nanoTime();
    }

    /** Returns its address as HOST:PORT, which stays the same across restarts. */
    public String id() {
        return id;
    }

    /** Returns the properties of its machine. */
    public Shape shape() {
        return shape;
    }

    /** Returns when its process started; 0 if it was running before the recording began. */
    public synchronized long startedAt() {
        return startedAt;
    }

    public synchronized boolean up() {
        return up;
    }

    /** Returns whether it crashed under overload. */
    public synchronized boolean crashedUnderLoad() {
        return crashedUnderLoad;
    }

    public synchronized boolean draining() {
        return draining;
    }

    // ---- Faults.

    /** Ends its process: closes all streams and drops all flows. */
    public void crash() {
        Set<Link> gone;
        synchronized (this) {
            if (!up) {
                return;
            }
            up = false;
            incarnation++;
            waiting.clear();
            busyCores = 0;
            cachedKeys.clear();
            finishedAt.clear();
            gone = new HashSet<>(links);
            links.clear();
        }
        listener.close();
        gone.forEach(Link::close);
    }

    /** Starts its process again, cold and with the same id; retries shortly after if the port is still in use. */
    public void startCold() {
        synchronized (this) {
            if (up || crashedUnderLoad) {
                return;
            }
        }
        try {
            Net.Listener reopened = net.listen(address, 1 << 20, channel -> new Stream());
            synchronized (this) {
                listener = reopened;
                up = true;
                draining = false;
                startedAt = processAt = System.nanoTime();
                failShare = loseShare = 0;
                slowFactor = 1;
                recentWork.clear();
                recentWorkNs = 0;
                recorder.add(new Observation.ServerStarted(
                        startedAt, id, shape.cores, shape.speed, shape.coldFrom, shape.coldNs));
            }
        } catch (IOException portInUse) {
            net.schedule(50, this::startCold);
        }
    }

    /** Treats a new backend as started just now, so that it is cold. */
    public void markStarted() {
        synchronized (this) {
            startedAt = processAt = System.nanoTime();
            recorder.add(new Observation.ServerStarted(
                    startedAt, id, shape.cores, shape.speed, shape.coldFrom, shape.coldNs));
        }
    }

    /** Refuses new flows while on. */
    public synchronized void drain(boolean on) {
        draining = on;
    }

    /** Answers that share of flows with an error from now on, without running them. */
    public synchronized void fail(double share) {
        failShare = share;
    }

    /** Loses the answers of that share of flows from now on; the flows run all the same. */
    public synchronized void loseAnswers(double share) {
        loseShare = share;
    }

    /** Makes work take longer by the factor from now on. */
    public synchronized void slowBy(double factor) {
        slowFactor = factor;
    }

    /** Freezes for that long: running flows wait, and nothing is answered. */
    public synchronized void pause(long ns) {
        pausedUntil = System.nanoTime() + ns;
    }

    // ---- Flows and probes.

    /** Returns the part of its full speed that it has, 0 to 1. */
    private double warmth(long now) {
        if (startedAt == 0 || shape.coldNs <= 0) {
            return 1;
        }
        return shape.coldFrom + (1 - shape.coldFrom) * Math.min(1, (double) (now - startedAt) / shape.coldNs);
    }

    private final class Stream implements Link.Receiver {
        private final HttpParser parser = new HttpParser(true, 64 * 1024, this::onRequest);
        private Link link;
        /** It was checked against the limit of connections. */
        private boolean counted;

        @Override
        public void received(Link from, ByteBuffer bytes) {
            link = from;
            boolean accepted = true;
            synchronized (Backend.this) {
                if (!counted) {
                    counted = true;
                    accepted = up && links.size() < shape.connections;
                    if (accepted) {
                        links.add(from);
                    }
                }
            }
            if (!accepted) {
                from.close();
                return;
            }
            parser.feed(bytes);
        }

        private void onRequest(HttpParser.Message request) {
            if (request.second().equals("/probe")) {
                onProbe(link);
            } else {
                onFlow(link, request);
            }
        }

        @Override
        public void ended(Link from, Link.Cause cause, String detail) {
            synchronized (Backend.this) {
                links.remove(from);
            }
        }
    }

    private void onProbe(Link link) {
        String header;
        long wait;
        synchronized (this) {
            header = loadReport(System.nanoTime());
            wait = pausedUntil - System.nanoTime();
        }
        if (wait > 0) {
            net.schedule(wait / 1_000_000 + 1, () -> answer(link, 200, header));
        } else {
            answer(link, draining ? 503 : 200, header);
        }
    }

    private void onFlow(Link link, HttpParser.Message request) {
        long now = System.nanoTime();
        // 0: the flow runs or waits; below 0: the backend crashes.
        int code = 0;
        String header;
        Job job;
        synchronized (this) {
            header = loadReport(now);
            job = new Job(
                    link,
                    number(request, "x-flow"),
                    (int) number(request, "x-slice"),
                    (int) number(request, "x-group"),
                    request.header("x-key"),
                    number(request, "x-work-ns"),
                    incarnation);
            if (isOverloaded(now, job.workNs)) {
                code = -1;
            } else if (draining) {
                code = 503;
            } else if (failShare > 0 && random.nextDouble() < failShare) {
                failed++;
                code = 500;
            } else if (busyCores >= shape.cores && waiting.size() >= shape.waitingRoom) {
                code = 503;
            } else if (finishedAt.containsKey(job.flow)) {
                code = 200;
            } else if (busyCores < shape.cores) {
                begin(now, job);
            } else {
                waiting.addLast(job);
            }
        }
        if (code > 0) {
            answer(link, code, header);
        } else if (code < 0) {
            crash();
        }
    }

    /** Returns the header's value; 0 if it is missing or not a number. */
    private static long number(HttpParser.Message request, String header) {
        try {
            return Long.parseLong(request.header(header));
        } catch (NumberFormatException notANumber) {
            return 0;
        }
    }

    /** Counts the work of a flow, and returns whether the backend, being cold, crashes under its recent work. */
    private boolean isOverloaded(long now, long workNs) {
        if (startedAt == 0 || now - startedAt > shape.coldNs + overloadNs) {
            return false;
        }
        recentWork.addLast(new long[] {now, workNs});
        recentWorkNs += workNs;
        while (now - recentWork.peekFirst()[0] > overloadNs) {
            recentWorkNs -= recentWork.pollFirst()[1];
        }
        // The same tolerance of ten percent as the audit.
        if (recentWorkNs > 1.1 * fallMultiple * shape.cores * shape.speed * warmth(now) * overloadNs) {
            crashedUnderLoad = true;
        }
        return crashedUnderLoad;
    }

    private void begin(long now, Job job) {
        busyCores++;
        recorder.add(
                new Observation.WorkChanged(now, id, shape.zone, shape.cell, job.slice, job.group, job.flow, true));
        boolean warm = shape.warmKeyGain > 0 && cachedKeys.put(job.key, now) != null;
        while (cachedKeys.size() > shape.warmKeys) {
            cachedKeys.remove(cachedKeys.keySet().iterator().next());
        }
        double work = job.workNs * (warm ? 1 - shape.warmKeyGain : 1);
        long durationNs = (long) (work * slowFactor / (shape.speed * warmth(now)));
        busyNs += durationNs;
        long wait = Math.max(0, pausedUntil - now);
        net.timer().schedule(() -> finish(job), durationNs + wait, TimeUnit.NANOSECONDS);
    }

    private void finish(Job job) {
        boolean lose;
        String header;
        long now = System.nanoTime();
        synchronized (this) {
            if (job.incarnation != incarnation) {
                return;
            }
            long pausedNs = pausedUntil - now;
            if (pausedNs > 1_000_000) {
                net.timer().schedule(() -> finish(job), pausedNs, TimeUnit.NANOSECONDS);
                return;
            }
            busyCores--;
            done++;
            recorder.add(new Observation.WorkChanged(
                    now, id, shape.zone, shape.cell, job.slice, job.group, job.flow, false));
            if (shape.dedupNs > 0) {
                finishedAt.put(job.flow, now);
                while (now - finishedAt.values().iterator().next() > shape.dedupNs) {
                    finishedAt.remove(finishedAt.keySet().iterator().next());
                }
            }
            lose = loseShare > 0 && random.nextDouble() < loseShare;
            header = loadReport(now);
            Job next = waiting.pollFirst();
            // Skips flows whose stream is closed: nobody would receive the answer.
            while (next != null && next.link.ended()) {
                next = waiting.pollFirst();
            }
            if (next != null) {
                begin(now, next);
            }
        }
        if (lose) {
            job.link.close();
        } else {
            answer(job.link, 200, header);
        }
    }

    /** Returns the load report header, recomputed once {@link #REPORT_INTERVAL_NS} has passed. */
    private String loadReport(long now) {
        if (now - reportedAt > REPORT_INTERVAL_NS) {
            double span = reportedAt == 0 ? REPORT_INTERVAL_NS : now - reportedAt;
            double noise = 0.95 + 0.1 * random.nextDouble();
            reportedBusy = Math.min(1, (busyNs - reportedBusyNs) / span / shape.cores * noise);
            reportedBusy = Math.max(reportedBusy, busyCores >= shape.cores ? 0.9 : 0);
            reportedBusyNs = busyNs;
            reportedPerS = done * 1e9 / span;
            done = failed = 0;
            reportedAt = now;
        }
        Map<Event.Measure, Double> report = new EnumMap<>(Event.Measure.class);
        report.put(Event.Measure.BUSY, reportedBusy);
        report.put(Event.Measure.DELIVERED_PER_S, reportedPerS);
        report.put(Event.Measure.HELD, (double) busyCores + waiting.size());
        return OrcaReport.write(report);
    }

    private static void answer(Link link, int code, String report) {
        String reason = code == 200 ? "OK" : code == 503 ? "Service Unavailable" : "Internal Server Error";
        link.send(ByteBuffer.wrap(("HTTP/1.1 " + code + " " + reason + "\r\n" + OrcaReport.HEADER + ": " + report
                        + "\r\ncontent-length: 0\r\n\r\n")
                .getBytes(StandardCharsets.US_ASCII)));
    }
}
