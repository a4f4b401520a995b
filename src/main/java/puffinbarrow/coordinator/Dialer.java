package puffinbarrow.coordinator;

import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import puffinbarrow.net.Link;
import puffinbarrow.net.Net;
import puffinbarrow.proto.Frame;
import puffinbarrow.proto.FrameException;
import puffinbarrow.proto.FrameReader;
import puffinbarrow.proto.FrameWriter;

/**
 * Keeps one stream to a far end: dials, says hello, waits for the welcome, hands on what comes, and dials again with
 * a growing pause when the stream breaks. Used by coordinators towards registry, store and peers, and by proxies.
 * Calls come on threads of the channel group, one at a time for a stream.
 */
public final class Dialer implements AutoCloseable {
    private static final Logger LOG = LoggerFactory.getLogger("puffinbarrow.net");
    /** From soon to a second: a registry that restarts is found again at once, one that is gone costs little. */
    private static final long LEAST_MS = 50;

    private static final long MOST_MS = 1000;

    private final Net net;
    private final String name;
    private final InetSocketAddress to;
    private final Supplier<Frame.Hello> hello;
    private final long queueBytes;
    private final int frameBytes;
    private final Consumer<Frame> frames;
    private final Consumer<Outlet> upOrDown;
    private volatile Link link;
    private volatile boolean closed;
    private volatile boolean cut;
    private volatile long incarnation;
    private long pauseMs = LEAST_MS;

    /** @param hello asked for at each dialling; @param upOrDown gets the outlet once welcomed, and null once the stream is gone */
    public Dialer(
            Net net,
            String name,
            InetSocketAddress to,
            Supplier<Frame.Hello> hello,
            long queueBytes,
            int frameBytes,
            Consumer<Frame> frames,
            Consumer<Outlet> upOrDown) {
        this.net = net;
        this.name = name;
        this.to = to;
        this.hello = hello;
        this.queueBytes = queueBytes;
        this.frameBytes = frameBytes;
        this.frames = frames;
        this.upOrDown = upOrDown;
    }

    /** Of the far end that welcomed last: another one is another life of it. */
    public long incarnation() {
        return incarnation;
    }

    public Dialer start() {
        dial();
        return this;
    }

    private void dial() {
        if (closed) {
            return;
        }
        if (cut) {
            later();
            return;
        }
        Stream stream = new Stream();
        net.dial(
                to,
                stream,
                queueBytes,
                up -> {
                    link = up;
                    stream.link = up;
                    up.send(FrameWriter.one(hello.get()));
                    if (closed) {
                        up.close();
                    }
                },
                failed -> later());
    }

    private void later() {
        if (!closed) {
            net.schedule(pauseMs, this::dial);
            pauseMs = Math.min(MOST_MS, pauseMs * 2);
        }
    }

    /** Cuts the stream and lets none stand until it is healed: how tests and days play a partition. */
    public void cut(boolean on) {
        cut = on;
        Link now = link;
        if (on && now != null) {
            now.close();
        }
    }

    @Override
    public void close() {
        closed = true;
        Link now = link;
        if (now != null) {
            now.close();
        }
    }

    private final class Stream implements Link.Receiver, Outlet {
        private final FrameReader reader = new FrameReader(frameBytes, this::frame);
        private volatile Link link;
        private volatile boolean welcome;

        @Override
        public void received(Link from, ByteBuffer bytes) {
            try {
                reader.feed(bytes);
            } catch (FrameException wrong) {
                LOG.atWarn()
                        .addKeyValue("to", name)
                        .addKeyValue("cause", wrong.why())
                        .log(wrong.getMessage());
                from.close(Link.Cause.BAD_INPUT, wrong.getMessage());
            }
        }

        private void frame(Frame frame) {
            if (frame instanceof Frame.Welcome w) {
                incarnation = w.incarnation();
                pauseMs = LEAST_MS;
                welcome = true;
                upOrDown.accept(this);
            } else if (frame instanceof Frame.Ping ping) {
                send(FrameWriter.one(new Frame.Pong(ping.number())));
            } else if (frame instanceof Frame.Refusal refusal) {
                LOG.atWarn()
                        .addKeyValue("to", name)
                        .addKeyValue("why", refusal.why())
                        .log("refused: {}", refusal.text());
                link.close();
            } else if (frame instanceof Frame.Bye) {
                link.close();
            } else if (welcome) {
                frames.accept(frame);
            }
        }

        @Override
        public void ended(Link from, Link.Cause cause, String detail) {
            if (welcome) {
                welcome = false;
                upOrDown.accept(null);
                LOG.atInfo().addKeyValue("to", name).addKeyValue("cause", cause).log("stream ended {}", detail);
            }
            later();
        }

        @Override
        public boolean send(ByteBuffer bytes) {
            Link now = link;
            return now != null && now.send(bytes);
        }

        @Override
        public void close(String why) {
            link.close();
        }
    }
}
