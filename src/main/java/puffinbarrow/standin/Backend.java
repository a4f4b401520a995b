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
import puffinbarrow.audit.Recorder;
import puffinbarrow.audit.Seen;
import puffinbarrow.control.Event;
import puffinbarrow.coordinator.Orca;
import puffinbarrow.net.HttpParser;
import puffinbarrow.net.Link;
import puffinbarrow.net.Net;

/**
 * A stand-in backend: HTTP/1.1 on a loopback port, cores that work flows one each, a waiting room, a cold start, warm
 * keys, and faults on command. Work is a timer, not CPU, so hundreds fit one machine. All state is guarded by this.
 */
public final class Backend {
    /** What a machine is and where it stands. */
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

    private record Job(Link link, long flow, int slice, int group, String key, long workNs, int life) {}

    /** A load report is of the last half second, as reports of the field's servers are of about as long. */
    private static final long REPORT_NS = 500_000_000L;

    private final Net net;
    private final Shape shape;
    private final Recorder recorder;
    private final UniformRandomProvider chance;
    private final long fallNs;
    private final double fallMultiple;
    private final InetSocketAddress address;
    private final String id;
    private Net.Listener listener;
    private final Set<Link> links = new HashSet<>();
    private final ArrayDeque<Job> waiting = new ArrayDeque<>();
    private final Map<String, Long> keys = new LinkedHashMap<>(64, 0.75f, true);
    private final Map<Long, Long> dedup = new LinkedHashMap<>();
    private final ArrayDeque<long[]> asked = new ArrayDeque<>();
    private double askedWork;
    private int working;
    /** Counts lives of the process: what a former life began is never finished by a later one. */
    private int life;

    private boolean up;
    private boolean fell;
    private boolean draining;
    private long startedAt;
    private long processAt;
    private double failShare, loseShare, slow = 1;
    private long pausedUntil;
    private long reportAt;
    private long busyNs, busyMark;
    private int done, failed;
    private double lastBusy, lastPerS;

    public Backend(
            Net net, Shape shape, Recorder recorder, UniformRandomProvider chance, double fallMultiple, long fallNs)
            throws IOException {
        this.net = net;
        this.shape = shape;
        this.recorder = recorder;
        this.chance = chance;
        this.fallMultiple = fallMultiple;
        this.fallNs = fallNs;
        this.listener = net.listen(new InetSocketAddress("127.0.0.1", 0), 1 << 20, channel -> new Stream());
        this.address = listener.address();
        this.id = "127.0.0.1:" + address.getPort();
        this.up = true;
        this.processAt = System.nanoTime();
    }

    public String id() {
        return id;
    }

    public Shape shape() {
        return shape;
    }

    /** When its process started, or 0 for one that ran before the record began. */
    public synchronized long startedAt() {
        return startedAt;
    }

    public synchronized boolean up() {
        return up;
    }

    public synchronized boolean fell() {
        return fell;
    }

    public synchronized boolean draining() {
        return draining;
    }

    // ---- Faults.

    public void die() {
        Set<Link> gone;
        synchronized (this) {
            if (!up) {
                return;
            }
            up = false;
            life++;
            waiting.clear();
            working = 0;
            keys.clear();
            dedup.clear();
            gone = new HashSet<>(links);
            links.clear();
        }
        listener.close();
        gone.forEach(Link::close);
    }

    /** Comes back under the same id, cold; tried again a little later should the port be held for a moment. */
    public void startCold() {
        synchronized (this) {
            if (up || fell) {
                return;
            }
        }
        try {
            Net.Listener again = net.listen(address, 1 << 20, channel -> new Stream());
            synchronized (this) {
                listener = again;
                up = true;
                draining = false;
                startedAt = processAt = System.nanoTime();
                failShare = loseShare = 0;
                slow = 1;
                asked.clear();
                askedWork = 0;
                recorder.add(new Seen.Started(startedAt, id, shape.cores, shape.speed, shape.coldFrom, shape.coldNs));
            }
        } catch (IOException held) {
            net.schedule(50, this::startCold);
        }
    }

    /** For one that is new: cold from now on, as it has just been started. */
    public void beginCold() {
        synchronized (this) {
            startedAt = processAt = System.nanoTime();
            recorder.add(new Seen.Started(startedAt, id, shape.cores, shape.speed, shape.coldFrom, shape.coldNs));
        }
    }

    public synchronized void drain(boolean on) {
        draining = on;
    }

    public synchronized void fail(double share) {
        failShare = share;
    }

    public synchronized void loseAnswers(double share) {
        loseShare = share;
    }

    public synchronized void slowBy(double factor) {
        slow = factor;
    }

    /** Stands still: what is in work waits, nothing is answered. */
    public synchronized void pause(long ns) {
        pausedUntil = System.nanoTime() + ns;
    }

    // ---- Work.

    private double warmth(long now) {
        if (startedAt == 0 || shape.coldNs <= 0) {
            return 1;
        }
        return shape.coldFrom + (1 - shape.coldFrom) * Math.min(1, (double) (now - startedAt) / shape.coldNs);
    }

    private final class Stream implements Link.Receiver {
        private final HttpParser parser = new HttpParser(true, 64 * 1024, this::request);
        private Link link;
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

        private void request(HttpParser.Message request) {
            if (request.second().equals("/probe")) {
                probe(link);
            } else {
                flow(link, request);
            }
        }

        @Override
        public void ended(Link from, Link.Cause cause, String detail) {
            synchronized (Backend.this) {
                links.remove(from);
            }
        }
    }

    private void probe(Link link) {
        String header;
        long wait;
        synchronized (this) {
            header = report(System.nanoTime());
            wait = pausedUntil - System.nanoTime();
        }
        if (wait > 0) {
            net.schedule(wait / 1_000_000 + 1, () -> answer(link, 200, header));
        } else {
            answer(link, draining ? 503 : 200, header);
        }
    }

    private void flow(Link link, HttpParser.Message request) {
        long now = System.nanoTime();
        int code = 0;
        String header;
        Job job;
        synchronized (this) {
            header = report(now);
            job = new Job(
                    link,
                    number(request, "x-flow"),
                    (int) number(request, "x-slice"),
                    (int) number(request, "x-group"),
                    request.header("x-key"),
                    number(request, "x-work-ns"),
                    life);
            if (overload(now, job.workNs)) {
                code = -1;
            } else if (draining) {
                code = 503;
            } else if (failShare > 0 && chance.nextDouble() < failShare) {
                failed++;
                code = 500;
            } else if (working >= shape.cores && waiting.size() >= shape.waitingRoom) {
                code = 503;
            } else if (dedup.containsKey(job.flow)) {
                code = 200;
            } else if (working < shape.cores) {
                begin(now, job);
            } else {
                waiting.addLast(job);
            }
        }
        if (code > 0) {
            answer(link, code, header);
        } else if (code < 0) {
            die();
        }
    }

    private static long number(HttpParser.Message request, String header) {
        try {
            return Long.parseLong(request.header(header));
        } catch (NumberFormatException odd) {
            return 0;
        }
    }

    /** A cold server that is sent more than the multiple of what it can do for the stated time falls over. */
    private boolean overload(long now, long workNs) {
        if (startedAt == 0 || now - startedAt > shape.coldNs + fallNs) {
            return false;
        }
        asked.addLast(new long[] {now, workNs});
        askedWork += workNs;
        while (now - asked.peekFirst()[0] > fallNs) {
            askedWork -= asked.pollFirst()[1];
        }
        if (askedWork > 1.1 * fallMultiple * shape.cores * shape.speed * warmth(now) * fallNs) {
            fell = true;
        }
        return fell;
    }

    private void begin(long now, Job job) {
        working++;
        recorder.add(new Seen.Ran(now, id, shape.zone, shape.cell, job.slice, job.group, job.flow, true));
        boolean warm = shape.warmKeyGain > 0 && keys.put(job.key, now) != null;
        while (keys.size() > shape.warmKeys) {
            keys.remove(keys.keySet().iterator().next());
        }
        double work = job.workNs * (warm ? 1 - shape.warmKeyGain : 1);
        long took = (long) (work * slow / (shape.speed * warmth(now)));
        busyNs += took;
        long wait = Math.max(0, pausedUntil - now);
        net.timer().schedule(() -> finish(job), took + wait, TimeUnit.NANOSECONDS);
    }

    private void finish(Job job) {
        boolean lose;
        String header;
        long now = System.nanoTime();
        synchronized (this) {
            if (job.life != life) {
                return;
            }
            long still = pausedUntil - now;
            if (still > 1_000_000) {
                net.timer().schedule(() -> finish(job), still, TimeUnit.NANOSECONDS);
                return;
            }
            working--;
            done++;
            recorder.add(new Seen.Ran(now, id, shape.zone, shape.cell, job.slice, job.group, job.flow, false));
            if (shape.dedupNs > 0) {
                dedup.put(job.flow, now);
                while (now - dedup.values().iterator().next() > shape.dedupNs) {
                    dedup.remove(dedup.keySet().iterator().next());
                }
            }
            lose = loseShare > 0 && chance.nextDouble() < loseShare;
            header = report(now);
            Job next = waiting.pollFirst();
            // What waits for a stream that is gone is dropped unseen; nobody would hear the answer.
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

    private String report(long now) {
        if (now - reportAt > REPORT_NS) {
            double span = reportAt == 0 ? REPORT_NS : now - reportAt;
            double noise = 0.95 + 0.1 * chance.nextDouble();
            lastBusy = Math.min(1, (busyNs - busyMark) / span / shape.cores * noise);
            lastBusy = Math.max(lastBusy, working >= shape.cores ? 0.9 : 0);
            busyMark = busyNs;
            lastPerS = done * 1e9 / span;
            done = failed = 0;
            reportAt = now;
        }
        Map<Event.Measure, Double> report = new EnumMap<>(Event.Measure.class);
        report.put(Event.Measure.BUSY, lastBusy);
        report.put(Event.Measure.DELIVERED_PER_S, lastPerS);
        report.put(Event.Measure.HELD, (double) working + waiting.size());
        return Orca.write(report);
    }

    private static void answer(Link link, int code, String report) {
        String reason = code == 200 ? "OK" : code == 503 ? "Service Unavailable" : "Internal Server Error";
        link.send(ByteBuffer.wrap(("HTTP/1.1 " + code + " " + reason + "\r\n" + Orca.HEADER + ": " + report
                        + "\r\ncontent-length: 0\r\n\r\n")
                .getBytes(StandardCharsets.US_ASCII)));
    }
}
