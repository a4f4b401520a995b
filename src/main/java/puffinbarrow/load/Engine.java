package puffinbarrow.load;

import java.io.IOException;
import java.io.PrintStream;
import java.lang.management.GarbageCollectorMXBean;
import java.lang.management.ManagementFactory;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.PriorityQueue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.locks.LockSupport;
import org.HdrHistogram.Histogram;
import puffinbarrow.net.HttpParser;
import puffinbarrow.net.Link;
import puffinbarrow.net.Net;

/**
 * Sends a scenario's flows at their intended starts and never waits for answers before the next. One thread decides
 * (arrivals, connections, time-outs, outcomes) and alone touches the result; threads of the channel group parse
 * answers and hand them over with the time they came. A flow that leaves late counts from its intended start all the
 * same, and by how much it was late is kept.
 */
public final class Engine implements AutoCloseable {
    private static final long SECOND = 1_000_000_000L;
    /** The longest sleep: a flow leaves at most this late of a machine that has time. */
    private static final long NAP_NS = 200_000;
    /** What a wake-up is late by on a quiet machine. */
    private static final long SPIN_NS = 80_000;

    private enum End { ANSWER, REFUSED, RESET, MALFORMED }

    /** What a channel thread saw. */
    private record Happened(Wire wire, Call call, End end, int code, boolean retryAfter, long atNs, long firstByteNs) {}

    private final class Call implements Wheel.Timed {
        final Arrivals.Flow flow;
        final long intendedNs;
        final int attempt;
        final Target target;
        long sentNs;
        volatile long firstByteNs;
        boolean done;
        Wire wire;

        Call(Arrivals.Flow flow, long intendedNs, int attempt, Target target) {
            this.flow = flow;
            this.intendedNs = intendedNs;
            this.attempt = attempt;
            this.target = target;
        }

        @Override
        public boolean done() {
            return done;
        }

        @Override
        public long timeoutAtNs() {
            return intendedNs + scenario.groups.get(flow.group()).expiryNs();
        }
    }

    private record Again(long atNs, Call call) implements Comparable<Again> {
        @Override
        public int compareTo(Again other) {
            return Long.compare(atNs, other.atNs);
        }
    }

    private static final class Target {
        final InetSocketAddress address;
        final String name;
        final ArrayDeque<Wire> idle = new ArrayDeque<>();
        final ArrayDeque<Call> waiting = new ArrayDeque<>();
        int open;

        Target(InetSocketAddress address) {
            this.address = address;
            this.name = address.getAddress().getHostAddress() + ":" + address.getPort();
        }
    }

    /** One connection; one call on it at a time. */
    private final class Wire implements Link.Receiver {
        final Target target;
        final HttpParser parser = new HttpParser(false, 16 << 20, this::answered);
        volatile Link link;
        volatile Call call;
        boolean dropped;

        Wire(Target target) {
            this.target = target;
        }

        private void answered(HttpParser.Message answer) {
            Call now = call;
            call = null;
            int code = Integer.parseInt(answer.first());
            boolean close = answer.header("connection").equalsIgnoreCase("close");
            happened.add(new Happened(this, now, now == null ? End.MALFORMED : End.ANSWER, code,
                    !answer.header("retry-after").isEmpty(), System.nanoTime(), now == null ? 0 : now.firstByteNs));
            if (close || now == null) {
                link.close();
            }
            LockSupport.unpark(driver);
        }

        @Override
        public void received(Link from, ByteBuffer bytes) {
            Call now = call;
            if (now != null && now.firstByteNs == 0) {
                now.firstByteNs = System.nanoTime();
            }
            try {
                parser.feed(bytes);
            } catch (HttpParser.Malformed | NumberFormatException wrong) {
                from.close(Link.Cause.BAD_INPUT, wrong.getMessage());
            }
        }

        @Override
        public void ended(Link from, Link.Cause cause, String detail) {
            if (cause == Link.Cause.PEER_CLOSED) {
                parser.closed();
            }
            Call now = call;
            call = null;
            happened.add(new Happened(this, now, cause == Link.Cause.BAD_INPUT ? End.MALFORMED : End.RESET, 0, false,
                    System.nanoTime(), 0));
            LockSupport.unpark(driver);
        }
    }

    private final Scenario scenario;
    private final Net net;
    private final Result result;
    private final Arrivals arrivals;
    private final List<Target> targets = new ArrayList<>();
    private final ConcurrentLinkedQueue<Happened> happened = new ConcurrentLinkedQueue<>();
    private final PriorityQueue<Again> again = new PriorityQueue<>();
    private final byte[][] heads;
    private Wheel<Call> wheel;
    private volatile Thread driver;
    private volatile boolean running;
    private long beganAt;
    private long open;
    private int turn;

    public Engine(Scenario scenario) throws IOException {
        this.scenario = scenario;
        this.net = new Net("load", 3);
        int seconds = (int) (scenario.lengthNs / SECOND) + 1;
        this.result = new Result(scenario.groups.size(), seconds);
        this.arrivals = new Arrivals(scenario);
        scenario.targets.forEach(t -> targets.add(new Target(t)));
        heads = new byte[scenario.groups.size()][];
        for (int i = 0; i < heads.length; i++) {
            Scenario.Group group = scenario.groups.get(i);
            heads[i] = (group.method() + " " + group.path() + " HTTP/1.1\r\nhost: load\r\nx-group: " + i
                    + "\r\nx-expiry-ns: " + group.expiryNs() + "\r\ncontent-length: " + group.bodyBytes() + "\r\n")
                    .getBytes(StandardCharsets.US_ASCII);
        }
    }

    /** Sends it all and waits for every outcome. */
    public Result run(PrintStream progress) {
        driver = Thread.currentThread();
        running = true;
        Thread hiccup = new Thread(this::hiccups, "load-hiccups");
        hiccup.setDaemon(true);
        hiccup.start();
        long gcBefore = gcMs();
        beganAt = System.nanoTime();
        wheel = new Wheel<>(beganAt);
        Arrivals.Flow next = arrivals.next();
        List<Call> due = new ArrayList<>();
        long said = beganAt;
        while (next != null || open > 0) {
            long now = System.nanoTime();
            while (next != null && beganAt + next.startNs() <= now) {
                launch(next, now);
                next = arrivals.next();
            }
            for (Happened each = happened.poll(); each != null; each = happened.poll()) {
                take(each);
            }
            while (!again.isEmpty() && again.peek().atNs <= now) {
                send(again.poll().call, now);
            }
            wheel.turn(now, due);
            due.forEach(this::timedOut);
            due.clear();
            if (progress != null && now - said >= SECOND) {
                said += SECOND;
                say(progress, now);
            }
            long until = next == null ? now + NAP_NS : Math.min(now + NAP_NS, beganAt + next.startNs());
            // The last stretch before a start is spun through: a sleep of so little ends late by as much again.
            if (happened.isEmpty() && until - now > SPIN_NS) {
                LockSupport.parkNanos(until - now - SPIN_NS);
            } else {
                Thread.onSpinWait();
            }
        }
        running = false;
        try {
            hiccup.join(1000);
        } catch (InterruptedException hurried) {
            Thread.currentThread().interrupt();
        }
        result.gcPauseMs = gcMs() - gcBefore;
        return result;
    }

    private static long gcMs() {
        return ManagementFactory.getGarbageCollectorMXBeans().stream()
                .mapToLong(GarbageCollectorMXBean::getCollectionTime).sum();
    }

    private void say(PrintStream progress, long now) {
        int second = (int) Math.min(result.seconds.length - 1, (now - beganAt) / SECOND - 1);
        Result.Second s = result.seconds[Math.max(0, second)];
        progress.printf(Locale.ROOT, "%4d s  intended %6d/s  sent %6d/s  open %6d  p50 %8.2f ms  p99 %8.2f ms  host late "
                + "%.1f ms%n", second + 1, s.intended, s.sent, open, s.latency.getValueAtPercentile(50) / 1e3,
                s.latency.getValueAtPercentile(99) / 1e3, Math.max(s.lagMaxUs, s.hiccupMaxUs) / 1e3);
    }

    /** Wakes up every millisecond and notes by how much it was late: what this host adds to any latency. */
    private void hiccups() {
        long last = System.nanoTime();
        Histogram own = new Histogram(60_000_000, 3);
        while (running) {
            LockSupport.parkNanos(1_000_000);
            long now = System.nanoTime();
            long late = Result.micros(now - last - 1_000_000);
            last = now;
            own.recordValue(late);
            int second = (int) ((now - beganAt) / SECOND);
            if (beganAt != 0 && second >= 0 && second < result.seconds.length) {
                result.seconds[second].hiccupMaxUs = Math.max(result.seconds[second].hiccupMaxUs, late);
            }
        }
        synchronized (result.hiccups) {
            result.hiccups.add(own);
        }
    }

    private Result.Second second(long intendedNs) {
        return result.seconds[(int) Math.min(result.seconds.length - 1, (intendedNs - beganAt) / SECOND)];
    }

    private void launch(Arrivals.Flow flow, long now) {
        long intended = beganAt + flow.startNs();
        result.intended++;
        second(intended).intended++;
        result.utilityAsked += scenario.groups.get(flow.group()).utility();
        Call call = new Call(flow, intended, 0, targets.get(turn++ % targets.size()));
        if (open >= scenario.inFlight) {
            open++;
            finish(call, Result.Outcome.NEVER_SENT, now);
            return;
        }
        open++;
        wheel.set(call);
        long lag = Result.micros(now - intended);
        result.lag.recordValue(lag);
        second(intended).lagMaxUs = Math.max(second(intended).lagMaxUs, lag);
        send(call, now);
    }

    private void send(Call call, long now) {
        if (call.done) {
            return;
        }
        Target target = call.target;
        for (Wire idle = target.idle.pollLast(); idle != null; idle = target.idle.pollLast()) {
            if (!idle.link.ended()) {
                write(idle, call);
                return;
            }
        }
        if (target.open >= scenario.connections) {
            target.waiting.addLast(call);
            return;
        }
        target.open++;
        Wire wire = new Wire(target);
        call.wire = wire;
        wire.call = call;
        net.dial(target.address, wire, 64 << 20, link -> {
            wire.link = link;
            put(link, call);
        }, failed -> {
            happened.add(new Happened(wire, call, End.REFUSED, 0, false, System.nanoTime(), 0));
            LockSupport.unpark(driver);
        });
    }

    private void write(Wire wire, Call call) {
        call.wire = wire;
        wire.call = call;
        put(wire.link, call);
    }

    private void put(Link link, Call call) {
        call.sentNs = System.nanoTime();
        byte[] head = heads[call.flow.group()];
        byte[] own = ("x-key: " + call.flow.key() + "\r\nx-slice: " + call.flow.key() + "\r\nx-flow: "
                + call.flow.number() + "\r\nx-work-ns: " + call.flow.workNs() + "\r\n\r\n")
                .getBytes(StandardCharsets.US_ASCII);
        ByteBuffer bytes = ByteBuffer.allocate(head.length + own.length
                + scenario.groups.get(call.flow.group()).bodyBytes());
        bytes.put(head).put(own).position(0);
        link.send(bytes);
    }

    private void take(Happened h) {
        boolean over = h.end == End.RESET || h.end == End.MALFORMED || h.end == End.REFUSED || h.wire.link == null
                || h.wire.link.ended();
        if (over && !h.wire.dropped) {
            h.wire.dropped = true;
            h.wire.target.open--;
        } else if (!over && h.call != null) {
            Call next = nextWaiting(h.wire.target);
            if (next != null) {
                write(h.wire, next);
            } else {
                h.wire.target.idle.addLast(h.wire);
            }
        }
        if (over) {
            Call next = nextWaiting(h.wire.target);
            if (next != null) {
                send(next, h.atNs);
            }
        }
        if (h.call == null || h.call.done) {
            return;
        }
        switch (h.end) {
            case ANSWER -> answered(h);
            case REFUSED -> failed(h.call, Result.Outcome.REFUSED, h.atNs);
            case RESET -> failed(h.call, Result.Outcome.RESET, h.atNs);
            case MALFORMED -> failed(h.call, Result.Outcome.MALFORMED, h.atNs);
        }
    }

    private static Call nextWaiting(Target target) {
        Call next = target.waiting.pollFirst();
        while (next != null && next.done) {
            next = target.waiting.pollFirst();
        }
        return next;
    }

    private void answered(Happened h) {
        if (h.code >= 200 && h.code < 400) {
            Result.Part group = result.groups[h.call.flow.group()];
            long service = Result.micros(h.atNs - h.call.sentNs);
            long first = Result.micros(h.firstByteNs - h.call.sentNs);
            for (Result.Part part : List.of(result.all, group, part(h.call.target))) {
                part.latency.recordValue(Result.micros(h.atNs - h.call.intendedNs));
                part.service.recordValue(service);
                part.firstByte.recordValue(first);
            }
            Result.Second second = second(h.call.intendedNs);
            long latency = Result.micros(h.atNs - h.call.intendedNs);
            second.latency.recordValue(latency);
            second.latencyMaxUs = Math.max(second.latencyMaxUs, latency);
            boolean inBudget = h.atNs - h.call.intendedNs <= scenario.groups.get(h.call.flow.group()).budgetNs();
            finish(h.call, inBudget ? Result.Outcome.IN_BUDGET : Result.Outcome.LATE, h.atNs);
        } else {
            failed(h.call, h.code == 503 || h.code == 429 ? Result.Outcome.BLOCKED : Result.Outcome.FAILED, h.atNs);
        }
    }

    private Result.Part part(Target target) {
        return result.targets.computeIfAbsent(target.name, t -> new Result.Part());
    }

    /** A client's own retry belongs to its first try: same flow, same intended start. */
    private void failed(Call call, Result.Outcome outcome, long now) {
        if (call.attempt < scenario.retries && now + scenario.retryWaitNs < call.timeoutAtNs()) {
            call.done = true;
            result.all.retries++;
            Call next = new Call(call.flow, call.intendedNs, call.attempt + 1, targets.get(turn++ % targets.size()));
            wheel.set(next);
            again.add(new Again(now + scenario.retryWaitNs, next));
        } else {
            finish(call, outcome, now);
        }
    }

    private void timedOut(Call call) {
        boolean sent = call.sentNs != 0;
        if (call.wire != null && call.wire.call == call && call.wire.link != null) {
            call.wire.call = null;
            call.wire.link.close();
        }
        finish(call, sent ? Result.Outcome.TIMED_OUT : Result.Outcome.NEVER_SENT, System.nanoTime());
    }

    private void finish(Call call, Result.Outcome outcome, long now) {
        call.done = true;
        open--;
        result.all.add(outcome);
        result.groups[call.flow.group()].add(outcome);
        part(call.target).add(outcome);
        Result.Second second = second(call.intendedNs);
        if (outcome != Result.Outcome.NEVER_SENT) {
            second.sent++;
        }
        if (outcome == Result.Outcome.IN_BUDGET) {
            second.inBudget++;
            result.utilityGot += scenario.groups.get(call.flow.group()).utility();
        } else {
            second.other++;
        }
    }

    @Override
    public void close() {
        net.close();
    }
}
