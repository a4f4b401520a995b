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
    private Stream kept;

    /** @param keepMs a stream idle for longer is not used again: the far end may be closing it just then */
    public HttpCaller(Net net, long connectMs, long keepMs, int bodyBytes) {
        this.net = net;
        this.connectMs = connectMs;
        this.keepNs = keepMs * 1_000_000;
        this.bodyBytes = bodyBytes;
    }

    /** @param timeoutMs for the answer, from when the request is sent */
    public void call(InetSocketAddress to, byte[] request, long timeoutMs, Consumer<Ended> done) {
        Call call = new Call(done);
        Stream stream = kept;
        if (stream != null && stream.takes(to, call)) {
            stream.send(request, call, timeoutMs);
        } else {
            close();
            Stream fresh = new Stream(to, call);
            kept = fresh;
            net.dial(to, fresh, 1 << 20, connectMs, link -> {
                fresh.link = link;
                if (fresh.abandoned) {
                    call.end(null, "given up");
                    link.close();
                } else {
                    fresh.send(request, call, timeoutMs);
                }
            }, failure -> call.end(null, "no connection: " + failure.getMessage()));
        }
    }

    /** Gives the stream up; a call that is out fails. */
    public void close() {
        if (kept != null) {
            kept.abandon();
        }
        kept = null;
    }

    private static final class Call {
        final Consumer<Ended> done;
        final AtomicBoolean ended = new AtomicBoolean();
        volatile boolean sent;

        Call(Consumer<Ended> done) {
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

        Stream(InetSocketAddress to, Call call) {
            this.to = to;
            this.call = call;
        }

        boolean takes(InetSocketAddress wanted, Call next) {
            Call before = call;
            if (!to.equals(wanted) || abandoned || link == null || link.ended() || !before.ended.get()
                    || System.nanoTime() - idleSince > keepNs) {
                return false;
            }
            call = next;
            return true;
        }

        void send(byte[] request, Call now, long timeoutMs) {
            now.sent = true;
            if (!link.send(ByteBuffer.wrap(request))) {
                now.end(null, "the stream ended just then");
            }
            net.schedule(timeoutMs, () -> {
                if (now.end(null, "no answer within " + timeoutMs + " ms")) {
                    abandon();
                }
            });
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
            parser.feed(bytes);
        }

        private void answered(HttpParser.Message message) {
            idleSince = System.nanoTime();
            abandoned |= message.header("connection").equalsIgnoreCase("close");
            call.end(message, null);
        }

        @Override
        public void ended(Link from, Link.Cause cause, String detail) {
            abandoned = true;
            if (cause == Link.Cause.PEER_CLOSED) {
                parser.closed();
            }
            call.end(null, cause + " " + detail);
        }
    }
}
