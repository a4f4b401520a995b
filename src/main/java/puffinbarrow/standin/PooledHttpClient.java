package puffinbarrow.standin;

import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Consumer;
import puffinbarrow.net.HttpParser;
import puffinbarrow.net.Link;
import puffinbarrow.net.Net;

/**
 * HTTP/1.1 client of the stand-in proxies. Reuses idle connections, sends one request at a time on each, and closes a
 * connection whose request times out. Called from any thread; results arrive on the threads of {@link Net}.
 */
final class PooledHttpClient {
    /** How a request ended. */
    enum Outcome {
        ANSWERED,
        CONNECT_FAILED,
        /** The connection was closed before the answer. */
        RESET,
        TIMED_OUT
    }

    /** The end of a request; {@code answer} is null unless it was answered. */
    record Result(Outcome outcome, HttpParser.Message answer) {
        boolean good() {
            return outcome == Outcome.ANSWERED && answer.first().equals("200");
        }

        /** Returns whether the attempt provably never ran: it was refused, or no connection was made. */
        boolean provenNotRun() {
            return outcome == Outcome.CONNECT_FAILED
                    || outcome == Outcome.ANSWERED && answer.first().equals("503");
        }
    }

    private final Net net;
    /** Idle connections by address; each queue guards itself. */
    private final Map<InetSocketAddress, ArrayDeque<Stream>> idle = new ConcurrentHashMap<>();

    PooledHttpClient(Net net) {
        this.net = net;
    }

    /** Sends the request; {@code end} is called once, with the answer or the failure. */
    void call(InetSocketAddress to, String request, long timeoutNs, Consumer<Result> end) {
        Call call = new Call(request, end);
        net.timer().schedule(() -> call.timeOut(), timeoutNs, TimeUnit.NANOSECONDS);
        Stream reused = takeIdle(to);
        if (reused != null && reused.send(call)) {
            return;
        }
        Stream opened = new Stream(to);
        opened.call = call;
        call.stream = opened;
        net.connect(
                to,
                opened,
                1 << 20,
                link -> {
                    opened.link = link;
                    if (call.done.get()) {
                        link.close();
                    } else {
                        link.send(ByteBuffer.wrap(call.request.getBytes(StandardCharsets.US_ASCII)));
                    }
                },
                failed -> call.finish(new Result(Outcome.CONNECT_FAILED, null)));
    }

    /** Returns an idle connection, which is no longer idle then; null if there is none. */
    private Stream takeIdle(InetSocketAddress to) {
        ArrayDeque<Stream> streams = idle.get(to);
        if (streams == null) {
            return null;
        }
        synchronized (streams) {
            return streams.pollLast();
        }
    }

    /** A request in progress. */
    private static final class Call {
        final String request;
        final Consumer<Result> end;
        final AtomicBoolean done = new AtomicBoolean();
        volatile Stream stream;

        Call(String request, Consumer<Result> end) {
            this.request = request;
            this.end = end;
        }

        void finish(Result result) {
            if (done.compareAndSet(false, true)) {
                end.accept(result);
            }
        }

        void timeOut() {
            if (!done.get()) {
                finish(new Result(Outcome.TIMED_OUT, null));
                Stream open = stream;
                if (open != null && open.link != null) {
                    open.link.close();
                }
            }
        }
    }

    /** A connection. */
    private final class Stream implements Link.Receiver {
        private final InetSocketAddress to;
        private final HttpParser parser = new HttpParser(false, 64 * 1024, this::onAnswer);
        private volatile Link link;
        /** The request that awaits its answer; null while idle. */
        private volatile Call call;

        Stream(InetSocketAddress to) {
            this.to = to;
        }

        /** Sends a request on an idle connection; returns false if the connection has broken. */
        boolean send(Call next) {
            call = next;
            next.stream = this;
            // If the idle connection has just broken, it takes nothing and the call may use a new one.
            return link.send(ByteBuffer.wrap(next.request.getBytes(StandardCharsets.US_ASCII)));
        }

        private void onAnswer(HttpParser.Message answer) {
            Call current = call;
            call = null;
            if (current == null) {
                link.close();
                return;
            }
            ArrayDeque<Stream> streams = idle.computeIfAbsent(to, t -> new ArrayDeque<>());
            synchronized (streams) {
                streams.addLast(this);
            }
            current.finish(new Result(Outcome.ANSWERED, answer));
        }

        @Override
        public void received(Link from, ByteBuffer bytes) {
            parser.feed(bytes);
        }

        @Override
        public void ended(Link from, Link.Cause cause, String detail) {
            ArrayDeque<Stream> streams = idle.get(to);
            if (streams != null) {
                synchronized (streams) {
                    streams.remove(this);
                }
            }
            Call current = call;
            if (current != null) {
                current.finish(new Result(Outcome.RESET, null));
            }
        }
    }
}
