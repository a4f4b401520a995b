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
 * Maintains one connection to a server of the control protocol: connects, sends a hello, waits for the welcome,
 * passes on frames, and reconnects with growing delays after the connection ends. Coordinators use it towards
 * registry, store and peers, proxies towards coordinators. Callbacks run on threads of the channel group, one at a
 * time for a connection.
 */
public final class Dialer implements AutoCloseable {
    private static final Logger LOG = LoggerFactory.getLogger("puffinbarrow.net");
    /** First delay before reconnecting: a server that restarts is found again soon. It doubles after each attempt. */
    private static final long MIN_RETRY_MS = 50;
    /** Longest delay before reconnecting: keeps attempts cheap while a server is down. */
    private static final long MAX_RETRY_MS = 1000;

    private final Net net;
    private final String name;
    private final InetSocketAddress to;
    private final Supplier<Frame.Hello> hello;
    private final long queueBytes;
    private final int frameBytes;
    private final Consumer<Frame> frames;
    private final Consumer<FrameSink> connectionChanged;
    private volatile Link link;
    private volatile boolean closed;
    /** While true, no connection is made: simulates a network partition. */
    private volatile boolean cut;

    private volatile long incarnation;
    private long retryMs = MIN_RETRY_MS;

    /**
     * @param name of the server, for the log
     * @param hello called for each connection attempt
     * @param queueBytes the most bytes that may wait to be sent
     * @param frameBytes the longest frame accepted
     * @param frames receives the frames that come after the welcome
     * @param connectionChanged receives the connection once it is welcomed, and null once it has ended
     */
    public Dialer(
            Net net,
            String name,
            InetSocketAddress to,
            Supplier<Frame.Hello> hello,
            long queueBytes,
            int frameBytes,
            Consumer<Frame> frames,
            Consumer<FrameSink> connectionChanged) {
        this.net = net;
        this.name = name;
        this.to = to;
        this.hello = hello;
        this.queueBytes = queueBytes;
        this.frameBytes = frameBytes;
        this.frames = frames;
        this.connectionChanged = connectionChanged;
    }

    /** Returns the incarnation stated by the last welcome; a new one means that the server has restarted. */
    public long incarnation() {
        return incarnation;
    }

    /** Starts to connect. */
    public Dialer start() {
        connect();
        return this;
    }

    private void connect() {
        if (closed) {
            return;
        }
        if (cut) {
            scheduleRetry();
            return;
        }
        Connection connection = new Connection();
        net.connect(
                to,
                connection,
                queueBytes,
                up -> {
                    link = up;
                    connection.link = up;
                    up.send(FrameWriter.encode(hello.get()));
                    if (closed) {
                        up.close();
                    }
                },
                failed -> scheduleRetry());
    }

    private void scheduleRetry() {
        if (!closed) {
            net.schedule(retryMs, this::connect);
            retryMs = Math.min(MAX_RETRY_MS, retryMs * 2);
        }
    }

    /** Closes the connection and makes none until this is undone: how tests and days simulate a partition. */
    public void cut(boolean on) {
        cut = on;
        Link open = link;
        if (on && open != null) {
            open.close();
        }
    }

    @Override
    public void close() {
        closed = true;
        Link open = link;
        if (open != null) {
            open.close();
        }
    }

    /** One connection; frames before the welcome are ignored. */
    private final class Connection implements Link.Receiver, FrameSink {
        private final FrameReader reader = new FrameReader(frameBytes, this::onFrame);
        private volatile Link link;
        private volatile boolean welcomed;

        @Override
        public void received(Link from, ByteBuffer bytes) {
            try {
                reader.feed(bytes);
            } catch (FrameException invalid) {
                LOG.atWarn()
                        .addKeyValue("to", name)
                        .addKeyValue("cause", invalid.why())
                        .log(invalid.getMessage());
                from.close(Link.Cause.BAD_INPUT, invalid.getMessage());
            }
        }

        private void onFrame(Frame frame) {
            if (frame instanceof Frame.Welcome w) {
                incarnation = w.incarnation();
                retryMs = MIN_RETRY_MS;
                welcomed = true;
                connectionChanged.accept(this);
            } else if (frame instanceof Frame.Ping ping) {
                send(FrameWriter.encode(new Frame.Pong(ping.number())));
            } else if (frame instanceof Frame.Refusal refusal) {
                LOG.atWarn()
                        .addKeyValue("to", name)
                        .addKeyValue("why", refusal.why())
                        .log("connection refused: {}", refusal.text());
                link.close();
            } else if (frame instanceof Frame.Bye) {
                link.close();
            } else if (welcomed) {
                frames.accept(frame);
            }
        }

        @Override
        public void ended(Link from, Link.Cause cause, String detail) {
            if (welcomed) {
                welcomed = false;
                connectionChanged.accept(null);
                LOG.atInfo().addKeyValue("to", name).addKeyValue("cause", cause).log("connection ended {}", detail);
            }
            scheduleRetry();
        }

        @Override
        public boolean send(ByteBuffer bytes) {
            Link open = link;
            return open != null && open.send(bytes);
        }

        @Override
        public void close(String why) {
            link.close();
        }
    }
}
