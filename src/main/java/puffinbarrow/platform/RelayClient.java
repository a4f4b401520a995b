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
import puffinbarrow.net.HttpCaller;
import puffinbarrow.net.HttpParser;
import puffinbarrow.net.Link;
import puffinbarrow.net.Net;

/**
 * The relay: calls that carry orders, one at a time and in order, and the stream of its news. A call that ends without
 * an answer that can be read may have been taken or not. Every order sets something, so it can be said twice, but twice
 * the lines could overfill the channel: first the news is given time to tell of its mark, which proves it taken. All
 * methods run on the decision thread; what the channels' threads hear is offered to it.
 */
final class RelayClient {
    /** An answer comes within 50 ms or never; three times that, as our own part of a core may be late to read it. */
    private static final long ANSWER_MS = 150;

    private static final long CONNECT_MS = 400;
    /** The relay closes what stood idle for "about 10 s or less"; a new connection costs one way there and back. */
    private static final long KEEP_MS = 2000;
    /** Between tries of a call: soon at first, as time limits wait half a second for a broken one. */
    private static final long LEAST_PAUSE_MS = 10, MOST_PAUSE_MS = 200;
    /** A call carries 60,000 bytes of orders at most. */
    private static final int CALL_BYTES = 50_000;
    /** How long a mark may take to come back, within what time limits wait for a call that broke or fell silent. */
    private static final long PROOF_MS = 450;
    /** Calls that may wait: the decisions order four times a second and hold back what is not acknowledged. */
    private static final int CALLS = 256;
    /** A call that is turned back as unreadable so often is not made again: it would hold up all that follow. */
    private static final int REFUSALS = 3;
    /** A sign of life comes every second; two missed ones and a little. */
    private static final long SILENT_NS = 2_300_000_000L;
    /** What stands comes in one go; quiet for so long and it is whole. A sign of life says so at once. */
    private static final long SETTLE_MS = 60;
    /** Where it is never quiet, as marks come back all the time: held no longer than an order's way to a proxy. */
    private static final long HELD_NS = 250_000_000;

    private static final long REDIAL_MS = 100;

    private static final class Call {
        final List<Order> orders = new ArrayList<>();
        final List<String> texts = new ArrayList<>();
        int refusals;
        /** It was sent, and no answer tells whether it was taken. */
        boolean doubtful;
        /** An answer to its mark came while it was out. */
        boolean proven;
        /** Between two tries. */
        boolean pausing;

        long pauseMs = LEAST_PAUSE_MS;
    }

    private final Net net;
    private final Host host;
    private final Translation words;
    private final RelaySnapshot snapshot;
    private final HttpCaller caller;
    private InetSocketAddress to;
    private final ArrayDeque<Call> calls = new ArrayDeque<>();
    private boolean out;
    /** The stream that carries the news, and one that begins and will take its place. */
    private NewsStream stream, next;
    /** The mark that the relay took last, and who has answered to it. */
    private int lastMark = -1;

    private final BitSet answered = new BitSet();
    /** Since when the oldest of what is held has been. */
    private long heldSince;
    /** Since when no stream carries the news. */
    private long deafSince;
    /** How long a full channel takes to empty: after a gap that long nothing of before it waits in it. */
    private final long emptyNs;

    RelayClient(Net net, Host host, Translation words, InetSocketAddress to, long emptyNs) {
        this.emptyNs = emptyNs;
        this.net = net;
        this.host = host;
        this.words = words;
        this.to = to;
        this.snapshot = new RelaySnapshot(words);
        this.caller = new HttpCaller(net, CONNECT_MS, KEEP_MS, 64 * 1024, false);
    }

    void start() {
        listen();
    }

    /** The relay is at another address from now on. */
    void moved(InetSocketAddress address) {
        if (!address.equals(to)) {
            to = address;
            listen();
        }
    }

    RelaySnapshot snapshot() {
        return snapshot;
    }

    int waiting() {
        return calls.size();
    }

    // ---- Calls.

    /** Orders of one batch: one call, unless they are too many for it. */
    void order(List<Order> orders) {
        calls(orders).forEach(this::queue);
        send();
    }

    private Deque<Call> calls(List<Order> orders) {
        ArrayDeque<Call> calls = new ArrayDeque<>(List.of(new Call()));
        int bytes = 0;
        for (Order order : orders) {
            String text = words.order(order);
            if (bytes + text.length() > CALL_BYTES) {
                calls.addLast(new Call());
                bytes = 0;
            }
            bytes += text.length() + 1;
            calls.peekLast().orders.add(order);
            calls.peekLast().texts.add(text);
        }
        return calls;
    }

    private void queue(Call call) {
        if (calls.size() == CALLS) {
            // What was left out must not be believed: all that stands is read anew and told again.
            host.counters().note("calls.overflowed", "the relay takes none; reading anew what stands");
            // All but the one that is out: its answer is still to come.
            while (calls.size() > 1) {
                calls.pollLast();
            }
            deafSince = Long.MIN_VALUE / 2;
            if (stream != null) {
                stream.close();
                stream = null;
            }
            listen();
        }
        calls.addLast(call);
        if (next != null) {
            next.sinceAsked.addAll(call.orders);
        }
    }

    private void send() {
        if (out || calls.isEmpty()) {
            return;
        }
        Call call = calls.peekFirst();
        out = true;
        // A form's body is plain ASCII once it is escaped.
        String body = "Action=CommitChanges&changes="
                + URLEncoder.encode(String.join(";", call.texts), StandardCharsets.UTF_8);
        String request = "POST /api/ HTTP/1.1\r\nhost: " + Net.text(to)
                + "\r\ncontent-type: application/x-www-form-urlencoded\r\ncontent-length: " + body.length() + "\r\n\r\n"
                + body;
        caller.call(
                to,
                request.getBytes(StandardCharsets.US_ASCII),
                ANSWER_MS,
                ended -> host.offer(() -> ended(call, ended)));
    }

    private void ended(Call call, HttpCaller.Ended ended) {
        out = false;
        if (ended.answer() == null) {
            host.counters().note("calls.broken", ended.failure());
            if (!proved(call)) {
                doubt(call, ended.sent());
            }
            return;
        }
        String text = new String(ended.answer().body(), StandardCharsets.UTF_8);
        int taken;
        try {
            taken = Translation.taken(text, call.orders.size());
        } catch (ProtocolException unreadable) {
            caller.close();
            if (text.contains("BUSY")) {
                host.counters().count("calls.busy");
                again(call, call.pauseMs);
                return;
            }
            host.counters().note("calls.unreadable", unreadable.getMessage());
            if (text.contains("SYNTAX") && ++call.refusals >= REFUSALS) {
                host.counters().note("calls.given_up", Translation.brief(call.texts.toString()));
                calls.pollFirst();
                send();
                return;
            }
            if (!proved(call)) {
                doubt(call, !text.contains("SYNTAX"));
            }
            return;
        }
        taken(call, taken);
    }

    private void taken(Call call, int taken) {
        host.counters().count("calls.taken");
        host.counters()
                .say("call orders=" + taken + " proxies=" + snapshot.proxies() + " "
                        + Translation.brief(String.join(";", call.texts)));
        call.orders.subList(0, taken).forEach(order -> {
            snapshot.took(order);
            if (order instanceof Order.Mark mark && mark.number() != lastMark) {
                lastMark = mark.number();
                answered.clear();
            }
        });
        if (taken == call.orders.size()) {
            calls.pollFirst();
        } else {
            host.counters().note("orders.refused", call.texts.get(taken));
            call.orders.subList(0, taken + 1).clear();
            call.texts.subList(0, taken + 1).clear();
            if (call.orders.isEmpty()) {
                calls.pollFirst();
            }
        }
        send();
    }

    private void doubt(Call call, boolean sent) {
        call.doubtful |= sent;
        again(call, sent ? PROOF_MS : call.pauseMs);
    }

    private void again(Call call, long pauseMs) {
        call.pauseMs = Math.min(MOST_PAUSE_MS, call.pauseMs * 2);
        call.pausing = out = true;
        net.schedule(
                pauseMs,
                () -> host.offer(() -> {
                    // Else proof came in the pause, and another call may be out by now.
                    if (call.pausing) {
                        call.pausing = out = false;
                        send();
                    }
                }));
    }

    /** Whether a call that ended without an answer was proved taken while it was out. */
    private boolean proved(Call call) {
        if (call.proven) {
            host.counters().count("calls.proved");
            taken(call, call.orders.size());
        }
        return call.proven;
    }

    /**
     * A proxy answered to a mark: the call that carried it was taken and isn't made again. The proof may come before
     * the call is known to have broken, and is kept for that.
     */
    private void heard(Event event) {
        if (event instanceof Event.InForce done && done.mark() == lastMark) {
            answered.set(done.proxy());
        }
        Call call = calls.peekFirst();
        if (event instanceof Event.InForce done
                && call != null
                && (call.doubtful || !call.pausing)
                && out
                && call.orders.get(call.orders.size() - 1) instanceof Order.Mark mark
                && mark.number() == done.mark()) {
            call.proven = true;
            if (call.pausing) {
                call.pausing = out = false;
                proved(call);
            }
        }
    }

    // ---- News.

    /** Asks for news; the stream that carries it now goes on until the new one has settled. */
    private void listen() {
        if (next != null) {
            next.close();
        }
        next = new NewsStream();
        next.dial();
    }

    /** Called now and then: a stream that says nothing is as good as broken. */
    void watch(long now) {
        for (NewsStream each : new NewsStream[] {stream, next}) {
            if (each != null && each.up && now - each.heardAt > SILENT_NS) {
                each.close();
                lost(each, "silent for " + (now - each.heardAt) / 1_000_000 + " ms");
            }
        }
    }

    private void begun(NewsStream which) {
        if (which == next) {
            which.up = true;
            which.heardAt = System.nanoTime();
            which.opening = snapshot.new Opening();
            calls.forEach(call -> which.sinceAsked.addAll(call.orders));
        }
    }

    private void take(NewsStream which, List<EventStream.News> news, long at) {
        if (which != stream && which != next) {
            return;
        }
        which.heardAt = at;
        List<Event> events = new ArrayList<>();
        for (EventStream.News each : news) {
            if (each == EventStream.SIGN) {
                settle(which, events);
                continue;
            }
            if (which.opening == null && !snapshot.unsettled()) {
                heldSince = at;
            }
            try {
                if (which.opening != null) {
                    which.opening.news(each.kind(), each.fields(), events);
                } else {
                    snapshot.news(each.kind(), each.fields(), events);
                }
            } catch (ProtocolException wrong) {
                host.counters().note("news.refused", wrong.getMessage());
            }
        }
        events.forEach(this::heard);
        events.forEach(host::happened);
        if (which.opening != null || snapshot.unsettled()) {
            net.schedule(SETTLE_MS, () -> host.offer(() -> quiet(which, at)));
        }
    }

    private void quiet(NewsStream which, long since) {
        if (which == stream || which == next) {
            List<Event> events = new ArrayList<>();
            boolean longHeld = which.opening == null && System.nanoTime() - heldSince > HELD_NS;
            if (which.heardAt == since || longHeld) {
                settle(which, events);
            }
            events.forEach(host::happened);
        }
    }

    private void settle(NewsStream which, List<Event> events) {
        if (which.opening != null) {
            boolean gap = stream == null;
            Set<Integer> given =
                    which.opening.settle(which.sinceAsked, gap && which.heardAt - deafSince > emptyNs, events);
            repeat(given, which.sinceAsked);
            which.opening = null;
            which.sinceAsked.clear();
            if (!gap) {
                stream.close();
            }
            stream = which;
            next = null;
            host.counters().count("news.streams");
            // Answers to marks that came in the gap are lost; unasked, the decisions would wait for them for ever.
            if (gap && lastMark >= 0 && calls.isEmpty() && answered.cardinality() < snapshot.proxies()) {
                host.counters().count("marks.repeated");
                order(List.of(new Order.Mark(lastMark, true)));
            }
        } else if (snapshot.unsettled()) {
            List<Order> onTheWay = new ArrayList<>();
            calls.forEach(call -> onTheWay.addAll(call.orders));
            repeat(snapshot.settle(onTheWay, events), onTheWay);
        }
    }

    /**
     * The relay may have taken these while their slices were another's, where they change nothing, or before another
     * set their lines; the decisions are told them as standing. Those already sent are said once more, before what
     * waits; setting a line twice does no harm.
     */
    private void repeat(Set<Integer> given, List<Order> onTheWay) {
        Set<Order> unsent = Collections.newSetFromMap(new IdentityHashMap<>());
        calls.stream().skip(out ? 1 : 0).forEach(call -> unsent.addAll(call.orders));
        List<Order> again = onTheWay.stream()
                .filter(order -> !unsent.contains(order)
                        && (order instanceof Order.SetLine o && given.contains(o.table())
                                || order instanceof Order.ClearTable c && given.contains(c.table())))
                .toList();
        if (again.isEmpty()) {
            return;
        }
        host.counters().note("orders.repeated", again.size() + " whose slices went and came");
        Call head = out ? calls.pollFirst() : null;
        calls(again).descendingIterator().forEachRemaining(calls::addFirst);
        if (head != null) {
            calls.addFirst(head);
        }
        if (next != null) {
            next.sinceAsked.addAll(again);
        }
        send();
    }

    private void lost(NewsStream which, String why) {
        if (which == stream) {
            host.counters().note("news.broken", why);
            stream = null;
            deafSince = which.heardAt;
            if (next == null) {
                listen();
            }
        } else if (which == next) {
            host.counters().note("news.not_had", why);
            next = null;
            net.schedule(
                    REDIAL_MS,
                    () -> host.offer(() -> {
                        if (next == null && (stream == null || !stream.at.equals(to))) {
                            listen();
                        }
                    }));
        }
    }

    private final class NewsStream implements Link.Receiver {
        private final EventStream events = new EventStream(this::news);
        private final HttpParser parser = HttpParser.streaming(end -> close(), events::feed);
        private final InetSocketAddress at = to;
        private List<EventStream.News> came = new ArrayList<>();
        private volatile Link link;
        private volatile boolean closed;
        /** On the decision thread. */
        private boolean up;

        private long heardAt;
        /** Until it has settled: what it has told, and the orders that it may not show. */
        private RelaySnapshot.Opening opening;

        private final List<Order> sinceAsked = new ArrayList<>();

        void dial() {
            net.dial(
                    at,
                    this,
                    4096,
                    CONNECT_MS,
                    up -> {
                        link = up;
                        if (closed) {
                            up.close();
                            return;
                        }
                        host.offer(() -> begun(this));
                        up.send(ByteBuffer.wrap(("GET /api/stream HTTP/1.1\r\nhost: " + Net.text(at)
                                        + "\r\naccept: text/event-stream\r\n\r\n")
                                .getBytes(StandardCharsets.US_ASCII)));
                    },
                    failure -> host.offer(() -> lost(this, "no connection: " + failure.getMessage())));
        }

        private void news(EventStream.News news) {
            came.add(news);
        }

        @Override
        public void received(Link from, ByteBuffer bytes) {
            parser.feed(bytes);
            List<EventStream.News> now = came;
            came = new ArrayList<>();
            long when = System.nanoTime();
            host.offer(() -> take(this, now, when));
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
            host.offer(() -> lost(this, cause + " " + detail));
        }
    }
}
