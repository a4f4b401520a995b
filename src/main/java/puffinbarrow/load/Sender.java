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
 * One sending thread of the load generator with its own connections, time-outs and result. Engine starts one thread per
 * sender in run(). The single thread of the sender's channel group connects, parses responses and passes them to the
 * sending thread through a queue, with their time of arrival; all other state belongs to the sending thread. Latency
 * counts from a flow's intended start even if the flow leaves late, and the lag is recorded.
 */
final class Sender implements AutoCloseable {
    private static final long SECOND = 1_000_000_000L;
    /** Longest sleep of the sending thread, and so the most that a flow leaves late on a machine with idle CPU. */
    private static final long MAX_SLEEP_NS = 200_000;
    /** Usual lateness of a wake-up on an idle machine; waits shorter than this spin. */
    private static final long SPIN_BELOW_NS = 80_000;
    /** After the system ran out of descriptors or ports, the connection limit rises by one at this interval. */
    private static final long RAISE_LIMIT_EVERY_NS = SECOND;
    /** A request up to this size fits the socket's send buffer, so it is fully sent before its response can arrive. */
    private static final int MAX_BUFFERED_REQUEST_BYTES = 64 * 1024;
    /** Largest response accepted. Responses are kilobytes; a target that sends more is not read further. */
    private static final int MAX_RESPONSE_BYTES = 16 << 20;

    /** Most bytes queued for writing on one connection. */
    private static final int MAX_QUEUED_BYTES = 64 << 20;

    /** What an event reports: a response, or why there is none. */
    private enum Ending {
        RESPONSE,
        REFUSED,
        RESET,
        MALFORMED,
        NO_HANDLE
    }

    /** What the channel thread observed on a connection; attempt is null if none was in progress. */
    private record ConnectionEvent(
            Connection connection,
            Attempt attempt,
            Ending ending,
            int code,
            long retryAfterNs,
            long atNs,
            long firstByteNs,
            boolean unexpectedData) {}

    /** One attempt of a flow. A retry is a new attempt with the same intended start. */
    private final class Attempt implements TimerWheel.Entry {
        final Flow flow;
        final long intendedStartNs;
        /** 0 for the first attempt, then counted up with each retry. */
        final int number;

        final Target target;
        long sentNs;
        volatile long firstByteNs;
        /** Whether the attempt has an outcome or was replaced by a retry. */
        boolean finished;

        Connection connection;

        Attempt(Flow flow, long intendedStartNs, int number) {
            this.flow = flow;
            this.intendedStartNs = intendedStartNs;
            this.number = number;
            this.target = targets.get(flow.target());
        }

        @Override
        public boolean finished() {
            return finished;
        }

        @Override
        public long timeoutAtNs() {
            return intendedStartNs + scenario.groups.get(flow.group()).expiryNs();
        }
    }

    /** An attempt to be sent at a later time. */
    private record ScheduledRetry(long atNs, Attempt attempt) implements Comparable<ScheduledRetry> {
        @Override
        public int compareTo(ScheduledRetry other) {
            return Long.compare(atNs, other.atNs);
        }
    }

    /** One target address with its connections and the attempts that wait for one. */
    private static final class Target {
        final InetSocketAddress address;
        final String name;
        /** Open connections without an attempt; the most recently used is taken first. */
        final ArrayDeque<Connection> idle = new ArrayDeque<>();

        final ArrayDeque<Attempt> waitingAttempts = new ArrayDeque<>();
        /** Connections open or being opened. */
        int open;

        final int maxConnections;
        /** Connections allowed now; below maxConnections while the system has no descriptor or port left. */
        int connectionLimit;

        /** When connectionLimit was last changed, by System.nanoTime. */
        long limitChangedAtNs;

        Target(InetSocketAddress address, int maxConnections) {
            this.address = address;
            this.connectionLimit = this.maxConnections = maxConnections;
            this.name = Net.formatAddress(address);
        }
    }

    /** One connection, which carries one attempt at a time. */
    private final class Connection implements Link.Receiver {
        final Target target;
        final HttpParser parser = new HttpParser(false, MAX_RESPONSE_BYTES, this::responseParsed);
        volatile Link link;
        /** The attempt in progress, or null; set by the sending thread, cleared by either thread. */
        volatile Attempt attempt;

        int requestBytes;
        /** Whether this connection is already subtracted from its target's open ones. */
        boolean removed;
        /**
         * The response completed by the read that is being parsed; passed on once all bytes of that read are parsed.
         */
        private HttpParser.Message response;

        /** Whether more came than the one response that was due. */
        private boolean unexpectedData;

        Connection(Target target) {
            this.target = target;
        }

        /** Called by the parser for each complete response. */
        private void responseParsed(HttpParser.Message message) {
            unexpectedData |= response != null || attempt == null;
            response = response == null ? message : response;
        }

        @Override
        public void received(Link from, ByteBuffer bytes) {
            Attempt current = attempt;
            if (current != null && current.firstByteNs == 0) {
                current.firstByteNs = System.nanoTime();
            }
            Link.Cause closeCause = null;
            try {
                parser.feed(bytes);
            } catch (HttpParser.Malformed malformed) {
                // Malformed bytes after a complete response do not make that response malformed.
                unexpectedData |= response != null;
                closeCause = Link.Cause.BAD_INPUT;
            }
            if (response != null) {
                reportResponse(from, current);
            } else if (closeCause != null) {
                from.close(closeCause, "");
            }
        }

        /** Passes the complete response on as an event; closes the connection unless it can be used again. */
        private void reportResponse(Link from, Attempt current) {
            HttpParser.Message message = response;
            response = null;
            boolean moreData = unexpectedData || !parser.idle();
            unexpectedData = false;
            String echoed = message.header("x-flow");
            int code;
            try {
                code = Integer.parseInt(message.first());
            } catch (NumberFormatException notNumeric) {
                code = -1;
            }
            boolean matches =
                    current != null && (echoed.isEmpty() || echoed.equals(Long.toString(current.flow.number())));
            boolean beforeRequestSent = requestBytes > MAX_BUFFERED_REQUEST_BYTES && from.queuedBytes() > 0;
            attempt = null;
            // Closed before the event is queued, so that the sending thread does not take the connection as idle.
            if (!matches
                    || moreData
                    || beforeRequestSent
                    || code < 100
                    || message.header("connection").equalsIgnoreCase("close")) {
                from.close();
            }
            report(new ConnectionEvent(
                    this,
                    current,
                    matches && code >= 100 ? Ending.RESPONSE : Ending.MALFORMED,
                    code,
                    retryAfter(message),
                    System.nanoTime(),
                    current == null ? 0 : current.firstByteNs,
                    moreData || !matches));
        }

        /**
         * Returns the wait that the response asks for in nanoseconds, 0 if it is not a number of seconds, -1 if none.
         */
        private long retryAfter(HttpParser.Message message) {
            String text = message.header("retry-after");
            if (text.isEmpty()) {
                return -1;
            }
            try {
                return Math.multiplyExact(Long.parseLong(text), SECOND);
            } catch (ArithmeticException | NumberFormatException notSeconds) {
                return 0;
            }
        }

        @Override
        public void ended(Link from, Link.Cause cause, String detail) {
            if (cause == Link.Cause.PEER_CLOSED) {
                parser.endOfInput();
                if (response != null && attempt != null) {
                    reportResponse(from, attempt);
                }
            }
            Attempt current = attempt;
            attempt = null;
            report(new ConnectionEvent(
                    this,
                    current,
                    cause == Link.Cause.BAD_INPUT ? Ending.MALFORMED : Ending.RESET,
                    0,
                    -1,
                    System.nanoTime(),
                    0,
                    false));
        }
    }

    private final Scenario scenario;
    private final Net net;
    private final Feeder.SenderQueue queue;
    /** Notified of each flow's end on the sending thread; may be null. */
    private final Consumer<FlowEnd> onFlowEnd;

    private final List<Target> targets = new ArrayList<>();
    private final ConcurrentLinkedQueue<ConnectionEvent> events = new ConcurrentLinkedQueue<>();
    private final PriorityQueue<ScheduledRetry> scheduledRetries = new PriorityQueue<>();
    /** Request line and constant headers of each group, by its index. */
    private final byte[][] requestHeads;
    /** Most flows in progress at once on this sender. */
    private final int maxInFlight;

    final Result result;
    /** Latencies in microseconds since the last progress line, which Engine's thread reads. */
    final SingleWriterRecorder recent = new SingleWriterRecorder(3);

    /** Flows whose intended start has come. Read by Engine's thread, like the next two counts. */
    volatile long intendedCount;

    /** Flows that ended with another outcome than NEVER_SENT. */
    volatile long sentCount;
    /** Flows in progress. */
    volatile int open;

    private TimerWheel<Attempt> wheel;
    private volatile Thread sendingThread;
    /** Whether the sending thread sleeps or is about to, and needs to be woken for an event. */
    private volatile boolean parked;
    /** Start of the run, by System.nanoTime. */
    private long startedAtNs;

    Sender(int index, Scenario scenario, int handles, Feeder.SenderQueue queue, Consumer<FlowEnd> onFlowEnd)
            throws IOException {
        this.scenario = scenario;
        this.queue = queue;
        this.onFlowEnd = onFlowEnd;
        // One thread, since a second one would add a hand-over between the two for each response.
        this.net = new Net("load-" + index, 1);
        this.result = new Result(scenario.groups.size(), scenario.lengthNs);
        // The scenario's bounds hold for all senders together; each gets its share, rounded up for the first ones.
        int senders = scenario.senders;
        this.maxInFlight = Math.max(1, (scenario.inFlight + senders - 1 - index) / senders);
        int connections = Math.max(
                1,
                Math.min(
                        (scenario.connections + senders - 1 - index) / senders,
                        handles / Math.max(1, scenario.targets.size())));
        scenario.targets.forEach(t -> targets.add(new Target(t, connections)));
        requestHeads = new byte[scenario.groups.size()][];
        for (int i = 0; i < requestHeads.length; i++) {
            Scenario.Group group = scenario.groups.get(i);
            requestHeads[i] = requestHead(group.method(), group.path(), i, group.bodyBytes());
        }
    }

    /** Builds the request line and the headers that all requests of a kind share. */
    private static byte[] requestHead(String method, String path, int group, int bodyBytes) {
        return (method + " " + path + " HTTP/1.1\r\nhost: load\r\nx-group: " + group + "\r\ncontent-length: "
                        + bodyBytes + "\r\n")
                .getBytes(StandardCharsets.ISO_8859_1);
    }

    /** Queues an event for the sending thread and wakes it; called on the channel thread. */
    private void report(ConnectionEvent event) {
        events.add(event);
        if (parked) {
            LockSupport.unpark(sendingThread);
        }
    }

    /** Sends all flows of its queue and returns when each has an outcome. */
    void run(long startAtNs) {
        sendingThread = Thread.currentThread();
        startedAtNs = startAtNs;
        wheel = new TimerWheel<>(startedAtNs);
        List<Attempt> due = new ArrayList<>();
        while (true) {
            long nowNs = System.nanoTime();
            Flow next = queue.peek();
            while (next != null && startedAtNs + next.startNs() <= nowNs) {
                queue.removeHead();
                startFlow(next, nowNs);
                next = queue.peek();
            }
            for (ConnectionEvent event = events.poll(); event != null; event = events.poll()) {
                handleEvent(event);
            }
            while (!scheduledRetries.isEmpty() && scheduledRetries.peek().atNs <= nowNs) {
                dispatch(scheduledRetries.poll().attempt, nowNs);
            }
            wheel.advance(nowNs, due);
            due.forEach(this::timedOut);
            due.clear();
            if (next == null && queue.exhausted() && open == 0) {
                return;
            }
            long wakeUpAtNs =
                    next == null ? nowNs + MAX_SLEEP_NS : Math.min(nowNs + MAX_SLEEP_NS, startedAtNs + next.startNs());
            // The last stretch before a start is spun through: so short a sleep would end late by as much again.
            if (wakeUpAtNs - nowNs > SPIN_BELOW_NS) {
                parked = true;
                if (events.isEmpty()) {
                    LockSupport.parkNanos(wakeUpAtNs - nowNs - SPIN_BELOW_NS);
                }
                parked = false;
            } else if (events.isEmpty()) {
                Thread.onSpinWait();
            }
        }
    }

    /** Starts a flow whose intended start has come. */
    private void startFlow(Flow flow, long nowNs) {
        long intendedStartNs = startedAtNs + flow.startNs();
        result.intended++;
        intendedCount = result.intended;
        Result.Interval interval = result.interval(flow.startNs());
        interval.intended++;
        result.utilityAsked += scenario.groups.get(flow.group()).utility();
        Attempt attempt = new Attempt(flow, intendedStartNs, 0);
        if (open >= maxInFlight) {
            open++;
            neverSent(attempt, Result.NeverSentReason.IN_FLIGHT_BOUND, nowNs);
            return;
        }
        open++;
        wheel.schedule(attempt);
        long lagUs = Result.micros(nowNs - intendedStartNs);
        result.sendLag.recordValue(lagUs);
        interval.lagMaxUs = Math.max(interval.lagMaxUs, lagUs);
        dispatch(attempt, nowNs);
    }

    /** Sends an attempt on an idle connection or a new one, or queues it if the target has neither. */
    private void dispatch(Attempt attempt, long nowNs) {
        if (attempt.finished) {
            return;
        }
        Target target = attempt.target;
        for (Connection idle = target.idle.pollLast(); idle != null; idle = target.idle.pollLast()) {
            if (!idle.link.ended()) {
                assign(idle, attempt);
                return;
            }
        }
        if (target.connectionLimit < target.maxConnections && nowNs - target.limitChangedAtNs > RAISE_LIMIT_EVERY_NS) {
            target.connectionLimit++;
            target.limitChangedAtNs = nowNs;
        }
        if (target.open >= target.connectionLimit) {
            target.waitingAttempts.addLast(attempt);
            return;
        }
        target.open++;
        result.connections++;
        Connection connection = new Connection(target);
        attempt.connection = connection;
        connection.attempt = attempt;
        net.connect(
                target.address,
                connection,
                MAX_QUEUED_BYTES,
                link -> {
                    connection.link = link;
                    writeRequest(connection, attempt);
                },
                failure -> {
                    String why = String.valueOf(failure.getMessage());
                    // Messages of the system when no descriptor or no port is left.
                    boolean noHandleLeft =
                            why.contains("Too many open files") || why.contains("assign requested address");
                    connection.attempt = null;
                    report(new ConnectionEvent(
                            connection,
                            attempt,
                            noHandleLeft ? Ending.NO_HANDLE : Ending.REFUSED,
                            0,
                            -1,
                            System.nanoTime(),
                            0,
                            false));
                });
    }

    /** Writes an attempt's request on an open connection. */
    private void assign(Connection connection, Attempt attempt) {
        attempt.connection = connection;
        connection.attempt = attempt;
        writeRequest(connection, attempt);
    }

    /** Builds the request and writes it. */
    private void writeRequest(Connection connection, Attempt attempt) {
        long nowNs = System.nanoTime();
        attempt.sentNs = nowNs;
        Flow flow = attempt.flow;
        Flow.Request request = flow.request();
        byte[] requestHead = request == null
                ? requestHeads[flow.group()]
                : requestHead(request.method(), request.path(), flow.group(), request.bodyBytes());
        int bodyBytes = request == null ? scenario.groups.get(flow.group()).bodyBytes() : request.bodyBytes();
        StringBuilder headers = new StringBuilder(160);
        int slice = scenario.sliceOf(flow.key());
        headers.append("x-key: ")
                .append(request != null && request.key() != null ? request.key() : Integer.toString(flow.key()))
                .append("\r\nx-slice: ")
                .append(slice)
                .append("\r\nx-flow: ")
                .append(flow.number())
                .append("\r\nx-expiry-ns: ")
                .append(Math.max(0, attempt.timeoutAtNs() - nowNs))
                .append("\r\nx-work-ns: ")
                .append(flow.workNs())
                .append("\r\n\r\n");
        byte[] varyingHeaders = headers.toString().getBytes(StandardCharsets.ISO_8859_1);
        ByteBuffer bytes = ByteBuffer.allocate(requestHead.length + varyingHeaders.length + bodyBytes);
        bytes.put(requestHead).put(varyingHeaders).position(0);
        connection.requestBytes = bytes.remaining();
        connection.link.send(bytes);
    }

    /** Handles an event of a connection: reuses or replaces the connection, then settles the attempt. */
    private void handleEvent(ConnectionEvent event) {
        Target target = event.connection.target;
        if (event.unexpectedData) {
            result.unexpectedData++;
        }
        boolean unusable =
                event.ending != Ending.RESPONSE || event.connection.link == null || event.connection.link.ended();
        if (unusable && !event.connection.removed) {
            event.connection.removed = true;
            target.open--;
        } else if (!unusable && event.attempt != null) {
            Attempt next = nextWaitingAttempt(target);
            if (next != null) {
                assign(event.connection, next);
            } else {
                target.idle.addLast(event.connection);
            }
        }
        if (event.ending == Ending.NO_HANDLE) {
            handleNoHandle(event);
            return;
        }
        if (unusable) {
            Attempt next = nextWaitingAttempt(target);
            if (next != null) {
                dispatch(next, event.atNs);
            }
        }
        if (event.attempt == null || event.attempt.finished) {
            return;
        }
        switch (event.ending) {
            case RESPONSE -> handleResponse(event);
            case REFUSED -> retryOrFinish(event.attempt, Result.Outcome.REFUSED, event);
            case RESET -> retryOrFinish(event.attempt, Result.Outcome.RESET, event);
            default -> retryOrFinish(event.attempt, Result.Outcome.MALFORMED, event);
        }
    }

    /**
     * Limits the target to its open connections. The attempt waits for one of them, or is never sent if there are none.
     */
    private void handleNoHandle(ConnectionEvent event) {
        result.connectionsWithoutHandle++;
        Target target = event.connection.target;
        target.connectionLimit = Math.max(1, target.open);
        target.limitChangedAtNs = event.atNs;
        if (event.attempt.finished) {
            return;
        }
        if (target.open > 0) {
            event.attempt.connection = null;
            target.waitingAttempts.addFirst(event.attempt);
        } else {
            neverSent(event.attempt, Result.NeverSentReason.NO_HANDLE, event.atNs);
        }
    }

    /** Returns the first waiting attempt that is not over, or null. */
    private static Attempt nextWaitingAttempt(Target target) {
        Attempt next = target.waitingAttempts.pollFirst();
        while (next != null && next.finished) {
            next = target.waitingAttempts.pollFirst();
        }
        return next;
    }

    /** Records the latency of a success, retries or ends the flow otherwise. Status 503 and 429 count as blocked. */
    private void handleResponse(ConnectionEvent event) {
        if (event.code >= 200 && event.code < 400) {
            Attempt attempt = event.attempt;
            long latencyUs = Result.micros(event.atNs - attempt.intendedStartNs);
            long serviceUs = Result.micros(event.atNs - attempt.sentNs);
            long firstByteUs = Result.micros(event.firstByteNs - attempt.sentNs);
            record(result.all, latencyUs, serviceUs, firstByteUs);
            record(result.groups[attempt.flow.group()], latencyUs, serviceUs, firstByteUs);
            record(targetStats(attempt.target), latencyUs, serviceUs, firstByteUs);
            recent.recordValue(latencyUs);
            result.interval(attempt.flow.startNs()).latency.recordValue(latencyUs);
            boolean inBudget = event.atNs - attempt.intendedStartNs
                    <= scenario.groups.get(attempt.flow.group()).budgetNs();
            finish(attempt, inBudget ? Result.Outcome.IN_BUDGET : Result.Outcome.LATE, event.atNs);
        } else {
            boolean wasBlocked = event.code == 503 || event.code == 429;
            result.blockedWithRetryAfter += wasBlocked && event.retryAfterNs >= 0 ? 1 : 0;
            retryOrFinish(event.attempt, wasBlocked ? Result.Outcome.BLOCKED : Result.Outcome.FAILED, event);
        }
    }

    private static void record(Result.FlowStats stats, long latencyUs, long serviceUs, long firstByteUs) {
        stats.latency.recordValue(latencyUs);
        stats.service.recordValue(serviceUs);
        stats.firstByte.recordValue(firstByteUs);
    }

    private Result.FlowStats targetStats(Target target) {
        return result.targets.computeIfAbsent(target.name, t -> new Result.FlowStats());
    }

    /**
     * Retries the flow if its group and the outcome allow it, else ends it with the outcome. A retry belongs to the
     * same flow: same intended start, same target. A non-retriable flow is retried only if it was blocked or never
     * reached the target.
     */
    private void retryOrFinish(Attempt attempt, Result.Outcome outcome, ConnectionEvent event) {
        boolean mayRetry = scenario.groups.get(attempt.flow.group()).retriable()
                || outcome == Result.Outcome.BLOCKED
                || outcome == Result.Outcome.REFUSED;
        long waitNs = scenario.retryWaitNs << attempt.number;
        // Adds up to the same wait again, derived from the flow's start, so that flows blocked together do not return
        // together.
        waitNs += waitNs == 0 ? 0 : Math.floorMod(attempt.flow.startNs(), waitNs);
        if (scenario.obeysRetryAfter) {
            waitNs = Math.max(waitNs, event.retryAfterNs);
        }
        if (mayRetry && attempt.number < scenario.retries && event.atNs + waitNs < attempt.timeoutAtNs()) {
            attempt.finished = true;
            result.retries++;
            Attempt next = new Attempt(attempt.flow, attempt.intendedStartNs, attempt.number + 1);
            wheel.schedule(next);
            scheduledRetries.add(new ScheduledRetry(event.atNs + waitNs, next));
        } else {
            finish(attempt, outcome, event.atNs);
        }
    }

    /** Ends a flow at its expiry and closes the connection that its attempt is on. */
    private void timedOut(Attempt attempt) {
        boolean sent = attempt.sentNs != 0 || attempt.number > 0;
        Connection connection = attempt.connection;
        if (connection != null && connection.attempt == attempt && connection.link != null) {
            connection.attempt = null;
            connection.link.close();
        }
        if (sent) {
            finish(attempt, Result.Outcome.TIMED_OUT, System.nanoTime());
        } else {
            neverSent(attempt, Result.NeverSentReason.NO_CONNECTION_FREE, System.nanoTime());
        }
    }

    private void neverSent(Attempt attempt, Result.NeverSentReason why, long nowNs) {
        result.neverSent.merge(why, 1L, Long::sum);
        finish(attempt, Result.Outcome.NEVER_SENT, nowNs);
    }

    /** Counts a flow's outcome and notifies the listener. */
    private void finish(Attempt attempt, Result.Outcome outcome, long nowNs) {
        attempt.finished = true;
        open--;
        result.all.add(outcome);
        result.groups[attempt.flow.group()].add(outcome);
        targetStats(attempt.target).add(outcome);
        result.interval(attempt.flow.startNs()).outcomes[outcome.ordinal()]++;
        if (outcome != Result.Outcome.NEVER_SENT) {
            sentCount++;
        }
        if (outcome == Result.Outcome.IN_BUDGET) {
            result.utilityInBudget += scenario.groups.get(attempt.flow.group()).utility();
        }
        if (onFlowEnd != null) {
            onFlowEnd.accept(new FlowEnd(
                    attempt.intendedStartNs,
                    attempt.flow.group(),
                    outcome,
                    nowNs - attempt.intendedStartNs,
                    attempt.number + 1));
        }
    }

    @Override
    public void close() {
        net.close();
    }
}
