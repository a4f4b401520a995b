package puffinbarrow.platform;

import java.net.InetSocketAddress;
import java.net.URLEncoder;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.Collections;
import java.util.Deque;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Set;
import puffinbarrow.control.Event;
import puffinbarrow.control.Order;
import puffinbarrow.control.Settings;
import puffinbarrow.coordinator.MessageWindow;
import puffinbarrow.net.HttpCaller;
import puffinbarrow.net.HttpParser;
import puffinbarrow.net.Link;
import puffinbarrow.net.Net;

/**
 * Client of the relay: sends orders in HTTP calls, one call at a time and in order, and subscribes to the relay's event
 * stream.
 *
 * <p>A call without a readable answer may or may not have been accepted. Orders are idempotent, so the call can be
 * repeated; but a repeated call also takes its room in the relay's channel again and could overfill it. So the event
 * stream is first given time to report an acknowledgement of the call's mark, which proves that the call was accepted.
 *
 * <p>All methods run on the decision thread; what arrives on network threads is passed to it.
 */
final class RelayClient {
    /**
     * Time-out of a call. The relay answers within 50 ms or never; this is three times that, since the process may be
     * late to read the answer when it has only part of a core.
     */
    private static final long ANSWER_TIMEOUT_MS = 150;

    private static final long CONNECT_TIMEOUT_MS = 400;
    /**
     * How long an idle connection is kept for the next call. The relay closes idle connections after "about 10 s or
     * less", and a new one costs only one round trip.
     */
    private static final long KEEP_ALIVE_MS = 2000;
    /** First pause before a call is repeated; short, as the platform's limits allow half a second for a broken call. */
    private static final long MIN_RETRY_PAUSE_MS = 10;

    private static final long MAX_RETRY_PAUSE_MS = 200;
    /** Longest text of a call's orders; the relay accepts 60,000 bytes. */
    private static final int MAX_CALL_BYTES = 50_000;

    private static final int MAX_ANSWER_BYTES = 64 * 1024;
    /**
     * How long the acknowledgement of a call's mark is awaited before the call is repeated; within the half second that
     * the platform's limits allow for a call that broke or got no answer.
     */
    private static final long ACKNOWLEDGEMENT_WAIT_MS = 450;
    /** Most queued calls: the controller orders four times a second and holds back what is not acknowledged. */
    private static final int MAX_QUEUED_CALLS = 256;
    /** Syntax errors after which a call is discarded, as it would hold up all calls behind it. */
    private static final int MAX_SYNTAX_ERRORS = 3;
    /** Silence after which an event stream counts as broken: keep-alives come every second, so two were missed. */
    private static final long MAX_SILENCE_NS = 2_300_000_000L;
    /**
     * Quiet time after which a state on the event stream counts as complete, as the relay sends it in one burst. A
     * keep-alive proves the same at once.
     */
    private static final long SETTLE_MS = 60;
    /**
     * Longest time for which pending slices are held back while acknowledgements of marks keep the stream from being
     * idle; no longer than an order takes to a proxy.
     */
    private static final long MAX_PENDING_NS = 250_000_000;

    private static final long RECONNECT_PAUSE_MS = 100;
    private static final int MAX_STREAM_SEND_BYTES = 4096;
    private static final long MS_NS = 1_000_000;
    private static final long SECOND_NS = 1_000_000_000;

    /** A call with its orders; the two lists run in parallel. */
    private static final class Call {
        final List<Order> orders = new ArrayList<>();
        /** The orders as encoded for the relay. */
        final List<String> texts = new ArrayList<>();

        int syntaxErrors;
        /** Whether it was sent without a readable answer, so that it may have been accepted. */
        boolean maybeAccepted;
        /** Whether its mark was acknowledged, which proves that it was accepted. */
        boolean acknowledged;
        /** Whether it waits for its repetition, or for the limit on messages. */
        boolean pausing;
        /** Whether the controller does not know of the message that sending it would bring about. */
        boolean extraMessage = true;

        long pauseMs = MIN_RETRY_PAUSE_MS;
    }

    private final Net net;
    private final EventLoop loop;
    private final PlatformCodec codec;
    private final RelaySnapshot snapshot;
    private final HttpCaller caller;
    private InetSocketAddress relay;
    /** Calls in order; the first is the one in flight or pausing, if any. */
    private final ArrayDeque<Call> calls = new ArrayDeque<>();
    /** Whether the first call is in flight or waits for its repetition. */
    private boolean busy;
    /** The subscription that supplies the events; null while there is none. */
    private Subscription active;
    /** A subscription that is being opened and replaces the active one once it has settled; null if none. */
    private Subscription replacement;
    /** Number of the last mark that the relay accepted; -1 before the first. */
    private int lastMark = -1;
    /** Proxies that acknowledged {@link #lastMark}. */
    private final BitSet acknowledgedBy = new BitSet();
    /** Time at which the oldest of the pending slices was assigned. */
    private long pendingSinceNs;
    /** Time at which the last active subscription received its last bytes. */
    private long disconnectedSinceNs;
    /** Time that a full channel takes to drain: after a longer gap in the events it holds nothing from before. */
    private final long channelDrainNs;

    /**
     * Calls that may have been accepted, each at its answer or break: the relay may have written its message at any time
     * until then.
     */
    private final MessageWindow messageWindow;

    RelayClient(Net net, EventLoop loop, PlatformCodec codec, InetSocketAddress relay, Settings settings) {
        this.channelDrainNs = (long) (settings.queueLimitLines() / Math.max(1, settings.linesPerS()) * SECOND_NS);
        this.messageWindow = new MessageWindow(settings.messagesAllowed(), settings.messagesSpanNs());
        this.net = net;
        this.loop = loop;
        this.codec = codec;
        this.relay = relay;
        this.snapshot = new RelaySnapshot(codec);
        this.caller = new HttpCaller(net, CONNECT_TIMEOUT_MS, KEEP_ALIVE_MS, MAX_ANSWER_BYTES, false);
    }

    void start() {
        subscribe();
    }

    /** Uses another relay address from now on, also for calls already queued. */
    void moveTo(InetSocketAddress address) {
        if (!address.equals(relay)) {
            relay = address;
            subscribe();
        }
    }

    RelaySnapshot snapshot() {
        return snapshot;
    }

    int queuedCalls() {
        return calls.size();
    }

    // ---- Calls

    /** Sends the orders of one batch as one call, or as several if they are too long for one. */
    void submit(List<Order> orders) {
        Deque<Call> split = splitIntoCalls(orders);
        // The controller counts one message for the orders of a batch.
        split.peekFirst().extraMessage = false;
        split.forEach(this::enqueue);
        sendNext();
    }

    private Deque<Call> splitIntoCalls(List<Order> orders) {
        ArrayDeque<Call> split = new ArrayDeque<>(List.of(new Call()));
        int bytes = 0;
        for (Order order : orders) {
            String text = codec.encodeOrder(order);
            if (bytes + text.length() > MAX_CALL_BYTES) {
                split.addLast(new Call());
                bytes = 0;
            }
            bytes += text.length() + 1;
            split.peekLast().orders.add(order);
            split.peekLast().texts.add(text);
        }
        return split;
    }

    private void enqueue(Call call) {
        if (calls.size() == MAX_QUEUED_CALLS) {
            // The controller counts discarded orders as applied, so the relay's full state is read and reported again.
            loop.counters()
                    .incrementAndLog(
                            "calls.overflowed",
                            "the relay accepts no calls; discarding them and reading its state again");
            // The first call stays, as its answer is still to come.
            while (calls.size() > 1) {
                calls.pollLast();
            }
            disconnectedSinceNs = Long.MIN_VALUE / 2;
            if (active != null) {
                active.close();
                active = null;
            }
            subscribe();
        }
        calls.addLast(call);
        if (replacement != null) {
            replacement.ordersInFlight.addAll(call.orders);
        }
    }

    private void sendNext() {
        if (busy || calls.isEmpty()) {
            return;
        }
        Call call = calls.peekFirst();
        long waitNs = messageWindow.waitNs(System.nanoTime());
        if (waitNs > 0) {
            loop.counters().increment("calls.held_back");
            pause(call, waitNs / MS_NS + 1);
            return;
        }
        busy = true;
        if (call.extraMessage) {
            call.extraMessage = false;
            loop.counters().increment("messages.extra");
            loop.enqueue(new Event.ExtraMessage());
        }
        // The URL-encoded body is plain ASCII, so its length in characters is its length in bytes.
        String body = "Action=CommitChanges&changes="
                + URLEncoder.encode(String.join(";", call.texts), StandardCharsets.UTF_8);
        String request = "POST /api/ HTTP/1.1\r\nhost: " + Net.formatAddress(relay)
                + "\r\ncontent-type: application/x-www-form-urlencoded\r\ncontent-length: " + body.length() + "\r\n\r\n"
                + body;
        caller.call(
                relay,
                request.getBytes(StandardCharsets.US_ASCII),
                ANSWER_TIMEOUT_MS,
                result -> loop.execute(() -> handleAnswer(call, result)));
    }

    private void handleAnswer(Call call, HttpCaller.CallResult result) {
        busy = false;
        if (result.answer() == null) {
            loop.counters().incrementAndLog("calls.broken", result.failure());
            if (result.maybeDelivered()) {
                messageWindow.add(System.nanoTime());
            }
            if (!acceptIfAcknowledged(call)) {
                retryUnanswered(call, result.maybeDelivered());
            }
            return;
        }
        String text = new String(result.answer().body(), StandardCharsets.UTF_8);
        int accepted;
        try {
            accepted = PlatformCodec.acceptedCount(text, call.orders.size());
        } catch (ProtocolException unreadable) {
            caller.close();
            if (text.contains("BUSY")) {
                loop.counters().increment("calls.busy");
                retryAfter(call, call.pauseMs);
                return;
            }
            messageWindow.add(System.nanoTime());
            loop.counters().incrementAndLog("calls.unreadable", unreadable.getMessage());
            if (text.contains("SYNTAX") && ++call.syntaxErrors >= MAX_SYNTAX_ERRORS) {
                loop.counters().incrementAndLog("calls.given_up", PlatformCodec.abbreviate(call.texts.toString()));
                calls.pollFirst();
                sendNext();
                return;
            }
            if (!acceptIfAcknowledged(call)) {
                retryUnanswered(call, !text.contains("SYNTAX"));
            }
            return;
        }
        messageWindow.add(System.nanoTime());
        handleAccepted(call, accepted);
    }

    /**
     * Handles the acceptance of the call's first orders. If they are not all, the relay refused the next one: that is
     * discarded, and the orders after it are sent again.
     */
    private void handleAccepted(Call call, int accepted) {
        loop.counters().increment("calls.taken");
        loop.counters()
                .log("call orders=" + accepted + " proxies=" + snapshot.proxyCount() + " "
                        + PlatformCodec.abbreviate(String.join(";", call.texts)));
        call.orders.subList(0, accepted).forEach(order -> {
            snapshot.orderAccepted(order);
            if (order instanceof Order.Mark mark && mark.number() != lastMark) {
                lastMark = mark.number();
                acknowledgedBy.clear();
            }
        });
        if (accepted == call.orders.size()) {
            calls.pollFirst();
        } else {
            loop.counters().incrementAndLog("orders.refused", call.texts.get(accepted));
            call.orders.subList(0, accepted + 1).clear();
            call.texts.subList(0, accepted + 1).clear();
            call.extraMessage = accepted > 0;
            if (call.orders.isEmpty()) {
                calls.pollFirst();
            }
        }
        sendNext();
    }

    /** Repeats a call without a readable answer; if it was sent, only after its mark could have been acknowledged. */
    private void retryUnanswered(Call call, boolean sent) {
        call.maybeAccepted |= sent;
        call.extraMessage |= sent;
        retryAfter(call, sent ? ACKNOWLEDGEMENT_WAIT_MS : call.pauseMs);
    }

    private void retryAfter(Call call, long pauseMs) {
        call.pauseMs = Math.min(MAX_RETRY_PAUSE_MS, call.pauseMs * 2);
        pause(call, pauseMs);
    }

    /** Sends the first call, which is this one, again after a pause; no other call is sent meanwhile. */
    private void pause(Call call, long pauseMs) {
        call.pausing = busy = true;
        net.schedule(
                pauseMs,
                () -> loop.execute(() -> {
                    // Otherwise its mark was acknowledged during the pause, and another call may be in flight by now.
                    if (call.pausing) {
                        call.pausing = busy = false;
                        sendNext();
                    }
                }));
    }

    /** Treats a call without an answer as accepted if its mark was acknowledged; returns whether it was. */
    private boolean acceptIfAcknowledged(Call call) {
        if (call.acknowledged) {
            loop.counters().increment("calls.proved");
            handleAccepted(call, call.orders.size());
        }
        return call.acknowledged;
    }

    /**
     * Handles the acknowledgement of a mark by a proxy: the call with that mark was accepted and is not repeated. The
     * acknowledgement may come before the call is known to have failed, and is remembered until then.
     */
    private void handleAcknowledgement(Event event) {
        if (event instanceof Event.InForce done && done.mark() == lastMark) {
            acknowledgedBy.set(done.proxy());
        }
        Call call = calls.peekFirst();
        if (event instanceof Event.InForce done
                && call != null
                && (call.maybeAccepted || !call.pausing)
                && busy
                && call.orders.get(call.orders.size() - 1) instanceof Order.Mark mark
                && mark.number() == done.mark()) {
            call.acknowledged = true;
            if (call.pausing) {
                call.pausing = busy = false;
                acceptIfAcknowledged(call);
            }
        }
    }

    // ---- Event stream

    /** Opens a new subscription; the active one goes on until the new one has settled. */
    private void subscribe() {
        if (replacement != null) {
            replacement.close();
        }
        replacement = new Subscription();
        replacement.connect();
    }

    /** Called periodically: replaces subscriptions that have been silent for {@link #MAX_SILENCE_NS}. */
    void checkLiveness(long now) {
        for (Subscription each : new Subscription[] {active, replacement}) {
            if (each != null && each.connected && now - each.lastReceivedNs > MAX_SILENCE_NS) {
                each.close();
                handleEnd(each, "silent for " + (now - each.lastReceivedNs) / 1_000_000 + " ms");
            }
        }
    }

    private void handleConnected(Subscription subscription) {
        if (subscription == replacement) {
            subscription.connected = true;
            subscription.lastReceivedNs = System.nanoTime();
            subscription.initialState = snapshot.new InitialState();
            calls.forEach(call -> subscription.ordersInFlight.addAll(call.orders));
        }
    }

    private void handleEvents(
            Subscription subscription, List<ServerSentEventParser.ServerSentEvent> received, long receivedNs) {
        if (subscription != active && subscription != replacement) {
            return;
        }
        subscription.lastReceivedNs = receivedNs;
        List<Event> events = new ArrayList<>();
        for (ServerSentEventParser.ServerSentEvent each : received) {
            if (each == ServerSentEventParser.KEEP_ALIVE) {
                settle(subscription, events);
                continue;
            }
            if (subscription.initialState == null && !snapshot.hasPendingSlices()) {
                pendingSinceNs = receivedNs;
            }
            try {
                if (subscription.initialState != null) {
                    subscription.initialState.apply(each.type(), each.fields(), events);
                } else {
                    snapshot.apply(each.type(), each.fields(), events);
                }
            } catch (ProtocolException invalid) {
                loop.counters().incrementAndLog("news.refused", invalid.getMessage());
            }
        }
        events.forEach(this::handleAcknowledgement);
        events.forEach(loop::enqueue);
        if (subscription.initialState != null || snapshot.hasPendingSlices()) {
            net.schedule(SETTLE_MS, () -> loop.execute(() -> settleIfQuiet(subscription, receivedNs)));
        }
    }

    /** Settles the subscription if it received nothing since the given time, or slices have been pending too long. */
    private void settleIfQuiet(Subscription subscription, long sinceNs) {
        if (subscription == active || subscription == replacement) {
            List<Event> events = new ArrayList<>();
            boolean pendingTooLong =
                    subscription.initialState == null && System.nanoTime() - pendingSinceNs > MAX_PENDING_NS;
            if (subscription.lastReceivedNs == sinceNs || pendingTooLong) {
                settle(subscription, events);
            }
            events.forEach(loop::enqueue);
        }
    }

    /** Reports the state held back so far, as it is complete; a replacement becomes the active subscription. */
    private void settle(Subscription subscription, List<Event> events) {
        if (subscription.initialState != null) {
            boolean gap = active == null;
            Set<Integer> assigned = subscription.initialState.commit(
                    subscription.ordersInFlight,
                    gap && subscription.lastReceivedNs - disconnectedSinceNs > channelDrainNs,
                    events);
            resendOrders(assigned, subscription.ordersInFlight);
            subscription.initialState = null;
            subscription.ordersInFlight.clear();
            if (!gap) {
                active.close();
            }
            active = subscription;
            replacement = null;
            loop.counters().increment("news.streams");
            // Acknowledgements sent during the gap are lost, and the controller would wait for them for ever.
            if (gap && lastMark >= 0 && calls.isEmpty() && acknowledgedBy.cardinality() < snapshot.proxyCount()) {
                loop.counters().increment("marks.repeated");
                splitIntoCalls(List.of(new Order.Mark(lastMark, true))).forEach(this::enqueue);
                sendNext();
            }
        } else if (snapshot.hasPendingSlices()) {
            List<Order> inFlight = new ArrayList<>();
            calls.forEach(call -> inFlight.addAll(call.orders));
            resendOrders(snapshot.commitPendingSlices(inFlight, events), inFlight);
        }
    }

    /**
     * Sends orders for newly assigned slices again. The relay may have accepted them while the slice belonged to
     * another coordinator, where they have no effect, or before another coordinator set its lines; but the controller
     * was notified that they are in effect. Only orders already sent are repeated, ahead of the queued calls; setting a
     * line twice does no harm.
     */
    private void resendOrders(Set<Integer> assigned, List<Order> inFlight) {
        Set<Order> unsent = Collections.newSetFromMap(new IdentityHashMap<>());
        calls.stream().skip(busy ? 1 : 0).forEach(call -> unsent.addAll(call.orders));
        List<Order> repeated = inFlight.stream()
                .filter(order -> !unsent.contains(order)
                        && (order instanceof Order.SetLine o && assigned.contains(o.table())
                                || order instanceof Order.ClearTable c && assigned.contains(c.table())))
                .toList();
        if (repeated.isEmpty()) {
            return;
        }
        loop.counters()
                .incrementAndLog("orders.repeated", repeated.size() + " for slices that were lost and assigned again");
        Call head = busy ? calls.pollFirst() : null;
        splitIntoCalls(repeated).descendingIterator().forEachRemaining(calls::addFirst);
        if (head != null) {
            calls.addFirst(head);
        }
        if (replacement != null) {
            replacement.ordersInFlight.addAll(repeated);
        }
        sendNext();
    }

    private void handleEnd(Subscription subscription, String reason) {
        if (subscription == active) {
            loop.counters().incrementAndLog("news.broken", reason);
            active = null;
            disconnectedSinceNs = subscription.lastReceivedNs;
            if (replacement == null) {
                subscribe();
            }
        } else if (subscription == replacement) {
            loop.counters().incrementAndLog("news.not_had", reason);
            replacement = null;
            net.schedule(
                    RECONNECT_PAUSE_MS,
                    () -> loop.execute(() -> {
                        if (replacement == null && (active == null || !active.address.equals(relay))) {
                            subscribe();
                        }
                    }));
        }
    }

    /** One connection for the relay's event stream. Receives on a network thread, and passes events to the client. */
    private final class Subscription implements Link.Receiver {
        private final ServerSentEventParser events = new ServerSentEventParser(this::collect);
        private final HttpParser parser = HttpParser.streaming(end -> close(), events::feed);
        private final InetSocketAddress address = relay;
        /** Events parsed from the current read; used on the network thread only. */
        private List<ServerSentEventParser.ServerSentEvent> parsed = new ArrayList<>();

        private volatile Link link;
        private volatile boolean closed;
        /** Whether the connection is open; this and the fields below belong to the decision thread. */
        private boolean connected;

        private long lastReceivedNs;
        /** The relay's state as received so far; null once it has settled. */
        private RelaySnapshot.InitialState initialState;
        /** Orders that the initial state may not show yet, as they were queued or in flight since it was requested. */
        private final List<Order> ordersInFlight = new ArrayList<>();

        void connect() {
            net.connect(
                    address,
                    this,
                    MAX_STREAM_SEND_BYTES,
                    CONNECT_TIMEOUT_MS,
                    opened -> {
                        link = opened;
                        if (closed) {
                            opened.close();
                            return;
                        }
                        loop.execute(() -> handleConnected(this));
                        opened.send(ByteBuffer.wrap(("GET /api/stream HTTP/1.1\r\nhost: " + Net.formatAddress(address)
                                        + "\r\naccept: text/event-stream\r\n\r\n")
                                .getBytes(StandardCharsets.US_ASCII)));
                    },
                    failure -> loop.execute(() -> handleEnd(this, "no connection: " + failure.getMessage())));
        }

        private void collect(ServerSentEventParser.ServerSentEvent event) {
            parsed.add(event);
        }

        @Override
        public void received(Link from, ByteBuffer bytes) {
            parser.feed(bytes);
            List<ServerSentEventParser.ServerSentEvent> received = parsed;
            parsed = new ArrayList<>();
            long receivedNs = System.nanoTime();
            loop.execute(() -> handleEvents(this, received, receivedNs));
        }

        void close() {
            closed = true;
            Link open = link;
            if (open != null) {
                open.close();
            }
        }

        @Override
        public void ended(Link from, Link.Cause cause, String detail) {
            loop.execute(() -> handleEnd(this, cause + " " + detail));
        }
    }
}
