package puffinbarrow.load;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.PriorityQueue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.locks.LockSupport;
import java.util.function.Consumer;
import org.HdrHistogram.SingleWriterRecorder;
import puffinbarrow.net.HttpParser;
import puffinbarrow.net.Link;
import puffinbarrow.net.Net;

/**
 * One sending thread with its own connections, time-outs and result, which it alone touches. Threads of its channel
 * group parse answers and hand them over with the time they came. A flow that leaves late counts from its intended
 * start all the same, and by how much it was late is kept.
 */
final class Sender implements AutoCloseable {
    private static final long SECOND = 1_000_000_000L;
    /** The longest sleep: a flow leaves at most this late of a machine that has time. */
    private static final long NAP_NS = 200_000;
    /** What a wake-up is late by on a quiet machine. */
    private static final long SPIN_NS = 80_000;
    /** After the system had no handle or port left, one more connection is tried this long after. */
    private static final long HANDLES_AGAIN_NS = SECOND;
    /** A request that fits the socket's own buffer is sent whole before its answer can come. */
    private static final int SENT_AT_ONCE = 64 * 1024;
    /** Answers to flows are kilobytes; a target that sends more than this is not read further. */
    private static final int ANSWER_BYTES = 16 << 20;

    private enum End {
        ANSWER,
        REFUSED,
        RESET,
        MALFORMED,
        NO_HANDLE
    }

    /** What a channel thread saw. */
    private record Happened(
            Wire wire, Call call, End end, int code, long retryAfterNs, long atNs, long firstByteNs, boolean stray) {}

    private final class Call implements Wheel.Timed {
        final Flow flow;
        final long intendedNs;
        final int attempt;
        final Target target;
        long sentNs;
        volatile long firstByteNs;
        boolean done;
        Wire wire;

        Call(Flow flow, long intendedNs, int attempt) {
            this.flow = flow;
            this.intendedNs = intendedNs;
            this.attempt = attempt;
            this.target = targets.get(flow.target());
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
        final int most;
        /** Lower than that while the system gives no more handles. */
        int limit;

        long limitedAt;

        Target(InetSocketAddress address, int limit) {
            this.address = address;
            this.limit = this.most = limit;
            this.name = Net.text(address);
        }
    }

    /** One connection; one call on it at a time. */
    private final class Wire implements Link.Receiver {
        final Target target;
        final HttpParser parser = new HttpParser(false, ANSWER_BYTES, this::answered);
        volatile Link link;
        volatile Call call;
        int requestBytes;
        boolean dropped;
        /** The answer of the read that is being parsed; handed over once all its bytes were looked at. */
        private HttpParser.Message whole;

        private boolean stray;

        Wire(Target target) {
            this.target = target;
        }

        private void answered(HttpParser.Message answer) {
            stray |= whole != null || call == null;
            whole = whole == null ? answer : whole;
        }

        @Override
        public void received(Link from, ByteBuffer bytes) {
            Call now = call;
            if (now != null && now.firstByteNs == 0) {
                now.firstByteNs = System.nanoTime();
            }
            Link.Cause wrong = null;
            try {
                parser.feed(bytes);
            } catch (HttpParser.Malformed malformed) {
                // What comes after a whole answer is not that answer's fault.
                stray |= whole != null;
                wrong = Link.Cause.BAD_INPUT;
            }
            if (whole != null) {
                handOver(from, now);
            } else if (wrong != null) {
                from.close(wrong, "");
            }
        }

        private void handOver(Link from, Call now) {
            HttpParser.Message answer = whole;
            whole = null;
            boolean more = stray || !parser.idle();
            stray = false;
            String echoed = answer.header("x-flow");
            int code;
            try {
                code = Integer.parseInt(answer.first());
            } catch (NumberFormatException odd) {
                code = -1;
            }
            boolean ours = now != null && (echoed.isEmpty() || echoed.equals(Long.toString(now.flow.number())));
            boolean early = requestBytes > SENT_AT_ONCE && from.queuedBytes() > 0;
            call = null;
            // Closed before it is handed over: the sender must not find it idle.
            if (!ours
                    || more
                    || early
                    || code < 100
                    || answer.header("connection").equalsIgnoreCase("close")) {
                from.close();
            }
            report(new Happened(
                    this,
                    now,
                    ours && code >= 100 ? End.ANSWER : End.MALFORMED,
                    code,
                    retryAfter(answer),
                    System.nanoTime(),
                    now == null ? 0 : now.firstByteNs,
                    more || !ours));
        }

        private long retryAfter(HttpParser.Message answer) {
            String text = answer.header("retry-after");
            if (text.isEmpty()) {
                return -1;
            }
            try {
                return Math.multiplyExact(Long.parseLong(text), SECOND);
            } catch (ArithmeticException | NumberFormatException date) {
                return 0;
            }
        }

        @Override
        public void ended(Link from, Link.Cause cause, String detail) {
            if (cause == Link.Cause.PEER_CLOSED) {
                parser.closed();
                if (whole != null && call != null) {
                    handOver(from, call);
                }
            }
            Call now = call;
            call = null;
            report(new Happened(
                    this,
                    now,
                    cause == Link.Cause.BAD_INPUT ? End.MALFORMED : End.RESET,
                    0,
                    -1,
                    System.nanoTime(),
                    0,
                    false));
        }
    }

    private final Scenario scenario;
    private final Net net;
    private final Feeder.Lane lane;
    private final Consumer<Ended> ended;
    private final List<Target> targets = new ArrayList<>();
    private final ConcurrentLinkedQueue<Happened> happened = new ConcurrentLinkedQueue<>();
    private final PriorityQueue<Again> again = new PriorityQueue<>();
    private final byte[][] heads;
    private final int mostOpen;
    final Result result;
    /** For the progress line, read by another thread. */
    final SingleWriterRecorder recent = new SingleWriterRecorder(3);

    volatile long intendedCount, sentCount;
    volatile int open;
    private Wheel<Call> wheel;
    private volatile Thread driver;
    private volatile boolean parked;
    private long beganAt;

    Sender(int index, Scenario scenario, int handles, Feeder.Lane lane, Consumer<Ended> ended) throws IOException {
        this.scenario = scenario;
        this.lane = lane;
        this.ended = ended;
        // One thread: a second one would cost a hand-over between the two for each answer.
        this.net = new Net("load-" + index, 1);
        this.result = new Result(scenario.groups.size(), scenario.lengthNs);
        // Bounds hold for all senders together.
        int senders = scenario.senders;
        this.mostOpen = Math.max(1, (scenario.inFlight + senders - 1 - index) / senders);
        int connections = Math.max(
                1,
                Math.min(
                        (scenario.connections + senders - 1 - index) / senders,
                        handles / Math.max(1, scenario.targets.size())));
        scenario.targets.forEach(t -> targets.add(new Target(t, connections)));
        heads = new byte[scenario.groups.size()][];
        for (int i = 0; i < heads.length; i++) {
            Scenario.Group group = scenario.groups.get(i);
            heads[i] = head(group.method(), group.path(), i, group.bodyBytes());
        }
    }

    private static byte[] head(String method, String path, int group, int bodyBytes) {
        return (method + " " + path + " HTTP/1.1\r\nhost: load\r\nx-group: " + group + "\r\ncontent-length: "
                        + bodyBytes + "\r\n")
                .getBytes(StandardCharsets.ISO_8859_1);
    }

    private void report(Happened what) {
        happened.add(what);
        if (parked) {
            LockSupport.unpark(driver);
        }
    }

    /** Sends all of its lane and waits for every outcome. */
    void run(long beginAtNs) {
        driver = Thread.currentThread();
        beganAt = beginAtNs;
        wheel = new Wheel<>(beganAt);
        List<Call> due = new ArrayList<>();
        while (true) {
            long now = System.nanoTime();
            Flow next = lane.peek();
            while (next != null && beganAt + next.startNs() <= now) {
                lane.take();
                launch(next, now);
                next = lane.peek();
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
            if (next == null && lane.over() && open == 0) {
                return;
            }
            long until = next == null ? now + NAP_NS : Math.min(now + NAP_NS, beganAt + next.startNs());
            // The last stretch before a start is spun through: a sleep of so little ends late by as much again.
            if (until - now > SPIN_NS) {
                parked = true;
                if (happened.isEmpty()) {
                    LockSupport.parkNanos(until - now - SPIN_NS);
                }
                parked = false;
            } else if (happened.isEmpty()) {
                Thread.onSpinWait();
            }
        }
    }

    private void launch(Flow flow, long now) {
        long intended = beganAt + flow.startNs();
        result.intended++;
        intendedCount = result.intended;
        Result.Step step = result.step(flow.startNs());
        step.intended++;
        result.utilityAsked += scenario.groups.get(flow.group()).utility();
        Call call = new Call(flow, intended, 0);
        if (open >= mostOpen) {
            open++;
            neverSent(call, Result.Unsent.IN_FLIGHT_BOUND, now);
            return;
        }
        open++;
        wheel.set(call);
        long lag = Result.micros(now - intended);
        result.lag.recordValue(lag);
        step.lagMaxUs = Math.max(step.lagMaxUs, lag);
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
        if (target.limit < target.most && now - target.limitedAt > HANDLES_AGAIN_NS) {
            target.limit++;
            target.limitedAt = now;
        }
        if (target.open >= target.limit) {
            target.waiting.addLast(call);
            return;
        }
        target.open++;
        result.connections++;
        Wire wire = new Wire(target);
        call.wire = wire;
        wire.call = call;
        net.dial(
                target.address,
                wire,
                64 << 20,
                link -> {
                    wire.link = link;
                    put(wire, call);
                },
                failed -> {
                    String why = String.valueOf(failed.getMessage());
                    // The system's own words for no descriptor and no port left.
                    boolean none = why.contains("Too many open files") || why.contains("assign requested address");
                    wire.call = null;
                    report(new Happened(
                            wire, call, none ? End.NO_HANDLE : End.REFUSED, 0, -1, System.nanoTime(), 0, false));
                });
    }

    private void write(Wire wire, Call call) {
        call.wire = wire;
        wire.call = call;
        put(wire, call);
    }

    private void put(Wire wire, Call call) {
        long now = System.nanoTime();
        call.sentNs = now;
        Flow flow = call.flow;
        Flow.Ask ask = flow.ask();
        byte[] head = ask == null ? heads[flow.group()] : head(ask.method(), ask.path(), flow.group(), ask.bodyBytes());
        int body = ask == null ? scenario.groups.get(flow.group()).bodyBytes() : ask.bodyBytes();
        StringBuilder own = new StringBuilder(160);
        int slice = scenario.sliceOf(flow.key());
        own.append("x-key: ")
                .append(ask != null && ask.key() != null ? ask.key() : Integer.toString(flow.key()))
                .append("\r\nx-slice: ")
                .append(slice)
                .append("\r\nx-flow: ")
                .append(flow.number())
                .append("\r\nx-expiry-ns: ")
                .append(Math.max(0, call.timeoutAtNs() - now))
                .append("\r\nx-work-ns: ")
                .append(flow.workNs())
                .append("\r\n\r\n");
        byte[] tail = own.toString().getBytes(StandardCharsets.ISO_8859_1);
        ByteBuffer bytes = ByteBuffer.allocate(head.length + tail.length + body);
        bytes.put(head).put(tail).position(0);
        wire.requestBytes = bytes.remaining();
        wire.link.send(bytes);
    }

    private void take(Happened h) {
        Target target = h.wire.target;
        if (h.stray) {
            result.stray++;
        }
        boolean over = h.end != End.ANSWER || h.wire.link == null || h.wire.link.ended();
        if (over && !h.wire.dropped) {
            h.wire.dropped = true;
            target.open--;
        } else if (!over && h.call != null) {
            Call next = nextWaiting(target);
            if (next != null) {
                write(h.wire, next);
            } else {
                target.idle.addLast(h.wire);
            }
        }
        if (h.end == End.NO_HANDLE) {
            noHandle(h);
            return;
        }
        if (over) {
            Call next = nextWaiting(target);
            if (next != null) {
                send(next, h.atNs);
            }
        }
        if (h.call == null || h.call.done) {
            return;
        }
        switch (h.end) {
            case ANSWER -> answered(h);
            case REFUSED -> failed(h.call, Result.Outcome.REFUSED, h);
            case RESET -> failed(h.call, Result.Outcome.RESET, h);
            default -> failed(h.call, Result.Outcome.MALFORMED, h);
        }
    }

    /** The connections that are open must do; a target that has none can be sent nothing. */
    private void noHandle(Happened h) {
        result.noHandle++;
        Target target = h.wire.target;
        target.limit = Math.max(1, target.open);
        target.limitedAt = h.atNs;
        if (h.call.done) {
            return;
        }
        if (target.open > 0) {
            h.call.wire = null;
            target.waiting.addFirst(h.call);
        } else {
            neverSent(h.call, Result.Unsent.NO_HANDLE, h.atNs);
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
            Call call = h.call;
            long latency = Result.micros(h.atNs - call.intendedNs);
            long service = Result.micros(h.atNs - call.sentNs);
            long first = Result.micros(h.firstByteNs - call.sentNs);
            record(result.all, latency, service, first);
            record(result.groups[call.flow.group()], latency, service, first);
            record(part(call.target), latency, service, first);
            recent.recordValue(latency);
            result.step(call.flow.startNs()).latency.recordValue(latency);
            boolean inBudget = h.atNs - call.intendedNs
                    <= scenario.groups.get(call.flow.group()).budgetNs();
            finish(call, inBudget ? Result.Outcome.IN_BUDGET : Result.Outcome.LATE, h.atNs);
        } else {
            boolean blocked = h.code == 503 || h.code == 429;
            result.toldWhen += blocked && h.retryAfterNs >= 0 ? 1 : 0;
            failed(h.call, blocked ? Result.Outcome.BLOCKED : Result.Outcome.FAILED, h);
        }
    }

    private static void record(Result.Part part, long latency, long service, long first) {
        part.latency.recordValue(latency);
        part.service.recordValue(service);
        part.firstByte.recordValue(first);
    }

    private Result.Part part(Target target) {
        return result.targets.computeIfAbsent(target.name, t -> new Result.Part());
    }

    /**
     * A client's own retry belongs to its first try: same flow, same intended start, same target. What may not be
     * repeated comes again only if it was turned away or never reached the target.
     */
    private void failed(Call call, Result.Outcome outcome, Happened h) {
        boolean may = scenario.groups.get(call.flow.group()).repeats()
                || outcome == Result.Outcome.BLOCKED
                || outcome == Result.Outcome.REFUSED;
        long wait = scenario.retryWaitNs << call.attempt;
        // Up to twice the wait, by the flow itself, so that flows blocked together do not come again together.
        wait += wait == 0 ? 0 : Math.floorMod(call.flow.startNs(), wait);
        if (scenario.obeysRetryAfter) {
            wait = Math.max(wait, h.retryAfterNs);
        }
        if (may && call.attempt < scenario.retries && h.atNs + wait < call.timeoutAtNs()) {
            call.done = true;
            result.retries++;
            Call next = new Call(call.flow, call.intendedNs, call.attempt + 1);
            wheel.set(next);
            again.add(new Again(h.atNs + wait, next));
        } else {
            finish(call, outcome, h.atNs);
        }
    }

    private void timedOut(Call call) {
        boolean sent = call.sentNs != 0 || call.attempt > 0;
        Wire wire = call.wire;
        if (wire != null && wire.call == call && wire.link != null) {
            wire.call = null;
            wire.link.close();
        }
        if (sent) {
            finish(call, Result.Outcome.TIMED_OUT, System.nanoTime());
        } else {
            neverSent(call, Result.Unsent.NO_CONNECTION_FREE, System.nanoTime());
        }
    }

    private void neverSent(Call call, Result.Unsent why, long now) {
        result.unsent.merge(why, 1L, Long::sum);
        finish(call, Result.Outcome.NEVER_SENT, now);
    }

    private void finish(Call call, Result.Outcome outcome, long now) {
        call.done = true;
        open--;
        result.all.add(outcome);
        result.groups[call.flow.group()].add(outcome);
        part(call.target).add(outcome);
        result.step(call.flow.startNs()).outcomes[outcome.ordinal()]++;
        if (outcome != Result.Outcome.NEVER_SENT) {
            sentCount++;
        }
        if (outcome == Result.Outcome.IN_BUDGET) {
            result.utilityGot += scenario.groups.get(call.flow.group()).utility();
        }
        if (ended != null) {
            ended.accept(
                    new Ended(call.intendedNs, call.flow.group(), outcome, now - call.intendedNs, call.attempt + 1));
        }
    }

    @Override
    public void close() {
        net.close();
    }
}
