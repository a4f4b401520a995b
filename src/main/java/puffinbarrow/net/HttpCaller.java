package puffinbarrow.net;

import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Consumer;

/**
 * Calls an HTTP/1.1 server, one call at a time over a stream that is kept for the next one. Every call ends in exactly
 * one answer or failure, on a thread of the group or of the timer. After a failure nothing is known of whether the call
 * took effect, and its stream is closed. Calls come from one thread.
 */
public final class HttpCaller {
    /** How a call ended: the whole answer, or null and why there is none; unsent: it surely took no effect. */
    public record Ended(HttpParser.Message answer, String failure, boolean sent) {}

    private final Net net;
    private final long connectMs;
    private final long keepNs;
    private final int bodyBytes;
    private final boolean idempotent;
    /** Guarded by this: the caller's thread and the channels' may both replace it. */
    private Stream kept;

    /**
     * @param keepMs a stream idle for longer is not used again: the far end may be closing it just then
     * @param idempotent whether a call may be made twice: one whose kept stream ends before the first byte of its
     *     answer, as the far end closed it at that very moment, is then made once more over a fresh one (RFC 9112, 9.3.1)
     */
    public HttpCaller(Net net, long connectMs, long keepMs, int bodyBytes, boolean idempotent) {
        this.net = net;
        this.connectMs = connectMs;
        this.keepNs = keepMs * 1_000_000;
        this.bodyBytes = bodyBytes;
        this.idempotent = idempotent;
    }

    /** @param timeoutMs for the answer, from when the request is sent */
    public void call(InetSocketAddress to, byte[] request, long timeoutMs, Consumer<Ended> done) {
        Call call = new Call(to, request, timeoutMs, done);
        Stream stream;
        synchronized (this) {
            stream = kept != null && kept.takes(call) ? kept : null;
        }
        if (stream != null) {
            stream.send();
        } else {
            close();
            dial(call);
        }
    }

    private void dial(Call call) {
        Stream fresh = new Stream(call);
        synchronized (this) {
            kept = fresh;
        }
        net.dial(
                call.to,
                fresh,
                1 << 20,
                connectMs,
                link -> {
                    fresh.link = link;
                    if (fresh.abandoned) {
                        call.end(null, "given up");
                        link.close();
                    } else {
                        fresh.send();
                    }
                },
                failure -> call.end(null, "no connection: " + failure.getMessage()));
    }

    /** Gives the stream up; a call that is out fails. */
    public void close() {
        Stream stream;
        synchronized (this) {
            stream = kept;
            kept = null;
        }
        if (stream != null) {
            stream.abandon();
        }
    }

    private static final class Call {
        final InetSocketAddress to;
        final byte[] request;
        final long timeoutMs;
        final Consumer<Ended> done;
        final AtomicBoolean ended = new AtomicBoolean();
        volatile boolean sent;
        /** Over which it goes, and whether that was kept from a call before. */
        volatile Stream over;

        private volatile boolean overKept;

        Call(InetSocketAddress to, byte[] request, long timeoutMs, Consumer<Ended> done) {
            this.to = to;
            this.request = request;
            this.timeoutMs = timeoutMs;
            this.done = done;
        }

        boolean end(HttpParser.Message answer, String failure) {
            boolean first = ended.compareAndSet(false, true);
            if (first) {
                done.accept(new Ended(answer, failure, sent));
            }
            return first;
        }
    }

    private final class Stream implements Link.Receiver {
        private final InetSocketAddress to;
        private final HttpParser parser = new HttpParser(false, bodyBytes, this::answered);
        private volatile Link link;
        private volatile Call call;
        private volatile long idleSince;
        private volatile boolean abandoned;
        /** Whether a byte of the answer to the call has come. */
        private volatile boolean answering;
        /** The call's answer; on the channels' thread. */
        private HttpParser.Message answer;

        Stream(Call call) {
            this.to = call.to;
            this.call = call;
            call.over = this;
        }

        boolean takes(Call next) {
            Call before = call;
            if (!to.equals(next.to)
                    || abandoned
                    || link == null
                    || link.ended()
                    || !before.ended.get()
                    || System.nanoTime() - idleSince > keepNs) {
                return false;
            }
            answering = false;
            next.over = this;
            next.overKept = true;
            call = next;
            return true;
        }

        void send() {
            Call now = call;
            now.sent = true;
            if (!link.send(ByteBuffer.wrap(now.request))) {
                now.sent = false;
                lost(now, true, "the stream ended just then");
                return;
            }
            net.schedule(now.timeoutMs, () -> {
                if (now.end(null, "no answer within " + now.timeoutMs + " ms")) {
                    Stream last = now.over;
                    if (last != null) {
                        last.abandon();
                    }
                }
            });
        }

        /** The stream ended under the call. */
        private void lost(Call now, boolean unanswered, String why) {
            boolean again;
            synchronized (HttpCaller.this) {
                if (now.over != this) {
                    // It goes on over another.
                    return;
                }
                again = idempotent && unanswered && now.overKept && kept == this && !now.ended.get();
                if (again) {
                    now.overKept = false;
                    now.over = null;
                }
            }
            if (again) {
                dial(now);
            } else {
                now.end(null, why);
            }
        }

        void abandon() {
            abandoned = true;
            Link open = link;
            if (open != null) {
                open.close();
            }
        }

        @Override
        public void received(Link from, ByteBuffer bytes) {
            if (call.ended.get()) {
                abandon();
                return;
            }
            answering = true;
            parser.feed(bytes);
            deliver();
        }

        private void answered(HttpParser.Message message) {
            abandoned |= answer != null || message.header("connection").equalsIgnoreCase("close");
            answer = answer == null ? message : answer;
        }

        /** Ends the call if its answer is whole; the stream is given up first, as the next call may come at once. */
        private void deliver() {
            if (answer == null) {
                return;
            }
            HttpParser.Message whole = answer;
            answer = null;
            idleSince = System.nanoTime();
            // What follows unasked would be taken for the next call's answer.
            abandoned |= !parser.idle();
            boolean over = abandoned;
            call.end(whole, null);
            if (over) {
                abandon();
            }
        }

        @Override
        public void ended(Link from, Link.Cause cause, String detail) {
            abandoned = true;
            if (cause == Link.Cause.PEER_CLOSED) {
                parser.closed();
                deliver();
            }
            boolean byPeer = cause == Link.Cause.PEER_CLOSED || cause == Link.Cause.BROKEN;
            lost(call, byPeer && !answering, cause + " " + detail);
        }
    }
}
