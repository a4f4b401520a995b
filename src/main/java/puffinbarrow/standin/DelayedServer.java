package puffinbarrow.standin;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.DoubleUnaryOperator;
import org.HdrHistogram.ConcurrentHistogram;
import org.HdrHistogram.Histogram;
import org.apache.commons.rng.UniformRandomProvider;
import puffinbarrow.net.HttpParser;
import puffinbarrow.net.Link;
import puffinbarrow.net.Net;

/**
 * A stand-in target for checks of the load generator: answers each request after a delay drawn from a known
 * distribution, stalls for a time on command, and writes malformed or unusual answers on command. Records the delays
 * that requests really had. Methods may be called from any thread.
 */
public final class DelayedServer implements AutoCloseable {
    /** How an answer is written. */
    public enum AnswerStyle {
        /** Complete, in one write. */
        PLAIN,
        /** Complete, in three writes 5 ms apart. */
        SPLIT,
        /** With chunked transfer encoding. */
        CHUNKED,
        /** Shorter than its stated length, then the stream is closed. */
        CUT_SHORT,
        /** None: the stream is closed. */
        CLOSED,
        /** Longer than its stated length. */
        LONGER,
        /** Twice. */
        DOUBLED,
        /** With the identifier of another flow. */
        WRONG_FLOW,
        /** Before the request has been received in full. */
        EARLY
    }

    /** Longest delay that the histogram records. */
    private static final long MAX_RECORDED_US = 60_000_000;

    private final Net net;
    private final Net.Listener listener;
    private final DoubleUnaryOperator delayNs;
    private final UniformRandomProvider random;
    /** Delays from a request's arrival to its answer, in microseconds. */
    private final Histogram delays = new ConcurrentHistogram(MAX_RECORDED_US, 3);

    private final AtomicLong requests = new AtomicLong();
    private volatile long stalledFrom = Long.MAX_VALUE;
    private volatile long stalledUntil = Long.MIN_VALUE;
    private volatile AnswerStyle answerStyle = AnswerStyle.PLAIN;

    /** @param delayNs maps a uniform number in [0, 1) to a delay: the distribution's quantile function */
    public DelayedServer(DoubleUnaryOperator delayNs, UniformRandomProvider random) throws IOException {
        this(delayNs, random, 0);
    }

    /**
     * Listens on the port; 0: any free one.
     *
     * @param delayNs maps a uniform number in [0, 1) to a delay: the distribution's quantile function
     */
    public DelayedServer(DoubleUnaryOperator delayNs, UniformRandomProvider random, int port) throws IOException {
        this.net = new Net("delays", 3);
        this.delayNs = delayNs;
        this.random = random;
        this.listener = net.listen(new InetSocketAddress("127.0.0.1", port), 16 << 20, channel -> new Stream());
    }

    public InetSocketAddress address() {
        return listener.address();
    }

    /** Sets how answers are written from now on. */
    public void answerStyle(AnswerStyle how) {
        answerStyle = how;
    }

    /** Answers nothing for that long from now; answers that fall due meanwhile are sent at its end. */
    public void stall(long ns) {
        stalledFrom = System.nanoTime();
        stalledUntil = stalledFrom + ns;
    }

    /** Returns the delays so far, in microseconds, from a request's arrival to its answer. */
    public Histogram delays() {
        return delays;
    }

    /** Returns the number of requests so far. */
    public long requests() {
        return requests.get();
    }

    private final class Stream implements Link.Receiver {
        private final HttpParser parser = new HttpParser(true, 1 << 20, this::onRequest);
        private Link link;
        /** The answer was sent already, with {@link AnswerStyle#EARLY}. */
        private boolean early;

        @Override
        public void received(Link from, ByteBuffer bytes) {
            link = from;
            if (answerStyle == AnswerStyle.EARLY) {
                // Answers on the first bytes and reads the rest later, so that the request cannot be complete by then.
                if (!early) {
                    early = true;
                    requests.incrementAndGet();
                    write("HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok");
                    link.pauseReading(true);
                    net.schedule(200, () -> link.pauseReading(false));
                }
                bytes.position(bytes.limit());
                return;
            }
            parser.feed(bytes);
        }

        private void onRequest(HttpParser.Message request) {
            requests.incrementAndGet();
            long receivedAt = System.nanoTime();
            double uniform;
            synchronized (random) {
                uniform = random.nextDouble();
            }
            long dueAt = receivedAt + (long) delayNs.applyAsDouble(uniform);
            String flow = request.header("x-flow");
            if (dueAt <= receivedAt) {
                answer(receivedAt, dueAt, flow);
            } else {
                net.timer()
                        .schedule(
                                () -> answer(receivedAt, dueAt, flow), dueAt - System.nanoTime(), TimeUnit.NANOSECONDS);
            }
        }

        private void answer(long receivedAt, long dueAt, String flow) {
            long now = System.nanoTime();
            if (now < stalledUntil && now >= stalledFrom) {
                net.timer().schedule(() -> answer(receivedAt, dueAt, flow), stalledUntil - now, TimeUnit.NANOSECONDS);
                return;
            }
            delays.recordValue(Math.min(MAX_RECORDED_US, (System.nanoTime() - receivedAt) / 1000));
            switch (answerStyle) {
                case PLAIN -> write("HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok");
                case SPLIT -> {
                    write("HTTP/1.1 200 OK\r\ncont");
                    net.schedule(5, () -> write("ent-length: 2\r\n\r\no"));
                    net.schedule(10, () -> write("k"));
                }
                case CHUNKED -> write(
                        "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n1\r\no\r\n1\r\nk\r\n0\r\n\r\n");
                case CUT_SHORT -> {
                    write("HTTP/1.1 200 OK\r\ncontent-length: 20\r\n\r\nok");
                    link.closeWhenSent();
                }
                case CLOSED -> link.close();
                case LONGER -> write("HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nokand more");
                case DOUBLED -> write("HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok".repeat(2));
                case WRONG_FLOW -> write("HTTP/1.1 200 OK\r\nx-flow: " + flow + "1\r\ncontent-length: 2\r\n\r\nok");
                default -> throw new IllegalStateException(answerStyle.name());
            }
        }

        private void write(String text) {
            link.send(ByteBuffer.wrap(text.getBytes(StandardCharsets.US_ASCII)));
        }

        @Override
        public void ended(Link from, Link.Cause cause, String detail) {}
    }

    @Override
    public void close() {
        listener.close();
        net.close();
    }
}
