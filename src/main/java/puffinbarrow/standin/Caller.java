package puffinbarrow.standin;

import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Consumer;
import puffinbarrow.net.HttpParser;
import puffinbarrow.net.Link;
import puffinbarrow.net.Net;

/** Sends HTTP/1.1 requests over kept connections, one at a time on each, with a time-out that closes the connection. */
final class Caller {
    enum Outcome {
        ANSWERED,
        CONNECT_FAILED,
        RESET,
        TIMED_OUT
    }

    record Result(Outcome outcome, HttpParser.Message answer) {
        boolean good() {
            return outcome == Outcome.ANSWERED && answer.first().equals("200");
        }

        /** Proof that the work never ran: turned away unseen, or never connected. */
        boolean proof() {
            return outcome == Outcome.CONNECT_FAILED
                    || outcome == Outcome.ANSWERED && answer.first().equals("503");
        }
    }

    private final Net net;
    private final Map<InetSocketAddress, ArrayDeque<Stream>> idle = new ConcurrentHashMap<>();

    Caller(Net net) {
        this.net = net;
    }

    void call(InetSocketAddress to, String request, long timeoutNs, Consumer<Result> end) {
        Call call = new Call(request, end);
        net.timer().schedule(() -> call.timeOut(), timeoutNs, java.util.concurrent.TimeUnit.NANOSECONDS);
        Stream kept = take(to);
        if (kept != null && kept.send(call)) {
            return;
        }
        Stream fresh = new Stream(to);
        fresh.call = call;
        call.stream = fresh;
        net.dial(
                to,
                fresh,
                1 << 20,
                link -> {
                    fresh.link = link;
                    if (call.done.get()) {
                        link.close();
                    } else {
                        link.send(ByteBuffer.wrap(call.request.getBytes(StandardCharsets.US_ASCII)));
                    }
                },
                failed -> call.finish(new Result(Outcome.CONNECT_FAILED, null)));
    }

    private Stream take(InetSocketAddress to) {
        ArrayDeque<Stream> kept = idle.get(to);
        if (kept == null) {
            return null;
        }
        synchronized (kept) {
            return kept.pollLast();
        }
    }

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

    private final class Stream implements Link.Receiver {
        private final InetSocketAddress to;
        private final HttpParser parser = new HttpParser(false, 64 * 1024, this::answered);
        private volatile Link link;
        private volatile Call call;

        Stream(InetSocketAddress to) {
            this.to = to;
        }

        boolean send(Call next) {
            call = next;
            next.stream = this;
            // A kept stream that has just broken has taken nothing, so the call may go on a new one.
            return link.send(ByteBuffer.wrap(next.request.getBytes(StandardCharsets.US_ASCII)));
        }

        private void answered(HttpParser.Message answer) {
            Call now = call;
            call = null;
            if (now == null) {
                link.close();
                return;
            }
            ArrayDeque<Stream> kept = idle.computeIfAbsent(to, t -> new ArrayDeque<>());
            synchronized (kept) {
                kept.addLast(this);
            }
            now.finish(new Result(Outcome.ANSWERED, answer));
        }

        @Override
        public void received(Link from, ByteBuffer bytes) {
            parser.feed(bytes);
        }

        @Override
        public void ended(Link from, Link.Cause cause, String detail) {
            ArrayDeque<Stream> kept = idle.get(to);
            if (kept != null) {
                synchronized (kept) {
                    kept.remove(this);
                }
            }
            Call now = call;
            if (now != null) {
                now.finish(new Result(Outcome.RESET, null));
            }
        }
    }
}
