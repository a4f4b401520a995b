package puffinbarrow.net;

import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Consumer;

/**
 * An HTTP/1.1 client for one request at a time over a keep-alive connection. Every call completes exactly once, with a
 * response or a failure, on a thread of the channel group or of the timer. After a failure it is unknown whether the
 * request took effect, and its connection is closed. {@link #call} must always be called from the same thread.
 */
public final class HttpCaller {
    /**
     * The outcome of a call.
     *
     * @param answer the complete response, or null if the call failed
     * @param failure why there is no response, or null
     * @param maybeDelivered whether any of the request may have left; if false, the request took no effect
     */
    public record CallResult(HttpParser.Message answer, String failure, boolean maybeDelivered) {}

    /** Send queue of a connection: far above the longest request. */
    private static final long QUEUE_BYTES = 1 << 20;

    private final Net net;
    private final long connectMs;
    private final long keepNs;
    private final int bodyBytes;
    private final boolean idempotent;
    /** The connection to reuse, or null. Guarded by this: the calling thread and channel threads both replace it. */
    private Connection current;

    /**
     * @param connectMs connect timeout in milliseconds
     * @param keepMs a connection idle for longer than this is not reused, since the server may be closing it
     * @param bodyBytes the largest response body accepted
     * @param idempotent whether a request may be sent twice: if a reused connection ends before the first byte of the
     *     response, because the server closed it as the request was sent, the request is retried once over a new
     *     connection (RFC 9112, 9.3.1)
     */
    public HttpCaller(Net net, long connectMs, long keepMs, int bodyBytes, boolean idempotent) {
        this.net = net;
        this.connectMs = connectMs;
        this.keepNs = keepMs * 1_000_000;
        this.bodyBytes = bodyBytes;
        this.idempotent = idempotent;
    }

    /**
     * Sends a request, over the kept connection if that is still usable.
     *
     * @param timeoutMs how long to wait for the response, from when the request is sent
     * @param done receives the outcome, exactly once
     */
    public void call(InetSocketAddress to, byte[] request, long timeoutMs, Consumer<CallResult> done) {
        Call call = new Call(to, request, timeoutMs, done);
        Connection connection;
        synchronized (this) {
            connection = current != null && current.tryReuse(call) ? current : null;
        }
        if (connection != null) {
            connection.send();
        } else {
            close();
            connect(call);
        }
    }

    private void connect(Call call) {
        Connection fresh = new Connection(call);
        synchronized (this) {
            current = fresh;
        }
        net.connect(
                call.to,
                fresh,
                QUEUE_BYTES,
                connectMs,
                link -> {
                    fresh.link = link;
                    if (fresh.abandoned) {
                        call.complete(null, "connection abandoned");
                        link.close();
                    } else {
                        fresh.send();
                    }
                },
                failure -> call.complete(null, "no connection: " + failure.getMessage()));
    }

    /** Closes the kept connection; a call in progress fails. */
    public void close() {
        Connection connection;
        synchronized (this) {
            connection = current;
            current = null;
        }
        if (connection != null) {
            connection.abandon();
        }
    }

    /** One call and its outcome. */
    private static final class Call {
        final InetSocketAddress to;
        final byte[] request;
        final long timeoutMs;
        final Consumer<CallResult> done;
        final AtomicBoolean completed = new AtomicBoolean();
        volatile boolean maybeDelivered;
        /** The connection that carries this call; null while a retry connects. */
        volatile Connection connection;
        /** Whether {@link #connection} was kept from an earlier call. */
        private volatile boolean reused;

        Call(InetSocketAddress to, byte[] request, long timeoutMs, Consumer<CallResult> done) {
            this.to = to;
            this.request = request;
            this.timeoutMs = timeoutMs;
            this.done = done;
        }

        /** Reports the outcome; returns false if the call has completed already. */
        boolean complete(HttpParser.Message answer, String failure) {
            boolean first = completed.compareAndSet(false, true);
            if (first) {
                done.accept(new CallResult(answer, failure, maybeDelivered));
            }
            return first;
        }
    }

    /** A keep-alive connection that carries one call after the other. */
    private final class Connection implements Link.Receiver {
        private final InetSocketAddress to;
        private final HttpParser parser = new HttpParser(false, bodyBytes, this::onMessage);
        private volatile Link link;
        private volatile Call call;
        /** When the last response was complete, by {@link System#nanoTime}. */
        private volatile long idleSinceNs;
        /** Set once the connection must not be used again. */
        private volatile boolean abandoned;
        /** Whether any byte of the response to the current call has arrived. */
        private volatile boolean answerStarted;
        /** The response to the current call; used on channel threads only. */
        private HttpParser.Message answer;

        Connection(Call call) {
            this.to = call.to;
            this.call = call;
            call.connection = this;
        }

        /** Assigns the next call to this connection; returns false if it cannot carry that call. */
        boolean tryReuse(Call next) {
            Call previous = call;
            if (!to.equals(next.to)
                    || abandoned
                    || link == null
                    || link.ended()
                    || !previous.completed.get()
                    || System.nanoTime() - idleSinceNs > keepNs) {
                return false;
            }
            answerStarted = false;
            next.connection = this;
            next.reused = true;
            call = next;
            return true;
        }

        /** Sends the current call's request and starts its timeout. */
        void send() {
            Call pending = call;
            pending.maybeDelivered = true;
            if (!link.send(ByteBuffer.wrap(pending.request))) {
                pending.maybeDelivered = false;
                connectionLost(pending, true, "connection ended before the request was sent");
                return;
            }
            net.schedule(pending.timeoutMs, () -> {
                if (pending.complete(null, "no answer within " + pending.timeoutMs + " ms")) {
                    Connection last = pending.connection;
                    if (last != null) {
                        last.abandon();
                    }
                }
            });
        }

        /**
         * Fails a call whose connection ended, or retries it over a new one.
         *
         * @param unanswered whether the server may have closed the connection without reading the request
         */
        private void connectionLost(Call pending, boolean unanswered, String why) {
            boolean retry;
            synchronized (HttpCaller.this) {
                if (pending.connection != this) {
                    // Already retried over another connection.
                    return;
                }
                retry = idempotent && unanswered && pending.reused && current == this && !pending.completed.get();
                if (retry) {
                    pending.reused = false;
                    pending.connection = null;
                }
            }
            if (retry) {
                connect(pending);
            } else {
                pending.complete(null, why);
            }
        }

        /** Closes this connection, or prevents its use if it is still connecting. */
        void abandon() {
            abandoned = true;
            Link open = link;
            if (open != null) {
                open.close();
            }
        }

        @Override
        public void received(Link from, ByteBuffer bytes) {
            if (call.completed.get()) {
                abandon();
                return;
            }
            answerStarted = true;
            parser.feed(bytes);
            deliverAnswer();
        }

        private void onMessage(HttpParser.Message message) {
            abandoned |= answer != null || message.header("connection").equalsIgnoreCase("close");
            answer = answer == null ? message : answer;
        }

        /**
         * Completes the call once its response is complete. The connection is marked as abandoned before that, since
         * the callback may start the next call at once.
         */
        private void deliverAnswer() {
            if (answer == null) {
                return;
            }
            HttpParser.Message response = answer;
            answer = null;
            idleSinceNs = System.nanoTime();
            // Bytes beyond this response would be taken for the response to the next call.
            abandoned |= !parser.idle();
            boolean closeNow = abandoned;
            call.complete(response, null);
            if (closeNow) {
                abandon();
            }
        }

        @Override
        public void ended(Link from, Link.Cause cause, String detail) {
            abandoned = true;
            if (cause == Link.Cause.PEER_CLOSED) {
                parser.endOfInput();
                deliverAnswer();
            }
            boolean byPeer = cause == Link.Cause.PEER_CLOSED || cause == Link.Cause.BROKEN;
            connectionLost(call, byPeer && !answerStarted, cause + " " + detail);
        }
    }
}
