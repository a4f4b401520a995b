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
 * A stand-in target for the load generator: answers each request after a delay drawn from a known distribution, may
 * stand still for a time, and answers in odd ways on demand. It keeps the delays that it really gave.
 */
public final class Delays implements AutoCloseable {
    /** How an answer is written. */
    public enum Manner {
        PLAIN,
        SPLIT,
        CHUNKED,
        CUT_SHORT,
        CLOSED,
        LONGER,
        DOUBLED,
        ANOTHERS,
        EARLY
    }

    private final Net net;
    private final Net.Listener listener;
    private final DoubleUnaryOperator delayNs;
    private final UniformRandomProvider chance;
    private final Histogram given = new ConcurrentHistogram(60_000_000, 3);
    private final AtomicLong requests = new AtomicLong();
    private volatile long stillFrom = Long.MAX_VALUE, stillUntil = Long.MIN_VALUE;
    private volatile Manner manner = Manner.PLAIN;

    /** @param delayNs from a uniform draw in [0,1) to a delay: the inverse of the distribution's function */
    public Delays(DoubleUnaryOperator delayNs, UniformRandomProvider chance) throws IOException {
        this(delayNs, chance, 0);
    }

    public Delays(DoubleUnaryOperator delayNs, UniformRandomProvider chance, int port) throws IOException {
        this.net = new Net("delays", 3);
        this.delayNs = delayNs;
        this.chance = chance;
        this.listener = net.listen(new InetSocketAddress("127.0.0.1", port), 16 << 20, channel -> new Stream());
    }

    public InetSocketAddress address() {
        return listener.address();
    }

    public void manner(Manner how) {
        manner = how;
    }

    /** Answers nothing for that long from now; what came or was due meanwhile is answered at its end. */
    public void standStill(long ns) {
        stillFrom = System.nanoTime();
        stillUntil = stillFrom + ns;
    }

    /** The delays given, in microseconds, from a request's arrival to its answer. */
    public Histogram given() {
        return given;
    }

    public long requests() {
        return requests.get();
    }

    private final class Stream implements Link.Receiver {
        private final HttpParser parser = new HttpParser(true, 1 << 20, this::request);
        private Link link;
        private boolean early;

        @Override
        public void received(Link from, ByteBuffer bytes) {
            link = from;
            if (manner == Manner.EARLY) {
                // Answered on the first bytes, the rest read later, so that it cannot have been sent whole by then.
                if (!early) {
                    early = true;
                    requests.incrementAndGet();
                    say("HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok");
                    link.pauseReading(true);
                    net.schedule(200, () -> link.pauseReading(false));
                }
                bytes.position(bytes.limit());
                return;
            }
            parser.feed(bytes);
        }

        private void request(HttpParser.Message request) {
            requests.incrementAndGet();
            long came = System.nanoTime();
            double draw;
            synchronized (chance) {
                draw = chance.nextDouble();
            }
            long due = came + (long) delayNs.applyAsDouble(draw);
            String flow = request.header("x-flow");
            if (due <= came) {
                answer(came, due, flow);
            } else {
                net.timer().schedule(() -> answer(came, due, flow), due - System.nanoTime(), TimeUnit.NANOSECONDS);
            }
        }

        private void answer(long came, long due, String flow) {
            long now = System.nanoTime();
            if (now < stillUntil && now >= stillFrom) {
                net.timer().schedule(() -> answer(came, due, flow), stillUntil - now, TimeUnit.NANOSECONDS);
                return;
            }
            given.recordValue(Math.min(60_000_000, (System.nanoTime() - came) / 1000));
            switch (manner) {
                case PLAIN -> say("HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok");
                case SPLIT -> {
                    say("HTTP/1.1 200 OK\r\ncont");
                    net.schedule(5, () -> say("ent-length: 2\r\n\r\no"));
                    net.schedule(10, () -> say("k"));
                }
                case CHUNKED -> say(
                        "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n1\r\no\r\n1\r\nk\r\n0\r\n\r\n");
                case CUT_SHORT -> {
                    say("HTTP/1.1 200 OK\r\ncontent-length: 20\r\n\r\nok");
                    link.closeWhenSent();
                }
                case CLOSED -> link.close();
                case LONGER -> say("HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nokand more");
                case DOUBLED -> say("HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok".repeat(2));
                case ANOTHERS -> say("HTTP/1.1 200 OK\r\nx-flow: " + flow + "1\r\ncontent-length: 2\r\n\r\nok");
                default -> throw new IllegalStateException(manner.name());
            }
        }

        private void say(String text) {
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
